//! Reads the requests that reach a runner of plain bytes.

use std::collections::BTreeMap;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// A request as a runner got it.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Method and path.
    pub method: String,
    pub path: String,
    /// Headers with names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Arrival {
    /// Returns a header, or an empty text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value)
    }
}

/// Reads a request with its body; `None` at the end of the connection.
pub async fn read_request(stream: &mut (impl AsyncBufRead + Unpin)) -> Option<Arrival> {
    let mut arrival = Arrival::default();
    let mut line = String::new();
    if stream.read_line(&mut line).await.ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    arrival.method = words.next()?.to_owned();
    arrival.path = words.next()?.to_owned();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        arrival
            .headers
            .insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = arrival.header("content-length").parse().unwrap_or(0);
    arrival.body = vec![0; length];
    stream.read_exact(&mut arrival.body).await.ok()?;
    Some(arrival)
}
