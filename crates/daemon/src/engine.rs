//! Client of the model engines: streamed chat completions.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_wire::engine::{Chunk, Completion, HOLDER_HEADER, REQUEST_HEADER};
use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::trace;

/// Maximum length of a line of a response stream.
const MAX_LINE_BYTES: usize = 1024 * 1024;

const CONNECT_TIMEOUT_MS: u64 = 1_000;

const EVENT_ID_PREFIX: &str = "id:";
const DATA_PREFIX: &str = "data:";
const DONE_MARKER: &str = "[DONE]";

/// Why a call to an upstream has no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection was established; nothing was sent.
    NotSent,
    /// The upstream responded with this error status.
    Rejected(StatusCode),
    /// The connection was lost after the request was sent, or the response is malformed.
    BrokenResponse,
    /// The response was not complete in time.
    TimedOut,
}

/// A completion to send to an engine.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    /// Address of the engine.
    pub(crate) address: SocketAddr,
    /// Identifies this attempt; each retry has its own.
    pub(crate) attempt_id: String,
    /// Program id under which the engine caches the prompt prefix.
    pub(crate) holder: String,
    /// The request body.
    pub(crate) body: Completion,
}

/// Sends completions to engines.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    pub(crate) fn new() -> Self {
        Self {
            pool: connection_pool(),
        }
    }

    /// Starts a completion and returns its response stream.
    ///
    /// Dropping the stream closes the connection, which cancels the completion.
    pub(crate) async fn complete(
        &self,
        request: CompletionRequest,
    ) -> Result<CompletionStream, Failure> {
        let response = self.pool.request(build_request(&request)?).await;
        let response = response.map_err(|error| match error.is_connect() {
            true => Failure::NotSent,
            false => Failure::BrokenResponse,
        })?;
        if response.status() != StatusCode::OK {
            return Err(Failure::Rejected(response.status()));
        }
        Ok(CompletionStream {
            body: response.into_body(),
            buffer: BytesMut::new(),
            completion_id: None,
            last_event_id: None,
            skip_event: false,
        })
    }
}

/// Creates a connection pool that never resends a request by itself: callers decide on retries,
/// because a resent request could be executed twice.
pub(crate) fn connection_pool() -> Pool<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    Pool::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build(connector)
}

fn build_request(completion: &CompletionRequest) -> Result<Request<Full<Bytes>>, Failure> {
    let body = serde_json::to_vec(&completion.body).map_err(|_| Failure::NotSent)?;
    let mut request = Request::post(format!("http://{}/v1/chat/completions", completion.address))
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_HEADER, &completion.attempt_id)
        .header(HOLDER_HEADER, &completion.holder);
    trace::set_attribute("server.address", completion.address.to_string());
    if let Some(trace) = trace::current_traceparent() {
        request = request.header(trace::TRACEPARENT_HEADER, trace);
    }
    let request = request.body(Full::from(body));
    request.map_err(|_| Failure::NotSent)
}

/// A streamed response of server-sent events.
#[derive(Debug)]
pub(crate) struct CompletionStream {
    body: Incoming,
    buffer: BytesMut,
    /// Completion id of the first chunk; chunks with another id are skipped.
    completion_id: Option<String>,
    last_event_id: Option<String>,
    /// Whether the current event repeats the id of the previous one.
    skip_event: bool,
}

impl CompletionStream {
    /// Returns the next chunk, or `None` at the end of the response.
    ///
    /// Skips chunks that belong to another completion, and events that repeat the id of the event
    /// before them.
    pub(crate) async fn next_chunk(&mut self) -> Result<Option<Chunk>, Failure> {
        loop {
            let line = self.next_line().await?;
            if let Some(event) = line.strip_prefix(EVENT_ID_PREFIX) {
                let event = event.trim().to_owned();
                self.skip_event = self.last_event_id.as_ref() == Some(&event);
                self.last_event_id = Some(event);
            }
            let Some(data) = line.strip_prefix(DATA_PREFIX).filter(|_| !self.skip_event) else {
                continue;
            };
            let data = data.trim();
            if data == DONE_MARKER {
                return Ok(None);
            }
            let chunk: Chunk = serde_json::from_str(data).map_err(|_| Failure::BrokenResponse)?;
            let id = self.completion_id.get_or_insert_with(|| chunk.id.clone());
            if *id == chunk.id {
                return Ok(Some(chunk));
            }
        }
    }

    async fn next_line(&mut self) -> Result<String, Failure> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let text = std::str::from_utf8(&line).map_err(|_| Failure::BrokenResponse)?;
                return Ok(text.trim_end().to_owned());
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(Failure::BrokenResponse);
            }
            let frame = self.body.frame().await.ok_or(Failure::BrokenResponse)?;
            let frame = frame.map_err(|_| Failure::BrokenResponse)?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
