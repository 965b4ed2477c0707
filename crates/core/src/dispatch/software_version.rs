//! Software versions of a service's upstreams.
//!
//! A stream may only go on at an upstream of the version that began it. Another instance finds that
//! version in a record, which is stored before the first event is sent to the caller. While a service
//! has a single version, no records are written, and a stream without one belongs to that version.
//!
//! Which versions a service had, and when, is a [`History`] in the store, so that an instance that has
//! just started knows as much as the others. All its times are those of the store's clock.
//!
//! Let the span be the longest time for which a stream and the requests that take it up again last. A
//! stream that is taken up was begun at most one span ago. One without a record belongs to the version
//! that was alone two spans ago, which is from two spans to one span before the stream began. A stream
//! may thus begin without a record at the version that was alone all that time, and only there,
//! whatever other versions the service has by now. The instance knows that time if its view of the
//! upstreams is at most one span old, or if no instance has reached the store since: no entry changes
//! then, and no history.
//!
//! A change of versions thus reaches those who take streams up two spans after it. When the span grows,
//! that moment stays for each earlier change, as streams have begun that rely on it: the times of the
//! history are moved back by twice the difference.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Minimum span in milliseconds, so that the margin is small compared to it.
const MIN_SPAN_MS: u64 = 8_000;

/// Difference that is allowed for between the instances' readings of the store's clock, and for the
/// time until an instance has noticed a change, in milliseconds.
const MARGIN_MS: u64 = 2_000;

/// Multiple of the span for which a version that left is remembered.
const RETENTION_SPANS: u64 = 4;

/// Maximum number of presences in a history. The oldest ones are forgotten first.
const MAX_PRESENCES: usize = 64;

/// Returns the age up to which a view of the upstreams allows streams without a record, in
/// milliseconds.
#[must_use]
pub const fn max_view_age_ms(span_ms: u64) -> u64 {
    effective_span_ms(span_ms) - MARGIN_MS
}

const fn effective_span_ms(span_ms: u64) -> u64 {
    if span_ms > MIN_SPAN_MS {
        span_ms
    } else {
        MIN_SPAN_MS
    }
}

/// Time during which a service had upstreams of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Presence {
    /// The version.
    pub version: Arc<str>,
    /// When the first upstream was seen, in milliseconds; 0 if it was there before the history began.
    /// Earlier than that if the span has grown since.
    pub first_ms: u64,
    /// When the last upstream was found to have left, in milliseconds. `None` if there are some. Earlier
    /// than that if the span has grown since.
    pub left_ms: Option<u64>,
}

/// The versions that a service has and had lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The presences, in the order of their beginnings.
    pub presences: Vec<Presence>,
    /// Longest span of the service's streams so far, in milliseconds.
    pub span_ms: u64,
}

impl History {
    /// Returns the history with the versions that the service has at `now_ms`, or `None` if it says
    /// the same already. `span_ms` is the span of the service's streams at present.
    ///
    /// Without any upstream, nothing is known to have changed.
    #[must_use]
    pub fn update(&self, present: &BTreeSet<Arc<str>>, span_ms: u64, now_ms: u64) -> Option<Self> {
        let mut updated = self.clone();
        updated.lengthen_span(effective_span_ms(span_ms));
        if !present.is_empty() {
            let is_first = self.presences.is_empty();
            for version in present {
                updated.open(version, if is_first { 0 } else { now_ms }, now_ms);
            }
            for presence in &mut updated.presences {
                if !present.contains(&presence.version) {
                    presence.left_ms.get_or_insert(now_ms);
                }
            }
        }
        if updated == *self {
            return None;
        }
        updated.forget(now_ms);
        Some(updated)
    }

    /// Sets a longer span. It stays as it is if times would lie before the start of the store's clock.
    fn lengthen_span(&mut self, span_ms: u64) {
        let shift_ms = 2 * span_ms.saturating_sub(self.span_ms);
        let presences = self.presences.iter_mut();
        let times = presences
            .flat_map(|presence| [Some(&mut presence.first_ms), presence.left_ms.as_mut()]);
        let mut times: Vec<_> = times.flatten().filter(|at_ms| **at_ms > 0).collect();
        if times.iter().all(|at_ms| **at_ms > shift_ms) {
            self.span_ms = self.span_ms.max(span_ms);
            times.iter_mut().for_each(|at_ms| **at_ms -= shift_ms);
        }
    }

