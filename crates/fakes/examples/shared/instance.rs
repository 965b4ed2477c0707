//! Lets an example start its own executable as a daemon instance in a separate process.

use std::ffi::{OsStr, OsString};

use basilramp_daemon::{Settings, run_daemon};
use basilramp_fakes::Launcher;
use eyre::Result;

/// Argument that runs the example as a daemon instance.
const INSTANCE_ARGUMENT: &str = "--instance";

/// Runs a daemon instance if the first argument is `--instance`, and returns whether it did.
///
/// # Errors
///
/// Fails if the settings can't be read or parsed, or if the daemon fails.
pub(crate) fn run_if_requested() -> Result<bool> {
    let mut arguments = std::env::args_os().skip(1);
    if arguments.next().as_deref() != Some(OsStr::new(INSTANCE_ARGUMENT)) {
        return Ok(false);
    }
    let settings = arguments.next().unwrap_or_default();
    let text = std::fs::read_to_string(settings)?;
    run_daemon(Settings::parse(&text)?)?;
    Ok(true)
}

/// Returns a launcher that starts this example as a daemon instance.
///
/// # Errors
///
/// Fails if the path of the current executable is unknown.
pub(crate) fn launcher() -> Result<Launcher> {
    Ok(Launcher {
        program: std::env::current_exe()?,
        arguments: vec![OsString::from(INSTANCE_ARGUMENT)],
    })
}
