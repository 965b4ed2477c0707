//! Client of the engines' control API: load, cache, holdings and orders.

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

/// Time after which an engine that does not answer is given up.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which an order is given up; an engine answers once it has obeyed.
const ORDER_TIMEOUT: Duration = Duration::from_millis(120_000);

/// The longest answer that is read, in bytes.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// Why an engine did not do what it was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No answer, or none that can be read.
    Unreached,
    /// It refused, with this status.
    Refused(StatusCode),
}

/// Talks to the control API of any engine.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Opens a client.
    pub(crate) fn open() -> Self {
        let pool = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Self { pool }
    }

    /// Reads an engine's load.
    pub(crate) async fn load(&self, engine: SocketAddr) -> Result<LoadReport, Failure> {
        self.get(engine, "/load").await
    }

    /// Reads the cache events after a sequence number.
    pub(crate) async fn events(
        &self,
        engine: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, Failure> {
        self.get(engine, &format!("/cache/events?after={after}"))
            .await
    }

    /// Reads what an engine holds and for whom.
    pub(crate) async fn holders(&self, engine: SocketAddr) -> Result<Holders, Failure> {
        self.get(engine, "/cache/holders").await
    }

    /// Has an engine let go of what it holds for a program.
    pub(crate) async fn release(&self, engine: SocketAddr, holder: &str) -> Result<(), Failure> {
        let request = Request::builder()
            .method(Method::DELETE)
            .uri(format!("http://{engine}/cache/holders/{holder}"))
            .body(Full::default())
            .map_err(|_| Failure::Unreached)?;
        match self.send(request).await {
            Err(Failure::Refused(StatusCode::NOT_FOUND)) | Ok(_) => Ok(()),
            Err(failure) => Err(failure),
        }
    }

    /// Gives an engine an order under a fencing number, and waits until it is obeyed.
    pub(crate) async fn order(
        &self,
        engine: SocketAddr,
        order: &Order,
        fencing: u64,
    ) -> Result<(), Failure> {
        let body = serde_json::to_vec(order).map_err(|_| Failure::Unreached)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{engine}/orders"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(FENCING_HEADER, fencing)
            .body(Full::from(body))
            .map_err(|_| Failure::Unreached)?;
        let answer = timeout(ORDER_TIMEOUT, self.exchange(request)).await;
        answer.unwrap_or(Err(Failure::Unreached)).map(drop)
    }

    async fn get<T: DeserializeOwned>(&self, engine: SocketAddr, path: &str) -> Result<T, Failure> {
        let request = Request::builder()
            .uri(format!("http://{engine}{path}"))
            .body(Full::default())
            .map_err(|_| Failure::Unreached)?;
        let body = self.send(request).await?;
        serde_json::from_slice(&body).map_err(|_| Failure::Unreached)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Bytes, Failure> {
        let answer = timeout(TIMEOUT, self.exchange(request)).await;
        answer.unwrap_or(Err(Failure::Unreached))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, Failure> {
        let answer = self.pool.request(request).await;
        let answer = answer.map_err(|_| Failure::Unreached)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
        let body = body.map_err(|_| Failure::Unreached)?;
        if status.is_success() {
            return Ok(body.to_bytes());
        }
        Err(Failure::Refused(status))
    }
}
