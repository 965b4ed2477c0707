//! Lets an example start itself again as an instance of the daemon, in a process of its own.

use std::ffi::{OsStr, OsString};

use basilramp_daemon::{Settings, run_daemon};
use basilramp_fakes::Launcher;
use eyre::Result;

/// The argument that makes an example an instance of the daemon.
const INSTANCE: &str = "--instance";

/// Runs as an instance if the command line asks for it, and returns whether it did.
///
/// # Errors
///
/// Fails as the daemon does.
pub(crate) fn run_if_asked() -> Result<bool> {
    let mut arguments = std::env::args_os().skip(1);
    if arguments.next().as_deref() != Some(OsStr::new(INSTANCE)) {
        return Ok(false);
    }
    let settings = arguments.next().unwrap_or_default();
    let text = std::fs::read_to_string(settings)?;
    run_daemon(Settings::parse(&text)?)?;
    Ok(true)
}

/// Returns how this example starts itself as an instance.
///
/// # Errors
///
/// Fails if the system does not tell which program this is.
pub(crate) fn launcher() -> Result<Launcher> {
    Ok(Launcher {
        program: std::env::current_exe()?,
        arguments: vec![OsString::from(INSTANCE)],
    })
}
