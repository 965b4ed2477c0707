//! Pooled HTTP/1 connections, shared by the clients. A request is never retried here.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const IDLE_TIMEOUT_MS: u64 = 20_000;
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A connection pool.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A response with its whole body.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Why no response was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No connection could be made, so nothing was sent.
    ConnectFailed,
    /// The connection broke; the request may have been sent.
    ConnectionBroken,
    /// No response arrived in time; the request may have been sent.
    TimedOut,
}

impl Pool {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
            .build(connector);
        Self { client }
    }

    /// Sends a request once and reads the whole response within `timeout_ms` milliseconds.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response, SendError> {
        let timeout = Duration::from_millis(timeout_ms);
        let exchange = self.exchange(request);
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(SendError::TimedOut))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Response, SendError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                SendError::ConnectFailed
            } else {
                SendError::ConnectionBroken
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|_| SendError::ConnectionBroken)?;
        Ok(Response {
            status,
            body: body.to_bytes(),
        })
    }
}
