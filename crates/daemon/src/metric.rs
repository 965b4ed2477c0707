//! Metrics, rendered in the text format of Prometheus.

mod watch;

use std::sync::Arc;

use basilramp_wire::api::Usage;
use basilramp_wire::error;
use eyre::{Result, WrapErr};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

pub(crate) use watch::Watched;

/// Upper bounds of the latency buckets, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 440.0, 1_000.0, 2_000.0, 5_000.0, 10_000.0,
    20_000.0, 60_000.0, 300_000.0,
];

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
}

impl Request {
    const fn label(self) -> &'static str {
        match self {
            Self::Create => "create",
            Self::Call => "call",
            Self::Read => "read",
            Self::End => "end",
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

/// Records measurements, from any thread.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    instruments: Arc<Instruments>,
}

#[derive(Debug)]
struct Instruments {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    call_latency: Histogram<u64>,
    first_token: Histogram<u64>,
    forwards: Counter<u64>,
    tokens: Counter<u64>,
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
        instruments: Arc::new(Instruments::open(registry, provider, meter)),
    })
}

impl Instruments {
    fn open(registry: Registry, provider: SdkMeterProvider, meter: Meter) -> Self {
        Self {
            registry,
            _provider: provider,
            requests: counter(&meter, "basilramp.requests", "Requests by kind and outcome"),
            refusals: counter(&meter, "basilramp.refusals", "Refusals by error kind"),
            call_latency: latency(&meter, "basilramp.call.latency", "Whole calls"),
            first_token: latency(&meter, "basilramp.call.first_token", "Calls to first token"),
            forwards: counter(
                &meter,
                "basilramp.forwards",
                "Requests sent on to the owner",
            ),
            tokens: counter(&meter, "basilramp.tokens", "Tokens by kind"),
            meter,
        }
    }
}

fn counter(meter: &Meter, name: &'static str, about: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(about).build()
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

    /// Has each rendering look at these parts.
    pub(crate) fn watch(&self, watched: Watched) {
        watch::register(&self.instruments.meter, watched);
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
