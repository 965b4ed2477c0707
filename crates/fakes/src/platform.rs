//! Stand-in for the platform: table service, object store and endpoint list.

mod list;
mod store;
mod table;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use basilramp_wire::endpoints::EndpointSliceList;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use crate::http::{Answer, Server, Switch, json, whole};
use crate::lag::Lagged;

pub use list::{Entry, Role, State};
pub use store::{Counters, Row};

use store::Store;

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    store: Arc<Mutex<Store>>,
    list: Arc<Mutex<Lagged<Vec<Entry>>>>,
    store_server: Server,
    list_server: Server,
    store_switch: Switch,
    list_switch: Switch,
}

/// Starts a platform with an empty table, no objects and an empty list.
///
/// # Panics
///
/// Panics outside a tokio runtime.
#[must_use]
pub fn spawn() -> Platform {
    let store = Arc::new(Mutex::new(Store::default()));
    let list = Arc::new(Mutex::new(Lagged::new(Vec::new())));
    let store_switch = Switch::new();
    let list_switch = Switch::new();
    let shared = Arc::clone(&store);
    let store_server = Server::spawn(&store_switch, move |request| {
        table::handle(Arc::clone(&shared), request)
    });
    let shared = Arc::clone(&list);
    let list_server = Server::spawn(&list_switch, move |request| {
        answer_list(Arc::clone(&shared), request)
    });
    Platform {
        store,
        list,
        store_server,
        list_server,
        store_switch,
        list_switch,
    }
}

/// Answers `GET /apis/discovery.k8s.io/v1/endpointslices`.
async fn answer_list(list: Arc<Mutex<Lagged<Vec<Entry>>>>, request: Request<Incoming>) -> Answer {
    let known = request.uri().path() == "/apis/discovery.k8s.io/v1/endpointslices";
    if request.method() != Method::GET || !known {
        return Ok(whole(StatusCode::NOT_FOUND, Bytes::new()));
    }
    let entries = list.lock().unwrap_or_else(PoisonError::into_inner).seen();
    let items = entries.iter().map(Entry::slice).collect();
    Ok(json(StatusCode::OK, &EndpointSliceList { items }))
}

impl Platform {
    /// Returns the address of the table service.
    #[must_use]
    pub fn table_address(&self) -> SocketAddr {
        self.store_server.address()
    }

    /// Returns the address of the object store.
    #[must_use]
    pub fn objects_address(&self) -> SocketAddr {
        self.store_server.address()
    }

    /// Returns the address of the endpoint list.
    #[must_use]
    pub fn list_address(&self) -> SocketAddr {
        self.list_server.address()
    }

    /// Adds an entry to the list, or replaces the one of the same name.
    pub fn list(&self, entry: Entry) {
        self.change_list(|entries| {
            entries.retain(|old| old.name != entry.name);
            entries.push(entry);
        });
    }

    /// Sets the state of a listed entry.
    pub fn set_state(&self, name: &str, state: State) {
        self.change_list(|entries| {
            for entry in entries.iter_mut().filter(|entry| entry.name == name) {
                entry.state = state;
            }
        });
    }

    /// Takes an entry off the list.
    pub fn unlist(&self, name: &str) {
        self.change_list(|entries| entries.retain(|entry| entry.name != name));
    }

    /// Sets the time in milliseconds before a change of the list shows.
    pub fn list_lag_ms(&self, ms: u64) {
        self.lock_list().set_lag(ms);
    }

    /// Stops the list from answering, or lets it answer again.
    pub fn list_down(&self, down: bool) {
        self.list_switch.set_open(!down);
    }

    /// Closes the table service and the object store, or opens them again.
    pub fn down(&self, down: bool) {
        self.store_switch.set_open(!down);
    }

    /// Breaks all connections to the table service and the object store.
    pub fn reset(&self) {
        self.store_switch.reset();
    }

    /// Sets how many writes and reads a second are allowed; the rest is throttled.
    pub fn rates(&self, writes_per_s: u32, reads_per_s: u32) {
        self.lock().set_rates(writes_per_s, reads_per_s);
    }

    /// Makes every operation take `ms` milliseconds longer.
    pub fn slow_ms(&self, ms: u64) {
        self.lock().faults.slow_ms = ms;
    }

    /// Loses the answers of the next `count` writes, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.lock().faults.lose_next = count;
    }

    /// Forgets the tokens of transactions as soon as they have taken effect, from now on.
    pub fn forget_tokens(&self) {
        self.lock().faults.forget_tokens = true;
    }

    /// Loses the answer of each write with a probability, from a seed; the write takes effect.
    pub fn lose_answers_at_random(&self, probability: f64, seed: u64) {
        self.lock().faults.lose_at_random(probability, seed);
    }

    /// Closes the connection on the next `count` writes, which take effect `ms` milliseconds later.
    pub fn delay_writes(&self, count: u32, ms: u64) {
        let mut store = self.lock();
        store.faults.delay_next = count;
        store.faults.delay_ms = ms;
    }

    /// Returns what has been done so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.lock().counters
    }

    /// Returns a row of the table.
    #[must_use]
    pub fn row(&self, partition: &str, sort: &str) -> Option<Row> {
        self.lock().row(partition, sort)
    }

    /// Returns the rows of a partition key, by sort key.
    #[must_use]
    pub fn rows(&self, partition: &str) -> Vec<(String, Row)> {
        self.lock().rows(partition)
    }

    /// Returns all partition keys that have rows.
    #[must_use]
    pub fn partitions(&self) -> Vec<String> {
        self.lock().partitions()
    }

    /// Writes a row directly, past rates and faults.
    pub fn put(&self, partition: &str, sort: &str, version: u64, body: &impl serde::Serialize) {
        let body = serde_json::to_string(body).unwrap_or_default();
        self.lock().put(partition, sort, version, body);
    }

    fn change_list(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut list = self.lock_list();
        let mut entries = list.latest();
        change(&mut entries);
        list.set(entries);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_list(&self) -> std::sync::MutexGuard<'_, Lagged<Vec<Entry>>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
