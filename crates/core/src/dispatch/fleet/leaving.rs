//! Upstreams that said in their answers that they leave.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Fleet, Upstream};
use crate::clock::Time;

/// How long an upstream's word is remembered, in milliseconds: longer than one takes to leave.
const MEMORY_MS: u64 = 600_000;

/// The latest incarnation of each upstream id that said that it leaves.
///
/// An answer is newer than any entry of the same incarnation, and holds also if the entry is removed and
/// comes back. It says nothing about another incarnation with the same id, or at the same address.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    incarnations: BTreeMap<Arc<str>, Incarnation>,
}

#[derive(Clone, Copy, Debug)]
struct Incarnation {
    started_ms: u64,
    since: Time,
}

impl Leaving {
    pub(super) fn contains(&self, upstream: &Upstream) -> bool {
        let known = self.incarnations.get(&upstream.id);
        known.is_some_and(|known| known.started_ms == upstream.started_ms)
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.incarnations
            .retain(|_, known| now.since(known.since) < MEMORY_MS);
    }
}

impl Fleet {
    /// Records that the incarnation of an upstream which started at `started_ms` said that it leaves.
    /// Returns whether that is news.
    pub fn record_leaving(&mut self, id: &Arc<str>, started_ms: u64, now: Time) -> bool {
        let known = self.leaving.incarnations.get(id);
        if known.is_some_and(|known| known.started_ms == started_ms) {
            return false;
        }
        let incarnation = Incarnation {
            started_ms,
            since: now,
        };
        let incarnations = &mut self.leaving.incarnations;
        incarnations.insert(Arc::clone(id), incarnation);
        true
    }
}
