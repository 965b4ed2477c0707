//! Tells whether this instance has lost its path to all upstreams.
//!
//! An upstream that is away is no lost path, nor are all upstreams of one service: the other
//! instances can't reach them either. A path is lost if upstreams of every service are out of reach.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fleet::{Fleet, UpstreamKey, UpstreamState};
use crate::clock::Time;

/// Upstreams in a row that accept no connection, from which on the path itself is in doubt.
const DOUBTFUL_FAILURES: usize = 2;

/// Time without a sign of any upstream from which on the path is in doubt, in milliseconds. At usual
/// loads, signs arrive much more often.
const QUIET_MS: u64 = 200;

/// Time for which a path that was found sound is not in doubt again for silence alone, in
/// milliseconds. An instance with few requests hears of its upstreams seldom.
const TRUST_MS: u64 = 400;

/// Maximum number of upstreams that are probed before the path counts as lost. Many may have crashed.
const MAX_TARGETS: usize = 16;

/// State of the path to the upstreams.
#[derive(Debug, Default)]
pub struct Path {
    /// Upstreams that accepted no connection since the latest that did.
    unreached: BTreeSet<UpstreamKey>,
    /// When an upstream accepted a connection.
    connected_at: Time,
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

    /// Records that an upstream accepted no connection, `quiet_ms` milliseconds after the last sign of
    /// any upstream. Returns whether the path has to be checked.
    ///
    /// Old connections may live on while new ones are refused, so that signs prove nothing if several
    /// upstreams in a row accept none.
    pub fn record_unreached(&mut self, key: UpstreamKey, quiet_ms: u64) -> bool {
        self.unreached.insert(key);
        self.unreached.len() >= DOUBTFUL_FAILURES || quiet_ms >= QUIET_MS
    }

    /// Returns whether the path has to be checked while a request waits for its response, `quiet_ms`
    /// milliseconds after the last sign of any upstream.
    #[must_use]
    pub const fn is_doubtful(&self, quiet_ms: u64, now: Time) -> bool {
        quiet_ms >= QUIET_MS && now.since(self.connected_at) >= TRUST_MS
    }

    /// Records that an upstream accepted a connection.
    pub fn record_connected(&mut self, now: Time) -> Option<Transition> {
        self.unreached.clear();
        self.connected_at = now;
        let since = self.lost_since.take()?;
        Some(Transition::Restored(now.since(since)))
    }

    /// Records that none of the [`targets`] of a check accepted a connection.
    pub fn record_loss(&mut self, now: Time) -> Option<Transition> {
        if self.is_lost() {
            return None;
        }
        self.lost_since = Some(now);
        Some(Transition::Lost)
    }
}

/// Returns how long a request waits for a sign of its upstream until the path is in doubt, in
/// milliseconds.
#[must_use]
pub const fn quiet_ms() -> u64 {
    QUIET_MS
}

/// Returns the upstreams whose connections tell whether the path is lost, in the order of their use:
/// one of every service, then one of every service in another failure domain, then others. `draw` is a
/// random number that selects among them.
#[must_use]
pub fn targets(fleet: &Fleet, draw: u64, now: Time) -> Vec<(UpstreamKey, SocketAddr)> {
    let mut services: BTreeMap<&str, Vec<(UpstreamKey, &UpstreamState)>> = BTreeMap::new();
    for (key, entry) in fleet.iter().filter(|(key, _)| fleet.is_serving(*key, now)) {
        let service = services.entry(&entry.upstream.service).or_default();
        service.push((key, entry));
    }
    let mut ranked = Vec::new();
    for (service, mut upstreams) in services {
        upstreams.sort_by_key(|(_, entry)| xxh3_64_with_seed(entry.upstream.id.as_bytes(), draw));
        let domain = &upstreams[0].1.upstream.failure_domain;
        let other = upstreams
            .iter()
            .position(|(_, entry)| entry.upstream.failure_domain != *domain);
        if let Some(other) = other {
            upstreams.swap(1, other);
        }
        let service = xxh3_64_with_seed(service.as_bytes(), draw);
        let upstreams = upstreams.into_iter().enumerate();
        ranked.extend(upstreams.map(|(rank, (key, entry))| {
            let address = entry.upstream.address;
            ((rank, service), (key, address))
        }));
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    let targets = ranked.into_iter().map(|(_, target)| target);
    targets.take(MAX_TARGETS).collect()
}
