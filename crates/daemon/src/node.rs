//! The running instance: what it is made of and in which order.

use eyre::Result;

use crate::settings::Settings;

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Fails if it can't start.
pub fn run_daemon(_settings: Settings) -> Result<()> {
    Ok(())
}
