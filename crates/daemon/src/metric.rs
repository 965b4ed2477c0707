//! Metrics, rendered in the text format of Prometheus.

mod watch;

use std::sync::Arc;

use basilramp_process::metric::Exporter;
use basilramp_wire::api::Usage;
use basilramp_wire::error;
use eyre::Result;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

pub(crate) use watch::Watched;

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
    exporter: Exporter,
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
    Ok(Handle {
        instruments: Arc::new(Instruments::open(Exporter::open()?)),
    })
}

impl Instruments {
    fn open(exporter: Exporter) -> Self {
        Self {
            requests: exporter.counter("basilramp.requests", "Requests by kind and outcome"),
            refusals: exporter.counter("basilramp.refusals", "Refusals by error kind"),
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
        watch::register(self.instruments.exporter.meter(), watched);
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
