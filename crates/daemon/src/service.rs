//! Client of the plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use basilramp_wire::engine::{IDEMPOTENCY_HEADER, REQUEST_HEADER};
use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::engine::{Failure, connection_pool};
use crate::trace;

/// The longest answer, in bytes.
const MAX_ANSWER: usize = 1024 * 1024;

const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// What is asked of a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRequest {
    /// The service.
    pub(crate) address: SocketAddr,
    /// The path that the call is posted to.
    pub(crate) path: String,
    /// Names the attempt.
    pub(crate) attempt_id: String,
    /// Names the call, over all its attempts.
    pub(crate) idempotency_key: String,
    /// The body.
    pub(crate) body: Arc<str>,
}

/// A service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServiceResponse {
    /// The status.
    pub(crate) status: StatusCode,
    /// The body, as text.
    pub(crate) body: Arc<str>,
}

/// Sends calls to plain services.
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

    /// Sends a call that may be repeated, on a connection that other calls use too.
    pub(crate) async fn send(
        &self,
        ask: &ServiceRequest,
        timeout_ms: u64,
    ) -> Result<ServiceResponse, Failure> {
        let request = post(ask, &format!("http://{}{}", ask.address, ask.path))?;
        let sending = async {
            let answer = self.pool.request(request).await;
            let answer = answer.map_err(|fault| match fault.is_connect() {
                true => Failure::NotSent,
                false => Failure::BrokenResponse,
            })?;
            collect(answer).await
        };
        let limit = Duration::from_millis(timeout_ms);
        timeout(limit, sending)
            .await
            .unwrap_or(Err(Failure::TimedOut))
    }

    /// Sends a call that may not be repeated: at most once, on a connection of its own.
    pub(crate) async fn send_once(
        &self,
        ask: &ServiceRequest,
        timeout_ms: u64,
    ) -> Result<ServiceResponse, Failure> {
        let request = post(ask, &ask.path)?;
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS.min(timeout_ms));
        let connecting = timeout(limit, TcpStream::connect(ask.address)).await;
        let Ok(Ok(stream)) = connecting else {
            return Err(Failure::NotSent);
        };
        let sending = async {
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            let (mut sender, connection) = handshake.map_err(|_| Failure::BrokenResponse)?;
            let driver = tokio::spawn(connection);
            let answer = sender.send_request(request).await;
            let answer = answer.map_err(|_| Failure::BrokenResponse);
            let answer = match answer {
                Ok(answer) => collect(answer).await,
                Err(failure) => Err(failure),
            };
            driver.abort();
            answer
        };
        let limit = Duration::from_millis(timeout_ms);
        timeout(limit, sending)
            .await
            .unwrap_or(Err(Failure::TimedOut))
    }

    /// Reads a path of a service.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<ServiceResponse, Failure> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default());
        let request = request.map_err(|_| Failure::NotSent)?;
        let reading = async {
            let answer = self.pool.request(request).await;
            collect(answer.map_err(|_| Failure::BrokenResponse)?).await
        };
        let limit = Duration::from_millis(timeout_ms);
        timeout(limit, reading)
            .await
            .unwrap_or(Err(Failure::TimedOut))
    }
}

fn post(ask: &ServiceRequest, target: &str) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = Request::post(target)
        .header(header::HOST, ask.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_HEADER, &ask.attempt_id)
        .header(IDEMPOTENCY_HEADER, &ask.idempotency_key);
    trace::set_attribute("server.address", ask.address.to_string());
    if let Some(trace) = trace::current_traceparent() {
        request = request.header(trace::TRACEPARENT_HEADER, trace);
    }
    let body = Full::from(ask.body.as_bytes().to_vec());
    request.body(body).map_err(|_| Failure::NotSent)
}

async fn collect(answer: Response<Incoming>) -> Result<ServiceResponse, Failure> {
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
    let body = body.map_err(|_| Failure::BrokenResponse)?.to_bytes();
    Ok(ServiceResponse {
        status,
        body: String::from_utf8_lossy(&body).into(),
    })
}
