//! Metrics, rendered in the text format of Prometheus.

use std::sync::Arc;

use basilramp_wire::api::Usage;
use basilramp_wire::error;
use eyre::{Result, WrapErr};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Upper bounds of the latency buckets, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 440.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    20_000.0, 60_000.0, 300_000.0,
];

/// Upper bounds of the buckets for items in one commit.
const ITEM_BOUNDS: [f64; 8] = [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 75.0, 100.0];

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Request {
    /// Creation of a program.
    Create,
    /// A call.
    Call,
    /// A read of a program.
    Read,
    /// The end of a program.
    End,
    /// Anything that an operator asks.
    Operator,
}

impl Request {
    const fn label(self) -> &'static str {
        match self {
            Self::Create => "create",
            Self::Call => "call",
            Self::Read => "read",
            Self::End => "end",
            Self::Operator => "operator",
        }
    }
}

/// How something ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// As asked.
    Done,
    /// Refused, or failed.
    Refused(error::Kind),
    /// The caller went away.
    Cancelled,
}

impl Outcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused(_) => "refused",
            Self::Cancelled => "cancelled",
        }
    }
}

/// How a transaction ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Commit {
    /// It took effect.
    Done,
    /// A condition failed; it took no effect.
    Conflict,
    /// Its answer was lost.
    Unknown,
}

impl Commit {
    const fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Unknown => "unknown",
        }
    }
}

/// Records measurements, from any thread.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    instruments: Arc<Instruments>,
}

#[derive(Debug)]
struct Instruments {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    call_latency: Histogram<u64>,
    first_token: Histogram<u64>,
    forwards: Counter<u64>,
    commits: Counter<u64>,
    commit_items: Histogram<u64>,
    commit_latency: Histogram<u64>,
    store_reads: Counter<u64>,
    store_writes: Counter<u64>,
    grants: Counter<u64>,
    queue: UpDownCounter<i64>,
    tokens: Counter<u64>,
    programs: Gauge<u64>,
    config_version: Gauge<u64>,
    partitions: Gauge<u64>,
}

/// Opens the process's metrics.
///
/// # Errors
///
/// Fails if the exporter can't be registered.
pub(crate) fn open() -> Result<Handle> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()
        .wrap_err("can't register the metrics exporter")?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter("basilramp");
    Ok(Handle {
        instruments: Arc::new(Instruments::open(registry, provider, &meter)),
    })
}

impl Instruments {
    fn open(registry: Registry, provider: SdkMeterProvider, meter: &Meter) -> Self {
        Self {
            registry,
            _provider: provider,
            requests: counter(meter, "basilramp.requests", "Requests by kind and outcome"),
            refusals: counter(meter, "basilramp.refusals", "Refusals by error kind"),
            call_latency: latency(meter, "basilramp.call.latency", "Whole calls"),
            first_token: latency(meter, "basilramp.call.first_token", "Calls to first token"),
            forwards: counter(meter, "basilramp.forwards", "Requests sent on to the owner"),
            commits: counter(meter, "basilramp.commits", "Transactions by outcome"),
            commit_items: meter
                .u64_histogram("basilramp.commit.items")
                .with_description("Items in a transaction")
                .with_boundaries(ITEM_BOUNDS.to_vec())
                .build(),
            commit_latency: latency(meter, "basilramp.commit.latency", "Transactions"),
            store_reads: counter(meter, "basilramp.store.reads", "Reads sent to the table"),
            store_writes: counter(meter, "basilramp.store.writes", "Writes sent to the table"),
            grants: counter(meter, "basilramp.grants", "Slots asked for, by outcome"),
            queue: meter
                .i64_up_down_counter("basilramp.queue.length")
                .with_description("Calls that wait for a slot at the upstreams homed here")
                .build(),
            tokens: counter(meter, "basilramp.tokens", "Tokens by kind"),
            programs: gauge(meter, "basilramp.programs", "Programs under way here"),
            config_version: gauge(meter, "basilramp.config.version", "Configuration in force"),
            partitions: gauge(meter, "basilramp.partitions", "Partitions owned here"),
        }
    }
}

fn counter(meter: &Meter, name: &'static str, about: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(about).build()
}

fn gauge(meter: &Meter, name: &'static str, about: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(about).build()
}

fn latency(meter: &Meter, name: &'static str, about: &'static str) -> Histogram<u64> {
    meter
        .u64_histogram(name)
        .with_unit("ms")
        .with_description(about)
        .with_boundaries(LATENCY_BOUNDS_MS.to_vec())
        .build()
}

impl Handle {
    /// Counts a request that has been answered, and its refusal if it was refused.
    pub(crate) fn request(&self, request: Request, outcome: Outcome) {
        let labels = [
            KeyValue::new("request", request.label()),
            KeyValue::new("outcome", outcome.label()),
        ];
        self.instruments.requests.add(1, &labels);
        if let Outcome::Refused(kind) = outcome {
            let labels = [KeyValue::new("kind", kind.code())];
            self.instruments.refusals.add(1, &labels);
        }
    }

    /// Records the time from a call's arrival to its final event, in milliseconds.
    pub(crate) fn call_latency(&self, ms: u64) {
        self.instruments.call_latency.record(ms, &[]);
    }

    /// Records the time from a call's arrival to its first token, in milliseconds.
    pub(crate) fn first_token(&self, ms: u64) {
        self.instruments.first_token.record(ms, &[]);
    }

    /// Counts a request that is sent on to the owner of its program.
    pub(crate) fn forward(&self) {
        self.instruments.forwards.add(1, &[]);
    }

    /// Records a transaction: its outcome, items, and time in milliseconds.
    pub(crate) fn commit(&self, outcome: Commit, items: usize, ms: u64) {
        let labels = [KeyValue::new("outcome", outcome.label())];
        self.instruments.commits.add(1, &labels);
        self.instruments.commit_items.record(items as u64, &[]);
        self.instruments.commit_latency.record(ms, &[]);
    }

    /// Counts a read sent to the table service.
    pub(crate) fn store_read(&self) {
        self.instruments.store_reads.add(1, &[]);
    }

    /// Counts a write sent to the table service.
    pub(crate) fn store_write(&self) {
        self.instruments.store_writes.add(1, &[]);
    }

    /// Counts an answered request for a slot.
    pub(crate) fn grant(&self, outcome: Outcome) {
        let labels = [KeyValue::new("outcome", outcome.label())];
        self.instruments.grants.add(1, &labels);
    }

    /// Adds to, or takes from, the calls that wait for a slot.
    pub(crate) fn queue(&self, change: i64) {
        self.instruments.queue.add(change, &[]);
    }

    /// Counts the tokens that a call used.
    pub(crate) fn tokens(&self, usage: Usage) {
        for (kind, count) in [
            ("prompt", usage.prompt),
            ("cached", usage.cached),
            ("output", usage.output),
        ] {
            self.instruments
                .tokens
                .add(count, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Sets the number of programs under way here.
    pub(crate) fn programs(&self, count: usize) {
        self.instruments.programs.record(count as u64, &[]);
    }

    /// Sets the configuration version in force here.
    pub(crate) fn config_version(&self, version: u64) {
        self.instruments.config_version.record(version, &[]);
    }

    /// Sets the number of partitions owned here.
    pub(crate) fn partitions(&self, count: usize) {
        self.instruments.partitions.record(count as u64, &[]);
    }

    /// Returns all metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub(crate) fn render(&self) -> Result<String> {
        let families = self.instruments.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .wrap_err("can't encode the metrics")
    }
}
