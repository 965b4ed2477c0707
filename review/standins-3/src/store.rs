//! The platform's store: rows, transactions and change feeds, as the pages tell.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::case::lock;

/// Time that a call takes.
const CALL: Duration = Duration::from_millis(4);

/// Time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(8);

/// Interval at which a waiting feed looks for changes.
const FEED_POLL: Duration = Duration::from_millis(5);

/// Table, partition and key.
type Name = (String, String, String);

#[derive(Clone, Debug)]
struct Row {
    /// Base64; `None` for a removed row.
    value: Option<String>,
    version: u64,
}

#[derive(Debug)]
struct Rows {
    rows: BTreeMap<Name, Row>,
    version: u64,
    started_at: Instant,
}

/// A running store.
#[derive(Clone, Debug)]
pub struct Store {
    address: SocketAddr,
    rows: Arc<Mutex<Rows>>,
    /// Whether calls at this address are rejected.
    rejects: Arc<AtomicBool>,
}

impl Store {
    /// Starts an empty store on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start() -> Result<Self, String> {
        Self::listen(Arc::new(Mutex::new(Rows {
            rows: BTreeMap::new(),
            version: 1,
            started_at: Instant::now(),
        })))
        .await
    }

    /// Opens another address of the same store, for one machine, which can be turned away there.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn open_view(&self) -> Result<Self, String> {
        Self::listen(Arc::clone(&self.rows)).await
    }

    /// Sets whether all calls at this address are rejected with status 503, without an effect.
    pub fn set_rejecting(&self, rejects: bool) {
        self.rejects.store(rejects, Ordering::Relaxed);
    }

    async fn listen(rows: Arc<Mutex<Rows>>) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let rejects = Arc::default();
        let store = Self {
            address,
            rows,
            rejects,
        };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let store = served.clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let store = store.clone();
                        async move { Ok::<_, Infallible>(store.handle(request).await) }
                    });
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    // Errors are on the client's side.
                    let _ = connection.await;
                });
            }
        });
        Ok(store)
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row of the partition with the empty name, as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut rows = lock(&self.rows);
        rows.version += 1;
        let row = Row {
            value: Some(STANDARD.encode(value)),
            version: rows.version,
        };
        rows.rows
            .insert((table.into(), String::new(), key.into()), row);
    }

    /// Removes a row of the partition with the empty name.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = lock(&self.rows);
        rows.version += 1;
        let row = Row {
            value: None,
            version: rows.version,
        };
        rows.rows
            .insert((table.into(), String::new(), key.into()), row);
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let query = parse_query(request.uri().query().unwrap_or_default());
        if self.is_rejecting() {
            return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        match request.uri().path() {
            "/rows-get" => {
                tokio::time::sleep(CALL).await;
                answer(StatusCode::OK, &self.read(&query))
            }
            "/rows-feed" => self.feed(&query).await,
            "/rows-tx" => {
                let Ok(body) = request.into_body().collect().await else {
                    return answer(StatusCode::BAD_REQUEST, &json!({}));
                };
                tokio::time::sleep(TRANSACTION).await;
                let body = body.to_bytes();
                match serde_json::from_slice(&body) {
                    Ok(change) if body.len() <= 1_000_000 => self.apply(&change),
                    _ => answer(StatusCode::BAD_REQUEST, &json!({})),
                }
            }
            _ => answer(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn is_rejecting(&self) -> bool {
        self.rejects.load(Ordering::Relaxed)
    }

    fn read(&self, query: &BTreeMap<String, String>) -> Value {
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from, to) = (get("table"), get("part"), get("from"), get("to"));
        let rows = lock(&self.rows);
        let found = rows.rows.iter().filter(|((in_table, in_part, key), row)| {
            let is_within = *key >= from && (to.is_empty() || *key < to);
            *in_table == table && *in_part == part && is_within && row.value.is_some()
        });
        let found: Vec<_> = found.map(|(name, row)| row_json(name, row)).collect();
        json!({"rows": found, "has_more": false, "ver": rows.version, "now_ms": rows.now_ms()})
    }

    async fn feed(&self, query: &BTreeMap<String, String>) -> Response<Full<Bytes>> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let table = query.get("table").cloned().unwrap_or_default();
        let after = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        loop {
            if self.is_rejecting() {
                return answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            }
            {
                let rows = lock(&self.rows);
                let changed = rows.rows.iter();
                let changed =
                    changed.filter(|((name, _, _), row)| *name == table && row.version > after);
                let mut changed: Vec<_> = changed.collect();
                changed.sort_by_key(|(_, row)| row.version);
                if !changed.is_empty() || Instant::now() >= until {
                    let found = changed.into_iter();
                    let found: Vec<_> = found.map(|(name, row)| row_json(name, row)).collect();
                    let page = json!({"rows": found, "ver": rows.version, "now_ms": rows.now_ms()});
                    return answer(StatusCode::OK, &page);
                }
            }
            tokio::time::sleep(FEED_POLL).await;
        }
    }

    fn apply(&self, change: &Value) -> Response<Full<Bytes>> {
        let list = |name: &str| change[name].as_array().cloned().unwrap_or_default();
        let mut rows = lock(&self.rows);
        let conditions = list("precondition");
        let holds = conditions.iter().all(|condition| {
            let live = rows.rows.get(&name_of(condition));
            let live = live.filter(|row| row.value.is_some());
            live.map_or(0, |row| row.version) == condition["ver"].as_u64().unwrap_or_default()
        });
        if !holds {
            let found = conditions.iter().filter_map(|condition| {
                let name = name_of(condition);
                let row = rows.rows.get(&name).filter(|row| row.value.is_some())?;
                Some(row_json(&name, row))
            });
            let found: Vec<_> = found.collect();
            let page = json!({"rows": found, "ver": rows.version, "now_ms": rows.now_ms()});
            return answer(StatusCode::PRECONDITION_FAILED, &page);
        }
        rows.version += 1;
        let version = rows.version;
        for write in list("writes") {
            let value = write["value"].as_str().map(str::to_owned);
            rows.rows.insert(name_of(&write), Row { value, version });
        }
        for removal in list("remove") {
            let row = Row {
                value: None,
                version,
            };
            rows.rows.insert(name_of(&removal), row);
        }
        answer(
            StatusCode::OK,
            &json!({"ver": version, "now_ms": rows.now_ms()}),
        )
    }
}

impl Rows {
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }
}

fn name_of(entry: &Value) -> Name {
    let text = |field: &str| entry[field].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json((table, part, key): &Name, row: &Row) -> Value {
    match &row.value {
        Some(value) => {
            json!({"table": table, "part": part, "key": key, "value": value, "ver": row.version})
        }
        None => {
            json!({"table": table, "part": part, "key": key, "tombstone": true, "ver": row.version})
        }
    }
}

fn answer(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

fn parse_query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        match (
            first,
            code.and_then(|code| u8::from_str_radix(code, 16).ok()),
        ) {
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
