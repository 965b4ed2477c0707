//! Parses the command line into a [`Config`] and runs the command.

mod command;
mod connection;

use std::io::Write;
use std::path::PathBuf;

use basilramp_cli::{Command, Config, Error, OutputFormat};
use clap::ArgMatches;
use clap_complete::Shell;

use crate::{asset, clap_app};

/// Runs the command in `matches` and writes its results to `out`.
///
/// # Errors
///
/// Fails if an argument or environment variable is invalid, or if the command itself fails.
pub(crate) fn run(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("completions", matches)) => {
            let shell = matches.get_one::<Shell>("shell").copied();
            asset::write_completions(clap_app::build(), shell.unwrap_or(Shell::Bash), out)
        }
        Some(("manual", matches)) => {
            let directory = matches.get_one::<PathBuf>("directory").cloned();
            asset::write_man_pages(clap_app::build(), &directory.unwrap_or_default())
        }
        _ => run_command(matches, out),
    }
}

fn run_command(matches: &ArgMatches, out: &mut impl Write) -> Result<(), Error> {
    let (command_matches, command) = command::from_matches(matches)?;
    let config = Config {
        connection: connection::from_matches(command_matches)?,
        output: output_format(command_matches),
        command,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(basilramp_cli::run(&config, out))
}

fn output_format(matches: &ArgMatches) -> OutputFormat {
    // Only some commands have the option.
    if let Ok(Some(true)) = matches.try_get_one::<bool>("json") {
        return OutputFormat::Json;
    }
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Table,
    }
}

/// The matches of the innermost subcommand, which include the global options, and the command.
type ParsedCommand<'a> = (&'a ArgMatches, Command);
