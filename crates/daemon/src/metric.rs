//! Metrics, rendered in the text format of Prometheus.

mod observable;

use std::sync::Arc;

use basilramp_process::metric::Exporter;
use basilramp_wire::api::Usage;
use basilramp_wire::error;
use eyre::Result;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

pub(crate) use observable::Sources;

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
    Completed,
    /// Rejected, or failed.
    Rejected(error::Kind),
    /// The caller went away.
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

/// Opens the process's metrics.
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
            call_latency: exporter.latency("basilramp.call.latency", "Whole calls"),
            first_token: exporter.latency("basilramp.call.first_token", "Calls to first token"),
            forwards: exporter.counter("basilramp.forwards", "Requests sent on to the owner"),
            tokens: exporter.counter("basilramp.tokens", "Tokens by kind"),
            exporter,
        }
    }
}

impl Handle {
    /// Counts a request that has been answered, and its refusal if it was refused.
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

    /// Counts a request that is sent on to the owner of its program.
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

    /// Has each rendering look at these parts.
    pub(crate) fn observe_sources(&self, sources: Sources) {
        observable::register(self.instruments.exporter.meter(), sources);
    }

    /// Returns all metrics in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub(crate) fn render(&self) -> Result<String> {
        self.instruments.exporter.render()
    }
}
