//! `basilramp`: parses the command line, runs the command and maps errors to exit codes.

mod app;
mod asset;
mod clap_app;
mod help;

use std::io::{Write, stdout};
use std::process::ExitCode;

use basilramp_cli::Error;

fn main() -> ExitCode {
    let matches = clap_app::build().get_matches();
    let mut out = stdout().lock();
    let outcome = app::run(&matches, &mut out);
    let outcome = outcome.and_then(|()| out.flush().map_err(Error::from));
    let Err(error) = outcome else {
        return ExitCode::SUCCESS;
    };
    if !error.is_silent() {
        eprintln!("basilramp: {error}");
    }
    ExitCode::from(error.exit_code())
}
