//! Lease validity, for the holder of a lease and for instances that watch the leases of others.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::id;

/// Durations that determine the validity of leases, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// A lease that is not renewed expires after this time.
    pub lease_ms: u64,
    /// Safety margin that watchers add to the lease time.
    pub margin_ms: u64,
    /// Longest gap between two scans over which observation counts as continuous.
    pub max_gap_ms: u64,
}

/// The lease of this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLease {
    until: Option<Time>,
}

impl OwnLease {
    /// Extends the lease after a renewal whose first attempt was sent at `sent`.
    ///
    /// The lease runs from the send, since the renewal may have taken effect at any time after it.
    pub fn renew(&mut self, sent: Time, timing: Timing) {
        let until = sent.after(timing.lease_ms);
        self.until = self.until.max(Some(until));
    }

    /// Records that the lease was lost.
    pub fn mark_lost(&mut self) {
        self.until = None;
    }

    /// Returns whether the lease is valid at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// The time over which lease rows were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scan {
    /// Time before the read was sent.
    pub started: Time,
    /// Time after the response arrived.
    pub finished: Time,
    /// Whether the reader's own lease was valid before and after the read.
    pub lease_valid: bool,
}

#[derive(Clone, Copy, Debug)]
struct ObservedVersion {
    version: u64,
    since: Time,
}

/// Tracks the versions of other instances' lease rows.
///
/// A lease counts as expired if its version has not changed for the lease time and the margin. All
/// scans in that time must be without a gap, by a reader whose own lease is valid. Any gap restarts
/// the tracking: while this instance cannot read or write, others may be unable to renew too.
#[derive(Clone, Debug)]
pub struct Tracker {
    timing: Timing,
    observed: BTreeMap<id::Instance, ObservedVersion>,
    last: Option<Scan>,
}

impl Tracker {
    /// Creates a tracker without observations.
    #[must_use]
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            observed: BTreeMap::new(),
            last: None,
        }
    }

    /// Records the versions of all unfenced lease rows found by a scan.
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

    /// Returns the instances whose leases had been expired for at least `delay(instance)`
    /// milliseconds at the last scan, with the unchanged version.
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

    /// Returns whether an instance renewed its lease at most `within_ms` milliseconds before the
    /// last scan.
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
