//! Client of the engines' control API: load, cache events, cache holders and orders to load or
//! unload models.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_wire::engine::{CacheEvents, FENCING_HEADER, Holders, LoadReport, Order};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Timeout of every request but an order.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout of an order. It is long because an engine responds only after it has executed the
/// order, such as loading a model.
pub(crate) const ORDER_TIMEOUT: Duration = Duration::from_millis(120_000);

const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why a control request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No response in time, or one that can't be read.
    NoResponse,
    /// The engine responded with this error status.
    Rejected(StatusCode),
}

/// Client of the control API of all engines.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client; connections are opened on demand.
    pub(crate) fn new() -> Self {
        let pool = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { pool }
    }

    /// Fetches an engine's load report.
    pub(crate) async fn fetch_load(&self, engine: SocketAddr) -> Result<LoadReport, Failure> {
        self.get(engine, "/load").await
    }

    /// Fetches the cache events after a sequence number.
    pub(crate) async fn fetch_cache_events(
        &self,
        engine: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, Failure> {
        self.get(engine, &format!("/cache/events?after={after}"))
            .await
    }

    /// Fetches the cached prefixes of an engine and the programs that they belong to.
    pub(crate) async fn fetch_holders(&self, engine: SocketAddr) -> Result<Holders, Failure> {
        self.get(engine, "/cache/holders").await
    }

    /// Makes an engine evict the prefix that it caches for a program.
    ///
    /// Succeeds also if the engine caches nothing for it.
    pub(crate) async fn release_holder(
        &self,
        engine: SocketAddr,
        holder: &str,
    ) -> Result<(), Failure> {
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("http://{engine}/cache/holders/{holder}"))
            .body(Full::default())
            .map_err(|_| Failure::NoResponse)?;
        match self.send_with_timeout(request).await {
            Err(Failure::Rejected(StatusCode::NOT_FOUND)) | Ok(_) => Ok(()),
            Err(failure) => Err(failure),
        }
    }

    /// Sends an order with its fencing number and waits until the engine has executed it.
    pub(crate) async fn send_order(
        &self,
        engine: SocketAddr,
        order: &Order,
        fencing: u64,
    ) -> Result<(), Failure> {
        let body = serde_json::to_vec(order).map_err(|_| Failure::NoResponse)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{engine}/orders"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(FENCING_HEADER, fencing)
            .body(Full::from(body))
            .map_err(|_| Failure::NoResponse)?;
        let response = timeout(ORDER_TIMEOUT, self.send_request(request)).await;
        response.unwrap_or(Err(Failure::NoResponse)).map(drop)
    }

    async fn get<T: DeserializeOwned>(&self, engine: SocketAddr, path: &str) -> Result<T, Failure> {
        let request = Request::builder()
            .uri(format!("http://{engine}{path}"))
            .body(Full::default())
            .map_err(|_| Failure::NoResponse)?;
        let body = self.send_with_timeout(request).await?;
        serde_json::from_slice(&body).map_err(|_| Failure::NoResponse)
    }

    async fn send_with_timeout(&self, request: Request<Full<Bytes>>) -> Result<Bytes, Failure> {
        let response = timeout(REQUEST_TIMEOUT, self.send_request(request)).await;
        response.unwrap_or(Err(Failure::NoResponse))
    }

    async fn send_request(&self, request: Request<Full<Bytes>>) -> Result<Bytes, Failure> {
        let response = self.pool.request(request).await;
        let response = response.map_err(|_| Failure::NoResponse)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|_| Failure::NoResponse)?;
        if status.is_success() {
            return Ok(body.to_bytes());
        }
        Err(Failure::Rejected(status))
    }
}
