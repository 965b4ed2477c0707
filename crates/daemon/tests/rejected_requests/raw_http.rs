//! A minimal HTTP client that sends requests which a conforming client would not send.

use std::net::SocketAddr;

use basilramp_wire::error::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An HTTP response with its undecoded body.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl Response {
    /// Parses the body as an API error.
    pub(crate) fn error(&self) -> Error {
        serde_json::from_str(&self.body)
            .unwrap_or_else(|error| panic!("the body is not an API error: {error}: {self:?}"))
    }
}

/// Sends one request on a new connection and returns the response.
pub(crate) async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Response {
    let authorization = key.map_or(String::new(), |key| {
        format!("authorization: Bearer {key}\r\n")
    });
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: basilramp\r\nconnection: close\r\n\
         {authorization}content-length: {length}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    // The server may reject the request and close the connection before the whole body is sent.
    let _ = stream.write_all(body.as_bytes()).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    parse(&String::from_utf8(bytes).unwrap())
}

fn parse(text: &str) -> Response {
    let (head, body) = text
        .split_once("\r\n\r\n")
        .expect("the response has a complete header");
    let status = head
        .split(' ')
        .nth(1)
        .expect("the response has a status code");
    Response {
        status: status.parse().unwrap(),
        body: body.to_owned(),
    }
}
