//! The platform's store: rows, transactions and change feeds, as `PROTOCOL.md` describes them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::http::{Connection, Head};
use crate::{lock, sleep_ms};

/// Time of a transaction and of a read at a healthy store, in milliseconds.
const TX_MS: u64 = 8;
const READ_MS: u64 = 4;

type RowKey = (String, String, String);

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    version: u64,
}

#[derive(Debug)]
struct Shared {
    rows: Mutex<Rows>,
    changed: Notify,
    began: Instant,
    /// How many times longer than usual answers take.
    slowness: AtomicU64,
    /// Of each 100 transactions, how many are done without an answer, and how many are done late.
    lost: AtomicU64,
    late: AtomicU64,
    calls: AtomicU64,
    /// Partitions whose names end with this character are unavailable; 0 for none.
    unavailable: AtomicU64,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store(Arc<Shared>);

/// The store's address for one machine.
#[derive(Clone, Debug)]
pub struct View {
    pub address: SocketAddr,
    is_rejecting: Arc<AtomicU64>,
    /// Addresses of runners, and those at which this machine reaches them through a proxy.
    proxies: Arc<Mutex<BTreeMap<String, String>>>,
}

impl View {
    /// Turns the machine away with 503, or serves it again.
    pub fn set_rejecting(&self, is_rejecting: bool) {
        self.is_rejecting
            .store(u64::from(is_rejecting), Ordering::SeqCst);
    }

    /// Lets the machine reach a runner through a proxy.
    pub fn set_proxy(&self, runner: SocketAddr, proxy: SocketAddr) {
        lock(&self.proxies).insert(runner.to_string(), proxy.to_string());
    }

    fn replace_addresses(&self, answer: &mut Value) {
        let proxies = lock(&self.proxies);
        let rows = answer["rows"].as_array_mut().into_iter().flatten();
        for row in rows.filter(|row| row["table"] == "servers" && !proxies.is_empty()) {
            let value = STANDARD.decode(row["value"].as_str().unwrap_or_default());
            let entry = serde_json::from_slice::<Value>(&value.unwrap_or_default());
            let Ok(mut entry) = entry else { continue };
            let address = entry["address"].as_str().unwrap_or_default();
            if let Some(proxy) = proxies.get(address) {
                entry["address"] = json!(proxy);
                row["value"] = json!(STANDARD.encode(entry.to_string()));
            }
        }
    }

    fn rejects(&self) -> bool {
        self.is_rejecting.load(Ordering::SeqCst) != 0
    }
}

impl Default for Store {
    fn default() -> Self {
        Self(Arc::new(Shared {
            rows: Mutex::new(Rows {
                version: 1,
                ..Rows::default()
            }),
            changed: Notify::new(),
            began: Instant::now(),
            slowness: AtomicU64::new(1),
            lost: AtomicU64::new(0),
            late: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            unavailable: AtomicU64::new(0),
        }))
    }
}

impl Store {
    /// Opens an address for a machine.
    pub async fn open_view(&self) -> View {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("store");
        let view = View {
            address: listener.local_addr().expect("address"),
            is_rejecting: Arc::default(),
            proxies: Arc::default(),
        };
        let (store, own) = (self.clone(), view.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (store, view) = (store.clone(), own.clone());
                tokio::spawn(async move {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(head)) = connection.read_head().await {
                        let mut body = Vec::new();
                        if connection.read_body(&head, &mut body).await.is_err() {
                            return;
                        }
                        let (status, mut answer) = store.handle(&view, &head, &body).await;
                        view.replace_addresses(&mut answer);
                        let text = answer.to_string();
                        let json = [("Content-Type", "application/json")];
                        let sent = connection.respond(status, &json, text.as_bytes());
                        if sent.await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        view
    }

    /// Makes answers take `times` as long as usual.
    pub fn set_slowness(&self, times: u64) {
        self.0.slowness.store(times, Ordering::SeqCst);
    }

    /// Leaves a share of the transactions without an answer, in percent: `lost` of them are done at
    /// once, `late` of them one to six seconds later.
    pub fn set_lost(&self, lost: u64, late: u64) {
        self.0.lost.store(lost, Ordering::SeqCst);
        self.0.late.store(late, Ordering::SeqCst);
    }

    /// Makes the partitions unavailable whose names end with a character.
    pub fn set_unavailable(&self, end: Option<char>) {
        let end = end.map_or(0, u64::from);
        self.0.unavailable.store(end, Ordering::SeqCst);
    }

    fn is_unavailable(&self, part: &str) -> bool {
        let end = self.0.unavailable.load(Ordering::SeqCst);
        end != 0
            && part
                .chars()
                .last()
                .is_some_and(|last| u64::from(last) == end)
    }

    /// Writes a row, as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let value = Some(STANDARD.encode(value.to_string()));
        self.set(table, key, value);
    }

    /// Removes a row, as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        self.set(table, key, None);
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = lock(&self.0.rows);
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (value, version));
        drop(rows);
        self.0.changed.notify_waiters();
    }

    /// Returns the keys and values of the rows of a table.
    #[must_use]
    pub fn rows_of(&self, table: &str) -> Vec<(String, Vec<u8>)> {
        let rows = lock(&self.0.rows);
        let live = rows.rows.iter().filter(|((name, _, _), _)| name == table);
        live.filter_map(|((_, _, key), (value, _))| {
            Some((key.clone(), STANDARD.decode(value.as_ref()?).ok()?))
        })
        .collect()
    }

