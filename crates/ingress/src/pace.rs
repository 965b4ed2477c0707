//! Logs how upstreams that have started or recovered are paced.

use std::sync::Arc;

use basilramp_core::dispatch::pace::{PaceCause, PaceChange};
use basilramp_process::event;

use crate::log_event::Event;
use crate::state::State;

/// Logs changes in the paces of upstreams.
pub(crate) fn log_changes(state: &State, changes: Vec<(Arc<str>, PaceChange)>) {
    for (upstream, change) in changes {
        let event = match change {
            PaceChange::Began(_) => Event::PaceBegan,
            PaceChange::Reduced(_) => Event::PaceReduced,
            PaceChange::Full { .. } => Event::PaceFull,
        };
        if !state.allows_log_line(event) {
            continue;
        }
        let upstream = upstream.to_string();
        match change {
            PaceChange::Began(cause) => {
                let cause = match cause {
                    PaceCause::Start => "start",
                    PaceCause::Recovery => "recovery",
                };
                event!(state.log, event, "upstream" => upstream, "cause" => cause);
            }
            PaceChange::Reduced(share) => {
                event!(state.log, event, "upstream" => upstream, "share" => share);
            }
            PaceChange::Full { ms } => {
                event!(state.log, event, "upstream" => upstream, "ms" => ms);
            }
        }
    }
}
