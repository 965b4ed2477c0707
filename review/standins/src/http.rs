//! HTTP/1.1 by hand, so that a stand-in decides about each byte.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Start line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a header as a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    /// Returns the method and the target of a request.
    #[must_use]
    pub fn target(&self) -> (&str, &str) {
        let mut parts = self.start.split(' ');
        (
            parts.next().unwrap_or_default(),
            parts.next().unwrap_or_default(),
        )
    }

    /// Returns the status of a response.
    #[must_use]
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with its unread bytes.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    pub unread: Vec<u8>,
}

impl Connection {
    /// Wraps a stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            unread: Vec::new(),
        }
    }

    /// Opens a connection within a second, as clients do.
    ///
    /// # Errors
    ///
    /// Fails if it is not accepted in time.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let opening = TcpStream::connect(address);
        let stream = tokio::time::timeout(Duration::from_secs(1), opening).await??;
        Ok(Self::new(stream))
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = vec![0; 64 * 1_024];
        let count = self.stream.read(&mut bytes).await?;
        self.unread.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before it.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or ends within the head.
    pub async fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.unread, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if self.fill().await? == 0 {
                return if self.unread.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Reads the body that follows a head.
    ///
    /// # Errors
    ///
    /// Fails, with the bytes so far in `body`, if the connection ends before the body does.
    pub async fn read_body(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
        if head.get("transfer-encoding").is_some() {
            return self.read_chunks(body).await;
        }
        let len = head.number("content-length").unwrap_or(0) as usize;
        while body.len() < len {
            if self.unread.is_empty() && self.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let count = self.unread.len().min(len - body.len());
            body.extend(self.unread.drain(..count));
        }
        Ok(())
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let line = loop {
                if let Some(end) = find(&self.unread, b"\r\n") {
                    let line: Vec<u8> = self.unread.drain(..end + 2).collect();
                    break String::from_utf8_lossy(&line[..end]).into_owned();
                }
                if self.fill().await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let len = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut left = len + 2;
            while left > 0 {
                if self.unread.is_empty() && self.fill().await? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let count = self.unread.len().min(left);
                let piece: Vec<u8> = self.unread.drain(..count).collect();
                let data = count.min(left.saturating_sub(2));
                body.extend_from_slice(&piece[..data]);
                left -= count;
            }
            if len == 0 {
                return Ok(());
            }
        }
    }

    /// Writes bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes a response with a length.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails.
    pub async fn respond(
        &mut self,
        status: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut message = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            message.push_str(&format!("{name}: {value}\r\n"));
        }
        message.push_str("\r\n");
        let mut message = message.into_bytes();
        message.extend_from_slice(body);
        self.write(&message).await
    }

    /// Sends a request and waits for its answer until the client's deadline.
    pub async fn exchange(&mut self, request: &Request) -> Answer {
        let began = Instant::now();
        let mut answer = Answer::default();
        let work = async {
            let sent = self.write(&request.encode()).await;
            // An early answer may come although the rest was not taken.
            let head = match self.read_head().await {
                Ok(Some(head)) => head,
                Ok(None) => {
                    answer.error = Some(format!("closed without an answer, sent: {sent:?}"));
                    return;
                }
                Err(error) => {
                    answer.error = Some(error.to_string());
                    return;
                }
            };
            answer.status = head.status();
            answer.head = head.clone();
            answer.head_ms = began.elapsed().as_millis() as u64;
            match self.read_body(&head, &mut answer.body).await {
                Ok(()) => answer.is_complete = true,
                Err(error) => answer.error = Some(error.to_string()),
            }
        };
        let limit = Duration::from_millis(request.wait_ms);
        if tokio::time::timeout(limit, work).await.is_err() {
            answer.error = Some(format!("no whole answer within {} ms", request.wait_ms));
            answer.is_late = true;
        }
        answer.ms = began.elapsed().as_millis() as u64;
        answer
    }
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// How long the client waits, in milliseconds. It is sent as `Deadline-Ms`.
    pub wait_ms: u64,
}

impl Request {
    /// Creates a request with an attempt id.
    #[must_use]
    pub fn new(method: &'static str, path: &str, attempt: &str, wait_ms: u64) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: vec![
                ("Host".into(), crate::site::HOST.into()),
                ("Attempt-Id".into(), attempt.into()),
                ("Deadline-Ms".into(), wait_ms.to_string()),
            ],
            body: Vec::new(),
            wait_ms,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.into(), value.to_string()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a connection of its own.
    pub async fn send(&self, address: SocketAddr) -> Answer {
        match Connection::open(address).await {
            Ok(mut connection) => connection.exchange(self).await,
            Err(error) => Answer {
                error: Some(format!("not connected: {error}")),
                ..Answer::default()
            },
        }
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if there was none.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_complete: bool,
    /// Whether the client gave up at its deadline.
    pub is_late: bool,
    pub head_ms: u64,
    pub ms: u64,
    pub error: Option<String>,
}

impl Answer {
    /// Returns whether it is a whole success.
    #[must_use]
    pub fn is_ok(&self) -> bool {
        (200..300).contains(&self.status) && self.is_complete
    }

    /// Returns the ids and the data of the whole events.
    #[must_use]
    pub fn events(&self) -> Vec<(u64, String)> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end + 2]);
        let events = whole.split("\n\n").filter(|event| !event.is_empty());
        let field = |event: &str, name: &str| {
            let line = event.lines().find_map(|line| line.strip_prefix(name));
            line.unwrap_or_default().trim().to_owned()
        };
        events
            .map(|event| {
                let id = field(event, "id:").parse().unwrap_or(0);
                (id, field(event, "data:"))
            })
            .collect()
    }

    /// Returns a short text for the record.
    #[must_use]
    pub fn describe(&self) -> String {
        format!(
            "status {} complete {} after {} ms{}",
            self.status,
            self.is_complete,
            self.ms,
            self.error
                .as_ref()
                .map_or(String::new(), |error| format!(" ({error})"))
        )
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Head {
        start,
        headers: headers.collect(),
    }
}

fn find(bytes: &[u8], text: &[u8]) -> Option<usize> {
    bytes.windows(text.len()).position(|window| window == text)
}