    fn stamp(&self, rows: Vec<Value>, version: u64) -> Value {
        let now_ms = self.0.began.elapsed().as_millis() as u64;
        json!({"rows": rows, "has_more": false, "ver": version, "now_ms": now_ms})
    }

    async fn handle(&self, view: &View, head: &Head, body: &[u8]) -> (&'static str, Value) {
        const REJECTED: &str = "503 Service Unavailable";
        if view.rejects() {
            return (REJECTED, json!({}));
        }
        let slowness = self.0.slowness.load(Ordering::SeqCst);
        let (_, target) = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = parse_query(query);
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/rows-get" => {
                if self.is_unavailable(&get("part")) {
                    return (REJECTED, json!({}));
                }
                // A read is as of the moment of its arrival.
                let answer = self.read(&get("table"), &get("part"), &get("from"), &get("to"));
                sleep_ms(READ_MS * slowness).await;
                ("200 OK", answer)
            }
            "/rows-tx" => {
                // A transaction takes effect at its end.
                sleep_ms(TX_MS * slowness).await;
                let transaction: Value = serde_json::from_slice(body).unwrap_or_default();
                if self.is_unavailable(transaction["writes"][0]["part"].as_str().unwrap_or("")) {
                    return (REJECTED, json!({}));
                }
                // Spreads the faults evenly over the calls.
                let call = self.0.calls.fetch_add(1, Ordering::SeqCst);
                let draw = call.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
                let lost = self.0.lost.load(Ordering::SeqCst);
                if draw % 100 < lost {
                    let _ = self.apply(&transaction);
                    return std::future::pending().await;
                }
                if draw % 100 < lost + self.0.late.load(Ordering::SeqCst) {
                    let store = self.clone();
                    tokio::spawn(async move {
                        sleep_ms(1_000 + draw / 100 % 5_000).await;
                        let _ = store.apply(&transaction);
                    });
                    return std::future::pending().await;
                }
                self.apply(&transaction)
            }
            "/rows-feed" => {
                let after = get("after").parse().unwrap_or(0);
                let wait_ms = get("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms);
                let table = get("table");
                loop {
                    let changed = self.0.changed.notified();
                    if view.rejects() {
                        return (REJECTED, json!({}));
                    }
                    let (rows, version) = self.changes(&table, after);
                    if !rows.is_empty() || Instant::now() >= until {
                        if slowness > 1 {
                            sleep_ms(READ_MS * slowness).await;
                        }
                        return ("200 OK", self.stamp(rows, version));
                    }
                    let pause = until.saturating_duration_since(Instant::now());
                    let _ =
                        tokio::time::timeout(pause.min(Duration::from_millis(50)), changed).await;
                }
            }
            _ => ("404 Not Found", json!({})),
        }
    }

    fn read(&self, table: &str, part: &str, from: &str, to: &str) -> Value {
        let rows = lock(&self.0.rows);
        let found = rows.rows.iter().filter(|((t, p, key), (value, _))| {
            t == table
                && p == part
                && key.as_str() >= from
                && (to.is_empty() || key.as_str() < to)
                && value.is_some()
        });
        let found = found.map(|(key, row)| row_json(key, row)).collect();
        self.stamp(found, rows.version)
    }

    fn changes(&self, table: &str, after: u64) -> (Vec<Value>, u64) {
        let rows = lock(&self.0.rows);
        let mut newer: Vec<_> = rows
            .rows
            .iter()
            .filter(|((name, _, _), (_, version))| name == table && *version > after)
            .collect();
        newer.sort_by_key(|(_, (_, version))| *version);
        let newer = newer.into_iter().map(|(key, row)| row_json(key, row));
        (newer.collect(), rows.version)
    }

    fn apply(&self, transaction: &Value) -> (&'static str, Value) {
        let mut rows = lock(&self.0.rows);
        let entries = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
        let live = |rows: &Rows, key: &RowKey| {
            let row = rows.rows.get(key).filter(|(value, _)| value.is_some());
            row.map_or(0, |(_, version)| *version)
        };
        let conditions = entries("precondition");
        let holds = conditions.iter().all(|condition| {
            live(&rows, &row_key(condition)) == condition["ver"].as_u64().unwrap_or(0)
        });
        if !holds {
            let known = conditions.iter().map(row_key);
            let known = known.filter_map(|key| {
                let row = rows.rows.get(&key).filter(|(value, _)| value.is_some())?;
                Some(row_json(&key, row))
            });
            let answer = self.stamp(known.collect(), rows.version);
            return ("412 Precondition Failed", answer);
        }
        rows.version += 1;
        let version = rows.version;
        for write in entries("writes") {
            let value = write["value"].as_str().unwrap_or_default().to_owned();
            rows.rows.insert(row_key(&write), (Some(value), version));
        }
        for removed in entries("remove") {
            rows.rows.insert(row_key(&removed), (None, version));
        }
        drop(rows);
        self.0.changed.notify_waiters();
        ("200 OK", self.stamp(Vec::new(), version))
    }
}

fn row_key(entry: &Value) -> RowKey {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json((table, part, key): &RowKey, (value, version): &(Option<String>, u64)) -> Value {
    match value {
        Some(value) => {
            json!({"table": table, "part": part, "key": key, "value": value, "ver": version})
        }
        None => {
            json!({"table": table, "part": part, "key": key, "tombstone": true, "ver": version})
        }
    }
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), percent_decode(value)))
        .collect()
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
