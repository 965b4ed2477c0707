//! Commands on configured items and on the configuration as a whole.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

use super::positional;
use crate::help;

/// Builds the commands of the four kinds of items.
pub(super) fn items() -> [Command; 4] {
    [
        item("service", "services", "Services: what callers call"),
        item("place", "places", "Places: where upstreams stand"),
        item("plan", "plans", "Plans: what should be ready where").subcommand(import()),
        item("limit", "limits", "Limits: what accounts may use"),
    ]
}

fn item(one: &'static str, many: &'static str, about: &'static str) -> Command {
    Command::new(one)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about(format!("List the {many}")))
        .subcommand(
            Command::new("show")
                .about(format!("Show one {one}"))
                .arg(positional("name", "NAME", "Its name")),
        )
        .subcommand(
            Command::new("apply")
                .about(format!("Set the {many} of a file"))
                .long_about(help::APPLY)
                .arg(file())
                .args(operation()),
        )
        .subcommand(
            Command::new("delete")
                .about(format!("Delete {many}"))
                .arg(
                    positional("names", "NAME", "Their names")
                        .num_args(1..)
                        .action(ArgAction::Append),
                )
                .args(operation()),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what `apply` would change; exit code 8 if anything")
                .arg(file()),
        )
        .subcommand(
            Command::new("history")
                .about(format!("Show the changes of one {one}"))
                .arg(positional("name", "NAME", "Its name")),
        )
}

fn import() -> Command {
    Command::new("import")
        .about("Replace the plans by those of a sheet")
        .long_about(help::IMPORT)
        .arg(
            positional("sheet", "SHEET.csv", "The sheet; - is standard input")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the plans that the sheet does not name"),
        )
        .args(operation())
}

/// Builds the commands on the configuration as a whole.
pub(super) fn build() -> Command {
    Command::new("config")
        .about("The configuration as a whole")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("show").about("Show every item in force"))
        .subcommand(
            Command::new("log").about("Show the changes").arg(
                Arg::new("after")
                    .long("after")
                    .value_name("VERSION")
                    .value_parser(value_parser!(u64))
                    .default_value("0")
                    .help("Only those after a version"),
            ),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what differs between two versions; exit code 8 if anything")
                .arg(
                    positional("from", "FROM", "The older version")
                        .value_parser(value_parser!(u64)),
                )
                .arg(
                    Arg::new("to")
                        .value_name("TO")
                        .value_parser(value_parser!(u64))
                        .help("The newer version [default: the newest]"),
                ),
        )
}

fn file() -> Arg {
    positional(
        "file",
        "FILE",
        "JSON object from name to value; - is standard input",
    )
    .value_parser(value_parser!(PathBuf))
}

/// How a change is made.
fn operation() -> [Arg; 3] {
    [
        Arg::new("dry-run")
            .long("dry-run")
            .action(ArgAction::SetTrue)
            .help("Print the difference and change nothing"),
        Arg::new("base")
            .long("base")
            .value_name("VERSION")
            .value_parser(value_parser!(u64))
            .help("The version that the change was made from [default: the one in force]"),
        Arg::new("reason")
            .long("reason")
            .value_name("TEXT")
            .default_value("")
            .hide_default_value(true)
            .help("Why; stands in the change log"),
    ]
}
