//! HTTP client of the operator API, for tests.

use std::net::SocketAddr;
use std::sync::Arc;

use basilramp_wire::api::Program;
use basilramp_wire::config::{Change, Edit, Snapshot};
use basilramp_wire::engine::Order;
use basilramp_wire::frame::Settlement;
use basilramp_wire::operator::{AppliedChange, ChangeLog, Instances, IssuedOrder, Upstreams};
use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;

pub use crate::request::Failure;
use crate::request::{request_json, send};

/// A client of one operator. It opens a new connection for each request.
#[derive(Clone, Debug)]
pub struct Client {
    token: Arc<str>,
}

impl Client {
    /// Returns a client that authenticates with an operator's token.
    pub fn new(token: impl Into<Arc<str>>) -> Self {
        Self {
            token: token.into(),
        }
    }

    async fn get<T: DeserializeOwned>(&self, at: SocketAddr, path: &str) -> Result<T, Failure> {
        request_json(at, Method::GET, path, Some(&*self.token), None::<&()>).await
    }

    /// Reads the configuration that an instance currently applies.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn get_config(&self, at: SocketAddr) -> Result<Snapshot, Failure> {
        self.get(at, "/v1/config").await
    }

    /// Submits edits to the configuration, based on version `base`.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn apply_edits(
        &self,
        at: SocketAddr,
        base: u64,
        edits: Vec<Edit>,
    ) -> Result<AppliedChange, Failure> {
        let change = Change {
            base,
            operator: String::new(),
            reason: "test".to_owned(),
            at_ms: 0,
            edits,
        };
        let token = Some(&*self.token);
        request_json(at, Method::POST, "/v1/config", token, Some(&change)).await
    }

    /// Reads the accepted configuration changes after a version.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn get_log(&self, at: SocketAddr, after: u64) -> Result<ChangeLog, Failure> {
        self.get(at, &format!("/v1/config/log?after={after}")).await
    }

    /// Lists the instances that an instance knows.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn list_instances(&self, at: SocketAddr) -> Result<Instances, Failure> {
        self.get(at, "/v1/instances").await
    }

    /// Lists the upstreams that an instance knows.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn list_upstreams(&self, at: SocketAddr) -> Result<Upstreams, Failure> {
        self.get(at, "/v1/upstreams").await
    }

    /// Sends an upstream an order to load or unload a model.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn send_order(
        &self,
        at: SocketAddr,
        upstream: &str,
        order: &Order,
    ) -> Result<IssuedOrder, Failure> {
        let path = format!("/v1/upstreams/{upstream}/orders");
        request_json(at, Method::POST, &path, Some(&*self.token), Some(order)).await
    }

    /// Reads a program of any account.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn get_program(&self, at: SocketAddr, program: &str) -> Result<Program, Failure> {
        self.get(at, &format!("/v1/programs/{program}")).await
    }

    /// Settles a call whose outcome is in doubt.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if the request is not sent, breaks off, or is rejected.
    pub async fn settle_call(
        &self,
        at: SocketAddr,
        program: &str,
        settlement: &Settlement,
    ) -> Result<Program, Failure> {
        let path = format!("/v1/programs/{program}/settle");
        let token = Some(&*self.token);
        request_json(at, Method::POST, &path, token, Some(settlement)).await
    }

    /// Returns whether `GET /readyz` of an instance succeeds.
    pub async fn is_ready(&self, at: SocketAddr) -> bool {
        let response = send(at, Method::GET, "/readyz", None, Bytes::new()).await;
        response.is_ok_and(|response| response.status().is_success())
    }
}
