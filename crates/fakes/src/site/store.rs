//! A stand-in for the platform's store: rows, transactions and feeds, with its outages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::http::{Answer, Closed, Server, Switch, json as answer};

/// Pause between two looks of a waiting feed; a change wakes it sooner.
const FEED_PAUSE: Duration = Duration::from_millis(20);

/// How the store behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    Up,
    /// Every call is refused with 503, and nothing is done.
    Busy,
    /// No call is answered, and nothing is done.
    Silent,
    /// Every answer comes after so many milliseconds.
    Slow(u64),
    /// Changes are made, and their connections are closed without an answer.
    LosesAnswers,
}

type Name = (String, String, String);

#[derive(Clone, Debug)]
struct Stored {
    /// None for a row that was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Debug)]
struct Inner {
    rows: BTreeMap<Name, Stored>,
    version: u64,
    /// Feeds from before this version are refused.
    oldest: u64,
    mode: Mode,
    /// Reads of this table are not answered.
    held: Option<String>,
    /// Calls of parts whose names end with one of these are refused with 503.
    away: Vec<char>,
    reads: u64,
    writes: u64,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Deserialize)]
struct Condition {
    table: String,
    part: String,
    key: String,
    ver: u64,
}

#[derive(Deserialize)]
struct Write {
    table: String,
    part: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct Removal {
    table: String,
    part: String,
    key: String,
}

#[derive(Deserialize)]
struct Transaction {
    precondition: Vec<Condition>,
    writes: Vec<Write>,
    remove: Vec<Removal>,
}

impl Store {
    /// Starts an empty store on a free port of 127.0.0.1.
    #[must_use]
    pub fn spawn() -> Self {
        let shared = Arc::new(Shared {
            inner: Mutex::new(Inner {
                rows: BTreeMap::new(),
                version: 1,
                oldest: 0,
                mode: Mode::Up,
                held: None,
                away: Vec::new(),
                reads: 0,
                writes: 0,
            }),
            changed: Notify::new(),
        });
        let handler = {
            let shared = Arc::clone(&shared);
            move |request| serve(Arc::clone(&shared), request)
        };
        let server = Server::spawn(&Switch::new(), handler);
        Self { shared, server }
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().mode = mode;
    }

    /// Answers no reads of a table, or of none.
    pub fn hold(&self, table: Option<&str>) {
        self.shared.lock().held = table.map(str::to_owned);
    }

    /// Refuses calls of the parts whose names end with one of these.
    pub fn set_away(&self, ends: &[char]) {
        self.shared.lock().away = ends.to_vec();
    }

    /// Writes a row of the empty part, as the operator or an upstream does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.shared
            .lock()
            .set(table, "", key, Some(STANDARD.encode(value)));
        self.shared.changed.notify_waiters();
    }

    /// Removes a row of the empty part.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.lock().set(table, "", key, None);
        self.shared.changed.notify_waiters();
    }

    /// Discards the history: feeds that go on from before are refused.
    pub fn forget_history(&self) {
        let mut inner = self.shared.lock();
        inner.oldest = inner.version;
        inner.rows.retain(|_, row| row.value.is_some());
    }

    /// Returns how many reads and changes it was asked for.
    #[must_use]
    pub fn calls(&self) -> (u64, u64) {
        let inner = self.shared.lock();
        (inner.reads, inner.writes)
    }

    /// Returns how many rows a table has.
    #[must_use]
    pub fn count(&self, table: &str) -> usize {
        let inner = self.shared.lock();
        let live = inner.rows.iter().filter(|(_, row)| row.value.is_some());
        live.filter(|((name, _, _), _)| name == table).count()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn set(&mut self, table: &str, part: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = Stored {
            value,
            version: self.version,
        };
        self.rows
            .insert((table.into(), part.into(), key.into()), row);
    }

    fn is_away(&self, part: &str) -> bool {
        self.away.iter().any(|end| part.ends_with(*end))
    }

    fn version_of(&self, condition: &Condition) -> u64 {
        let name = (
            condition.table.clone(),
            condition.part.clone(),
            condition.key.clone(),
        );
        let live = self.rows.get(&name).filter(|row| row.value.is_some());
        live.map_or(0, |row| row.version)
    }

    fn apply(&mut self, transaction: Transaction) -> bool {
        let mut conditions = transaction.precondition.iter();
        if !conditions.all(|condition| self.version_of(condition) == condition.ver) {
            return false;
        }
        self.version += 1;
        let version = self.version;
        for write in transaction.writes {
            let row = Stored {
                value: Some(write.value),
                version,
            };
            self.rows.insert((write.table, write.part, write.key), row);
        }
        for removal in transaction.remove {
            let row = Stored {
                value: None,
                version,
            };
            self.rows
                .insert((removal.table, removal.part, removal.key), row);
        }
        true
    }

    fn read(&self, query: &BTreeMap<String, String>) -> Value {
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (get("table"), get("part"), get("from"), get("to"));
        let rows = self.rows.iter().filter(|((in_table, in_part, key), row)| {
            let is_within = *key >= from && (to.is_empty() || *key < to);
            *in_table == table && *in_part == part && is_within && row.value.is_some()
        });
        let rows: Vec<_> = rows.map(|(name, row)| describe(name, row)).collect();
        json!({"rows": rows, "has_more": false, "ver": self.version, "now_ms": 0})
    }

    fn changes(&self, table: &str, after: u64) -> Option<Value> {
        let rows = self.rows.iter();
        let newer = rows.filter(|((name, _, _), row)| name == table && row.version > after);
        let rows: Vec<_> = newer.map(|(name, row)| describe(name, row)).collect();
        (!rows.is_empty()).then(|| json!({"rows": rows, "ver": self.version, "now_ms": 0}))
    }
}

