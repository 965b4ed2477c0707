//! Tells whether this instance has lost its path to all upstreams.
//!
//! An upstream that is away is no lost path, nor are all upstreams of one service: the other
//! instances can't reach them either. A path is lost if upstreams of every service are out of reach.

use std::collections::BTreeSet;

use super::fleet::UpstreamKey;
use crate::clock::Time;

/// Upstreams in a row that accept no connection, from which on the path itself is in doubt.
const DOUBTFUL_FAILURES: usize = 2;

/// State of the path to the upstreams.
#[derive(Debug, Default)]
pub struct Path {
    /// Upstreams that accepted no connection since the latest that did.
    unreached: BTreeSet<UpstreamKey>,
    /// Since when the path is lost.
    lost_since: Option<Time>,
}

/// Change of the path's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The path is lost.
    Lost,
    /// The path is back, after this many milliseconds.
    Restored(u64),
}

impl Path {
    /// Returns whether the path is lost.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost_since.is_some()
    }

    /// Records that an upstream accepted no connection. Returns whether the path is in doubt.
    pub fn record_unreached(&mut self, key: UpstreamKey) -> bool {
        self.unreached.insert(key);
        self.unreached.len() >= DOUBTFUL_FAILURES
    }

    /// Records that an upstream accepted a connection.
    pub fn record_connected(&mut self, now: Time) -> Option<Transition> {
        self.unreached.clear();
        let since = self.lost_since.take()?;
        Some(Transition::Restored(now.since(since)))
    }

    /// Records that no upstream accepted a connection, of several of every service.
    pub fn record_loss(&mut self, now: Time) -> Option<Transition> {
        if self.is_lost() {
            return None;
        }
        self.lost_since = Some(now);
        Some(Transition::Lost)
    }
}
