//! The planned stop, in stages.

use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// No stop was asked for.
    Running,
    /// Not ready, and no new programs; calls are still taken.
    Draining,
    /// Listeners are closed; what is under way is finished.
    Closing,
}

/// Tells the parts of the instance how far its stop has come.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    stage: Arc<watch::Sender<Stage>>,
}

impl Handle {
    /// Opens a signal of a running instance.
    pub(crate) fn new() -> Self {
        let (stage, _) = watch::channel(Stage::Running);
        Self {
            stage: Arc::new(stage),
        }
    }

    /// Tells whether a stop was asked for.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.stage.borrow() > Stage::Running
    }

    /// Starts the stop: the instance is not ready from now on.
    pub(crate) fn start_draining(&self) {
        self.advance_to(Stage::Draining);
    }

    /// Closes the listeners.
    pub(crate) fn close_listeners(&self) {
        self.advance_to(Stage::Closing);
    }

    /// Waits until the listeners are to be closed.
    pub(crate) async fn wait_for_listener_close(&self) {
        let mut stage = self.stage.subscribe();
        // The sender lives in `self`, so the wait can't fail.
        let _ = stage.wait_for(|stage| *stage >= Stage::Closing).await;
    }

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
/// Fails if signals can't be received.
pub(crate) async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
