//! A fake collector that receives spans as OTLP/JSON over HTTP.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;

/// An exported span, reduced to the fields that the tests check.
#[derive(Clone, Debug)]
pub(crate) struct Span {
    pub(crate) trace_id: String,
    pub(crate) span_id: String,
    /// Span id of the parent; empty for the root span of a trace.
    pub(crate) parent_id: String,
    pub(crate) name: String,
}

/// A running collector.
pub(crate) struct Collector {
    address: SocketAddr,
    spans: Arc<Mutex<Vec<Span>>>,
}

impl Collector {
    pub(crate) async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let spans = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(accept(listener, Arc::clone(&spans)));
        Self { address, spans }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the spans of a trace received so far.
    pub(crate) fn spans_of(&self, trace_id: &str) -> Vec<Span> {
        let spans = self.spans.lock().unwrap();
        spans
            .iter()
            .filter(|span| span.trace_id == trace_id)
            .cloned()
            .collect()
    }
}

async fn accept(listener: TcpListener, spans: Arc<Mutex<Vec<Span>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let spans = Arc::clone(&spans);
        let service = service_fn(move |request| {
            let spans = Arc::clone(&spans);
            async move { Ok::<_, Infallible>(record_spans(request, &spans).await) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn record_spans(
    request: Request<Incoming>,
    spans: &Mutex<Vec<Span>>,
) -> Response<Full<Bytes>> {
    assert_eq!(request.uri().path(), "/v1/traces");
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap();
    let lists = array_items(&body["resourceSpans"])
        .flat_map(|resource| array_items(&resource["scopeSpans"]));
    let exported = lists
        .flat_map(|scope| array_items(&scope["spans"]))
        .map(parse_span);
    spans.lock().unwrap().extend(exported);
    Response::new(Full::new(Bytes::from_static(b"{}")))
}

fn array_items(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

fn parse_span(value: &Value) -> Span {
    let text = |name: &str| value[name].as_str().unwrap_or_default().to_owned();
    Span {
        trace_id: text("traceId"),
        span_id: text("spanId"),
        parent_id: text("parentSpanId"),
        name: text("name"),
    }
}
