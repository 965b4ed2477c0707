//! Metrics of the ingress.

use std::sync::Arc;

use basilramp_core::dispatch::admission::{Decision, ServiceLoad};
use basilramp_core::dispatch::attempt::Failure;
use basilramp_core::dispatch::relay;
use basilramp_core::dispatch::request::Rejection;
use basilramp_process::metric::Exporter;
use eyre::Result;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

use crate::buffer::Memory;
use crate::state::StoreCall;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The caller received an upstream's complete response.
    Answered,
    /// This system rejected the request.
    Rejected(Rejection),
    /// The response of another instance was passed on.
    Relayed,
    /// The response was aborted before its end.
    Broken,
    /// The caller disconnected.
    CallerLeft,
}

impl Outcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Rejected(Rejection::NoRoute) => "no_route",
            Self::Rejected(Rejection::Unauthorized) => "unauthorized",
            Self::Rejected(Rejection::OverQuota(_)) => "over_quota",
            Self::Rejected(Rejection::NoTurn) => "no_turn",
            Self::Rejected(Rejection::Malformed) => "malformed",
            Self::Rejected(Rejection::TooLong) => "too_long",
            Self::Rejected(Rejection::BudgetSpent) => "budget_spent",
            Self::Rejected(Rejection::NotRun(_)) => "not_run",
            Self::Rejected(Rejection::Unreachable) => "unreachable",
            Self::Rejected(Rejection::Outdated) => "outdated",
            Self::Rejected(Rejection::Superseded) => "superseded",
            Self::Rejected(Rejection::Unknown) => "unknown",
            Self::Rejected(Rejection::Quarantined) => "quarantined",
            Self::Rejected(Rejection::TimedOut) => "timed_out",
            Self::Relayed => "relayed",
            Self::Broken => "broken",
            Self::CallerLeft => "caller_left",
        }
    }
}

/// Why an attempt is sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptKind {
    /// It is the first attempt of its request.
    First,
    /// An attempt at another upstream failed before.
    Retry,
    /// It continues a stream that broke at another upstream.
    Continuation,
}

/// Outcome of a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PermitOutcome {
    /// The request may be sent.
    Granted,
    /// No permit is available.
    Denied,
    /// The store did not confirm a permit.
    Failed,
}

impl PermitOutcome {
    /// Returns the label of the outcome in metrics and logs.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Denied => "denied",
            Self::Failed => "failed",
        }
    }
}

/// What became of a permit of an account's quota, or of a request for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaOutcome {
    /// A request took a permit.
    Taken,
    /// A request gave its permit back, as no upstream ran it.
    Returned,
    /// A request was rejected, as there are no permits.
    Rejected,
    /// A request was rejected, as the store could not be reached.
    Failed,
}

impl QuotaOutcome {
    const fn label(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Returned => "returned",
            Self::Rejected => "rejected",
            Self::Failed => "failed",
        }
    }
}

/// Result of a store call for quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaCall {
    /// A row was read.
    Read,
    /// Permits were reserved or returned.
    Written,
    /// Another instance had changed the row.
    Conflict,
    /// The outcome is an error, or unknown.
    Failed,
}

impl QuotaCall {
    const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Written => "written",
            Self::Conflict => "conflict",
            Self::Failed => "failed",
        }
    }
}

/// What was found out about an upstream whose connection ended under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Finding {
    /// It crashed: it accepts no connections, while another upstream does.
    Crashed,
    /// It still accepts connections.
    Alive,
    /// No other upstream accepts connections either, so the path to them may be the cause.
    Unconfirmed,
}

