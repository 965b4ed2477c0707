//! `basilrampd`: parses the command line, runs the daemon, maps an error to an exit code.

mod app;
mod clap_app;

use std::process::ExitCode;

fn main() -> ExitCode {
    match app::run(clap_app::build().get_matches()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("basilrampd: {report:#}");
            ExitCode::FAILURE
        }
    }
}
