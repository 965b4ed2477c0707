//! Callers: one request on a connection of its own, as the pages tell for retries.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A response as a caller got it.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
    /// Whether the response ended properly.
    pub is_complete: bool,
}

impl Reply {
    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Sends a request; `None` if the connection ends without a response head.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Reply> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await.ok();
    let Some(response) = response else {
        driver.abort();
        return None;
    };
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    Some(Reply {
        status: head.status,
        headers: head.headers,
        body: String::from_utf8_lossy(&bytes).into_owned(),
        is_complete,
    })
}

/// Builds a plain request with a body.
///
/// # Panics
///
/// Panics if a part of it is invalid.
#[must_use]
pub fn plain(
    method: &str,
    route: &str,
    attempt: &str,
    deadline_ms: u64,
    body: &str,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("/{route}/x"))
        .header("host", "a.example")
        .header("attempt-id", attempt)
        .header("deadline-ms", deadline_ms)
        .body(Full::from(body.to_owned()))
        .expect("the request is valid")
}
