//! Fake store of the users' platform with rows, transactions, change feeds and injected outages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::http::{Body, ConnectionClosed, HandlerResult, ListenerControl, Server, json_response};

/// Interval at which a waiting feed request checks for changes; a change wakes it earlier.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The availability of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Works normally.
    Up,
    /// Rejects every request with status 503 and has no effect.
    Unavailable,
    /// Never responds, and has no effect.
    Unresponsive,
    /// Handles each request after this many milliseconds.
    Slow(u64),
    /// Applies transactions and closes their connections without a response.
    LosesResponses,
    /// Closes the connections of transactions without a response, and applies them after this many
    /// milliseconds, if their conditions hold by then.
    AppliesLate(u64),
}

/// Table, partition and key of a row.
type RowKey = (String, String, String);

/// A value, base64-encoded, and the version of the transaction that wrote it.
#[derive(Clone, Debug)]
struct StoredRow {
    /// None for a removed row, which feeds report as a tombstone.
    value: Option<String>,
    version: u64,
}

/// The rows, the injected faults and the request counts of the store.
#[derive(Debug)]
struct StoreState {
    rows: BTreeMap<RowKey, StoredRow>,
    version: u64,
    /// Feeds that start before this version get status 410.
    oldest_version: u64,
    mode: Mode,
    /// Reads and feeds of this table get no response.
    blocked_table: Option<String>,
    /// Partitions whose names end with one of these reject reads and writes with status 503.
    unavailable_suffixes: Vec<char>,
    reads: u64,
    writes: u64,
    started_at: Instant,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<StoreState>,
    changed: Notify,
}

/// Requires a row to have a version; 0 requires it to be absent.
#[derive(Deserialize)]
struct Condition {
    table: String,
    #[serde(rename = "part")]
    partition: String,
    key: String,
    #[serde(rename = "ver")]
    version: u64,
}

impl Condition {
    fn row_key(&self) -> RowKey {
        (self.table.clone(), self.partition.clone(), self.key.clone())
    }
}

#[derive(Deserialize)]
struct Write {
    table: String,
    #[serde(rename = "part")]
    partition: String,
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct Delete {
    table: String,
    #[serde(rename = "part")]
    partition: String,
    key: String,
}

#[derive(Deserialize)]
struct Transaction {
    precondition: Vec<Condition>,
    writes: Vec<Write>,
    remove: Vec<Delete>,
}

/// The store as one instance sees it. Upstreams have other addresses, such as those of relays, so that
/// the instance can be cut off from them alone.
#[derive(Debug)]
pub struct View {
    server: Server,
    is_rejecting: Arc<AtomicBool>,
}

impl View {
    /// Returns the listen address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets whether the store rejects the later requests of this instance with status 503.
    pub fn set_rejecting(&self, is_rejecting: bool) {
        self.is_rejecting.store(is_rejecting, Ordering::Relaxed);
    }
}

impl Store {
    /// Starts a view in which the addresses of upstreams are replaced.
    #[must_use]
    pub fn spawn_view(&self, addresses: BTreeMap<SocketAddr, SocketAddr>) -> View {
        let shared = Arc::clone(&self.shared);
        let addresses = Arc::new(addresses);
        let is_rejecting = Arc::new(AtomicBool::new(false));
        let rejects = Arc::clone(&is_rejecting);
        let handler = move |request| {
            let (shared, addresses) = (Arc::clone(&shared), Arc::clone(&addresses));
            let rejects = Arc::clone(&rejects);
            async move {
                let rejection = || json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
                if rejects.load(Ordering::Relaxed) {
                    return Ok(rejection());
                }
                let response = handle_request(shared, request).await?;
                // A feed may have waited meanwhile.
                if rejects.load(Ordering::Relaxed) {
                    return Ok(rejection());
                }
                replace_addresses(response, &addresses).await
            }
        };
        let server = Server::spawn(&ListenerControl::new(), handler);
        View {
            server,
            is_rejecting,
        }
    }

    /// Starts an empty store on a free port of 127.0.0.1.
    #[must_use]
    pub fn spawn() -> Self {
        let shared = Arc::new(Shared {
            state: Mutex::new(StoreState {
                rows: BTreeMap::new(),
                version: 1,
                oldest_version: 0,
                mode: Mode::Up,
                blocked_table: None,
                unavailable_suffixes: Vec::new(),
                reads: 0,
                writes: 0,
                started_at: Instant::now(),
            }),
            changed: Notify::new(),
        });
        let handler = {
            let shared = Arc::clone(&shared);
            move |request| handle_request(Arc::clone(&shared), request)
        };
        let server = Server::spawn(&ListenerControl::new(), handler);
        Self { shared, server }
    }

