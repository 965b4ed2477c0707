//! Subcommands for programs.

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

use super::required_positional;
use crate::help;

/// Builds the subcommand for programs.
pub(super) fn build() -> Command {
    Command::new("program")
        .about("Run calls, inspect and end programs, settle calls in doubt")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("show")
                .about("Show a program and its turns")
                .arg(program_arg()),
        )
        .subcommand(run_command())
        .subcommand(settle_command())
        .subcommand(
            Command::new("end")
                .about("End a program")
                .arg(program_arg()),
        )
}

fn run_command() -> Command {
    Command::new("run")
        .about("Run a call and stream its response")
        .long_about(help::RUN)
        .arg(required_positional(
            "service",
            "SERVICE",
            "The service to call",
        ))
        .arg(required_positional(
            "input",
            "INPUT",
            "The prompt or body; - is standard input",
        ))
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("ID")
                .help("Run the call in this existing program"),
        )
        .arg(
            Arg::new("position")
                .long("position")
                .value_name("NUMBER")
                .value_parser(value_parser!(u32))
                .help("Position of the call in the program [default: the next]"),
        )
        .arg(
            Arg::new("request-id")
                .long("request-id")
                .value_name("TEXT")
                .help("Request id; a repeated request gets the recorded response"),
        )
        .arg(
            Arg::new("max-tokens")
                .long("max-tokens")
                .value_name("COUNT")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("256")
                .help("Maximum number of tokens to generate"),
        )
        .arg(
            Arg::new("budget")
                .long("budget")
                .value_name("TOKENS")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("100000")
                .help("Token budget of a new program"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Leave a new program running"),
        )
}

fn settle_command() -> Command {
    Command::new("settle")
        .about("Settle a call in doubt")
        .long_about(help::SETTLE)
        .arg(program_arg())
        .arg(
            required_positional("position", "POSITION", "Position of the call")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            Arg::new("ran")
                .long("ran")
                .action(ArgAction::SetTrue)
                .help("The call took effect"),
        )
        .arg(
            Arg::new("not-ran")
                .long("not-ran")
                .action(ArgAction::SetTrue)
                .conflicts_with("answer")
                .help("The call did not take effect"),
        )
        .group(
            ArgGroup::new("outcome")
                .args(["ran", "not-ran"])
                .required(true),
        )
        .arg(
            Arg::new("answer")
                .long("answer")
                .value_name("TEXT")
                .default_value("")
                .hide_default_value(true)
                .help("The response to record"),
        )
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .required(true)
                .help("Reason to record with the turn"),
        )
}

fn program_arg() -> Arg {
    required_positional("id", "PROGRAM", "Program id")
}
