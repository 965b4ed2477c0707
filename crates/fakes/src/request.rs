//! Sends one HTTP request on a new connection.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

use basilramp_wire::error::Error;

/// The reason why a request has no successful response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The instance responded with an error.
    Rejected(Error),
    /// The connection could not be established, so nothing was sent.
    NotSent,
    /// The connection broke after the request was sent at least in part.
    Broken(Arc<str>),
    /// A request or response body could not be encoded or decoded.
    Malformed(Arc<str>),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Rejected(error) => write!(f, "rejected: {error}"),
            Self::NotSent => f.write_str("connection failed, nothing was sent"),
            Self::Broken(reason) => write!(f, "connection broken: {reason}"),
            Self::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}

impl std::error::Error for Failure {}

/// Sends a request with an optional bearer key.
pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    key: Option<&str>,
    body: Bytes,
) -> Result<Response<Incoming>, Failure> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| Failure::NotSent)?;
    stream.set_nodelay(true).map_err(|_| Failure::NotSent)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| Failure::NotSent)?;
    tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(key) = key {
        request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    let request = request
        .body(Full::new(body))
        .map_err(|error| Failure::Malformed(error.to_string().into()))?;
    let response = sender.send_request(request).await;
    response.map_err(|error| Failure::Broken(error.to_string().into()))
}

/// Sends a request with an optional JSON body and decodes the JSON response.
pub(crate) async fn request_json<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    key: Option<&str>,
    body: Option<&impl Serialize>,
) -> Result<T, Failure> {
    let body = body.map(serde_json::to_vec).transpose();
    let body = body.map_err(|error| Failure::Malformed(error.to_string().into()))?;
    let body = Bytes::from(body.unwrap_or_default());
    let response = send(address, method, path, key, body).await?;
    read_json(response).await
}

/// Decodes a JSON response body, or the error body of an unsuccessful response.
pub(crate) async fn read_json<T: DeserializeOwned>(
    response: Response<Incoming>,
) -> Result<T, Failure> {
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body
        .map_err(|error| Failure::Broken(error.to_string().into()))?
        .to_bytes();
    let malformed = |error: serde_json::Error| {
        let text = String::from_utf8_lossy(&body);
        Failure::Malformed(format!("{status}: {error}: {text}").into())
    };
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(malformed);
    }
    Err(Failure::Rejected(
        serde_json::from_slice(&body).map_err(malformed)?,
    ))
}