    /// Returns the listen address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the mode of later requests.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().mode = mode;
    }

    /// Blocks reads and feeds of a table without a response; `None` unblocks later ones.
    pub fn block_reads(&self, table: Option<&str>) {
        self.shared.lock().blocked_table = table.map(str::to_owned);
    }

    /// Rejects reads and writes of the partitions whose names end with one of `ends`.
    pub fn set_unavailable_partitions(&self, ends: &[char]) {
        self.shared.lock().unavailable_suffixes = ends.to_vec();
    }

    /// Writes a row of the partition with the empty name, as an operator or an upstream does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        self.shared
            .lock()
            .set(table, "", key, Some(STANDARD.encode(value)));
        self.shared.changed.notify_waiters();
    }

    /// Removes a row of the partition with the empty name.
    pub fn remove(&self, table: &str, key: &str) {
        self.shared.lock().set(table, "", key, None);
        self.shared.changed.notify_waiters();
    }

    /// Discards the change history; feeds that continue from an earlier version get status 410.
    pub fn discard_history(&self) {
        let mut state = self.shared.lock();
        state.oldest_version = state.version;
        state.rows.retain(|_, row| row.value.is_some());
    }

    /// Returns the number of read requests and of transaction requests.
    #[must_use]
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.reads, state.writes)
    }

    /// Returns the number of rows of a table.
    #[must_use]
    pub fn row_count(&self, table: &str) -> usize {
        let state = self.shared.lock();
        let live = state.rows.iter().filter(|(_, row)| row.value.is_some());
        live.filter(|((name, _, _), _)| name == table).count()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoreState {
    fn set(&mut self, table: &str, partition: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let row = StoredRow {
            value,
            version: self.version,
        };
        self.rows
            .insert((table.into(), partition.into(), key.into()), row);
    }

    fn is_unavailable(&self, partition: &str) -> bool {
        self.unavailable_suffixes
            .iter()
            .any(|suffix| partition.ends_with(*suffix))
    }

    /// Returns the current version of a condition's row, or 0 if it is absent.
    fn row_version(&self, condition: &Condition) -> u64 {
        let live = self
            .rows
            .get(&condition.row_key())
            .filter(|row| row.value.is_some());
        live.map_or(0, |row| row.version)
    }

    /// Returns the steady clock in milliseconds.
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Returns the existing rows among those of conditions.
    fn condition_rows(&self, conditions: &[Condition]) -> Vec<Value> {
        let keys = conditions.iter().map(Condition::row_key);
        let rows = keys.filter_map(|key| Some((self.rows.get(&key)?, key)));
        rows.filter(|(row, _)| row.value.is_some())
            .map(|(row, key)| row_json(&key, row))
            .collect()
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Returns the rows of the conditions if one of them fails.
    fn apply(&mut self, transaction: Transaction) -> Result<(), Vec<Value>> {
        let mut conditions = transaction.precondition.iter();
        if !conditions.all(|condition| self.row_version(condition) == condition.version) {
            return Err(self.condition_rows(&transaction.precondition));
        }
        self.version += 1;
        let version = self.version;
        for write in transaction.writes {
            let row = StoredRow {
                value: Some(write.value),
                version,
            };
            self.rows
                .insert((write.table, write.partition, write.key), row);
        }
        for delete in transaction.remove {
            let row = StoredRow {
                value: None,
                version,
            };
            self.rows
                .insert((delete.table, delete.partition, delete.key), row);
        }
        Ok(())
    }

    /// Returns the rows of a partition with keys from `from` up to but not including `to`.
    fn read(&self, query: &BTreeMap<String, String>) -> Value {
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, partition, from, to) = (get("table"), get("part"), get("from"), get("to"));
        let rows = self.rows.iter().filter(|((in_table, in_part, key), row)| {
            let is_within = *key >= from && (to.is_empty() || *key < to);
            *in_table == table && *in_part == partition && is_within && row.value.is_some()
        });
        let rows: Vec<_> = rows.map(|(name, row)| row_json(name, row)).collect();
        json!({"rows": rows, "has_more": false, "ver": self.version, "now_ms": self.now_ms()})
    }

    /// Returns the rows of a table that changed after a version, or none if there are none.
    fn changes_after(&self, table: &str, after: u64) -> Option<Value> {
        let rows = self.rows.iter();
        let newer = rows.filter(|((name, _, _), row)| name == table && row.version > after);
        let rows: Vec<_> = newer.map(|(name, row)| row_json(name, row)).collect();
        (!rows.is_empty())
            .then(|| json!({"rows": rows, "ver": self.version, "now_ms": self.now_ms()}))
    }
}

fn row_json((table, partition, key): &RowKey, row: &StoredRow) -> Value {
    match &row.value {
        Some(value) => {
            json!({"table": table, "part": partition, "key": key, "value": value, "ver": row.version})
        }
        None => {
            json!({"table": table, "part": partition, "key": key, "tombstone": true, "ver": row.version})
        }
    }
}

async fn handle_request(shared: Arc<Shared>, request: Request<Incoming>) -> HandlerResult {
    let mode = shared.lock().mode;
    match mode {
        Mode::Unavailable => return Ok(json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}))),
        Mode::Unresponsive => std::future::pending::<()>().await,
        Mode::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Mode::Up | Mode::LosesResponses | Mode::AppliesLate(_) => {}
    }
    let query = parse_query(request.uri().query().unwrap_or_default());
    let is_blocked = shared.lock().blocked_table.as_ref() == query.get("table");
    if is_blocked && query.contains_key("table") {
        std::future::pending::<()>().await;
    }
    match request.uri().path() {
        "/rows-get" => {
            let mut state = shared.lock();
            state.reads += 1;
            if query
                .get("part")
                .is_some_and(|partition| state.is_unavailable(partition))
            {
                return Ok(json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
            }
            Ok(json_response(StatusCode::OK, &state.read(&query)))
        }
        "/rows-feed" => Ok(handle_feed(&shared, &query).await),
        "/rows-tx" => handle_transaction(shared, request, mode).await,
        _ => Ok(json_response(StatusCode::NOT_FOUND, &json!({}))),
    }
}

