//! The store with the configuration of a small deployment.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::store::Store;

/// Returns a configuration with a plain service `app` and an engine `engine`. Its routes are `read`
/// (safe), `pay` (unsafe), `advice` (stream that can be resumed) and `chat` (stream whose turns are
/// retained for 60 s).
#[must_use]
pub fn config(version: u64) -> Value {
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 timeout_ms: u64,
                 resumable: bool,
                 retained: bool| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "type": kind,
            "service": service, "timeout_ms": timeout_ms, "slo_ms": 200, "priority": 1,
            "max_attempts": 2, "retained": retained, "retention_s": 60.0, "sticky": true,
            "resumable": resumable, "gap_target_ms": 400,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("read", "safe", "app", 1_200, false, false),
            route("pay", "unsafe", "app", 2_000, false, false),
            route("advice", "stream", "engine", 4_000, true, false),
            route("chat", "stream", "engine", 4_000, false, true),
        ],
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
