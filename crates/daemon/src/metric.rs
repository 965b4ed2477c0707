//! The daemon's metrics, exported in the Prometheus text format.

mod observable;

use std::sync::Arc;

use basilramp_process::metric::Exporter;
use basilramp_wire::api::Usage;
use basilramp_wire::error;
use eyre::Result;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

pub(crate) use observable::Sources;

/// Kind of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Request {
    /// Creation of a program.
    Create,
    /// A call.
    Call,
    /// A read of a program's state.
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

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It succeeded.
    Completed,
    /// It was rejected or failed.
    Rejected(error::Kind),
    /// The caller disconnected.
    Cancelled,
}

impl Outcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Completed => "done",
            Self::Rejected(_) => "refused",
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
    exporter: Exporter,
    requests: Counter<u64>,
    rejections: Counter<u64>,
    call_latency: Histogram<u64>,
    first_token: Histogram<u64>,
    forwards: Counter<u64>,
    tokens: Counter<u64>,
}

/// Creates the exporter and the instruments of the process.
///
/// # Errors
///
/// Fails if the exporter can't be registered.
pub(crate) fn init() -> Result<Handle> {
    Ok(Handle {
        instruments: Arc::new(Instruments::new(Exporter::open()?)),
    })
}

impl Instruments {
    fn new(exporter: Exporter) -> Self {
        Self {
            requests: exporter.counter("basilramp.requests", "Requests by kind and outcome"),
            rejections: exporter.counter("basilramp.refusals", "Refusals by error kind"),
            call_latency: exporter.latency_histogram("basilramp.call.latency", "Whole calls"),
            first_token: exporter
                .latency_histogram("basilramp.call.first_token", "Calls to first token"),
            forwards: exporter.counter("basilramp.forwards", "Requests sent on to the owner"),
            tokens: exporter.counter("basilramp.tokens", "Tokens by kind"),
            exporter,
        }
    }
}

impl Handle {
    /// Counts a finished request and, if it failed, its error kind.
    pub(crate) fn count_request(&self, request: Request, outcome: Outcome) {
        let labels = [
            KeyValue::new("request", request.label()),
            KeyValue::new("outcome", outcome.label()),
        ];
        self.instruments.requests.add(1, &labels);
        if let Outcome::Rejected(kind) = outcome {
            let labels = [KeyValue::new("kind", kind.code())];
            self.instruments.rejections.add(1, &labels);
        }
    }

    /// Records the time from a call's arrival to its final event, in milliseconds.
    pub(crate) fn record_call_latency(&self, ms: u64) {
        self.instruments.call_latency.record(ms, &[]);
    }

    /// Records the time from a call's arrival to its first token, in milliseconds.
    pub(crate) fn record_first_token(&self, ms: u64) {
        self.instruments.first_token.record(ms, &[]);
    }

    /// Counts a request that is forwarded to the instance that owns its program.
    pub(crate) fn count_forward(&self) {
        self.instruments.forwards.add(1, &[]);
    }

    /// Counts the tokens that a call used.
    pub(crate) fn count_tokens(&self, usage: Usage) {
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

    /// Registers the metrics that are read from `sources` at each export.
    pub(crate) fn observe_sources(&self, sources: Sources) {
        observable::register(self.instruments.exporter.meter(), sources);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub(crate) fn render(&self) -> Result<String> {
        self.instruments.exporter.render()
    }
}
