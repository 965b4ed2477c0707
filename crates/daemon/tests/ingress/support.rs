//! Helpers that start instances and send them requests.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Behaviour, Store, Upstream};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::net::TcpSocket;

use crate::scripted_upstream::ScriptedUpstream;

/// Timeout of a wait for a condition; long enough for a busy machine.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Seconds from a stop signal to the forced end of an instance.
const STOP_S: f64 = 8.0;

/// Tokens in each event of the fake upstream's streams.
pub(crate) const EVENT_TOKENS: u64 = 4;

/// A running instance process; killed on drop.
pub(crate) struct Instance {
    child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    metrics: SocketAddr,
    log_lines: Arc<Mutex<Vec<Value>>>,
    _settings_dir: TempDir,
}

/// A response with the body that was received.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: String,
    /// The body ended properly and not with a connection error.
    pub(crate) is_complete: bool,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn retry_after(&self) -> Option<f64> {
        self.header("retry-after")?.parse().ok()
    }
}

impl Instance {
    /// Starts an instance, and waits until it is ready.
    pub(crate) async fn spawn(store: &Store, name: &str) -> Self {
        Self::spawn_ready_at(store.address(), name).await
    }

    /// Starts an instance, and waits until it listens.
    pub(crate) async fn spawn_unready(store: &Store, name: &str) -> Self {
        Self::spawn_at(store.address(), name).await
    }