impl Finding {
    /// Returns the label of the finding in metrics and logs.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Crashed => "crashed",
            Self::Alive => "alive",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Instruments for all metrics of the ingress. Usable from any thread.
#[derive(Debug)]
pub(crate) struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    attempts_failed: Counter<u64>,
    limited_attempts: Counter<u64>,
    permits: Counter<u64>,
    quota_permits: Counter<u64>,
    quota_calls: Counter<u64>,
    quota_reserved: Counter<u64>,
    interruptions: Counter<u64>,
    path_losses: Counter<u64>,
    programs: Counter<u64>,
    relays: Counter<u64>,
    request_time: Histogram<u64>,
    first_event_time: Histogram<u64>,
    placement_error: Histogram<u64>,
    store_calls: Counter<u64>,
    store_time: Histogram<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub(crate) fn open() -> Result<Self> {
        let exporter = Exporter::open()?;
        Ok(Self {
            requests: exporter.counter("basilramp.requests", "Requests by service and outcome"),
            attempts_failed: exporter.counter(
                "basilramp.attempts.failed",
                "Attempts at upstreams without an answer, by what they came to",
            ),
            limited_attempts: exporter.counter(
                "basilramp.attempts.limited",
                "Attempts sent to upstreams that limit their rate, by kind",
            ),
            permits: exporter.counter(
                "basilramp.permits",
                "Permits for upstreams that limit their rate, by outcome",
            ),
            quota_permits: exporter.counter(
                "basilramp.quota.permits",
                "Permits of accounts' quotas, by outcome",
            ),
            quota_calls: exporter.counter(
                "basilramp.quota.calls",
                "Calls of the store for quotas, by result",
            ),
            quota_reserved: exporter.counter(
                "basilramp.quota.reserved",
                "Permits of accounts' quotas that were reserved",
            ),
            interruptions: exporter.counter(
                "basilramp.upstreams.interrupted",
                "Upstreams whose connections ended under requests, by what was found out",
            ),
            path_losses: exporter.counter(
                "basilramp.path.lost",
                "How often no upstream was reached any more",
            ),
            programs: exporter.counter(
                "basilramp.programs",
                "New programs admitted and rejected, by cause",
            ),
            relays: exporter.counter(
                "basilramp.relays",
                "Requests relayed to other instances, by outcome",
            ),
            request_time: exporter
                .latency_histogram("basilramp.request.time", "Answered requests, whole"),
            first_event_time: exporter.latency_histogram(
                "basilramp.request.first_event",
                "Requests to the first event of their stream",
            ),
            placement_error: exporter.latency_histogram(
                "basilramp.placement.error",
                "How far the first event was from what placement expected",
            ),
            store_calls: exporter.counter("basilramp.store.calls", "Calls by kind and outcome"),
            store_time: exporter
                .latency_histogram("basilramp.store.time", "Calls of the store by kind"),
            exporter,
        })
    }

    /// Exports the number of bytes that are buffered for requests.
    pub(crate) fn observe_buffers(&self, memory: Arc<Memory>) {
        let gauge = self
            .exporter
            .meter()
            .u64_observable_gauge("basilramp.buffer");
        gauge
            .with_unit("By")
            .with_description("Bytes buffered for requests and responses")
            .with_callback(move |observer| observer.observe(memory.used() as u64, &[]))
            .build();
    }

    /// Counts a finished request. Records its duration if it was answered.
    pub(crate) fn request(&self, service: &str, outcome: Outcome, ms: u64) {
        let service = KeyValue::new("service", service.to_owned());
        let labels = [service.clone(), KeyValue::new("outcome", outcome.label())];
        self.requests.add(1, &labels);
        if outcome == Outcome::Answered {
            self.request_time.record(ms, &[service]);
        }
    }

    /// Records the latency of a stream's first event, and its deviation from the expected latency.
    pub(crate) fn first_event(&self, ms: u64, waited_ms: u64, expected_ms: f64) {
        self.first_event_time.record(ms, &[]);
        self.placement_error
            .record(waited_ms.abs_diff(expected_ms as u64), &[]);
    }

    /// Counts a failed attempt.
    pub(crate) fn attempt_failed(&self, failure: Failure) {
        let label = match failure {
            Failure::NotSent => "not_sent",
            Failure::NotRun => "not_run",
            Failure::OtherUpstream => "other_upstream",
            Failure::Unknown | Failure::Interrupted => "unknown",
        };
        self.attempts_failed
            .add(1, &[KeyValue::new("outcome", label)]);
    }

    /// Counts an attempt that was sent to an upstream with a rate limit.
    pub(crate) fn limited_attempt(&self, kind: AttemptKind) {
        let label = match kind {
            AttemptKind::First => "first",
            AttemptKind::Retry => "retry",
            AttemptKind::Continuation => "continuation",
        };
        self.limited_attempts
            .add(1, &[KeyValue::new("kind", label)]);
    }

