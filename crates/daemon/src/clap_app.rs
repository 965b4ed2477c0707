//! The command tree of `basilrampd`.

use clap::{Arg, ArgAction, Command, value_parser};

const LONG_ABOUT: &str = "\
Schedules the calls of agent programs onto upstreams.

Runs one instance in the foreground, writes its events as JSON lines to standard output, and \
stops gracefully on SIGTERM or SIGINT.";

const EXIT_CODES: &str = "\
Exit codes:
  0  the instance stopped as asked, or the settings are in order
  1  the instance failed to start or stopped on an error
  2  the command line is wrong
  3  the settings are faulty or can't be read";

/// Builds the command tree.
pub(crate) fn build() -> Command {
    Command::new("basilrampd")
        .version(clap::crate_version!())
        .about("Schedules the calls of agent programs onto upstreams")
        .long_about(LONG_ABOUT)
        .after_long_help(EXIT_CODES)
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .value_parser(value_parser!(std::path::PathBuf))
                .required(true)
                .help("Settings, as JSON with comments")
                .long_help(
                    "Settings, as JSON with comments. Every fault in them is printed with its \
                     line and column.",
                ),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print every fault, and exit"),
        )
}
