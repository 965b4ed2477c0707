//! Defines the subcommands and options of `basilramp`.

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
            .help("Address of an instance's operator listener"),
        Arg::new("callers")
            .long("callers")
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .help("Address of an instance's caller listener"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File with the operator token"),
        Arg::new("key-file")
            .long("key-file")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File with the account key"),
        Arg::new("timeout")
            .long("timeout")
            .value_name("SECONDS")
            .value_parser(value_parser!(u64).range(1..=3_600))
            .default_value("30")
            .help("Request timeout; does not apply to streamed calls"),
        Arg::new("output")
            .long("output")
            .value_name("FORMAT")
            .value_parser(["table", "json"])
            .default_value("table")
            .help("Output format"),
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
        .about("Write the man pages into a directory")
        .arg(
            Arg::new("directory")
                .value_name("DIRECTORY")
                .value_parser(value_parser!(PathBuf))
                .required(true)
                .help("An existing directory"),
        )
}

/// Creates a required positional argument.
fn required_positional(id: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(value_name)
        .required(true)
        .help(help)
}
