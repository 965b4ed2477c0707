//! Observable metrics, whose values are read from the components at each export.

use std::sync::Arc;

use basilramp_platform::table;
use basilramp_wire::frame::UpstreamDigest;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;

use crate::commit::Stats;
use crate::{commit, config, home, membership, program};

/// The components that the metrics are read from.
#[derive(Clone, Debug)]
pub(crate) struct Sources {
    pub(crate) commit: commit::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) config: config::Handle,
    pub(crate) table: table::Client,
    pub(crate) programs: program::Handle,
    pub(crate) homes: home::Handle,
}

/// Reads one value from the components.
type ReadSource = fn(&Sources) -> u64;

/// Monotonic counters: name, description and source.
const COUNTERS: [(&str, &str, ReadSource); 8] = [
    (
        "basilramp.store.reads",
        "Reads sent to the table",
        |sources| sources.table.reads(),
    ),
    (
        "basilramp.store.writes",
        "Transactions sent to the table",
        |sources| sources.table.writes(),
    ),
    (
        "basilramp.commits",
        "Transactions that took effect",
        |sources| stats(sources).transactions,
    ),
    ("basilramp.commit.items", "Rows written", |sources| {
        stats(sources).items
    }),
    (
        "basilramp.commit.submissions",
        "Submissions that were made durable",
        |sources| stats(sources).submissions,
    ),
    (
        "basilramp.commit.retries",
        "Attempts after the first to send a transaction",
        |sources| stats(sources).retries,
    ),
    (
        "basilramp.commit.unknown",
        "Attempts whose outcome was not known at first",
        |sources| stats(sources).unknown,
    ),
    (
        "basilramp.commit.conflicts",
        "Submissions that failed a check",
        |sources| stats(sources).conflicts,
    ),
];

/// Gauges: name, description and source.
const GAUGES: [(&str, &str, ReadSource); 6] = [
    (
        "basilramp.commit.queued",
        "Submissions that wait",
        |sources| stats(sources).queued,
    ),
    (
        "basilramp.commit.queued_bytes",
        "Bytes that wait or are being sent",
        |sources| stats(sources).queued_bytes,
    ),
    (
        "basilramp.lease.valid",
        "Whether the lease is held",
        |sources| u64::from(sources.membership.is_valid()),
    ),
    ("basilramp.partitions", "Partitions owned here", |sources| {
        sources.membership.owned_count() as u64
    }),
    ("basilramp.programs", "Program trees held here", |sources| {
        sources.programs.count_trees() as u64
    }),
    (
        "basilramp.config.version",
        "Configuration in force",
        |sources| sources.config.current().version,
    ),
];

/// Reads one value from an upstream's digest.
type ReadDigest = fn(&UpstreamDigest) -> u64;

/// Gauges of each upstream whose home is this instance, labelled with its id.
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

/// Registers all observable metrics with the meter.
pub(super) fn register(meter: &Meter, sources: Sources) {
    let sources = Arc::new(sources);
    for (name, description, read) in COUNTERS {
        let sources = Arc::clone(&sources);
        meter
            .u64_observable_counter(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(&sources), &[]))
            .build();
    }
    for (name, description, read) in GAUGES {
        let sources = Arc::clone(&sources);
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| observer.observe(read(&sources), &[]))
            .build();
    }
    for (name, description, read) in UPSTREAM_GAUGES {
        let sources = Arc::clone(&sources);
        meter
            .u64_observable_gauge(name)
            .with_description(description)
            .with_callback(move |observer| {
                for digest in sources.homes.digests() {
                    let upstream = KeyValue::new("upstream", digest.upstream.clone());
                    observer.observe(read(&digest), &[upstream]);
                }
            })
            .build();
    }
}

fn stats(sources: &Sources) -> Stats {
    sources.commit.stats()
}
