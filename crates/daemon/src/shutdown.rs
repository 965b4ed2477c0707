//! Graceful shutdown in stages: draining, then closing the listeners.

use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Stage of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// No shutdown was requested.
    Running,
    /// Reports not ready and rejects new programs, but accepts calls.
    Draining,
    /// The listeners are closed; requests in flight finish.
    Closing,
}

/// Shared stage of the shutdown, observed by all components.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    stage: Arc<watch::Sender<Stage>>,
}

impl Handle {
    /// Creates a handle in the `Running` stage.
    pub(crate) fn new() -> Self {
        let (stage, _) = watch::channel(Stage::Running);
        Self {
            stage: Arc::new(stage),
        }
    }

    /// Returns whether the shutdown has started.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stage.borrow() > Stage::Running
    }

    /// Starts the shutdown: the instance reports not ready from now on.
    pub(crate) fn start_draining(&self) {
        self.advance_to(Stage::Draining);
    }

    /// Closes the listeners.
    pub(crate) fn close_listeners(&self) {
        self.advance_to(Stage::Closing);
    }

    /// Waits until the listeners must be closed.
    pub(crate) async fn wait_for_listener_close(&self) {
        let mut stage = self.stage.subscribe();
        // `self` owns the sender, so the channel can't close during the wait.
        let _ = stage.wait_for(|stage| *stage >= Stage::Closing).await;
    }

    /// Moves to a later stage; has no effect if the stage is already reached.
    fn advance_to(&self, to: Stage) {
        self.stage.send_if_modified(|stage| {
            let advanced = *stage < to;
            if advanced {
                *stage = to;
            }
            advanced
        });
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a signal handler can't be installed.
pub(crate) async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
