//! A client of the instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time that clients allow a connection to be established.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// A connection of a client, which stays open for further requests.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

/// What a client received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// `None` if the connection ended without an answer, or the deadline passed before one began.
    pub status: Option<u16>,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// The bytes of the body that arrived.
    pub body: Vec<u8>,
    /// Whether the body ended properly.
    pub is_complete: bool,
}

impl Answer {
    /// Returns the text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the seconds of `Retry-After`.
    pub fn retry_after(&self) -> Option<f64> {
        self.header("retry-after")?.parse().ok()
    }

    /// Returns the ids of the whole events in the body, in order.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body);
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let ids = whole.split("\n\n").filter_map(|event| {
            let mut lines = event.lines();
            lines.find_map(|line| line.strip_prefix("id: ")?.parse().ok())
        });
        ids.collect()
    }

    /// Returns a short description for the record.
    pub fn describe(&self) -> String {
        let status = self
            .status
            .map_or("no answer".into(), |status| status.to_string());
        let end = if self.is_complete {
            "whole"
        } else {
            "broken off"
        };
        let signature = self.header("server-signature").unwrap_or("none");
        format!(
            "{status}, signature {signature}, {} bytes, {end}",
            self.body.len()
        )
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if it is not accepted within a second.
    pub async fn open(address: SocketAddr) -> Result<Self, String> {
        let stream = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| "timed out".to_owned())?;
        let stream = stream.map_err(|error| error.to_string())?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_string())?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| error.to_string())?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads its answer, for at most `limit_ms` milliseconds. After that the client
    /// leaves.
    pub async fn send(&mut self, request: Request<Full<Bytes>>, limit_ms: u64) -> Answer {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        let mut answer = Answer::default();
        if self.sender.ready().await.is_err() {
            return answer;
        }
        let response = tokio::time::timeout_at(deadline, self.sender.send_request(request)).await;
        let Ok(Ok(response)) = response else {
            self.driver.abort();
            return answer;
        };
        let (head, mut body) = response.into_parts();
        answer.status = Some(head.status.as_u16());
        answer.headers = head.headers;
        loop {
            match tokio::time::timeout_at(deadline, body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        answer.body.extend_from_slice(data);
                    }
                }
                Ok(None) => {
                    answer.is_complete = true;
                    return answer;
                }
                Ok(Some(Err(_))) | Err(_) => {
                    self.driver.abort();
                    return answer;
                }
            }
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
