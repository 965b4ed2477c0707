//! The command tree of `basilrampd`.

use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the command tree.
pub(crate) fn build() -> Command {
    Command::new("basilrampd")
        .version(clap::crate_version!())
        .about("Schedules the calls of agent programs onto upstreams")
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .value_parser(value_parser!(std::path::PathBuf))
                .required(true)
                .help("Settings, as JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings, print every fault, and exit"),
        )
}
