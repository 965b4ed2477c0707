//! Starts instances of the daemon as child processes and controls them with signals.

use std::ffi::OsString;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use serde_json::Value;
use tokio::sync::oneshot;

/// Time limit until an instance listens.
const START_TIMEOUT_MS: u64 = 20_000;

/// Interval between two checks whether a process has exited.
const EXIT_POLL_MS: u64 = 10;

/// Maximum number of output lines stored per process; later lines are dropped.
const MAX_OUTPUT_LINES: usize = 20_000;

/// The command that starts an instance: `program arguments... SETTINGS`.
#[derive(Clone, Debug)]
pub struct Launcher {
    /// The executable.
    pub program: PathBuf,
    /// Arguments before the settings file.
    pub arguments: Vec<OsString>,
}

/// The listen addresses of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators.
    pub operators: SocketAddr,
    /// QUIC for other instances.
    pub peers: SocketAddr,
}

/// A signal that tests send to an instance.
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

/// The process of an instance. Dropping it kills the process.
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
    /// Fails if the program cannot be started, exits, or does not listen in time; the error
    /// contains its output.
    pub async fn start(&self, settings: &Path) -> Result<Process> {
        let mut child = Command::new(&self.program)
            .args(&self.arguments)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            // The kernel ends stopped members of a process group once the shell that started it is gone.
            .process_group(0)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        let output = Arc::new(Mutex::new(Vec::new()));
        let (sender, receiver) = oneshot::channel();
        capture_output(child.stdout.take(), &output, Some(sender));
        capture_output(child.stderr.take(), &output, None);
        let timeout = Duration::from_millis(START_TIMEOUT_MS);
        let Ok(Ok(addresses)) = tokio::time::timeout(timeout, receiver).await else {
            // The kill fails if the process has already exited.
            let _ = child.kill();
            let status = child.wait()?;
            let output = lock(&output).join("\n");
            return Err(eyre!(
                "the instance did not start to listen ({status}): {output}"
            ));
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

/// Spawns a thread that collects the lines of a pipe, and sends the listen addresses when they are
/// logged.
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
                // The receiver is dropped after the start timeout.
                let _ = sender.send(addresses);
            }
            let mut output = lock(&output);
            if output.len() < MAX_OUTPUT_LINES {
                output.push(line);
            }
        }
    });
}

/// Parses the listen addresses from the JSON log line with `"msg": "listening"`.
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
    /// Returns the listen addresses.
    #[must_use]
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the lines that it has written to stdout and stderr.
    #[must_use]
    pub fn output(&self) -> Vec<String> {
        lock(&self.output).clone()
    }

    /// Returns what the operating system says of the process's state, for messages of failed tests.
    #[must_use]
    pub fn kernel_state(&self) -> String {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_else(|error| error.to_string());
        let is_relevant = |line: &&str| {
            ["State:", "Threads:", "VmRSS:", "SigPnd:"]
                .iter()
                .any(|field| line.starts_with(field))
        };
        let lines: Vec<&str> = status.lines().filter(is_relevant).collect();
        format!("{}, {}", lines.join(", "), self.ended_by())
    }

    /// Returns what ended the process, from the last field of its `stat` file: the signal in the
    /// lower 7 bits, the exit code above 8 bits. A running process has 0.
    fn ended_by(&self) -> String {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).unwrap_or_else(|error| error.to_string());
        let wait_status = stat.split_whitespace().last();
        match wait_status.and_then(|status| status.parse::<u32>().ok()) {
            Some(status) => format!("signal: {}, exit code: {}", status & 0x7f, status >> 8),
            None => format!("no wait status: {stat}"),
        }
    }

    /// Kills the process (`SIGKILL`) and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails if the operating system cannot kill the process.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_| ())
    }

    /// Suspends the process (`SIGSTOP`).
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::Stop)
    }

    /// Resumes a suspended process (`SIGCONT`).
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::Continue)
    }

    /// Requests a graceful shutdown (`SIGTERM`).
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::Terminate)
    }

    /// Returns the exit status without waiting, or none while the process runs.
    ///
    /// # Errors
    ///
    /// Fails if the status cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits until the process exits, for at most `ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Fails with [`io::ErrorKind::TimedOut`] if it does not exit in time, or if its status cannot
    /// be read.
    pub async fn wait_for_exit(&mut self, ms: u64) -> io::Result<ExitStatus> {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(ms);
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if tokio::time::Instant::now() >= deadline {
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
        Err(io::Error::other("kill exited with an error"))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The kill fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
