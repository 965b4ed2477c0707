//! Fake platform services: table service, object store and endpoint list.

mod endpoint;
mod store;
mod table;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use basilramp_wire::endpoints::EndpointSliceList;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use crate::http::{HandlerResult, ListenerControl, Server, full_response, json_response};
use crate::lag::DelayedValue;

pub use endpoint::{Entry, Role, State};
pub use store::{Counters, Row};

use store::Store;

/// The running platform services.
#[derive(Debug)]
pub struct Platform {
    store: Arc<Mutex<Store>>,
    endpoints: Arc<Mutex<DelayedValue<Vec<Entry>>>>,
    store_server: Server,
    list_server: Server,
    store_control: ListenerControl,
    list_control: ListenerControl,
}

/// Starts the services with an empty table, object store and endpoint list.
///
/// # Panics
///
/// Panics outside a tokio runtime.
#[must_use]
pub fn spawn() -> Platform {
    let store = Arc::new(Mutex::new(Store::default()));
    let endpoints = Arc::new(Mutex::new(DelayedValue::new(Vec::new())));
    let store_control = ListenerControl::new();
    let list_control = ListenerControl::new();
    let shared = Arc::clone(&store);
    let store_server = Server::spawn(&store_control, move |request| {
        table::handle(Arc::clone(&shared), request)
    });
    let shared = Arc::clone(&endpoints);
    let list_server = Server::spawn(&list_control, move |request| {
        serve_endpoint_list(Arc::clone(&shared), request)
    });
    Platform {
        store,
        endpoints,
        store_server,
        list_server,
        store_control,
        list_control,
    }
}

/// Handles `GET /apis/discovery.k8s.io/v1/endpointslices`.
async fn serve_endpoint_list(
    endpoints: Arc<Mutex<DelayedValue<Vec<Entry>>>>,
    request: Request<Incoming>,
) -> HandlerResult {
    let is_list = request.uri().path() == "/apis/discovery.k8s.io/v1/endpointslices";
    if request.method() != Method::GET || !is_list {
        return Ok(full_response(StatusCode::NOT_FOUND, Bytes::new()));
    }
    let entries = endpoints
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .visible();
    let items = entries.iter().map(Entry::to_slice).collect();
    Ok(json_response(StatusCode::OK, &EndpointSliceList { items }))
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

    /// Adds an entry to the endpoint list, or replaces the one with the same name.
    pub fn put_endpoint(&self, entry: Entry) {
        self.change_list(|entries| {
            entries.retain(|old| old.name != entry.name);
            entries.push(entry);
        });
    }

    /// Sets the state of an endpoint list entry.
    pub fn set_endpoint_state(&self, name: &str, state: State) {
        self.change_list(|entries| {
            for entry in entries.iter_mut().filter(|entry| entry.name == name) {
                entry.state = state;
            }
        });
    }

    /// Removes an entry from the endpoint list.
    pub fn remove_endpoint(&self, name: &str) {
        self.change_list(|entries| entries.retain(|entry| entry.name != name));
    }

    /// Sets the time in milliseconds until changes of the endpoint list become visible.
    pub fn set_list_lag_ms(&self, ms: u64) {
        self.lock_list().set_lag(ms);
    }

    /// Closes the endpoint list server, or reopens it.
    pub fn set_list_down(&self, down: bool) {
        self.list_control.set_open(!down);
    }

    /// Closes the server of the table service and the object store, or reopens it.
    pub fn set_down(&self, down: bool) {
        self.store_control.set_open(!down);
    }

    /// Breaks all connections to the table service and the object store.
    pub fn reset_connections(&self) {
        self.store_control.reset_connections();
    }

    /// Sets the allowed writes and reads per second; operations beyond them are throttled.
    pub fn set_rate_limits(&self, writes_per_s: u32, reads_per_s: u32) {
        self.lock().set_rates(writes_per_s, reads_per_s);
    }

    /// Adds a latency to every table and object operation.
    pub fn set_latency_ms(&self, ms: u64) {
        self.lock().faults.latency_ms = ms;
    }

    /// Applies the next `count` writes but closes their connections without a response.
    pub fn lose_responses(&self, count: u32) {
        self.lock().faults.lose_next_responses = count;
    }

    /// Stops storing transaction tokens, so that a repeated transaction is not recognized.
    pub fn discard_transaction_tokens(&self) {
        self.lock().faults.discard_tokens = true;
    }

    /// Applies writes but loses the response of each with a probability, using a seeded RNG.
    pub fn lose_responses_at_random(&self, probability: f64, seed: u64) {
        self.lock().faults.lose_at_random(probability, seed);
    }

    /// Closes the connections of the next `count` writes and applies each `ms` milliseconds later.
    pub fn delay_writes(&self, count: u32, ms: u64) {
        let mut store = self.lock();
        store.faults.delay_next_writes = count;
        store.faults.delay_ms = ms;
    }

    /// Returns the operation counters.
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

    /// Writes a row directly, bypassing rate limits and faults.
    pub fn put_row(&self, partition: &str, sort: &str, version: u64, body: &impl serde::Serialize) {
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

    fn lock_list(&self) -> std::sync::MutexGuard<'_, DelayedValue<Vec<Entry>>> {
        self.endpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
