//! A minimal HTTP client for tests of the stand-ins.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Names and values of request headers.
pub(crate) type Headers<'a> = &'a [(&'a str, &'a str)];

/// Sends a request on a new connection and returns the response without reading its body.
pub(crate) async fn send(
    at: SocketAddr,
    method: Method,
    path: &str,
    headers: Headers<'_>,
    body: impl Into<Bytes>,
) -> Option<Response<Incoming>> {
    let stream = TcpStream::connect(at).await.ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.ok()?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.header("host", at.to_string());
    let request = request.body(Full::new(body.into())).expect("valid request");
    sender.send_request(request).await.ok()
}

/// Sends a request and reads the whole response; `None` if the connection broke.
pub(crate) async fn exchange(
    at: SocketAddr,
    method: Method,
    path: &str,
    headers: Headers<'_>,
    body: impl Into<Bytes>,
) -> Option<(u16, String)> {
    let response = send(at, method, path, headers, body).await?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
