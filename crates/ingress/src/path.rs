//! Watches the path from this instance to the upstreams.

use basilramp_core::dispatch::fleet::UpstreamKey;
use basilramp_core::dispatch::path::Transition;
use basilramp_process::event;

use crate::log_event::Event;
use crate::state::State;

/// Records that an upstream accepted a connection.
pub(crate) fn record_connected(state: &State) {
    let transition = state.path().record_connected(state.now());
    log_transition(state, transition);
}

/// Records that an upstream accepted no connection.
pub(crate) fn record_unreached(state: &State, key: UpstreamKey) {
    let transition = {
        let mut path = state.path();
        let is_doubtful = path.record_unreached(key);
        is_doubtful.then(|| path.record_loss(state.now())).flatten()
    };
    log_transition(state, transition);
}

fn log_transition(state: &State, transition: Option<Transition>) {
    match transition {
        None => {}
        Some(Transition::Lost) => event!(state.log, Event::PathLost),
        Some(Transition::Restored(ms)) => event!(state.log, Event::PathRestored, "ms" => ms),
    }
}
