//! Client of the model engines: chat completions, streamed.

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

/// The longest line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

const CONNECT_TIMEOUT_MS: u64 = 1_000;

const EVENT_ID_PREFIX: &str = "id:";
const DATA_PREFIX: &str = "data:";
const DONE_MARKER: &str = "[DONE]";

/// Why an upstream gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It was not reached; nothing was sent.
    NotSent,
    /// It answered with this status in place of an answer.
    Rejected(StatusCode),
    /// The connection broke after the request was sent, or the answer was unreadable.
    BrokenResponse,
    /// No whole answer came in time.
    TimedOut,
}

/// What is asked of an engine.
#[derive(Clone, Debug)]
pub(crate) struct CompletionRequest {
    /// The engine.
    pub(crate) address: SocketAddr,
    /// Names the attempt.
    pub(crate) attempt_id: String,
    /// Names the program whose prefix is cached.
    pub(crate) holder: String,
    /// The body.
    pub(crate) body: Completion,
}

/// Sends completions to engines.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Opens a client; connections are made when they are needed.
    pub(crate) fn new() -> Self {
        Self {
            pool: connection_pool(),
        }
    }

    /// Starts a completion. Dropping the stream closes its connection, which cancels it.
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

/// Opens a pool of connections that sends nothing twice by itself.
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

/// A streamed answer.
#[derive(Debug)]
pub(crate) struct CompletionStream {
    body: Incoming,
    buffer: BytesMut,
    completion_id: Option<String>,
    last_event_id: Option<String>,
    skip_event: bool,
}

impl CompletionStream {
    /// Returns the next chunk of the answer, or nothing once it is whole.
    ///
    /// Chunks of any other answer are left out, and those of an event id that came before.
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
