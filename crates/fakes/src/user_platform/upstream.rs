//! Fake model engine or plain service of the users' platform.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::json;

use super::store::Store;
use crate::http::{Body, ConnectionClosed, HandlerResult, ListenerControl, Server, full_response};

/// How an upstream responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Responds to plain requests with a complete body, and to others with a stream of events.
    Respond {
        /// Number of events of a stream.
        events: u64,
        /// Milliseconds before the response and before each event.
        interval_ms: u64,
    },
    /// Rejects requests with status 503 as not executed.
    Full,
    /// Rejects requests with status 421, as another upstream at the same address does.
    OtherUpstream,
    /// Runs the request and closes the connection without a response.
    LosesResponse,
    /// Breaks the stream after this many events.
    BreaksOff(u64),
    /// Runs the request and responds with another attempt id.
    WrongAttempt,
    /// Runs the request and responds without a server signature.
    Unsigned,
    /// Runs the request and responds at once with status 500.
    ServerError,
}

/// A request that an upstream has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Attempt id (`attempt-id`); empty if absent.
    pub attempt_id: String,
    /// Request path.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Remaining time in milliseconds (`deadline-ms`).
    pub deadline_ms: Option<u64>,
    /// Last event that was received before (`last-event-id`).
    pub last_event: Option<u64>,
    /// Names of internal headers that a caller sent and that were passed on.
    pub forged_headers: Vec<String>,
    /// Name of the client account (`tenant`), with all values if the header is repeated.
    pub account: Option<String>,
    /// Whether the caller's key (`credential`) was passed on.
    pub has_key: bool,
    /// Version of the upstream's software.
    pub version: String,
    /// Whether the whole response was sent.
    pub completed: bool,
}

/// Text in the body of a request that crashes the upstreams which begin to run it.
pub const CRASH_MARKER: &str = "CRASH";

#[derive(Debug)]
struct Shared {
    /// Id and start time of the present incarnation.
    incarnation: Mutex<Incarnation>,
    version: String,
    control: ListenerControl,
    crashes: Mutex<Vec<Crash>>,
    behaviour: Mutex<Behaviour>,
    /// Value of the header that names the rate limit.
    rate_limit: Mutex<Option<String>>,
    /// Whether its answers say that it leaves.
    is_leaving: AtomicBool,
    arrivals: Mutex<Vec<Instant>>,
    requests: Mutex<Vec<RequestRecord>>,
}

/// One run of an upstream's process.
#[derive(Clone, Debug)]
struct Incarnation {
    id: String,
    started_ms: u64,
}

/// The end of an upstream's process because of a request.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Id of the upstream.
    pub upstream: String,
    /// Body of the request.
    pub body: Bytes,
    /// When the process ended.
    pub at: Instant,
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<Shared>,
    service: String,
    server: Server,
}

/// Start time of the first incarnation of each upstream, in milliseconds.
const FIRST_START_MS: u64 = 7;

/// Path on which the events of two runs have different data, as those of real engines.
const VARIED_PATH: &str = "/varied/";

/// Internal headers that must be removed from callers' requests.
const INTERNAL_HEADERS: [&str; 12] = [
    "hold",
    "pin-ms",
    "kv-from",
    "kv-backup",
    "request-priority",
    "relay-account",
    "relay-key",
    "relay-version",
    "relay-config",
    "relay-repeatable",
    "relay-ran",
    "relay-config-copy",
];

impl Upstream {
    /// Starts an upstream of a service on a free port of 127.0.0.1, and registers it as ready.
    #[must_use]
    pub fn spawn(store: &Store, id: &str, service: &str, behaviour: Behaviour) -> Self {
        Self::spawn_version(store, id, service, "v1", behaviour)
    }

    /// Like [`Self::spawn`], with a version of its software.
    #[must_use]
    pub fn spawn_version(
        store: &Store,
        id: &str,
        service: &str,
        version: &str,
        behaviour: Behaviour,
    ) -> Self {
        let control = ListenerControl::new();
        let shared = Arc::new(Shared {
            incarnation: Mutex::new(Incarnation {
                id: id.to_owned(),
                started_ms: FIRST_START_MS,
            }),
            version: version.to_owned(),
            control: control.clone(),
            crashes: Mutex::default(),
            behaviour: Mutex::new(behaviour),
            rate_limit: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            arrivals: Mutex::default(),
            requests: Mutex::default(),
        });
        let handler = {
            let shared = Arc::clone(&shared);
            move |request| handle_request(Arc::clone(&shared), request)
        };
        let server = Server::spawn(&control, handler);
        let upstream = Self {
            shared,
            service: service.to_owned(),
            server,
        };
        upstream.register(store, "ready");
        upstream
    }

