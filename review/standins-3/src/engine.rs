//! Programs and an engine: turns as clients send them, and runners that answer them with streams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::caller::{Connection, Reply};
use crate::case::{Record, lock};
use crate::runner::read_request;

/// Events of a turn.
const EVENTS: usize = 8;

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// What the runners ran: the body by attempt id.
pub type Runs = Arc<Mutex<BTreeMap<String, String>>>;

/// A turn of a program.
#[derive(Clone, Debug)]
pub struct Turn {
    pub program: String,
    pub session: &'static str,
    pub path: &'static str,
    pub attempt: String,
    pub previous: Option<String>,
}

impl Turn {
    /// Returns the first turn of a line.
    #[must_use]
    pub fn first(program: &str, session: &'static str, path: &'static str) -> Self {
        Self {
            program: program.to_owned(),
            session,
            path,
            attempt: format!("{program}-{session}-1"),
            previous: None,
        }
    }

    fn input(&self) -> String {
        format!("input of {};", self.attempt)
    }

    /// Returns what a runner has to get: the previous turn's input and events, then the input.
    #[must_use]
    pub fn expected_body(&self) -> String {
        let previous = self.previous.as_ref().map_or_else(String::new, |previous| {
            let events: String = (1..=EVENTS)
                .map(|id| format!("{}\n", event_data(previous, id)))
                .collect();
            format!("input of {previous};{events}")
        });
        previous + &self.input()
    }

    /// Sends the turn. Returns the status, and whether the response is whole.
    ///
    /// # Errors
    ///
    /// Fails if the request can't be built.
    pub async fn send(
        &self,
        connection: &mut Connection,
        record: &Record,
    ) -> Result<(u16, bool), String> {
        let reply = connection.send(self.request()?).await;
        let status = reply.as_ref().map_or(0, |reply| reply.status.as_u16());
        let is_whole = reply.is_some_and(|reply| is_whole(&reply));
        record.line(format!(
            "{} on {} after {:?}: {status}, whole: {is_whole}",
            self.attempt, self.path, self.previous
        ));
        Ok((status, is_whole))
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, String> {
        let mut request = Request::post(self.path)
            .header("host", "a.example")
            .header("attempt-id", &self.attempt)
            .header("program-id", &self.program)
            .header("session-id", format!("{}-{}", self.program, self.session))
            .header("program-deadline-ms", "20000")
            .header("token-budget", "1088")
            .header("token-usage", "1840,136")
            .header("model", "m")
            .header("prompt-prefix", "5c1e07a2:800,91bd3f06:410")
            .header("deadline-ms", "4000");
        if let Some(previous) = &self.previous {
            request = request.header("previous-turn", previous);
        }
        let request = request.body(Full::from(self.input()));
        request.map_err(|error| error.to_string())
    }
}

fn is_whole(reply: &Reply) -> bool {
    reply.is_complete && reply.body.matches("\n\n").count() == EVENTS
}

fn event_data(attempt: &str, id: usize) -> String {
    format!("{attempt} says {id}")
}

/// Starts a runner, which notes what it runs.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn start_runner(
    name: &'static str,
    runs: &Runs,
    record: &Record,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let (runs, record) = (Arc::clone(runs), record.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(name, Arc::clone(&runs), record.clone(), stream));
        }
    });
    Ok(address)
}

async fn serve(name: &'static str, runs: Runs, record: Record, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(arrival) = read_request(&mut stream).await {
        let id = arrival.header("attempt-id").to_owned();
        if arrival.header("expect-instance") != name {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if stream
                .get_mut()
                .write_all(refusal.as_bytes())
                .await
                .is_err()
            {
                return;
            }
            continue;
        }
        let body = String::from_utf8_lossy(&arrival.body).into_owned();
        record.line(format!("{name} runs {id}: {body:?}"));
        lock(&runs).insert(id.clone(), body);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {name}.{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.get_mut().write_all(head.as_bytes()).await.is_err() {
            return;
        }
        for event in 1..=EVENTS {
            tokio::time::sleep(EVENT_PAUSE).await;
            let text = format!("id: {event}\ndata: {}\n\n", event_data(&id, event));
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.get_mut().write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
        }
        if stream.get_mut().write_all(b"0\r\n\r\n").await.is_err() {
            return;
        }
    }
}
