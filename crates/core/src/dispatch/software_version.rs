//! Software versions of a service's upstreams.
//!
//! A stream may only go on at an upstream of the version that began it. Another instance finds that
//! version in a record, which is stored before the first event is sent to the caller. While a service
//! has a single version, no records are written, and a stream without one belongs to that version.
//!
//! Instances learn of a new version at different times. A reader therefore looks for a record in any
//! case, as the instance that began the stream may know a version that it does not, and assumes less
//! than a writer leaves out. All times are multiples of `span_ms`, the longest time for which a
//! stream and the requests that take it up again last.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::clock::Time;

/// How long versions are remembered after their last upstream left, in milliseconds: more than any
/// stream lasts.
const HISTORY_MS: u64 = 600_000;

/// Versions of a service's upstreams, as seen by this instance.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    seen: BTreeMap<Arc<str>, Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    first: Time,
    last: Time,
}

impl Versions {
    /// Records that an upstream has a version.
    pub fn record(&mut self, version: &Arc<str>, now: Time) {
        match self.seen.get_mut(version) {
            Some(seen) => seen.last = now,
            None => {
                let seen = Seen {
                    first: now,
                    last: now,
                };
                self.seen.insert(Arc::clone(version), seen);
            }
        }
    }

    /// Forgets versions whose last upstream left long ago.
    pub fn expire(&mut self, now: Time) {
        self.seen
            .retain(|_, seen| now.since(seen.last) < HISTORY_MS);
    }

    /// Returns whether the version of a stream that begins now has to be stored. This is so unless
    /// all instances have known a single version for long enough.
    #[must_use]
    pub fn needs_record(&self, span_ms: u64, now: Time) -> bool {
        let single = single(self.recent(2 * span_ms, now));
        single.is_none_or(|(_, seen)| now.since(seen.first) < span_ms)
    }

    /// Returns the version of a stream that has no record, or `None` if it may be any of several.
    #[must_use]
    pub fn unrecorded(&self, span_ms: u64, now: Time) -> Option<&Arc<str>> {
        // A stream without a record may have begun before the instances knew of the other versions.
        let established = self
            .recent(span_ms, now)
            .filter(|(_, seen)| now.since(seen.first) >= span_ms);
        let version = single(self.recent(span_ms, now)).or_else(|| single(established));
        version.map(|(version, _)| version)
    }

    fn recent(&self, ms: u64, now: Time) -> impl Iterator<Item = (&Arc<str>, &Seen)> {
        let seen = self.seen.iter();
        seen.filter(move |(_, seen)| now.since(seen.last) < ms)
    }
}

/// Returns the item of an iterator that has exactly one.
fn single<T>(mut items: impl Iterator<Item = T>) -> Option<T> {
    let first = items.next();
    first.filter(|_| items.next().is_none())
}
