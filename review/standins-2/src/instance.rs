//! Instances of the daemon, started with the command and the settings template of the deploy file.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use serde_json::Value;
use tempfile::TempDir;

use crate::client::Connection;

/// Program that the deploy file runs, as seen from the repository.
const PROGRAM: &str = "target/release/basilrampd";

/// Settings template of the deploy file.
const TEMPLATE: &str = "deploy/ingress.jsonc";

/// Time limit for the start of an instance.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Memory of a machine in MB, and seconds from SIGTERM to SIGKILL, as in the site file.
const MEMORY_MB: &str = "270";
const GRACE_S: &str = "8";

/// A running instance; killed on drop.
#[derive(Debug)]
pub struct Instance {
    /// Name of the machine.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness probes.
    pub ready: SocketAddr,
    child: Child,
    _settings: TempDir,
}

impl Instance {
    /// Starts an instance with the store at an address, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the program or the template is missing, or the instance is not ready in time.
    pub async fn start(name: &str, zone: &str, store: SocketAddr) -> Result<Self, String> {
        let settings = fill_template(name, zone, store)?;
        let dir = tempfile::tempdir().map_err(|error| error.to_string())?;
        let path = dir.path().join("boot.toml");
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        if !Path::new(PROGRAM).exists() {
            return Err(format!(
                "{PROGRAM} is missing: run the build of the deploy file"
            ));
        }
        let child = Command::new(PROGRAM)
            .arg(&path)
            .env("BASILRAMP_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let mut child = child.map_err(|error| format!("{PROGRAM}: {error}"))?;
        let output = child.stdout.take().ok_or("no output")?;
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            // The output is read to its end, so that the instance never waits for the reader.
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let Ok(line) = serde_json::from_str::<Value>(&line) else {
                    continue;
                };
                if line["event"] == "E0701" {
                    let address = |name: &str| line[name].as_str()?.parse::<SocketAddr>().ok();
                    let _ = sender.send(address("callers").zip(address("ready")));
                }
            }
        });
        let addresses = tokio::task::spawn_blocking(move || receiver.recv_timeout(START_LIMIT));
        let addresses = addresses.await.map_err(|error| error.to_string())?;
        let Ok(Some((callers, ready))) = addresses else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(format!("{name} did not listen in time"));
        };
        let instance = Self {
            name: name.to_owned(),
            callers,
            ready,
            child,
            _settings: dir,
        };
        instance.wait_ready().await?;
        Ok(instance)
    }

    async fn wait_ready(&self) -> Result<(), String> {
        let start = Instant::now();
        while start.elapsed() < START_LIMIT {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(format!("{} was not ready in time", self.name))
    }

    /// Returns whether the readiness probe is answered with 200.
    pub async fn is_ready(&self) -> bool {
        let request = http::Request::get("/readyz").header("host", "probe");
        let Ok(request) = request.body(http_body_util::Full::default()) else {
            return false;
        };
        let Ok(mut connection) = Connection::open(self.ready).await else {
            return false;
        };
        connection.send(request, 1_000).await.status == Some(200)
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, given by its name without "SIG".
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills the template as the platform does, with free ports of the loopback address.
fn fill_template(name: &str, zone: &str, store: SocketAddr) -> Result<String, String> {
    let text = fs::read_to_string(TEMPLATE).map_err(|error| format!("{TEMPLATE}: {error}"))?;
    // Without accounts, the bounds have no quota window, and its section is left out.
    let (open, close) = ("{{#bounds.quota_window_s}}", "{{/bounds.quota_window_s}}");
    let (start, end) = (text.find(open), text.rfind(close));
    let text = match start.zip(end) {
        Some((start, end)) => format!("{}{}", &text[..start], &text[end + close.len()..]),
        None => text,
    };
    let store = store.to_string();
    let values = [
        ("{{node_name}}", name),
        ("{{zone}}", zone),
        ("{{listen.front}}", "127.0.0.1:0"),
        ("{{listen.ready}}", "127.0.0.1:0"),
        ("{{ip}}", "127.0.0.1"),
        ("{{port_range.0}}", "0"),
        ("{{port_range.1}}", "0"),
        ("{{platform.address}}", &store),
        ("{{limits.memory_mb}}", MEMORY_MB),
        ("{{bounds.grace_s}}", GRACE_S),
    ];
    let mut filled = text;
    for (placeholder, value) in values {
        filled = filled.replace(placeholder, value);
    }
    if filled.contains("{{") {
        return Err(format!("{TEMPLATE} has an unknown placeholder"));
    }
    Ok(filled)
}
