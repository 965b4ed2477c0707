//! Restarts background tasks that panic, so that one unexpected input does not end them for good.

use std::future::Future;
use std::time::Duration;

/// Delay before a task is started again, so that a task that panics at once does not use up a core.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Runs a task until it returns, and starts it again whenever it panics.
///
/// `report` is called with the message of each panic.
pub async fn run<F>(mut start: impl FnMut() -> F, mut report: impl FnMut(&str))
where
    F: Future<Output = ()> + Send + 'static,
{
    while let Err(error) = tokio::spawn(start()).await {
        if error.is_cancelled() {
            return;
        }
        report(&error.to_string());
        tokio::time::sleep(RESTART_DELAY).await;
    }
}
