//! Progress indicator on standard error, shown only if that is a terminal.

use std::io::IsTerminal;
use std::time::Duration;

use indicatif::ProgressBar;

const TICK_INTERVAL_MS: u64 = 100;

/// A spinner with a message. Dropping it clears its line.
#[derive(Debug)]
pub(crate) struct Progress {
    bar: ProgressBar,
}

impl Progress {
    /// Starts a spinner with a message.
    pub(crate) fn start(message: impl Into<String>) -> Self {
        let bar = if std::io::stderr().is_terminal() {
            ProgressBar::new_spinner()
        } else {
            ProgressBar::hidden()
        };
        bar.set_message(message.into());
        bar.enable_steady_tick(Duration::from_millis(TICK_INTERVAL_MS));
        Self { bar }
    }

    /// Replaces the message.
    pub(crate) fn set_message(&self, message: impl Into<String>) {
        self.bar.set_message(message.into());
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}
