//! The command tree of `basilramp`.

mod config;
mod program;
mod upstream;

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

use crate::help;

/// Builds the command tree.
pub(crate) fn build() -> Command {
    Command::new("basilramp")
        .version(clap::crate_version!())
        .about(help::ABOUT)
        .long_about(help::LONG_ABOUT)
        .after_long_help(help::AFTER)
        .max_term_width(100)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_args())
        .subcommands(config::item_commands())
        .subcommand(upstream::build())
        .subcommand(program::build())
        .subcommand(upstream::build_instance())
        .subcommand(config::build())
        .subcommand(completions_command())
        .subcommand(manual_command())
}

fn global_args() -> [Arg; 6] {
    [
        Arg::new("operators")
            .long("operators")
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .help("An instance's listener for operators"),
        Arg::new("callers")
            .long("callers")
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .help("An instance's listener for callers"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File that holds the operator's token"),
        Arg::new("key-file")
            .long("key-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File that holds the account's key"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=3_600))
            .default_value("30")
            .help("Longest wait for an answer; calls may take longer"),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .value_parser(["table", "json"])
            .default_value("table")
            .help("How results are written"),
    ]
    .map(|arg| arg.global(true).help_heading("Global options"))
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Print completions for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .value_parser(value_parser!(clap_complete::Shell))
                .required(true)
                .help("The shell"),
        )
}

fn manual_command() -> Command {
    Command::new("manual")
        .about("Write the manual pages into a directory")
        .arg(
            Arg::new("directory")
                .value_name("DIRECTORY")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("An existing directory"),
        )
}

/// A positional argument that has to be given.
fn required_positional(id: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(value_name)
        .required(true)
        .help(help)
}
