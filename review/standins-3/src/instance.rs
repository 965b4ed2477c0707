//! The program under test, as separate processes.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::case::lock;

/// The command of the deploy file, seen from the repository's root.
const PROGRAM: &str = "target/release/basilrampd";

/// The template of the deploy file.
const TEMPLATE: &str = include_str!("../../../deploy/ingress.jsonc");

/// Time limit until an instance is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A running instance; killed when dropped.
#[derive(Debug)]
pub struct Instance {
    child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's probes.
    pub ready: SocketAddr,
    _folder: Folder,
}

impl Instance {
    /// Starts an instance in a failure domain with the store at an address, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or is not ready in time.
    pub async fn start(name: &str, domain: &str, store: SocketAddr) -> Result<Self, String> {
        let instance = Self::spawn(name, domain, store).await?;
        let started_at = Instant::now();
        while !instance.is_ready().await {
            if started_at.elapsed() > START_TIMEOUT {
                return Err(format!("{name} is not ready"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(instance)
    }

    /// Starts an instance and waits until it listens.
    ///
    /// # Errors
    ///
    /// Fails if it can't be started or does not listen in time.
    pub async fn spawn(name: &str, domain: &str, store: SocketAddr) -> Result<Self, String> {
        let folder = Folder::create(name)?;
        let settings = folder.0.join("boot.jsonc");
        fs::write(&settings, render(name, domain, store)).map_err(|error| error.to_string())?;
        let mut child = Command::new(PROGRAM)
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        let stdout = child.stdout.take().ok_or("the output is missing")?;
        let log = Arc::new(Mutex::new(Vec::<Value>::new()));
        let sink = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if let Ok(line) = serde_json::from_str(&line) {
                    lock(&sink).push(line);
                }
            }
        });
        let started_at = Instant::now();
        let (callers, ready) = loop {
            if let Some(addresses) = read_addresses(&lock(&log)) {
                break addresses;
            }
            if started_at.elapsed() > START_TIMEOUT {
                let _ = child.kill();
                return Err(format!("{name} does not listen"));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        Ok(Self {
            child,
            callers,
            ready,
            _folder: folder,
        })
    }

    /// Returns whether the instance says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let request = http::Request::get("/readyz")
            .header("host", "probe")
            .body(http_body_util::Full::default());
        let Ok(request) = request else {
            return false;
        };
        let reply = crate::caller::send(self.ready, request).await;
        reply.is_some_and(|reply| reply.status == http::StatusCode::OK)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder; removed when dropped.
#[derive(Debug)]
struct Folder(PathBuf);

impl Folder {
    fn create(name: &str) -> Result<Self, String> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let path = std::env::temp_dir().join(format!("basilramp-review-{process}-{number}-{name}"));
        fs::create_dir(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Fills in the template like the platform, with free ports of the loopback address and the figures of
/// a small deployment.
fn render(name: &str, domain: &str, store: SocketAddr) -> String {
    let mut text = TEMPLATE.to_owned();
    // There are no accounts, so that the section is rendered as nothing.
    const BEGIN: &str = "{{#bounds.quota_window_s}}";
    const END: &str = "{{/bounds.quota_window_s}}";
    if let (Some(begin), Some(end)) = (text.find(BEGIN), text.find(END)) {
        text.replace_range(begin..end + END.len(), "");
    }
    let store = store.to_string();
    let values = [
        ("{{node_name}}", name),
        ("{{zone}}", domain),
        ("{{listen.front}}", "127.0.0.1:0"),
        ("{{listen.ready}}", "127.0.0.1:0"),
        ("{{ip}}", "127.0.0.1"),
        ("{{port_range.0}}", "0"),
        ("{{port_range.1}}", "0"),
        ("{{platform.address}}", &store),
        ("{{limits.memory_mb}}", "270"),
        ("{{bounds.grace_s}}", "8"),
    ];
    for (placeholder, value) in values {
        text = text.replace(placeholder, value);
    }
    text
}

fn read_addresses(lines: &[Value]) -> Option<(SocketAddr, SocketAddr)> {
    let line = lines.iter().find(|line| line["event"] == "E0701")?;
    let address = |name: &str| line[name].as_str()?.parse().ok();
    Some((address("callers")?, address("ready")?))
}