async fn replace_addresses(
    response: Response<Body>,
    addresses: &BTreeMap<SocketAddr, SocketAddr>,
) -> HandlerResult {
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| ConnectionClosed)?.to_bytes();
    let mut page: Value = serde_json::from_slice(&body).map_err(|_| ConnectionClosed)?;
    let rows = page["rows"].as_array_mut().into_iter().flatten();
    for row in rows.filter(|row| row["table"] == "servers") {
        let value = row["value"].as_str().unwrap_or_default();
        let entry = STANDARD.decode(value).unwrap_or_default();
        let Ok(mut entry) = serde_json::from_slice::<Value>(&entry) else {
            continue;
        };
        let address = entry["address"].as_str().and_then(|text| text.parse().ok());
        if let Some(replaced) = address.and_then(|address| addresses.get(&address)) {
            entry["address"] = json!(replaced.to_string());
            row["value"] = json!(STANDARD.encode(entry.to_string()));
        }
    }
    Ok(json_response(status, &page))
}

async fn handle_transaction(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    mode: Mode,
) -> HandlerResult {
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| ConnectionClosed)?
        .to_bytes();
    let Ok(transaction) = serde_json::from_slice::<Transaction>(&body) else {
        return Ok(json_response(StatusCode::BAD_REQUEST, &json!({})));
    };
    if let Mode::AppliesLate(ms) = mode {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            // Its sender has given up.
            let _ = shared.lock().apply(transaction);
            shared.changed.notify_waiters();
        });
        return Err(ConnectionClosed);
    }
    let (result, version, now_ms) = {
        let mut state = shared.lock();
        state.writes += 1;
        if transaction
            .writes
            .iter()
            .any(|write| state.is_unavailable(&write.partition))
        {
            return Ok(json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
        }
        (state.apply(transaction), state.version, state.now_ms())
    };
    shared.changed.notify_waiters();
    if mode == Mode::LosesResponses {
        return Err(ConnectionClosed);
    }
    let (status, rows) = match result {
        Ok(()) => (StatusCode::OK, Vec::new()),
        Err(rows) => (StatusCode::PRECONDITION_FAILED, rows),
    };
    Ok(json_response(
        status,
        &json!({"rows": rows, "ver": version, "now_ms": now_ms}),
    ))
}

async fn handle_feed(
    shared: &Shared,
    query: &BTreeMap<String, String>,
) -> hyper::Response<crate::http::Body> {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let table = query.get("table").cloned().unwrap_or_default();
    let after = number("after").unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
    let started_at = tokio::time::Instant::now();
    loop {
        {
            let state = shared.lock();
            if after < state.oldest_version {
                return json_response(StatusCode::GONE, &json!({}));
            }
            if let Some(changes) = state.changes_after(&table, after) {
                return json_response(StatusCode::OK, &changes);
            }
            if started_at.elapsed() >= wait {
                let empty = json!({"rows": [], "ver": state.version, "now_ms": state.now_ms()});
                return json_response(StatusCode::OK, &empty);
            }
        }
        let _ = tokio::time::timeout(FEED_POLL_INTERVAL, shared.changed.notified()).await;
    }
}

fn parse_query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
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
