//! A stand-in for a model engine or plain service of the users' platform.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::json;

use super::store::Store;
use crate::http::{Answer, Body, Closed, Server, Switch, whole};

/// What an upstream does with the requests that it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers plain requests whole, and others with so many events.
    Answer {
        /// Events of a stream.
        events: u64,
        /// Milliseconds before the answer and between events.
        pause_ms: u64,
    },
    /// It is full and runs nothing.
    Full,
    /// It is another upstream than the one that is meant.
    OtherUpstream,
    /// It runs the request and closes the connection without an answer.
    LosesAnswer,
    /// It breaks its stream off after so many events.
    BreaksOff(u64),
    /// It runs the request and answers under another attempt's id.
    WrongAttempt,
    /// It runs the request, and its answer bears no signature.
    Unsigned,
}

/// A request that an upstream ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The attempt.
    pub attempt: String,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Milliseconds that were left.
    pub deadline_ms: Option<u64>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Headers that only the system may set and that came as a caller forged them.
    pub forged: Vec<String>,
    /// The caller took the whole answer.
    pub is_whole: bool,
}

#[derive(Debug)]
struct Shared {
    id: String,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<Vec<Run>>,
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<Shared>,
    service: String,
    server: Server,
}

/// Headers that a caller may not set, as it could send them.
const FORGEABLE: [&str; 5] = ["hold", "pin-ms", "kv-from", "kv-backup", "request-priority"];

impl Upstream {
    /// Starts an upstream of a service on a free port of 127.0.0.1, and registers it.
    #[must_use]
    pub fn spawn(store: &Store, id: &str, service: &str, behaviour: Behaviour) -> Self {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            behaviour: Mutex::new(behaviour),
            runs: Mutex::default(),
        });
        let handler = {
            let shared = Arc::clone(&shared);
            move |request| serve(Arc::clone(&shared), request)
        };
        let server = Server::spawn(&Switch::new(), handler);
        let upstream = Self {
            shared,
            service: service.to_owned(),
            server,
        };
        upstream.register(store, "ready");
        upstream
    }

    /// Writes its entry with a state.
    pub fn register(&self, store: &Store, state: &str) {
        self.register_at(store, state, self.address());
    }

    /// Writes its entry with a state and the address of a relay that leads to it.
    pub fn register_at(&self, store: &Store, state: &str, address: SocketAddr) {
        let entry = json!({
            "service": self.service, "address": address.to_string(), "zone": "z1",
            "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": 1, "born": 7,
        });
        store.put("servers", &self.shared.id, entry.to_string().as_bytes());
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what it does with requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Returns what it ran.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let behaviour = *lock(&shared.behaviour);
    match behaviour {
        Behaviour::Full => {
            let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, "");
            set(&mut response, "not-executed", "1");
            return Ok(response);
        }
        Behaviour::OtherUpstream => return Ok(whole(StatusCode::MISDIRECTED_REQUEST, "")),
        _ => {}
    }
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Closed)?.to_bytes();
    let text = |name: &str| {
        let value = parts.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let attempt = text("attempt-id").unwrap_or_default();
    let last_event = text("last-event-id").and_then(|text| text.parse().ok());
    let forged = FORGEABLE
        .iter()
        .filter(|name| parts.headers.contains_key(**name));
    let index = {
        let mut runs = lock(&shared.runs);
        runs.push(Run {
            attempt: attempt.clone(),
            path: parts.uri.path().to_owned(),
            body,
            deadline_ms: text("deadline-ms").and_then(|text| text.parse().ok()),
            last_event,
            forged: forged.map(|name| (*name).to_owned()).collect(),
            is_whole: false,
        });
        runs.len() - 1
    };
    let is_stream = parts.headers.contains_key("token-usage");
    let (events, pause_ms) = match behaviour {
        Behaviour::Answer { events, pause_ms } => (events, pause_ms),
        Behaviour::LosesAnswer => return Err(Closed),
        Behaviour::BreaksOff(events) => (events, 0),
        _ => (1, 0),
    };
    let breaks = matches!(behaviour, Behaviour::BreaksOff(_));
    let mut response = if is_stream {
        let from = last_event.unwrap_or(0);
        let run = Stream {
            shared: Arc::clone(&shared),
            index,
            from,
            events,
            pause_ms,
            breaks,
        };
        Response::new(run.body())
    } else {
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        lock(&shared.runs)[index].is_whole = true;
        whole(StatusCode::OK, format!("done by {}", shared.id))
    };
    let is_other = behaviour == Behaviour::WrongAttempt;
    set(
        &mut response,
        "attempt-id",
        if is_other { "another" } else { &attempt },
    );
    if behaviour != Behaviour::Unsigned {
        set(
            &mut response,
            "server-signature",
            &format!("sig-{}", shared.id),
        );
    }
    Ok(response)
}

fn set(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// A stream of events that is sent.
struct Stream {
    shared: Arc<Shared>,
    index: usize,
    from: u64,
    events: u64,
    pause_ms: u64,
    breaks: bool,
}

impl Stream {
    /// Events are numbered from one over all runs of a request; each holds `tN`.
    fn body(self) -> Body {
        let last = if self.breaks {
            self.from + self.events
        } else {
            self.events
        };
        let first = self.from + 1;
        let frames = stream::unfold((first, self), move |(next, run)| async move {
            if next > last {
                if run.breaks && next == last + 1 {
                    let error = std::io::Error::other("broken off");
                    return Some((Err(error), (next + 1, run)));
                }
                lock(&run.shared.runs)[run.index].is_whole = !run.breaks;
                return None;
            }
            tokio::time::sleep(Duration::from_millis(run.pause_ms)).await;
            let event = format!("id: {next}\ndata: t{next}\n\n");
            Some((Ok(Frame::data(Bytes::from(event))), (next + 1, run)))
        });
        BodyExt::boxed(StreamBody::new(frames))
    }
}