    /// Records that there are upstreams of a version. After a gap in which no other version can have
    /// become the only one, the earlier presence continues.
    fn open(&mut self, version: &Arc<str>, first_ms: u64, now_ms: u64) {
        let span_ms = self.span_ms;
        let mut presences = self.presences.iter_mut();
        let latest = presences.rfind(|presence| presence.version == *version);
        match latest {
            Some(Presence { left_ms: None, .. }) => {}
            Some(presence)
                if presence
                    .left_ms
                    .is_some_and(|left_ms| now_ms < left_ms + span_ms - MARGIN_MS) =>
            {
                presence.left_ms = None;
            }
            _ => self.presences.push(Presence {
                version: Arc::clone(version),
                first_ms,
                left_ms: None,
            }),
        }
    }

    fn forget(&mut self, now_ms: u64) {
        let horizon_ms = now_ms.saturating_sub(RETENTION_SPANS * self.span_ms);
        self.presences
            .retain(|presence| presence.left_ms.is_none_or(|left_ms| left_ms > horizon_ms));
        let excess = self.presences.len().saturating_sub(MAX_PRESENCES);
        self.presences.drain(..excess);
    }

    /// Returns the version at which a stream may begin without a record at `now_ms`, or `None` if there
    /// is none. `present` are the versions in the view of the upstreams, which are the same since
    /// `changed_ms`.
    ///
    /// A view older than [`max_view_age_ms`] is only good if no instance has reached the store since.
    #[must_use]
    pub fn unrecorded_start(
        &self,
        present: &BTreeSet<Arc<str>>,
        changed_ms: u64,
        span_ms: u64,
        now_ms: u64,
    ) -> Option<Arc<str>> {
        if self.presences.is_empty() || self.span_ms < effective_span_ms(span_ms) {
            return None;
        }
        // The history may lack the latest changes. A version that came counts from the earliest time on,
        // one that left as still present.
        let open = self.presences.iter();
        let open = open.filter(|presence| presence.left_ms.is_none());
        let mut known: BTreeSet<_> = open.map(|presence| Arc::clone(&presence.version)).collect();
        known.extend(present.iter().cloned());
        let updated = self.update(&known, span_ms, changed_ms.saturating_sub(MARGIN_MS));
        let history = updated.as_ref().unwrap_or(self);
        let from_ms = now_ms.saturating_sub(2 * self.span_ms + MARGIN_MS);
        let to_ms = (now_ms + MARGIN_MS).saturating_sub(self.span_ms);
        let version = history.alone_throughout(from_ms, to_ms)?;
        present.get(version).cloned()
    }

    /// Returns the version of a stream that has no record and is taken up at `now_ms`, or `None` if it
    /// is unknown.
    #[must_use]
    pub fn unrecorded(&self, now_ms: u64) -> Option<&Arc<str>> {
        self.alone_at(now_ms.saturating_sub(2 * self.span_ms))
    }

    /// Returns the version that was alone at each time from `from_ms` to `to_ms`.
    fn alone_throughout(&self, from_ms: u64, to_ms: u64) -> Option<&Arc<str>> {
        let version = self.alone_at(from_ms)?;
        let presences = self.presences.iter();
        let changes = presences.flat_map(|presence| [Some(presence.first_ms), presence.left_ms]);
        let mut changes = changes
            .flatten()
            .filter(|at_ms| (from_ms..=to_ms).contains(at_ms));
        changes
            .all(|at_ms| self.alone_at(at_ms) == Some(version))
            .then_some(version)
    }

    /// Returns the version that was alone at a time, or the first one after it if there was none.
    fn alone_at(&self, point_ms: u64) -> Option<&Arc<str>> {
        let mut then = self.presences.iter().filter(|presence| {
            let has_left = presence.left_ms.is_some_and(|left_ms| left_ms <= point_ms);
            presence.first_ms <= point_ms && !has_left
        });
        let Some(first) = then.next() else {
            // The service had no upstreams then. The first version after that was alone for a while.
            let later = self.presences.iter();
            let mut later = later.filter(|presence| presence.first_ms > point_ms);
            let first = later.next()?;
            let is_alone = later.all(|presence| presence.first_ms > first.first_ms);
            return is_alone.then_some(&first.version);
        };
        then.all(|presence| presence.version == first.version)
            .then_some(&first.version)
    }
}
