//! An upstream that follows a script byte by byte, for responses that no HTTP server would send.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_fakes::user_platform::Store;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// What the upstream does after it has read a request, in order.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Sends bytes. `{id}` stands for the attempt id of the request.
    Send(String),
    /// Sends bytes over and over, until the connection is closed.
    SendForever { bytes: String, interval: Duration },
    /// Waits.
    Wait(Duration),
    /// Closes the connection with a reset.
    Reset,
}

/// Head of a signed response; a body without a length follows.
pub(crate) const HEAD: &str =
    "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-signature: sig\r\nconnection: close\r\n\r\n";

/// Head of a signed stream in chunks.
pub(crate) const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\n\
     server-signature: sig\r\ntransfer-encoding: chunked\r\n\r\n";

/// Returns text as a chunk of a body.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

#[derive(Debug, Default)]
struct State {
    /// Attempt ids of the requests that were read, in order.
    requests: Vec<String>,
    /// Connections that were closed by the other side while the script ran.
    closed: usize,
}

/// A running upstream.
#[derive(Debug)]
pub(crate) struct ScriptedUpstream {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
}

impl ScriptedUpstream {
    /// Starts an upstream that runs `script` for each request, and registers it as ready.
    pub(crate) async fn spawn(store: &Store, id: &str, service: &str, script: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, script.clone(), Arc::clone(&shared)));
            }
        });
        let upstream = Self { state, address };
        register(store, id, service, upstream.address);
        upstream
    }

    /// Returns the number of requests that it has read.
    pub(crate) fn requests(&self) -> usize {
        self.state.lock().unwrap().requests.len()
    }

    /// Returns the attempt ids of the requests that it has read.
    pub(crate) fn attempts(&self) -> Vec<String> {
        self.state.lock().unwrap().requests.clone()
    }

    /// Returns the number of connections that were closed while it still sent.
    pub(crate) fn closed(&self) -> usize {
        self.state.lock().unwrap().closed
    }
}

async fn serve(stream: TcpStream, script: Vec<Step>, state: Arc<Mutex<State>>) {
    let mut stream = BufReader::new(stream);
    while let Some(attempt_id) = read_request(&mut stream).await {
        state.lock().unwrap().requests.push(attempt_id.clone());
        for step in &script {
            let result = match step {
                Step::Send(text) => {
                    let text = text.replace("{id}", &attempt_id);
                    stream.get_mut().write_all(text.as_bytes()).await
                }
                Step::SendForever { bytes, interval } => loop {
                    if let Err(error) = stream.get_mut().write_all(bytes.as_bytes()).await {
                        break Err(error);
                    }
                    tokio::time::sleep(*interval).await;
                },
                Step::Wait(time) => {
                    tokio::time::sleep(*time).await;
                    Ok(())
                }
                Step::Reset => {
                    let _ = stream.get_ref().set_zero_linger();
                    return;
                }
            };
            if result.is_err() {
                state.lock().unwrap().closed += 1;
                return;
            }
        }
    }
}

/// Reads a request with its body. Returns its attempt id, or `None` at the end of the connection.
pub(crate) async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (attempt_id, length) = read_head(stream).await?;
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(attempt_id)
}

/// Reads the head of a request. Returns its attempt id and the length of its body, or `None` at the end
/// of the connection.
pub(crate) async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<(String, usize)> {
    let mut attempt_id = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            return Some((attempt_id, length));
        }
        if let Some(value) = line.strip_prefix("attempt-id:") {
            value.trim().clone_into(&mut attempt_id);
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
}

/// Registers an upstream as ready.
pub(crate) fn register(store: &Store, id: &str, service: &str, address: SocketAddr) {
    let entry = json!({
        "service": service, "address": address.to_string(), "zone": "z1", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 7,
    });
    store.put("servers", id, entry.to_string().as_bytes());
}
