//! Spans, one for each hop, under the W3C trace context.
//!
//! A task works within one span; a request's span is kept up with [`in_request_span`], [`in_child_span`] and
//! [`in_current_span`], and ends once the last future within it does.

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

/// The header that carries the trace context over HTTP.
pub(crate) const TRACEPARENT_HEADER: &str = "traceparent";

/// The longest that a span waits for others to be exported with.
const EXPORT_DELAY_MS: u64 = 1_000;

/// A hop on a request's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Hop {
    /// The instance that took the request from its caller.
    Entry,
    /// The way from there to the owner.
    Forward,
    /// The owner.
    Owner,
    /// The wait for a slot, at the owner.
    Grant,
    /// The wait for a slot, at the home of an upstream on another instance.
    Home,
    /// The call of the upstream.
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

/// The process's traces.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    provider: SdkTracerProvider,
}

/// Opens the process's traces, to which all spans go from now on.
///
/// Has to be called within the runtime, which then carries the export.
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

/// Gathers spans and exports them together.
fn batch_processor(exporter: Exporter) -> BatchSpanProcessor {
    let config = BatchConfigBuilder::default()
        .with_scheduled_delay(Duration::from_millis(EXPORT_DELAY_MS))
        .build();
    BatchSpanProcessor::builder(exporter)
        .with_batch_config(config)
        .build()
}

impl Handle {
    /// Exports what is left, and ends. Blocks, for at most some seconds.
    pub(crate) fn shutdown(&self) -> OTelSdkResult {
        let outcome = self.provider.shutdown();
        // Lets go of the exporter, and with it of the log, which is then written out at exit.
        global::set_tracer_provider(NoopTracerProvider::new());
        outcome
    }
}

/// Runs a future within a span under the trace context that came with its request, if any.
pub(crate) fn in_request_span<F: Future>(
    hop: Hop,
    traceparent: Option<&str>,
    future: F,
) -> impl Future<Output = F::Output> {
    CURRENT.scope(start_span(hop, &extract_context(traceparent)), future)
}

/// Runs a future within a span under the one that this task works in.
pub(crate) fn in_child_span<F: Future>(hop: Hop, future: F) -> impl Future<Output = F::Output> {
    CURRENT.scope(start_span(hop, &current_context()), future)
}

/// Lets a future that is to be spawned stay within the span that this task works in.
pub(crate) fn in_current_span<F: Future>(future: F) -> impl Future<Output = F::Output> {
    CURRENT.scope(current_context(), future)
}

/// Returns the trace context to pass on, as the value of a `traceparent` header.
pub(crate) fn current_traceparent() -> Option<String> {
    let mut carrier = Carrier::default();
    TraceContextPropagator::new().inject_context(&current_context(), &mut carrier);
    carrier.traceparent
}

/// Adds an attribute to the span that this task works in.
pub(crate) fn set_attribute(key: &'static str, value: impl Into<Value>) {
    let attribute = KeyValue::new(key, value);
    current_context().span().set_attribute(attribute);
}

/// Marks the span that this task works in as failed.
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

/// Reads a trace context; a missing or malformed one gives a context without a span.
fn extract_context(traceparent: Option<&str>) -> Context {
    let carrier = Carrier {
        traceparent: traceparent.map(str::to_owned),
    };
    TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
}

/// The one header that carries the trace context.
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

/// Exports spans on the process's runtime, from the exporter's own thread.
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
            .wrap_err("can't open the trace exporter")?;
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