fn describe((table, part, key): &Name, row: &Stored) -> Value {
    match &row.value {
        Some(value) => {
            json!({"table": table, "part": part, "key": key, "value": value, "ver": row.version})
        }
        None => {
            json!({"table": table, "part": part, "key": key, "tombstone": true, "ver": row.version})
        }
    }
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let mode = shared.lock().mode;
    match mode {
        Mode::Busy => return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}))),
        Mode::Silent => std::future::pending::<()>().await,
        Mode::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Mode::Up | Mode::LosesAnswers => {}
    }
    let query = query(request.uri().query().unwrap_or_default());
    let is_held = shared.lock().held.as_ref() == query.get("table");
    if is_held && query.contains_key("table") {
        std::future::pending::<()>().await;
    }
    match request.uri().path() {
        "/rows-get" => {
            let mut inner = shared.lock();
            inner.reads += 1;
            if query.get("part").is_some_and(|part| inner.is_away(part)) {
                return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
            }
            Ok(answer(StatusCode::OK, &inner.read(&query)))
        }
        "/rows-feed" => Ok(feed(&shared, &query).await),
        "/rows-tx" => change(&shared, request, mode).await,
        _ => Ok(answer(StatusCode::NOT_FOUND, &json!({}))),
    }
}

async fn change(shared: &Shared, request: Request<Incoming>, mode: Mode) -> Answer {
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| Closed)?
        .to_bytes();
    let Ok(transaction) = serde_json::from_slice::<Transaction>(&body) else {
        return Ok(answer(StatusCode::BAD_REQUEST, &json!({})));
    };
    let (is_done, version) = {
        let mut inner = shared.lock();
        inner.writes += 1;
        if transaction
            .writes
            .iter()
            .any(|write| inner.is_away(&write.part))
        {
            return Ok(answer(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
        }
        (inner.apply(transaction), inner.version)
    };
    shared.changed.notify_waiters();
    if mode == Mode::LosesAnswers {
        return Err(Closed);
    }
    let status = if is_done {
        StatusCode::OK
    } else {
        StatusCode::PRECONDITION_FAILED
    };
    Ok(answer(
        status,
        &json!({"rows": [], "ver": version, "now_ms": 0}),
    ))
}

async fn feed(
    shared: &Shared,
    query: &BTreeMap<String, String>,
) -> hyper::Response<crate::http::Body> {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let table = query.get("table").cloned().unwrap_or_default();
    let after = number("after").unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
    let began = tokio::time::Instant::now();
    loop {
        {
            let inner = shared.lock();
            if after < inner.oldest {
                return answer(StatusCode::GONE, &json!({}));
            }
            if let Some(changes) = inner.changes(&table, after) {
                return answer(StatusCode::OK, &changes);
            }
            if began.elapsed() >= wait {
                let empty = json!({"rows": [], "ver": inner.version, "now_ms": 0});
                return answer(StatusCode::OK, &empty);
            }
        }
        let _ = tokio::time::timeout(FEED_PAUSE, shared.changed.notified()).await;
    }
}

fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), unescape(value)))
        .collect()
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
