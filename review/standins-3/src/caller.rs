//! Callers, each request on a connection of its own or on one that is kept open.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

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

/// A connection that is kept open for several requests.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection; `None` if it is not accepted.
    pub async fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let driver = tokio::spawn(async move {
            // Errors are also returned to the pending request.
            let _ = connection.await;
        });
        Some(Self { sender, driver })
    }

    /// Sends a request; `None` if the connection ends without a response head.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Option<Reply> {
        self.sender.ready().await.ok()?;
        let response = self.sender.send_request(request).await.ok()?;
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
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sends a request on a new connection; `None` if it ends without a response head.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Reply> {
    Connection::open(address).await?.send(request).await
}

/// Builds a plain request to a path with a body.
///
/// # Panics
///
/// Panics if a part of it is invalid.
#[must_use]
pub fn plain(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    body: &str,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "a.example")
        .header("attempt-id", attempt)
        .header("deadline-ms", deadline_ms)
        .body(Full::from(body.to_owned()))
        .expect("the request is valid")
}
