//! The store with the configuration of a small deployment.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::store::Store;

/// A route of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// Its name and, between slashes, its prefix.
    pub name: &'static str,
    /// `safe`, `unsafe` or `stream`.
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub max_attempts: u32,
    pub is_resumable: bool,
    pub is_retained: bool,
}

impl Route {
    fn json(self) -> Value {
        let Self {
            name,
            kind,
            service,
            ..
        } = self;
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "type": kind,
            "service": service, "timeout_ms": self.timeout_ms, "slo_ms": 200, "priority": 1,
            "max_attempts": self.max_attempts, "retained": self.is_retained, "retention_s": 60.0,
            "sticky": true, "resumable": self.is_resumable, "gap_target_ms": 400,
        })
    }
}

/// Reads that may be repeated.
pub const READ: Route = Route {
    name: "read",
    kind: "safe",
    service: "app",
    timeout_ms: 1_200,
    max_attempts: 2,
    is_resumable: false,
    is_retained: false,
};

/// Payments, which must run once at most.
pub const PAY: Route = Route {
    name: "pay",
    kind: "unsafe",
    timeout_ms: 2_000,
    ..READ
};

/// Returns a configuration with a plain service `app` and an engine `engine`.
#[must_use]
pub fn config(version: u64, routes: &[Route]) -> Value {
    let routes = routes.iter().map(|route| route.json());
    let routes: Vec<_> = routes.collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "app", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
            {"name": "engine", "health_path": "/healthz", "max_conns": 210, "protocol": "h1", "tls": false,
             "engine": {"slots": 24, "kv_capacity": 227_669, "chunk_tokens": 4}},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                   "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
    })
}

/// Starts a store that holds a configuration.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn start_store(config: &Value) -> Result<Store, String> {
    let store = Store::start().await?;
    put_config(&store, config);
    Ok(store)
}

/// Writes a configuration, as the operator does.
pub fn put_config(store: &Store, config: &Value) {
    store.put("op", "config", config.to_string().as_bytes());
}

/// Writes the entry of a runner, as it does at its start and with its heartbeats.
pub fn register(
    store: &Store,
    id: &str,
    service: &str,
    address: SocketAddr,
    state: &str,
    seq: u64,
) {
    let entry = json!({
        "service": service, "address": address.to_string(), "zone": "z1", "version": "v1",
        "slots": 6, "state": state, "cold_left_ms": 0, "seq": seq, "born": 1_765_000_000_000_u64,
    });
    store.put("servers", id, entry.to_string().as_bytes());
}