    /// Starts an instance that uses the store at an address, and waits until it is ready.
    pub(crate) async fn spawn_ready_at(store: SocketAddr, name: &str) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_basilrampd"));
        Self::spawn_build(program, store, name).await
    }

    /// Starts an instance with a limit on its file descriptors, and waits until it is ready.
    pub(crate) async fn spawn_with_descriptors(store: &Store, name: &str, limit: u32) -> Self {
        let mut shell = Command::new("sh");
        let script = format!("ulimit -n {limit} && exec \"$0\" \"$1\"");
        shell.args(["-c", &script, env!("CARGO_BIN_EXE_basilrampd")]);
        let instance = Self::spawn_command(shell, store.address(), name, STOP_S).await;
        instance.wait_ready().await;
        instance
    }

    /// Starts an instance of another build, and waits until it is ready.
    pub(crate) async fn spawn_build(program: &Path, store: SocketAddr, name: &str) -> Self {
        let instance = Self::spawn_command(Command::new(program), store, name, STOP_S).await;
        instance.wait_ready().await;
        instance
    }

    /// Starts an instance whose shutdown ends by force after `stop_s` seconds, and waits until it is
    /// ready.
    pub(crate) async fn spawn_with_stop(store: &Store, name: &str, stop_s: f64) -> Self {
        let daemon = Command::new(env!("CARGO_BIN_EXE_basilrampd"));
        let instance = Self::spawn_command(daemon, store.address(), name, stop_s).await;
        instance.wait_ready().await;
        instance
    }

    /// Starts an instance that uses the store at an address, and waits until it listens.
    pub(crate) async fn spawn_at(store: SocketAddr, name: &str) -> Self {
        let daemon = Command::new(env!("CARGO_BIN_EXE_basilrampd"));
        Self::spawn_command(daemon, store, name, STOP_S).await
    }

    /// Starts an instance with the rule for accounts' quotas, and waits until it is ready.
    pub(crate) async fn spawn_with_quota(store: &Store, name: &str, rule: Value) -> Self {
        let daemon = Command::new(env!("CARGO_BIN_EXE_basilrampd"));
        let mut settings = settings(store.address(), name, STOP_S);
        settings["ingress"]["quota"] = rule;
        let instance = Self::spawn_with_settings(daemon, &settings).await;
        instance.wait_ready().await;
        instance
    }

    async fn spawn_command(command: Command, store: SocketAddr, name: &str, stop_s: f64) -> Self {
        Self::spawn_with_settings(command, &settings(store, name, stop_s)).await
    }

    async fn spawn_with_settings(mut command: Command, settings: &Value) -> Self {
        let settings_dir = tempfile::tempdir().unwrap();
        let path = settings_dir.path().join("settings.jsonc");
        fs::write(&path, settings.to_string()).unwrap();
        // The kernel ends stopped members of a process group once the shell that started it is gone.
        command.process_group(0);
        let mut child = command.arg(&path).stdout(Stdio::piped()).spawn().unwrap();
        let stdout = child.stdout.take().unwrap();
        let lines = Arc::new(Mutex::new(Vec::<Value>::new()));
        let sink = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if let Ok(line) = serde_json::from_str(&line) {
                    sink.lock().unwrap().push(line);
                }
            }
        });
        let read_addresses = || {
            let lines = lines.lock().unwrap();
            let line: &Value = lines.iter().find(|line| line["event"] == "E0701")?;
            let address = |name: &str| line[name].as_str()?.parse::<SocketAddr>().ok();
            Some((address("callers")?, address("ready")?, address("metrics")?))
        };
        let (callers, ready, metrics) =
            wait_for("the instance listens", || async { read_addresses() }).await;
        Self {
            child,
            callers,
            ready,
            metrics,
            log_lines: lines,
            _settings_dir: settings_dir,
        }
    }

    async fn wait_ready(&self) {
        wait_for("the instance is ready", || async {
            self.is_ready().await.then_some(())
        })
        .await;
    }

    /// Returns whether `/readyz` responds with 200.
    pub(crate) async fn is_ready(&self) -> bool {
        let request = Request::get("/readyz")
            .header("host", "probe")
            .body(Full::default());
        let reply = send(self.ready, request.unwrap()).await;
        reply.is_some_and(|reply| reply.status == StatusCode::OK)
    }

    /// Returns the text of `/metrics`.
    pub(crate) async fn metrics(&self) -> String {
        self.operator("GET", "/metrics").await.body
    }

    /// Sends a request to the interface for operators.
    pub(crate) async fn operator(&self, method: &str, path: &str) -> Reply {
        let request = Request::builder().method(method).uri(path);
        let request = request.header("host", "probe").body(Full::default());
        send(self.metrics, request.unwrap()).await.unwrap()
    }

    /// Returns the log lines of an event.
    pub(crate) fn events(&self, code: &str) -> Vec<Value> {
        let lines = self.log_lines.lock().unwrap();
        lines
            .iter()
            .filter(|line| line["event"] == code)
            .cloned()
            .collect()
    }

    /// Returns all log lines as text.
    pub(crate) fn log_text(&self) -> String {
        let lines = self.log_lines.lock().unwrap();
        lines.iter().map(|line| format!("{line}\n")).collect()
    }

    /// Waits until a configuration version is in force.
    pub(crate) async fn wait_for_config(&self, version: u64) {
        wait_for("the configuration is in force", || async {
            let lines = self.events("E0721");
            let mut lines = lines.iter();
            lines.any(|line| line["version"] == version).then_some(())
        })
        .await;
    }

    /// Waits for a log line of an event and returns it.
    pub(crate) async fn wait_for_event(&self, code: &str) -> Value {
        wait_for(code, || async { self.events(code).into_iter().next() }).await
    }

    /// Sends a signal, given by its name without "SIG", to the process.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .args(["-s", name, &id])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits until the process exits. Returns whether it succeeded.
    pub(crate) async fn wait_for_exit(&mut self) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the instance did not exit in time");
    }

    /// Returns the resident memory of the process in MB.
    pub(crate) fn resident_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next());
        kb.and_then(|kb| kb.parse::<u64>().ok()).unwrap() / 1_024
    }

    /// Waits for a future. Returns its result and the largest resident memory of the process
    /// meanwhile, in MB.
    pub(crate) async fn peak_resident_mb<T>(&self, future: impl Future<Output = T>) -> (T, u64) {
        let mut future = std::pin::pin!(future);
        let mut peak_mb = 0;
        loop {
            peak_mb = peak_mb.max(self.resident_mb());
            let limit = Duration::from_millis(5);
            if let Ok(result) = tokio::time::timeout(limit, future.as_mut()).await {
                return (result, peak_mb.max(self.resident_mb()));
            }
        }
    }

    /// Waits until an upstream has seen a number of its connections closed.
    pub(crate) async fn wait_for_closed(&self, upstream: &ScriptedUpstream, count: usize) {
        wait_for("the connection is closed", || async {
            (upstream.closed() >= count).then_some(())
        })
        .await;
    }

    /// Sends a request and reads the response; `None` if the connection closes without one.
    pub(crate) async fn send(&self, request: Request<Full<Bytes>>) -> Option<Reply> {
        send(self.callers, request).await
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the settings of an instance.
fn settings(store: SocketAddr, name: &str, stop_s: f64) -> Value {
    json!({
        "instance": {"id": name, "failure_domain": "z1"},
        "ingress": {
            "callers": "127.0.0.1:0", "ready": "127.0.0.1:0",
            "metrics": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "store": store.to_string(), "memory_mb": 130, "stop_s": stop_s,
        },
        "log": {"level": "debug"},
    })
}

/// Polls until a value is returned.
pub(crate) async fn wait_for<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut poll: impl FnMut() -> F,
) -> T {
    let started_at = Instant::now();
    while started_at.elapsed() < WAIT_TIMEOUT {
        if let Some(found) = poll().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out: {what}");
}

/// Sends a request on a new connection and reads the response; `None` if there is none.
pub(crate) async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<Reply> {
    send_from(Ipv4Addr::LOCALHOST, address, request).await
}

/// Like [`send`], from an address of the loopback network. Callers are told apart by their
/// addresses.
pub(crate) async fn send_from(
    source: Ipv4Addr,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<Reply> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.bind((source, 0).into()).ok()?;
    let stream = socket.connect(address).await.ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.ok()?;
    let driver = tokio::spawn(connection);
    let response = sender.send_request(request).await.ok();
    let Some(response) = response else {
        driver.abort();
        return None;
    };
    let (head, mut body) = response.into_parts();
    let mut text = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    Some(Reply {
        status: head.status,
        headers: head.headers,
        body: String::from_utf8_lossy(&text).into_owned(),
        is_complete,
    })
}

/// Puts a configuration in the store, with five routes: `read` (safe), `pay` (unsafe), `advice`
/// (resumable stream), `chat` (stream whose turns are retained for 60 s) and `varied` (both; the data of
/// the fake upstreams' events differs between runs there).
pub(crate) fn configure(store: &Store, version: u64) {
    configure_retention(store, version, 60.0);
}

/// Like [`configure`], with turns of `chat` retained for `retention_s` seconds.
pub(crate) fn configure_retention(store: &Store, version: u64, retention_s: f64) {
    configure_limits(store, version, retention_s, 100_000, 4_000);
}

/// Like [`configure`], with bodies of at most `max_body_bytes` bytes.
pub(crate) fn configure_body_limit(store: &Store, version: u64, max_body_bytes: usize) {
    configure_limits(store, version, 60.0, max_body_bytes, 4_000);
}

/// Like [`configure`], with requests of at most `timeout_ms` milliseconds.
pub(crate) fn configure_timeout(store: &Store, version: u64, timeout_ms: u64) {
    configure_limits(store, version, 60.0, 100_000, timeout_ms);
}

fn configure_limits(
    store: &Store,
    version: u64,
    retention_s: f64,
    max_body_bytes: usize,
    timeout_ms: u64,
) {
    let config = build_config(version, retention_s, max_body_bytes, timeout_ms);
    store.put("op", "config", config.to_string().as_bytes());
}

/// Host at which callers need no key, although there are accounts.
pub(crate) const PUBLIC_HOST: &str = "open.example";

/// Like [`configure`], with accounts. The same routes are public at [`PUBLIC_HOST`].
pub(crate) fn configure_accounts(store: &Store, version: u64, accounts: &Value) {
    let mut config = build_config(version, 60.0, 100_000, 4_000);
    let routes = config["routes"].as_array_mut().unwrap();
    let public = routes.clone().into_iter().map(|mut route| {
        route["name"] = format!("open-{}", route["name"].as_str().unwrap()).into();
        route["host"] = PUBLIC_HOST.into();
        route["public"] = true.into();
        route
    });
    routes.extend(public);
    config["tenants"] = accounts.clone();
    store.put("op", "config", config.to_string().as_bytes());
}

/// Like [`configure_accounts`], with all routes public.
pub(crate) fn configure_public(store: &Store, version: u64, accounts: &Value) {
    let mut config = build_config(version, 60.0, 100_000, 4_000);
    for route in config["routes"].as_array_mut().unwrap() {
        route["public"] = true.into();
    }
    config["tenants"] = accounts.clone();
    store.put("op", "config", config.to_string().as_bytes());
}

/// Adds a key to a request.
pub(crate) fn with_key(mut request: Request<Full<Bytes>>, key: &str) -> Request<Full<Bytes>> {
    let headers = request.headers_mut();
    headers.append("credential", key.parse().unwrap());
    request
}

/// Sends a request to the routes on which callers need no key.
pub(crate) fn to_public_host(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let headers = request.headers_mut();
    headers.insert("host", PUBLIC_HOST.parse().unwrap());
    request
}

/// Like [`configure`], with a further route that is like the one named `pattern`, with a prefix of its own.
pub(crate) fn configure_prefix(store: &Store, version: u64, pattern: &str, prefix: &str) {
    let mut config = build_config(version, 60.0, 100_000, 4_000);
    let routes = config["routes"].as_array_mut().unwrap();
    let mut added = routes
        .iter()
        .find(|route| route["name"] == pattern)
        .unwrap()
        .clone();
    added["name"] = "added".into();
    added["prefix"] = prefix.into();
    routes.push(added);
    store.put("op", "config", config.to_string().as_bytes());
}

/// A route whose streams can't be resumed, or for plain requests, in a configuration of such routes alone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlainRoute {
    pub(crate) prefix: &'static str,
    pub(crate) kind: &'static str,
    pub(crate) service: &'static str,
    /// Whether turns are retained, if it is a stream.
    pub(crate) is_retained: bool,
}

