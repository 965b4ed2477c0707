//! Starts the project's program as the deploy file says, with settings from its template.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;

use tokio::process::{Child, Command};

use crate::http::Request;
use crate::store::View;
use crate::{Record, lock, sleep_ms};

/// Ids of the processes that this program started and that have not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that were started and still run.
pub fn kill_all() {
    for id in std::mem::take(&mut *lock(&RUNNING)) {
        let mut kill = std::process::Command::new("kill");
        let _ = kill.arg("-KILL").arg(id.to_string()).status();
    }
}

/// Ends the program with code 2 if a case takes too long or its driver fails.
pub fn watch() {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        println!("the case took too long");
        kill_all();
        std::process::exit(2);
    });
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        kill_all();
        std::process::exit(2);
    }));
}

/// A machine with one process of the system.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

impl Machine {
    /// Starts a process and waits until it is ready.
    pub async fn start(
        record: &Record,
        folder: &Path,
        name: &str,
        zone: &str,
        store: &View,
    ) -> Self {
        let ports = free_ports();
        let [front, ready, metrics, peers] = ports;
        let template = std::fs::read_to_string("deploy/ingress.jsonc").expect("the template");
        let fields = [
            ("{{node_name}}", name.to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{listen.front}}", front.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{ip}}:{{port_range.0}}", metrics.to_string()),
            ("{{ip}}:{{port_range.1}}", peers.to_string()),
            ("{{platform.address}}", store.address.to_string()),
            ("{{limits.memory_mb}}", "270".to_owned()),
            ("{{bounds.grace_s}}", "8".to_owned()),
        ];
        let settings = fields
            .iter()
            .fold(template, |text, (field, value)| text.replace(field, value));
        let path: PathBuf = folder.join(format!("{name}.jsonc"));
        std::fs::write(&path, settings).expect("settings");
        let log = std::fs::File::create(folder.join(format!("{name}.log"))).expect("log");
        let process = Command::new("target/release/basilrampd")
            .arg(&path)
            .env("BASILRAMP_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .unwrap_or_else(|error| {
                println!("can't run target/release/basilrampd: {error}");
                std::process::exit(2)
            });
        lock(&RUNNING).extend(process.id());
        record.line(format!(
            "machine {name} in {zone} started, clients at {front}"
        ));
        let machine = Self {
            name: name.to_owned(),
            front,
            ready,
            process,
        };
        for _ in 0..200 {
            if machine.is_ready().await {
                record.line(format!("machine {name} is ready"));
                return machine;
            }
            sleep_ms(50).await;
        }
        record.say(format!("machine {name} did not become ready"));
        kill_all();
        std::process::exit(2)
    }

    /// Asks as the platform does whether the machine is ready.
    pub async fn is_ready(&self) -> bool {
        let probe = Request::new("GET", "/readyz", "probe", 500);
        probe.send(self.ready).await.status == 200
    }

    /// Returns the id of the process; 0 if it has ended.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id().unwrap_or(0)
    }

    /// Sends a signal by its name.
    pub async fn signal(&self, name: &str) {
        if let Some(id) = self.process.id() {
            let mut kill = Command::new("kill");
            let _ = kill
                .arg(format!("-{name}"))
                .arg(id.to_string())
                .status()
                .await;
        }
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        let id = self.process.id();
        let _ = self.process.kill().await;
        lock(&RUNNING).retain(|running| Some(*running) != id);
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Stops the process as the platform does.
    pub async fn stop(mut self) {
        let id = self.process.id();
        self.signal("TERM").await;
        let end = self.process.wait();
        if tokio::time::timeout(Duration::from_secs(8), end)
            .await
            .is_err()
        {
            self.kill().await;
        }
        lock(&RUNNING).retain(|running| Some(*running) != id);
    }
}

fn free_ports() -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| std::net::TcpListener::bind("127.0.0.1:0").expect("a port"));
    listeners.map(|listener| listener.local_addr().expect("address"))
}
