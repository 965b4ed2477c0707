//! A small deployment: the store, its configuration, a temporary folder and the record.

use std::path::PathBuf;

use serde_json::{Value, json};

use crate::{Machine, Record, Store, View, machine};

/// Host of all routes.
pub const HOST: &str = "shop.example";

/// A deployment.
#[derive(Debug)]
pub struct Site {
    pub store: Store,
    pub record: Record,
    folder: PathBuf,
}

impl Site {
    /// Starts a store that holds a configuration. The first argument of the program is the folder of
    /// the case.
    #[must_use]
    pub fn start(routes: &Value, services: &Value) -> Self {
        machine::watch();
        let case = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
        let record = Record::create(&case);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let site = Self {
            store: Store::default(),
            record,
            folder,
        };
        site.configure(1, routes, services);
        site
    }

    /// Writes a configuration, as the operator does.
    pub fn configure(&self, version: u64, routes: &Value, services: &Value) {
        let config = json!({
            "version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4_194_304,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        });
        self.store.put("op", "config", &config);
    }

    /// Starts a machine with its own view of the store.
    pub async fn machine(&self, name: &str, zone: &str) -> (Machine, View) {
        let view = self.store.open_view().await;
        let machine = Machine::start(&self.record, &self.folder, name, zone, &view).await;
        (machine, view)
    }

    /// Starts a machine, or starts it again, with a view of the store.
    pub async fn machine_with(&self, name: &str, zone: &str, view: &View) -> Machine {
        Machine::start(&self.record, &self.folder, name, zone, view).await
    }

    /// Says whether the rule was broken, and ends the program.
    pub fn end(self, broken: bool, text: &str) -> ! {
        let verdict = if broken { "BROKEN" } else { "held" };
        self.record.say(format!("{verdict}: {text}"));
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
        machine::kill_all();
        std::process::exit(i32::from(broken))
    }
}

/// Returns a plain route.
#[must_use]
pub fn plain_route(prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> Value {
    json!({"name": format!("r{}", prefix.replace('/', "-")), "host": HOST, "prefix": prefix,
        "type": kind, "timeout_ms": timeout_ms, "slo_ms": 300, "priority": 2, "service": service,
        "max_attempts": if kind == "safe" { 2 } else { 1 }})
}

/// Returns a route of a model service.
#[must_use]
pub fn stream_route(prefix: &str, service: &str, retained: bool, resumable: bool) -> Value {
    json!({"name": format!("r{}", prefix.replace('/', "-")), "host": HOST, "prefix": prefix,
        "type": "stream", "timeout_ms": 4000, "slo_ms": 200, "priority": 0, "service": service,
        "max_attempts": 2, "retained": retained, "retention_s": 60.0, "sticky": true,
        "resumable": resumable, "gap_target_ms": 400})
}

/// Returns a plain service.
#[must_use]
pub fn plain_service(name: &str) -> Value {
    json!({"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false})
}

/// Returns a service of model engines.
#[must_use]
pub fn model_service(name: &str) -> Value {
    json!({"name": name, "health_path": "/healthz", "max_conns": 210, "protocol": "h1", "tls": false,
        "engine": {"slots": 24, "kv_capacity": 227_669, "kv_token_bytes": 163_840,
            "link_mbps": 1_100_000.0, "moves": true, "backups": true, "chunk_tokens": 4, "most": 12,
            "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}})
}
