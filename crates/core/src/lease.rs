//! Judges leases: the holder's own, and those that a watcher reads.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id;

/// The spans that leases are judged by, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// A lease without renewal lapses after this.
    pub lease_ms: u64,
    /// What watchers add to the lease.
    pub margin_ms: u64,
    /// The longest span between two reads that a watcher still calls continuous.
    pub gap_ms: u64,
}

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    until: Option<Time>,
}

impl Held {
    /// Notes a renewal that was first sent at `sent`.
    pub fn renew(&mut self, sent: Time, terms: Terms) {
        let until = sent.after(terms.lease_ms);
        self.until = self.until.max(Some(until));
    }

    /// Notes that the lease was lost.
    pub fn lose(&mut self) {
        self.until = None;
    }

    /// Tells whether the lease is held at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// A span over which lease rows were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Before the read was sent.
    pub started: Time,
    /// After its answer came.
    pub finished: Time,
    /// Whether the reader's own lease was valid all the while.
    pub able: bool,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    since: Time,
}

/// Watches the versions of other instances' lease rows.
///
/// A lease lapses once its version has stood still for the lease and the margin, over reads
/// without a gap by a reader whose own lease was valid. Any gap starts all over: while a watcher
/// can't read or write, neither may the others be able to renew.
#[derive(Clone, Debug)]
pub struct Watch {
    terms: Terms,
    seen: BTreeMap<id::Instance, Seen>,
    last: Option<Reading>,
}

impl Watch {
    /// Makes a watch that has seen nothing.
    #[must_use]
    pub fn new(terms: Terms) -> Self {
        Self {
            terms,
            seen: BTreeMap::new(),
            last: None,
        }
    }

    /// Notes the versions of all lease rows that are not fenced, as one reading found them.
    pub fn observe(
        &mut self,
        reading: Reading,
        rows: impl IntoIterator<Item = (id::Instance, u64)>,
    ) {
        if self.is_broken_by(reading) {
            self.seen.clear();
        }
        self.last = Some(reading);
        let mut seen = BTreeMap::new();
        for (instance, version) in rows {
            let before = self.seen.get(&instance);
            let same = before.filter(|before| before.version == version);
            let since = same.map_or(reading.finished, |before| before.since);
            seen.insert(instance, Seen { version, since });
        }
        self.seen = seen;
    }

    /// Returns the instances whose leases have lapsed for at least `delay(instance)` milliseconds
    /// at the last reading, with the version that stood still.
    pub fn lapsed(&self, delay: impl Fn(&id::Instance) -> u64) -> BTreeMap<id::Instance, u64> {
        let span = self.terms.lease_ms + self.terms.margin_ms;
        let lapsed = self.seen.iter().filter(|(instance, seen)| {
            let still = self.last.map_or(0, |last| last.started.since(seen.since));
            still >= span + delay(instance)
        });
        lapsed
            .map(|(instance, seen)| (instance.clone(), seen.version))
            .collect()
    }

    /// Tells whether an instance was seen to renew its lease within the last `within_ms`
    /// milliseconds before the last reading.
    #[must_use]
    pub fn is_fresh(&self, instance: &id::Instance, within_ms: u64) -> bool {
        let seen = self.seen.get(instance);
        seen.zip(self.last)
            .is_some_and(|(seen, last)| last.started.since(seen.since) <= within_ms)
    }

    fn is_broken_by(&self, reading: Reading) -> bool {
        let gap = self.last.map(|last| reading.started.since(last.finished));
        let read_ms = reading.finished.since(reading.started);
        !reading.able || read_ms > self.terms.gap_ms || gap.is_none_or(|ms| ms > self.terms.gap_ms)
    }
}