/// Puts a configuration with these routes in the store. Its services are `app`, `other` and `engine`.
pub(crate) fn configure_plain(store: &Store, version: u64, routes: &[PlainRoute]) {
    let mut config = build_config(version, 60.0, 100_000, 4_000);
    let pattern = config["routes"][0].clone();
    let routes = routes.iter().map(|route| {
        let mut value = pattern.clone();
        value["name"] = route.prefix.into();
        value["prefix"] = route.prefix.into();
        value["type"] = route.kind.into();
        value["service"] = route.service.into();
        value["retained"] = route.is_retained.into();
        value
    });
    config["routes"] = routes.collect();
    let mut other = config["services"][0].clone();
    other["name"] = "other".into();
    config["services"].as_array_mut().unwrap().push(other);
    store.put("op", "config", config.to_string().as_bytes());
}

fn build_config(version: u64, retention_s: f64, max_body_bytes: usize, timeout_ms: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, resumable: bool, retained: bool| {
        json!({
            "name": name, "host": "a.example", "prefix": format!("/{name}/"), "type": kind,
            "service": service, "timeout_ms": timeout_ms, "slo_ms": 200, "priority": 1,
            "max_attempts": 2, "retained": retained, "retention_s": retention_s, "sticky": true,
            "resumable": resumable, "gap_target_ms": 400,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("read", "safe", "app", false, false),
            route("pay", "unsafe", "app", false, false),
            route("advice", "stream", "engine", true, false),
            route("chat", "stream", "engine", false, true),
            route("varied", "stream", "engine", true, true),
        ],
        "services": [
            {"name": "app", "health_path": "/healthz", "max_conns": 9, "protocol": "h1"},
            {"name": "engine", "health_path": "/healthz", "max_conns": 9, "protocol": "h1",
             "engine": {"slots": 8, "kv_capacity": 9000, "chunk_tokens": EVENT_TOKENS}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
}

/// Starts a store with a configuration, and one upstream of a service for each behaviour. The
/// upstreams are registered as `i-1`, `i-2` and so on.
pub(crate) fn start_site<const N: usize>(
    service: &str,
    behaviours: [Behaviour; N],
) -> (Store, [Upstream; N]) {
    let store = Store::spawn();
    configure(&store, 3);
    let mut index = 0;
    let upstreams = behaviours.map(|behaviour| {
        index += 1;
        Upstream::spawn(&store, &format!("i-{index}"), service, behaviour)
    });
    (store, upstreams)
}

/// An upstream that responds without delay; its streams have three events.
pub(crate) const IMMEDIATE_RESPONSE: Behaviour = Behaviour::Respond {
    events: 3,
    interval_ms: 0,
};

/// Builds a request on a route that is not a stream.
pub(crate) fn plain_request(route: &str, attempt: &str) -> Request<Full<Bytes>> {
    Request::post(format!("/{route}/x"))
        .header("host", "a.example")
        .header("attempt-id", attempt)
        .header("deadline-ms", "3000")
        .body(Full::from("order"))
        .unwrap()
}

/// The parameters of a program's turn.
pub(crate) struct Turn<'a> {
    pub(crate) route: &'a str,
    pub(crate) attempt: &'a str,
    pub(crate) program: &'a str,
    pub(crate) previous: Option<&'a str>,
    pub(crate) budget: u64,
    pub(crate) max_output: u64,
    pub(crate) input: &'a str,
}

impl<'a> Turn<'a> {
    /// Returns the first turn of a program that is named after its attempt.
    pub(crate) fn first(route: &'a str, attempt: &'a str) -> Self {
        Self {
            route,
            attempt,
            program: attempt,
            previous: None,
            budget: 1_000,
            max_output: 100,
            input: "question",
        }
    }
}

impl<'a> Turn<'a> {
    /// Returns a turn of the program `p1` that continues the turn `previous`, if there is one.
    pub(crate) const fn chained(
        route: &'a str,
        attempt: &'a str,
        previous: Option<&'a str>,
        input: &'a str,
    ) -> Self {
        Self {
            route,
            attempt,
            program: "p1",
            previous,
            budget: 10_000,
            max_output: 100,
            input,
        }
    }
}

impl Turn<'_> {
    /// Builds the request of the turn.
    pub(crate) fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::post(format!("/{}/x", self.route))
            .header("host", "a.example")
            .header("attempt-id", self.attempt)
            .header("program-id", self.program)
            .header("session-id", self.program)
            .header("program-deadline-ms", "5000")
            .header("token-budget", self.budget)
            .header("token-usage", format!("900,{}", self.max_output))
            .header("prompt-prefix", "aa:800,bb:100")
            .header("deadline-ms", "3500");
        if let Some(previous) = self.previous {
            request = request.header("previous-turn", previous);
        }
        request.body(Full::from(self.input.to_owned())).unwrap()
    }
}
