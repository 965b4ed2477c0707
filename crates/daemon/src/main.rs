//! Entry point of `basilrampd`: parses the command line, runs the daemon and maps errors to exit
//! codes.

mod app;
mod clap_app;

use std::process::ExitCode;

use app::Failure;

/// Exit code of an instance that failed to start or stopped on an error.
const EXIT_RUN: u8 = 1;

/// Exit code for a settings file that is invalid or can't be read.
const EXIT_SETTINGS: u8 = 3;

fn main() -> ExitCode {
    let (code, report) = match app::run(&clap_app::build().get_matches()) {
        Ok(()) => return ExitCode::SUCCESS,
        Err(Failure::Run(report)) => (EXIT_RUN, report),
        Err(Failure::Settings(report)) => (EXIT_SETTINGS, report),
    };
    eprintln!("basilrampd: {report:#}");
    ExitCode::from(code)
}
