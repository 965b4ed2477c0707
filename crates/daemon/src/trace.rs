//! Distributed tracing: one span for each hop of a request, linked by W3C trace contexts.
//!
//! The current span is stored in a task-local. [`in_request_span`] and [`in_child_span`] start a
//! span for a future, and [`in_current_span`] passes the span to a future that is spawned. A span
//! ends when the last future that runs within it is dropped.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_wire::error;
use eyre::{Result, WrapErr};
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::noop::NoopTracerProvider;
use opentelemetry::trace::{SpanKind, Status, TraceContextExt, Tracer};
use opentelemetry::{Context, KeyValue, Value, global};
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, Sampler, SdkTracerProvider, SpanData,
};
use tokio::runtime;
use tokio_util::context::TokioContext;

use crate::log::{self, Event, event};
use crate::settings;

/// HTTP header that carries the W3C trace context.
pub(crate) const TRACEPARENT_HEADER: &str = "traceparent";

/// Maximum time that a finished span waits before its batch is exported.
const EXPORT_DELAY_MS: u64 = 1_000;

/// A step in the processing of a request, with a span of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hop {
    /// Handling by the instance that received the request from the caller.
    Entry,
    /// The request from the entry instance to the owner.
    Forward,
    /// Handling by the owner.
    Owner,
    /// The wait for a slot, as seen by the owner.
    Grant,
    /// Handling of a slot request by the upstream's home on another instance.
    Home,
    /// The call to the upstream.
    Upstream,
    /// The commit of a turn.
    Commit,
}

impl Hop {
    const fn name(self) -> &'static str {
        match self {
            Self::Entry => "front",
            Self::Forward => "forward",
            Self::Owner => "owner",
            Self::Grant => "grant",
            Self::Home => "home",
            Self::Upstream => "upstream",
            Self::Commit => "commit",
        }
    }

    const fn kind(self) -> SpanKind {
        match self {
            Self::Entry | Self::Owner | Self::Home => SpanKind::Server,
            Self::Forward | Self::Grant | Self::Upstream => SpanKind::Client,
            Self::Commit => SpanKind::Internal,
        }
    }
}

tokio::task_local! {
    static CURRENT: Context;
}

/// Owner of the process's tracer provider.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    provider: SdkTracerProvider,
}

/// Installs the global tracer provider of the process.
///
/// Must be called within the async runtime, which then runs the export.
///
/// # Errors
///
/// Fails if the exporter can't be built.
pub(crate) fn init(traces: &settings::Traces, instance: &str, log: &log::Handle) -> Result<Handle> {
    let resource = Resource::builder()
        .with_service_name("basilrampd")
        .with_attribute(KeyValue::new("service.instance.id", instance.to_owned()))
        .build();
    let mut builder = SdkTracerProvider::builder().with_resource(resource);
    builder = match traces.otlp {
        None => builder.with_sampler(Sampler::ParentBased(Box::new(Sampler::AlwaysOff))),
        Some(address) => {
            let sampler = Sampler::TraceIdRatioBased(traces.sample_ratio);
            builder
                .with_sampler(Sampler::ParentBased(Box::new(sampler)))
                .with_span_processor(batch_processor(Exporter::new(address, log.clone())?))
        }
    };
    let provider = builder.build();
    global::set_tracer_provider(provider.clone());
    Ok(Handle { provider })
}

/// Creates a processor that exports spans in batches.
fn batch_processor(exporter: Exporter) -> BatchSpanProcessor {
    let config = BatchConfigBuilder::default()
        .with_scheduled_delay(Duration::from_millis(EXPORT_DELAY_MS))
        .build();
    BatchSpanProcessor::builder(exporter)
        .with_batch_config(config)
        .build()
}

impl Handle {
    /// Exports the remaining spans and shuts down the provider. Blocks for up to a few seconds.
    pub(crate) fn shutdown(&self) -> OTelSdkResult {
        let outcome = self.provider.shutdown();
        // Drops the exporter and with it its log handle, so that the log is flushed at exit.
        global::set_tracer_provider(NoopTracerProvider::new());
        outcome
    }
}

