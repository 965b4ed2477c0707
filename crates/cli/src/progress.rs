//! Progress of long work, shown on a terminal only.

use std::io::IsTerminal;
use std::time::Duration;

use indicatif::ProgressBar;

const TICK_INTERVAL_MS: u64 = 100;

/// Work under way; its line vanishes when this is dropped.
#[derive(Debug)]
pub(crate) struct Progress {
    bar: ProgressBar,
}

impl Progress {
    /// Shows a message while the work goes on.
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

    /// Shows another message.
    pub(crate) fn set_message(&self, message: impl Into<String>) {
        self.bar.set_message(message.into());
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}
