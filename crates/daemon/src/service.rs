//! Client of the plain services, which take one request and return one response.

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

const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A call to send to a service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceRequest {
    /// Address of the service.
    pub(crate) address: SocketAddr,
    /// Path to which the call is sent with `POST`.
    pub(crate) path: String,
    /// Identifies this attempt; each retry has its own.
    pub(crate) attempt_id: String,
    /// Identifies the call across all its attempts.
    pub(crate) idempotency_key: String,
    /// The request body.
    pub(crate) body: Arc<str>,
}

/// Response of a service, with any status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServiceResponse {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The body; bytes that are not UTF-8 are replaced.
    pub(crate) body: Arc<str>,
}

/// Sends calls to plain services, all sharing one connection pool but for [`Client::send_once`].
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

    /// Sends an idempotent call on a pooled connection.
    pub(crate) async fn send(
        &self,
        call: &ServiceRequest,
        timeout_ms: u64,
    ) -> Result<ServiceResponse, Failure> {
        let request = build_post(call, &format!("http://{}{}", call.address, call.path))?;
        let sending = async {
            let response = self.pool.request(request).await;
            let response = response.map_err(|error| match error.is_connect() {
                true => Failure::NotSent,
                false => Failure::BrokenResponse,
            })?;
            read_response(response).await
        };
        let limit = Duration::from_millis(timeout_ms);
        timeout(limit, sending)
            .await
            .unwrap_or(Err(Failure::TimedOut))
    }

    /// Sends a call that is not idempotent, at most once, on a new connection that is not reused.
    ///
    /// `NotSent` is returned only if nothing was sent.
    pub(crate) async fn send_once(
        &self,
        call: &ServiceRequest,
        timeout_ms: u64,
    ) -> Result<ServiceResponse, Failure> {
        let request = build_post(call, &call.path)?;
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS.min(timeout_ms));
        let connecting = timeout(limit, TcpStream::connect(call.address)).await;
        let Ok(Ok(stream)) = connecting else {
            return Err(Failure::NotSent);
        };
        let sending = async {
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            let (mut sender, connection) = handshake.map_err(|_| Failure::BrokenResponse)?;
            let driver = tokio::spawn(connection);
            let response = sender.send_request(request).await;
            let response = response.map_err(|_| Failure::BrokenResponse);
            let response = match response {
                Ok(response) => read_response(response).await,
                Err(failure) => Err(failure),
            };
            driver.abort();
            response
        };
        let limit = Duration::from_millis(timeout_ms);
        timeout(limit, sending)
            .await
            .unwrap_or(Err(Failure::TimedOut))
    }

    /// Sends a `GET` request for a path of a service.
    pub(crate) async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<ServiceResponse, Failure> {
        let request = Request::get(format!("http://{address}{path}")).body(Full::default());
        let request = request.map_err(|_| Failure::NotSent)?;
        let reading = async {
            let response = self.pool.request(request).await;
            read_response(response.map_err(|_| Failure::BrokenResponse)?).await
        };
        let limit = Duration::from_millis(timeout_ms);
        timeout(limit, reading)
            .await
            .unwrap_or(Err(Failure::TimedOut))
    }
}

fn build_post(call: &ServiceRequest, target: &str) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = Request::post(target)
        .header(header::HOST, call.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(REQUEST_HEADER, &call.attempt_id)
        .header(IDEMPOTENCY_HEADER, &call.idempotency_key);
    trace::set_attribute("server.address", call.address.to_string());
    if let Some(trace) = trace::current_traceparent() {
        request = request.header(trace::TRACEPARENT_HEADER, trace);
    }
    let body = Full::from(call.body.as_bytes().to_vec());
    request.body(body).map_err(|_| Failure::NotSent)
}

async fn read_response(response: Response<Incoming>) -> Result<ServiceResponse, Failure> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|_| Failure::BrokenResponse)?.to_bytes();
    Ok(ServiceResponse {
        status,
        body: String::from_utf8_lossy(&body).into(),
    })
}
