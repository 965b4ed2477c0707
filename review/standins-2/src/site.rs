//! A small deployment: the store, runners with their beats, and the operator's configuration.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_fakes::user_platform::{Behaviour, Mode, Store, Upstream};
use bytes::Bytes;
use http::Request;
use http::request::Builder;
use http_body_util::Full;
use serde_json::{Value, json};

/// Interval of the runners' beats, in milliseconds (`heartbeat_ms` of the settings).
const BEAT_MS: u64 = 1_200;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// The platform's store and the runners, which write their entries again and again.
pub struct Site {
    /// The platform's store.
    pub store: Arc<Store>,
    runners: Arc<Mutex<Vec<Arc<Upstream>>>>,
    /// Whether the store is down, so that no beats arrive.
    is_down: Arc<AtomicBool>,
}

impl Site {
    /// Starts the store and the beats.
    pub fn start() -> Self {
        let site = Self {
            store: Arc::new(Store::spawn()),
            runners: Arc::default(),
            is_down: Arc::default(),
        };
        let (store, runners) = (Arc::clone(&site.store), Arc::clone(&site.runners));
        let is_down = Arc::clone(&site.is_down);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
                if is_down.load(Ordering::Relaxed) {
                    continue;
                }
                for runner in runners.lock().unwrap().iter() {
                    runner.register(&store, "ready");
                }
            }
        });
        site
    }

    /// Starts a runner, which registers itself as ready.
    pub fn add_runner(
        &self,
        id: &str,
        service: &str,
        version: &str,
        behaviour: Behaviour,
    ) -> Arc<Upstream> {
        let runner = Upstream::spawn_version(&self.store, id, service, version, behaviour);
        let runner = Arc::new(runner);
        self.runners.lock().unwrap().push(Arc::clone(&runner));
        runner
    }

    /// Takes the store down (it answers 503 to everything) or brings it back.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
        let mode = if is_down { Mode::Unavailable } else { Mode::Up };
        self.store.set_mode(mode);
    }

    /// Writes a version of the configuration; the store accepts it at once.
    pub fn configure(&self, version: u64, routes: &[Value]) {
        let config = json!({
            "version": version,
            "routes": routes,
            "services": [
                {"name": "shop", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
                {"name": "shop-new", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
                {"name": "engine", "health_path": "/healthz", "max_conns": 210, "protocol": "h1", "tls": false,
                 "engine": {"slots": 24, "kv_capacity": 227669, "chunk_tokens": 4}},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        });
        self.store
            .put("op", "config", config.to_string().as_bytes());
    }
}

/// Returns a route of plain requests that may be repeated.
pub fn safe_route(prefix: &str, service: &str) -> Value {
    json!({
        "name": format!("r-{}", prefix.trim_matches('/')), "host": HOST, "prefix": prefix, "type": "safe",
        "service": service, "timeout_ms": 1200, "slo_ms": 150, "priority": 2, "max_attempts": 2,
    })
}

/// Returns a route of requests that must run at most once.
pub fn unsafe_route(prefix: &str, service: &str) -> Value {
    json!({
        "name": format!("r-{}", prefix.trim_matches('/')), "host": HOST, "prefix": prefix, "type": "unsafe",
        "service": service, "timeout_ms": 3000, "slo_ms": 500, "priority": 2, "max_attempts": 2,
    })
}

/// Returns a route of streams.
pub fn stream_route(prefix: &str, service: &str, is_retained: bool, is_resumable: bool) -> Value {
    json!({
        "name": format!("r-{}", prefix.trim_matches('/')), "host": HOST, "prefix": prefix,
        "type": "stream", "service": service, "timeout_ms": 4000, "slo_ms": 200, "priority": 1,
        "max_attempts": 2, "retained": is_retained, "retention_s": 60.0, "sticky": true,
        "resumable": is_resumable, "gap_target_ms": 400,
    })
}

/// Begins a request with the headers that all requests have.
pub fn request(method: &str, path: &str, attempt: &str, deadline_ms: u64) -> Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("attempt-id", attempt)
        .header("deadline-ms", deadline_ms)
}

/// Begins a request for a stream of at most `output` tokens.
pub fn stream_request(path: &str, attempt: &str, deadline_ms: u64, output: u64) -> Builder {
    request("POST", path, attempt, deadline_ms)
        .header("model", "m")
        .header("token-usage", format!("1460,{output}"))
        .header("prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
}

/// Ends a request with its body.
pub fn with_body(builder: Builder, body: &str) -> Request<Full<Bytes>> {
    builder
        .body(Full::from(body.to_owned()))
        .expect("the request is valid")
}
