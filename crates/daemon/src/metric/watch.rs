//! Metrics that are read from the parts at each rendering.

use std::sync::Arc;

use basilramp_platform::table;
use basilramp_wire::frame::UpstreamDigest;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::commit::Stats;
use crate::{commit, config, home, membership, program};

/// The parts that are looked at.
#[derive(Clone, Debug)]
pub(crate) struct Watched {
    pub(crate) commit: commit::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) config: config::Handle,
    pub(crate) table: table::Client,
    pub(crate) programs: program::Handle,
    pub(crate) homes: home::Handle,
}

/// Reads one number from the parts.
type Read = fn(&Watched) -> u64;

/// Numbers that only rise.
const COUNTERS: [(&str, &str, Read); 8] = [
    (
        "basilramp.store.reads",
        "Reads sent to the table",
        |watched| watched.table.reads(),
    ),
    (
        "basilramp.store.writes",
        "Transactions sent to the table",
        |watched| watched.table.writes(),
    ),
    (
        "basilramp.commits",
        "Transactions that took effect",
        |watched| stats(watched).transactions,
    ),
    ("basilramp.commit.items", "Rows written", |watched| {
        stats(watched).items
    }),
    (
        "basilramp.commit.submissions",
        "Submissions that were made durable",
        |watched| stats(watched).submissions,
    ),
    (
        "basilramp.commit.retries",
        "Attempts after the first to send a transaction",
        |watched| stats(watched).retries,
    ),
    (
        "basilramp.commit.unknown",
        "Attempts whose outcome was not known at first",
        |watched| stats(watched).unknown,
    ),
    (
        "basilramp.commit.conflicts",
        "Submissions that failed a check",
        |watched| stats(watched).conflicts,
    ),
];

/// Numbers that rise and fall.
const GAUGES: [(&str, &str, Read); 6] = [
    (
        "basilramp.commit.queued",
        "Submissions that wait",
        |watched| stats(watched).queued,
    ),
    (
        "basilramp.commit.queued_bytes",
        "Bytes that wait or are being sent",
        |watched| stats(watched).queued_bytes,
    ),
    (
        "basilramp.lease.valid",
        "Whether the lease is held",
        |watched| u64::from(watched.membership.is_valid()),
    ),
    ("basilramp.partitions", "Partitions owned here", |watched| {
        watched.membership.owned_count() as u64
    }),
    ("basilramp.programs", "Program trees held here", |watched| {
        watched.programs.count() as u64
    }),
    (
        "basilramp.config.version",
        "Configuration in force",
        |watched| watched.config.current().version,
    ),
];

/// Reads one number from what is known of an upstream.
type ReadDigest = fn(&UpstreamDigest) -> u64;

/// Numbers of each upstream homed here.
const UPSTREAM_GAUGES: [(&str, &str, ReadDigest); 4] = [
    ("basilramp.upstream.slots", "Calls at once", |digest| {
        u64::from(digest.slots)
    }),
    ("basilramp.upstream.free", "Free slots", |digest| {
        u64::from(digest.free)
    }),
    (
        "basilramp.upstream.wait_ms",
        "Expected wait of a new call",
        |digest| digest.wait_ms,
    ),
    (
        "basilramp.upstream.cached_tokens",
        "Tokens held in the cache",
        |digest| digest.cached_tokens,
    ),
];

/// Registers all of them.
pub(super) fn register(meter: &Meter, watched: Watched) {
    let watched = Arc::new(watched);
    for (name, about, read) in COUNTERS {
        let watched = Arc::clone(&watched);
        meter
            .u64_observable_counter(name)
            .with_description(about)
            .with_callback(move |observer| observer.observe(read(&watched), &[]))
            .build();
    }
    for (name, about, read) in GAUGES {
        let watched = Arc::clone(&watched);
        meter
            .u64_observable_gauge(name)
            .with_description(about)
            .with_callback(move |observer| observer.observe(read(&watched), &[]))
            .build();
    }
    for (name, about, read) in UPSTREAM_GAUGES {
        let watched = Arc::clone(&watched);
        meter
            .u64_observable_gauge(name)
            .with_description(about)
            .with_callback(move |observer| {
                for digest in watched.homes.digests() {
                    let upstream = KeyValue::new("upstream", digest.upstream.clone());
                    observer.observe(read(&digest), &[upstream]);
                }
            })
            .build();
    }
}

fn stats(watched: &Watched) -> Stats {
    watched.commit.stats()
}
