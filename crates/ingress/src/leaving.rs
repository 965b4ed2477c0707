//! Upstreams that say in their answers that they leave.
//!
//! They get no further requests of this instance, whatever their entries say. An instance may not reach
//! the store, and some upstreams never report it there.

use std::sync::Arc;

use basilramp_adapter::upstream::{self, ResponseClass};
use basilramp_core::dispatch::fleet::{Change, UpstreamKey};
use basilramp_wire::relay::Leaving;
use http::HeaderMap;

use crate::active_request::ActiveRequest;
use crate::feed;
use crate::state::State;

/// Records that an upstream leaves, if the head of its response says so. The response to a relayed
/// request names the upstream, so that the other instance learns of it too.
pub(crate) fn observe(
    request: &ActiveRequest,
    key: UpstreamKey,
    class: ResponseClass,
    headers: &mut HeaderMap,
) {
    let is_from_upstream = match class {
        ResponseClass::Matching | ResponseClass::NotRun => true,
        // Another upstream, or bytes that may be anything.
        ResponseClass::OtherUpstream | ResponseClass::Mismatched => false,
    };
    if !is_from_upstream || !upstream::is_leaving(headers) {
        return;
    }
    let state = &request.state;
    let leaving = {
        let fleet = state.fleet();
        let Some(entry) = fleet.get(key) else {
            return;
        };
        Leaving {
            upstream: Arc::clone(&entry.upstream.id),
            started_ms: entry.upstream.started_ms,
        }
    };
    record(state, &leaving);
    if request.relayed_by.is_some() {
        leaving.insert_into(headers);
    }
}

/// Records that an upstream leaves, if the head of a relayed response names it.
pub(crate) fn observe_relayed(state: &State, headers: &HeaderMap) {
    if let Some(leaving) = Leaving::read(headers) {
        record(state, &leaving);
    }
}

fn record(state: &State, leaving: &Leaving) {
    let now = state.now();
    let is_news = state
        .fleet()
        .record_leaving(&leaving.upstream, leaving.started_ms, now);
    if is_news {
        feed::log_change(state, &leaving.upstream, Change::Draining, "answer");
    }
}
