//! HTTP client for the operator and caller listeners of an instance.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_wire::error;
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::config::{Connection, Secret};
use crate::error::Error;
use crate::event_stream::EventStream;

/// Advice to the user if the response to a configuration change is lost.
const CHANGE_HINT: &str = "see `basilramp config log` for whether the change took effect";

/// Advice to the user if the response to a read is lost.
const READ_HINT: &str = "try again";

/// Sends requests to one listener of an instance.
#[derive(Debug)]
pub(crate) struct Client {
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    secret: Secret,
    timeout: Duration,
}

impl Client {
    /// Creates a client for the operator listener.
    ///
    /// Fails if the address or the token is not set.
    pub(crate) fn for_operators(connection: &Connection) -> Result<Self, Error> {
        let address = require(
            connection.operator_address,
            "no instance given: set --operators or BASILRAMP_OPERATORS",
        )?;
        let secret = require(
            connection.operator_token.clone(),
            "no token given: set --token-file, BASILRAMP_TOKEN_FILE or BASILRAMP_TOKEN",
        )?;
        Ok(Self::new(address, secret, connection.timeout_ms))
    }

    /// Creates a client for the caller listener.
    ///
    /// Fails if the address or the account key is not set.
    pub(crate) fn for_callers(connection: &Connection) -> Result<Self, Error> {
        let address = require(
            connection.caller_address,
            "no instance given: set --callers or BASILRAMP_CALLERS",
        )?;
        let secret = require(
            connection.account_key.clone(),
            "no key given: set --key-file, BASILRAMP_KEY_FILE or BASILRAMP_KEY",
        )?;
        Ok(Self::new(address, secret, connection.timeout_ms))
    }

    /// Disables idle connections and retries, so that the HTTP client never sends a request twice.
    fn new(address: SocketAddr, secret: Secret, timeout_ms: u64) -> Self {
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build_http();
        Self {
            http,
            address,
            secret,
            timeout: Duration::from_millis(timeout_ms),
        }
    }

    /// Sends a GET request and decodes the JSON response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.build_request(Method::GET, path, Bytes::new())?;
        self.send_and_decode(request, READ_HINT).await
    }

    /// Sends a POST request and decodes the JSON response.
    ///
    /// `hint` is the advice to the user if the response is lost.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        hint: &str,
    ) -> Result<T, Error> {
        let request = self.build_request(Method::POST, path, encode(body)?)?;
        self.send_and_decode(request, hint).await
    }

    /// Posts a configuration change.
    pub(crate) async fn post_change<T: DeserializeOwned>(
        &self,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        self.post("/v1/config", body, CHANGE_HINT).await
    }

    /// Sends a POST request and returns the events of the response. No timeout applies.
    ///
    /// `hint` is the advice to the user if the response is lost.
    pub(crate) async fn stream(
        &self,
        path: &str,
        body: &impl Serialize,
        hint: &str,
    ) -> Result<EventStream, Error> {
        let request = self.build_request(Method::POST, path, encode(body)?)?;
        let response = self.send(request, hint).await?;
        if response.status().is_success() {
            return Ok(EventStream::new(response.into_body(), hint));
        }
        let body = read_body(response, hint).await?;
        Err(parse_error_response(&body, hint))
    }

    async fn send_and_decode<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        hint: &str,
    ) -> Result<T, Error> {
        let exchange = async {
            let response = self.send(request, hint).await?;
            let is_success = response.status().is_success();
            let body = read_body(response, hint).await?;
            if !is_success {
                return Err(parse_error_response(&body, hint));
            }
            serde_json::from_slice(&body).map_err(|error| response_lost(error, hint))
        };
        match timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(response_lost("the request timed out", hint)),
        }
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        hint: &str,
    ) -> Result<Response<Incoming>, Error> {
        self.http.request(request).await.map_err(|error| {
            let reason = format_error_chain(&error);
            if error.is_connect() {
                let address = self.address;
                Error::Unreachable { address, reason }
            } else {
                response_lost(reason, hint)
            }
        })
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.secret.expose()))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Usage(error.to_string()))
    }
}

fn require<T>(value: Option<T>, message: &str) -> Result<T, Error> {
    value.ok_or_else(|| Error::Usage(message.to_owned()))
}

fn encode(body: &impl Serialize) -> Result<Bytes, Error> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(|error| Error::Usage(error.to_string()))
}

async fn read_body(response: Response<Incoming>, hint: &str) -> Result<Bytes, Error> {
    let collected = response.into_body().collect().await;
    let body = collected.map_err(|error| response_lost(format_error_chain(&error), hint))?;
    Ok(body.to_bytes())
}

/// Decodes an error response.
///
/// A body that is not a basilramp error, such as that of a proxy, leaves the outcome unknown, so it
/// counts as a lost response.
fn parse_error_response(body: &[u8], hint: &str) -> Error {
    match serde_json::from_slice::<error::Error>(body) {
        Ok(error) => Error::Rejected(error),
        Err(_) => response_lost("the response is not from basilramp", hint),
    }
}

/// Creates the error of a lost response.
pub(crate) fn response_lost(reason: impl ToString, hint: &str) -> Error {
    Error::ResponseLost {
        hint: hint.to_owned(),
        reason: reason.to_string(),
    }
}

/// Formats an error followed by its sources, separated by colons.
pub(crate) fn format_error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