/// Runs a future in a new span whose parent is the trace context of the request, if it has one.
pub(crate) fn in_request_span<F: Future>(
    hop: Hop,
    traceparent: Option<&str>,
    future: F,
) -> impl Future<Output = F::Output> {
    CURRENT.scope(start_span(hop, &extract_context(traceparent)), future)
}

/// Runs a future in a new child span of the current span.
pub(crate) fn in_child_span<F: Future>(hop: Hop, future: F) -> impl Future<Output = F::Output> {
    CURRENT.scope(start_span(hop, &current_context()), future)
}

/// Runs a future in the current span; wraps futures that are spawned as another task.
pub(crate) fn in_current_span<F: Future>(future: F) -> impl Future<Output = F::Output> {
    CURRENT.scope(current_context(), future)
}

/// Returns the current trace context as the value of a `traceparent` header.
pub(crate) fn current_traceparent() -> Option<String> {
    let mut carrier = Carrier::default();
    TraceContextPropagator::new().inject_context(&current_context(), &mut carrier);
    carrier.traceparent
}

/// Sets an attribute of the current span.
pub(crate) fn set_attribute(key: &'static str, value: impl Into<Value>) {
    let attribute = KeyValue::new(key, value);
    current_context().span().set_attribute(attribute);
}

/// Marks the current span as failed, with the error's kind and message.
pub(crate) fn record_error(error: &error::Error) {
    set_attribute("error.type", error.kind.code());
    let status = Status::error(error.message.clone());
    current_context().span().set_status(status);
}

fn start_span(hop: Hop, parent: &Context) -> Context {
    let tracer = global::tracer("basilramp");
    let span = tracer
        .span_builder(hop.name())
        .with_kind(hop.kind())
        .start_with_context(&tracer, parent);
    Context::new().with_span(span)
}

fn current_context() -> Context {
    CURRENT.try_with(Context::clone).unwrap_or_default()
}

/// Parses a trace context; a missing or malformed one gives a context without a span.
fn extract_context(traceparent: Option<&str>) -> Context {
    let carrier = Carrier {
        traceparent: traceparent.map(str::to_owned),
    };
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}

/// Carrier for the OpenTelemetry propagator, with only the `traceparent` header.
#[derive(Debug, Default)]
struct Carrier {
    traceparent: Option<String>,
}

impl Injector for Carrier {
    fn set(&mut self, key: &str, value: String) {
        if key == TRACEPARENT_HEADER {
            self.traceparent = Some(value);
        }
    }
}

impl Extractor for Carrier {
    fn get(&self, key: &str) -> Option<&str> {
        self.traceparent
            .as_deref()
            .filter(|_| key == TRACEPARENT_HEADER)
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT_HEADER]
    }
}

/// Span exporter that runs on the process's async runtime.
///
/// The batch processor exports from its own thread, where no runtime is entered.
#[derive(Debug)]
struct Exporter {
    otlp: SpanExporter,
    runtime: runtime::Handle,
    log: log::Handle,
}

impl Exporter {
    fn new(address: SocketAddr, log: log::Handle) -> Result<Self> {
        let otlp = SpanExporter::builder()
            .with_http()
            .with_endpoint(format!("http://{address}/v1/traces"))
            .build()
            .wrap_err("can't build the trace exporter")?;
        Ok(Self {
            otlp,
            runtime: runtime::Handle::current(),
            log,
        })
    }
}

impl opentelemetry_sdk::trace::SpanExporter for Exporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let spans = batch.len();
        let export = self.otlp.export(batch);
        let outcome = TokioContext::new(export, self.runtime.clone()).await;
        if let Err(error) = &outcome {
            event!(self.log, Event::TraceExportFailed, "spans" => spans, "error" => %error);
        }
        outcome
    }

    fn set_resource(&mut self, resource: &Resource) {
        self.otlp.set_resource(resource);
    }
}