    /// Writes its entry in the store with a state.
    pub fn register(&self, store: &Store, state: &str) {
        self.register_at(store, state, self.address());
    }

    /// Writes its entry in the store with a state and an address, such as that of a relay.
    pub fn register_at(&self, store: &Store, state: &str, address: SocketAddr) {
        let incarnation = lock(&self.shared.incarnation).clone();
        let entry = json!({
            "service": self.service, "address": address.to_string(), "zone": "z1",
            "version": self.shared.version, "slots": 8, "state": state, "cold_left_ms": 0, "seq": 1,
            "born": incarnation.started_ms,
        });
        store.put("servers", &incarnation.id, entry.to_string().as_bytes());
    }

    /// Closes the listener and all connections, as the end of the process does. The entry in the
    /// store stays.
    pub fn crash(&self) {
        self.shared.control.set_open(false);
    }

    /// Starts again after a crash under another id, at the same address. The entry of the earlier
    /// incarnation is removed.
    pub fn restart(&self, store: &Store, id: &str) {
        let earlier = {
            let mut incarnation = lock(&self.shared.incarnation);
            incarnation.started_ms += 1;
            std::mem::replace(&mut incarnation.id, id.to_owned())
        };
        store.remove("servers", &earlier);
        self.shared.control.set_open(true);
        self.register(store, "ready");
    }

    /// Returns the crashes that requests with [`CRASH_MARKER`] caused, in order.
    #[must_use]
    pub fn crashes(&self) -> Vec<Crash> {
        lock(&self.shared.crashes).clone()
    }

    /// Returns whether the process runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.shared.control.is_open()
    }

    /// Returns the listen address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the behaviour for later requests.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *lock(&self.shared.behaviour) = behaviour;
    }

    /// Sets the text of the rate limit that later responses name; `None` names none.
    pub fn set_rate_limit(&self, text: Option<&str>) {
        *lock(&self.shared.rate_limit) = text.map(str::to_owned);
    }

    /// Sets whether later answers say that it leaves. Its entry stays as it is.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.shared.is_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// Returns when each request arrived, in order, whether it was run or not.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }

    /// Returns the requests that it has run, in order of arrival.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestRecord> {
        lock(&self.shared.requests).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle_request(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    lock(&shared.arrivals).push(Instant::now());
    let mut response = respond(Arc::clone(&shared), request).await?;
    if let Some(text) = lock(&shared.rate_limit).as_deref() {
        set_header(&mut response, "server-limit", text);
    }
    if shared.is_leaving.load(Ordering::Relaxed) {
        set_header(&mut response, "server-leaving", "1");
    }
    Ok(response)
}