    /// Counts a request for a permit.
    pub(crate) fn permit(&self, outcome: PermitOutcome) {
        self.permits
            .add(1, &[KeyValue::new("outcome", outcome.label())]);
    }

    /// Counts what became of a permit of an account's quota.
    pub(crate) fn quota_permit(&self, outcome: QuotaOutcome) {
        let label = KeyValue::new("outcome", outcome.label());
        self.quota_permits.add(1, &[label]);
    }

    /// Counts a store call for quotas.
    pub(crate) fn quota_call(&self, result: QuotaCall) {
        self.quota_calls
            .add(1, &[KeyValue::new("result", result.label())]);
    }

    /// Counts permits of an account's quota that were reserved.
    pub(crate) fn quota_reserved(&self, permits: u64) {
        self.quota_reserved.add(permits, &[]);
    }

    /// Counts what was found out about an upstream whose connection ended under requests.
    pub(crate) fn interruption(&self, finding: Finding) {
        self.interruptions
            .add(1, &[KeyValue::new("finding", finding.label())]);
    }

    /// Counts the decision on a new program.
    pub(crate) fn program(&self, decision: &Decision) {
        let outcome = match decision.retry_ms {
            None => "admitted",
            Some(_) => "rejected",
        };
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("cause", decision.cause.label()),
        ];
        self.programs.add(1, &labels);
    }

    /// Exports the present slowdown of each service, and that from which new programs are rejected.
    pub(crate) fn observe_loads(
        &self,
        loads: impl Fn() -> Vec<ServiceLoad> + Clone + Send + Sync + 'static,
    ) {
        let slowdowns = loads.clone();
        self.observe_services(
            "basilramp.service.slowdown",
            "Duration of turns as a multiple of that on idle engines, by service",
            move || {
                slowdowns()
                    .into_iter()
                    .map(|load| (load.service, load.slowdown))
                    .collect()
            },
        );
        self.observe_services(
            "basilramp.service.threshold",
            "Slowdown from which new programs are rejected, by service",
            move || {
                loads()
                    .into_iter()
                    .map(|load| (load.service, load.threshold))
                    .collect()
            },
        );
    }

    fn observe_services(
        &self,
        name: &'static str,
        description: &'static str,
        values: impl Fn() -> Vec<(Arc<str>, f64)> + Send + Sync + 'static,
    ) {
        let gauge = self.exporter.meter().f64_observable_gauge(name);
        gauge
            .with_description(description)
            .with_callback(move |observer| {
                for (service, value) in values() {
                    observer.observe(value, &[KeyValue::new("service", service.to_string())]);
                }
            })
            .build();
    }

    /// Counts that no upstream was reached any more.
    pub(crate) fn path_lost(&self) {
        self.path_losses.add(1, &[]);
    }

    /// Counts a request that was relayed to another instance.
    pub(crate) fn relay(&self, outcome: relay::Outcome) {
        let label = match outcome {
            relay::Outcome::Handled => "handled",
            relay::Outcome::Declined | relay::Outcome::LacksStore => "declined",
            relay::Outcome::Failed => "failed",
            relay::Outcome::Abandoned => "abandoned",
        };
        self.relays.add(1, &[KeyValue::new("outcome", label)]);
    }

    /// Exports the number of suspects.
    pub(crate) fn observe_suspects(&self, count: impl Fn() -> u64 + Send + Sync + 'static) {
        let gauge = self
            .exporter
            .meter()
            .u64_observable_gauge("basilramp.suspects");
        gauge
            .with_description("Requests that were in flight when upstreams crashed")
            .with_callback(move |observer| observer.observe(count(), &[]))
            .build();
    }

    /// Counts a store call and records its duration.
    pub(crate) fn store_call(&self, call: StoreCall, is_done: bool, ms: u64) {
        let kind = KeyValue::new("call", call.label());
        let outcome = KeyValue::new("outcome", if is_done { "done" } else { "failed" });
        self.store_calls.add(1, &[kind.clone(), outcome]);
        self.store_time.record(ms, &[kind]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub(crate) fn render(&self) -> Result<String> {
        self.exporter.render()
    }
}
