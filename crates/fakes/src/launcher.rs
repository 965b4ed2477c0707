//! Starts instances of the daemon as separate processes.

use std::ffi::OsString;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use serde_json::Value;
use tokio::sync::oneshot;

/// The longest that an instance may take until it listens.
const START_TIMEOUT_MS: u64 = 20_000;

/// Time between two looks whether a process has ended.
const EXIT_POLL_MS: u64 = 10;

/// Log lines that are kept of each process.
const MAX_OUTPUT_LINES: usize = 20_000;

/// How to start an instance: `program arguments... SETTINGS`.
#[derive(Clone, Debug)]
pub struct Launcher {
    /// The program.
    pub program: PathBuf,
    /// Arguments before the settings file.
    pub arguments: Vec<OsString>,
}

/// Where an instance listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// QUIC for other instances.
    pub peers: SocketAddr,
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    Stop,
    Continue,
    Terminate,
}

impl Signal {
    const fn kill_option(self) -> &'static str {
        match self {
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Terminate => "-TERM",
        }
    }
}

/// A running instance; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Addresses,
    output: Arc<Mutex<Vec<String>>>,
}

impl Launcher {
    /// Starts an instance and waits until it listens.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started, ends, or does not listen in time; the error holds
    /// what it printed.
    pub async fn start(&self, settings: &Path) -> Result<Process> {
        let mut child = Command::new(&self.program)
            .args(&self.arguments)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("can't start {}", self.program.display()))?;
        let output = Arc::new(Mutex::new(Vec::new()));
        let (sender, receiver) = oneshot::channel();
        capture_output(child.stdout.take(), &output, Some(sender));
        capture_output(child.stderr.take(), &output, None);
        let limit = Duration::from_millis(START_TIMEOUT_MS);
        let Ok(Ok(addresses)) = tokio::time::timeout(limit, receiver).await else {
            // It may have ended by itself already.
            let _ = child.kill();
            let status = child.wait()?;
            let printed = lock(&output).join("\n");
            return Err(eyre!("an instance did not listen ({status}): {printed}"));
        };
        Ok(Process {
            child,
            addresses,
            output,
        })
    }
}

fn lock(output: &Mutex<Vec<String>>) -> std::sync::MutexGuard<'_, Vec<String>> {
    output.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads a pipe to its end in a thread; sends the addresses once they are logged.
fn capture_output(
    pipe: Option<impl Read + Send + 'static>,
    output: &Arc<Mutex<Vec<String>>>,
    mut sender: Option<oneshot::Sender<Addresses>>,
) {
    let Some(pipe) = pipe else { return };
    let output = Arc::clone(output);
    std::thread::spawn(move || {
        for line in BufReader::new(pipe).lines().map_while(Result::ok) {
            if let Some(addresses) = parse_addresses(&line)
                && let Some(sender) = sender.take()
            {
                // The starter may have given up.
                let _ = sender.send(addresses);
            }
            let mut output = lock(&output);
            if output.len() < MAX_OUTPUT_LINES {
                output.push(line);
            }
        }
    });
}

/// Reads the addresses from the log line that names them.
fn parse_addresses(line: &str) -> Option<Addresses> {
    let line: Value = serde_json::from_str(line).ok()?;
    let address = |name: &str| line.get(name)?.as_str()?.parse().ok();
    if line.get("msg")?.as_str()? != "listening" {
        return None;
    }
    Some(Addresses {
        callers: address("callers")?,
        operators: address("operators")?,
        peers: address("peers")?,
    })
}

impl Process {
    /// Returns where it listens.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines it has printed.
    #[must_use]
    pub fn output(&self) -> Vec<String> {
        lock(&self.output).clone()
    }

    /// Kills it at once.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Stops it from running (`SIGSTOP`).
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::Stop)
    }

    /// Lets it run again (`SIGCONT`).
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::Continue)
    }

    /// Asks it to stop (`SIGTERM`).
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::Terminate)
    }

    /// Tells how it ended, if it has.
    ///
    /// # Errors
    ///
    /// Fails if the system can't tell.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits until it ends, for at most `ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if it does not end in time.
    pub async fn wait_for_exit(&mut self, ms: u64) -> io::Result<ExitStatus> {
        let limit = tokio::time::Instant::now() + Duration::from_millis(ms);
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if tokio::time::Instant::now() >= limit {
                return Err(io::ErrorKind::TimedOut.into());
            }
            tokio::time::sleep(Duration::from_millis(EXIT_POLL_MS)).await;
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let status = Command::new("kill")
            .arg(signal.kill_option())
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other("the signal was not sent"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
