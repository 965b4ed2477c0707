//! Judges leases: the holder's own, and those that a watcher reads.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id;

/// The spans that leases are judged by, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// A lease without renewal lapses after this.
    pub lease_ms: u64,
    /// What watchers add to the lease.
    pub margin_ms: u64,
    /// The longest span between two reads that a watcher still calls continuous.
    pub max_gap_ms: u64,
}

/// A lease as its holder sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLease {
    until: Option<Time>,
}

impl OwnLease {
    /// Notes a renewal that was first sent at `sent`.
    pub fn renew(&mut self, sent: Time, timing: Timing) {
        let until = sent.after(timing.lease_ms);
        self.until = self.until.max(Some(until));
    }

    /// Notes that the lease was lost.
    pub fn mark_lost(&mut self) {
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
pub struct Scan {
    /// Before the read was sent.
    pub started: Time,
    /// After its answer came.
    pub finished: Time,
    /// Whether the reader's own lease was valid all the while.
    pub lease_valid: bool,
}

#[derive(Clone, Copy, Debug)]
struct ObservedVersion {
    version: u64,
    since: Time,
}

/// Watches the versions of other instances' lease rows.
///
/// A lease lapses once its version has stood still for the lease and the margin, over reads
/// without a gap by a reader whose own lease was valid. Any gap starts all over: while a watcher
/// can't read or write, neither may the others be able to renew.
#[derive(Clone, Debug)]
pub struct Tracker {
    timing: Timing,
    observed: BTreeMap<id::Instance, ObservedVersion>,
    last: Option<Scan>,
}

impl Tracker {
    /// Makes a watch that has seen nothing.
    #[must_use]
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            observed: BTreeMap::new(),
            last: None,
        }
    }

    /// Notes the versions of all lease rows that are not fenced, as one reading found them.
    pub fn observe(&mut self, scan: Scan, rows: impl IntoIterator<Item = (id::Instance, u64)>) {
        if self.is_interrupted_by(scan) {
            self.observed.clear();
        }
        self.last = Some(scan);
        let mut observed = BTreeMap::new();
        for (instance, version) in rows {
            let previous = self.observed.get(&instance);
            let unchanged = previous.filter(|previous| previous.version == version);
            let since = unchanged.map_or(scan.finished, |previous| previous.since);
            observed.insert(instance, ObservedVersion { version, since });
        }
        self.observed = observed;
    }

    /// Returns the instances whose leases have lapsed for at least `delay(instance)` milliseconds
    /// at the last reading, with the version that stood still.
    pub fn expired(&self, delay: impl Fn(&id::Instance) -> u64) -> BTreeMap<id::Instance, u64> {
        let span = self.timing.lease_ms + self.timing.margin_ms;
        let expired = self.observed.iter().filter(|(instance, observed)| {
            let unchanged_ms = self
                .last
                .map_or(0, |last| last.started.since(observed.since));
            unchanged_ms >= span + delay(instance)
        });
        expired
            .map(|(instance, observed)| (instance.clone(), observed.version))
            .collect()
    }

    /// Tells whether an instance was seen to renew its lease within the last `within_ms`
    /// milliseconds before the last reading.
    #[must_use]
    pub fn renewed_within(&self, instance: &id::Instance, within_ms: u64) -> bool {
        let observed = self.observed.get(instance);
        observed
            .zip(self.last)
            .is_some_and(|(observed, last)| last.started.since(observed.since) <= within_ms)
    }

    fn is_interrupted_by(&self, scan: Scan) -> bool {
        let gap = self.last.map(|last| scan.started.since(last.finished));
        let read_ms = scan.finished.since(scan.started);
        !scan.lease_valid
            || read_ms > self.timing.max_gap_ms
            || gap.is_none_or(|ms| ms > self.timing.max_gap_ms)
    }
}
