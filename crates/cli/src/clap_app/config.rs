//! Commands on configured items and on the configuration as a whole.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

use super::required_positional;
use crate::help;

/// Builds the commands of the four kinds of items.
pub(super) fn item_commands() -> [Command; 4] {
    [
        item_command("service", "services", "Services: what callers call"),
        item_command("place", "places", "Places: where upstreams stand"),
        item_command("plan", "plans", "Plans: what should be ready where")
            .subcommand(import_command()),
        item_command("limit", "limits", "Limits: what accounts may use"),
    ]
}

fn item_command(singular: &'static str, plural: &'static str, about: &'static str) -> Command {
    Command::new(singular)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about(format!("List the {plural}")))
        .subcommand(
            Command::new("show")
                .about(format!("Show one {singular}"))
                .arg(required_positional("name", "NAME", "Its name")),
        )
        .subcommand(
            Command::new("apply")
                .about(format!("Set the {plural} of a file"))
                .long_about(help::APPLY)
                .arg(file_arg())
                .args(change_args()),
        )
        .subcommand(
            Command::new("delete")
                .about(format!("Delete {plural}"))
                .arg(
                    required_positional("names", "NAME", "Their names")
                        .num_args(1..)
                        .action(ArgAction::Append),
                )
                .args(change_args()),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what `apply` would change; exit code 8 if anything")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("history")
                .about(format!("Show the changes of one {singular}"))
                .arg(required_positional("name", "NAME", "Its name")),
        )
}

fn import_command() -> Command {
    Command::new("import")
        .about("Replace the plans by those of a sheet")
        .long_about(help::IMPORT)
        .arg(
            required_positional("sheet", "SHEET.csv", "The sheet; - is standard input")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the plans that the sheet does not name"),
        )
        .args(change_args())
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
                    required_positional("from", "FROM", "The older version")
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

fn file_arg() -> Arg {
    required_positional(
        "file",
        "FILE",
        "JSON object from name to value; - is standard input",
    )
    .value_parser(value_parser!(PathBuf))
}

/// How a change is made.
fn change_args() -> [Arg; 3] {
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
