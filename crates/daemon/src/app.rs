//! Turns the command line into the daemon's settings and runs it.

use std::path::PathBuf;

use basilramp_daemon::{Settings, run_daemon};
use clap::ArgMatches;
use eyre::{Result, WrapErr, eyre};

/// Runs what the command line asks for.
///
/// # Errors
///
/// Fails if the settings are faulty or the daemon can't start.
pub(crate) fn run(matches: ArgMatches) -> Result<()> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .ok_or_else(|| eyre!("no settings file given"))?;
    let text =
        std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))?;
    let settings = Settings::parse(&text).wrap_err("settings refused")?;
    if matches.get_flag("check") {
        println!("settings are in order");
        return Ok(());
    }
    run_daemon(settings)
}