async fn respond(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let behaviour = *lock(&shared.behaviour);
    match behaviour {
        Behaviour::Full => return Ok(refusal(&request, StatusCode::SERVICE_UNAVAILABLE)),
        Behaviour::OtherUpstream => return Ok(refusal(&request, StatusCode::MISDIRECTED_REQUEST)),
        _ => {}
    }
    let expected = request.headers().get("expect-instance");
    if expected.is_some_and(|expected| expected != lock(&shared.incarnation).id.as_str()) {
        return Ok(refusal(&request, StatusCode::MISDIRECTED_REQUEST));
    }
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let header_text = |name: &str| {
        let value = parts.headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let upstream_id = lock(&shared.incarnation).id.clone();
    let attempt_id = header_text("attempt-id").unwrap_or_default();
    let last_event = header_text("last-event-id").and_then(|text| text.parse().ok());
    let forged_headers = INTERNAL_HEADERS
        .iter()
        .filter(|name| parts.headers.contains_key(**name));
    let accounts = parts.headers.get_all("tenant").iter();
    let accounts: Vec<_> = accounts
        .map(|value| String::from_utf8_lossy(value.as_bytes()))
        .collect();
    let index = {
        let mut requests = lock(&shared.requests);
        requests.push(RequestRecord {
            attempt_id: attempt_id.clone(),
            path: parts.uri.path().to_owned(),
            body: body.clone(),
            deadline_ms: header_text("deadline-ms").and_then(|text| text.parse().ok()),
            last_event,
            forged_headers: forged_headers.map(|name| (*name).to_owned()).collect(),
            account: (!accounts.is_empty()).then(|| accounts.join(", ")),
            has_key: parts.headers.contains_key("credential"),
            version: shared.version.clone(),
            completed: false,
        });
        requests.len() - 1
    };
    if body
        .windows(CRASH_MARKER.len())
        .any(|text| text == CRASH_MARKER.as_bytes())
    {
        lock(&shared.crashes).push(Crash {
            upstream: upstream_id,
            body,
            at: Instant::now(),
        });
        shared.control.set_open(false);
        return Err(ConnectionClosed);
    }
    let is_error = behaviour == Behaviour::ServerError;
    let is_stream = parts.headers.contains_key("token-usage") && !is_error;
    let (events, interval_ms) = match behaviour {
        Behaviour::Respond {
            events,
            interval_ms,
        } => (events, interval_ms),
        Behaviour::LosesResponse => return Err(ConnectionClosed),
        Behaviour::BreaksOff(events) => (events, 0),
        _ => (1, 0),
    };
    let breaks_off = matches!(behaviour, Behaviour::BreaksOff(_));
    let mut response = if is_stream {
        let last_event = last_event.unwrap_or(0);
        let stream = EventStream {
            shared: Arc::clone(&shared),
            index,
            last_event,
            events,
            interval_ms,
            breaks_off,
            suffix: if parts.uri.path().starts_with(VARIED_PATH) {
                format!(".{attempt_id}")
            } else {
                String::new()
            },
        };
        Response::new(stream.into_body())
    } else {
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        lock(&shared.requests)[index].completed = true;
        full_response(StatusCode::OK, format!("done by {upstream_id}"))
    };
    if is_error {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    let is_wrong_attempt = behaviour == Behaviour::WrongAttempt;
    set_header(
        &mut response,
        "attempt-id",
        if is_wrong_attempt {
            "another"
        } else {
            &attempt_id
        },
    );
    if behaviour != Behaviour::Unsigned {
        set_header(
            &mut response,
            "server-signature",
            &format!("sig-{upstream_id}"),
        );
    }
    Ok(response)
}

/// Returns a rejection of a request that was not run, with its attempt id.
fn refusal(request: &Request<Incoming>, status: StatusCode) -> Response<Body> {
    let mut response = full_response(status, "");
    set_header(&mut response, "not-executed", "1");
    if let Some(attempt_id) = request.headers().get("attempt-id") {
        let headers = response.headers_mut();
        headers.insert("attempt-id", attempt_id.clone());
    }
    response
}

fn set_header(response: &mut Response<Body>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// A response stream of events.
struct EventStream {
    shared: Arc<Shared>,
    index: usize,
    last_event: u64,
    events: u64,
    interval_ms: u64,
    breaks_off: bool,
    /// Text at the end of each event's data.
    suffix: String,
}

impl EventStream {
    /// Returns the body. Event ids count from one across all attempts of a request; event N has
    /// the data `tN`, followed by the attempt id on the path for varied data.
    fn into_body(self) -> Body {
        let last = if self.breaks_off {
            self.last_event + self.events
        } else {
            self.events
        };
        let first = self.last_event + 1;
        let frames = stream::unfold((first, self), move |(next, stream)| async move {
            if next > last {
                if stream.breaks_off && next == last + 1 {
                    let error = std::io::Error::other("stream broken off");
                    return Some((Err(error), (next + 1, stream)));
                }
                lock(&stream.shared.requests)[stream.index].completed = !stream.breaks_off;
                return None;
            }
            tokio::time::sleep(Duration::from_millis(stream.interval_ms)).await;
            let event = format!("id: {next}\ndata: t{next}{}\n\n", stream.suffix);
            Some((Ok(Frame::data(Bytes::from(event))), (next + 1, stream)))
        });
        BodyExt::boxed(StreamBody::new(frames))
    }
}
