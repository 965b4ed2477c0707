//! Subcommands for configured items and for the whole configuration.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

use super::required_positional;
use crate::help;

/// Builds one subcommand per kind of item.
pub(super) fn item_commands() -> [Command; 4] {
    [
        item_command(
            "service",
            "services",
            "Manage services, the targets of calls",
        ),
        item_command(
            "place",
            "places",
            "Manage places, the locations of upstreams",
        ),
        item_command(
            "plan",
            "plans",
            "Manage plans, the number of ready upstreams per service and place",
        )
        .subcommand(import_command()),
        item_command(
            "limit",
            "limits",
            "Manage limits, the quotas of client accounts",
        ),
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
                .arg(required_positional("name", "NAME", "Item name")),
        )
        .subcommand(
            Command::new("apply")
                .about(format!("Create or replace the {plural} listed in a file"))
                .long_about(help::APPLY)
                .arg(file_arg())
                .args(change_args()),
        )
        .subcommand(
            Command::new("delete")
                .about(format!("Delete {plural}"))
                .arg(
                    required_positional("names", "NAME", "Names of the items")
                        .num_args(1..)
                        .action(ArgAction::Append),
                )
                .args(change_args()),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what `apply` would change; exits with 8 if there are differences")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("history")
                .about(format!("Show the changes of one {singular}"))
                .arg(required_positional("name", "NAME", "Item name")),
        )
}

fn import_command() -> Command {
    Command::new("import")
        .about("Replace the plans with those of a CSV sheet")
        .long_about(help::IMPORT)
        .arg(
            required_positional("sheet", "SHEET.csv", "The sheet; - is standard input")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Keep the plans that the sheet does not list"),
        )
        .args(change_args())
}

/// Builds the subcommand for the whole configuration.
pub(super) fn build() -> Command {
    Command::new("config")
        .about("Inspect the whole configuration, or check one of the users' platform")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("show").about("Show every configured item"))
        .subcommand(check_command())
        .subcommand(
            Command::new("log").about("Show the change log").arg(
                Arg::new("after")
                    .long("after")
                    .value_name("VERSION")
                    .value_parser(value_parser!(u64))
                    .default_value("0")
                    .help("Show only changes after this version"),
            ),
        )
        .subcommand(
            Command::new("diff")
                .about("Show the differences between two versions; exits with 8 if there are any")
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

fn check_command() -> Command {
    Command::new("check")
        .about("Check a configuration document of the users' platform")
        .long_about(help::CHECK)
        .arg(
            required_positional("file", "FILE", "The document; - is standard input")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The document in force; show the differences from it"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON, same as --output json"),
        )
}

fn file_arg() -> Arg {
    required_positional(
        "file",
        "FILE",
        "File with a JSON object from name to value; - is standard input",
    )
    .value_parser(value_parser!(PathBuf))
}

/// Options shared by all commands that change the configuration.
fn change_args() -> [Arg; 3] {
    [
        Arg::new("dry-run")
            .long("dry-run")
            .action(ArgAction::SetTrue)
            .help("Print the differences without applying them"),
        Arg::new("base")
            .long("base")
            .value_name("VERSION")
            .value_parser(value_parser!(u64))
            .help("Version that the change is based on [default: the current one]"),
        Arg::new("reason")
            .long("reason")
            .value_name("TEXT")
            .default_value("")
            .hide_default_value(true)
            .help("Reason to record in the change log"),
    ]
}
