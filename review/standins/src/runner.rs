//! A runner: a model engine or a plain service that registers in the store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};

use crate::http::{Connection, Head};
use crate::{Record, Store, lock, sleep_ms};

/// How a runner works.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Milliseconds of work before the answer of a plain request or an event of a stream.
    pub work_ms: u64,
    /// Events of a stream.
    pub events: u64,
    /// Whether it says in its answers that it leaves.
    pub is_leaving: bool,
    /// Bodies above this length are rejected before they are in, and read on slowly later.
    pub early: Option<Early>,
    /// Answers have neither a length nor chunks, and end so.
    pub unframed: Option<Ending>,
    /// A request whose body holds this text ends the runner as it begins to run it.
    pub crashes_on: Option<&'static str>,
    /// Of each this many runs, one ends without an answer; 0 for none.
    pub loses_one_in: usize,
    /// Of each this many answers, one comes again later on its connection; 0 for none.
    pub repeats_one_in: usize,
    /// Size of its connections' receive buffers, in bytes.
    pub receive_buffer: Option<u32>,
}

/// How an answer without a length ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// After its last byte, with its connection.
    Whole,
    /// In its middle, by a reset.
    Reset,
    /// In its middle, by a reset after a whole event.
    ResetAfterEvent,
    /// Its connection ends within an event.
    InsideEvent,
    /// Its connection ends without the empty line of the last event.
    NoEmptyLine,
}

/// An answer that comes before its request's body was read.
#[derive(Clone, Copy, Debug)]
pub struct Early {
    /// Length of a body from which it is rejected early.
    pub from_bytes: u64,
    /// Milliseconds after the answer at which the runner reads on.
    pub pause_ms: u64,
    /// Bytes that it then reads each 100 ms.
    pub bytes_per_step: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            work_ms: 20,
            events: 8,
            is_leaving: false,
            early: None,
            unframed: None,
            crashes_on: None,
            loses_one_in: 0,
            repeats_one_in: 0,
            receive_buffer: None,
        }
    }
}

/// A request that a runner has begun to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub runner: String,
    pub version: String,
    pub attempt: String,
    pub path: String,
    pub body: Vec<u8>,
    pub previous: Option<String>,
    pub last_event: Option<u64>,
    /// Whether the whole answer was written.
    pub is_done: bool,
}

#[derive(Debug)]
struct Shared {
    id: String,
    service: String,
    zone: String,
    version: String,
    born: u64,
    record: Record,
    store: Store,
    plan: Mutex<Plan>,
    runs: Mutex<Vec<Run>>,
    seq: Mutex<u64>,
    early_answers: AtomicUsize,
    state: Mutex<&'static str>,
    crashed: Arc<Notify>,
}

/// A running runner.
#[derive(Clone, Debug)]
pub struct Runner {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    tasks: Arc<Mutex<Vec<AbortHandle>>>,
    crashed: Arc<Notify>,
}

impl Runner {
    /// Starts a runner and registers it as ready. It writes its entry again at each heartbeat.
    pub async fn start(
        record: &Record,
        store: &Store,
        id: &str,
        service: &str,
        version: &str,
        plan: Plan,
    ) -> Self {
        let socket = TcpSocket::new_v4().expect("runner");
        if let Some(bytes) = plan.receive_buffer {
            socket.set_recv_buffer_size(bytes).expect("runner");
        }
        let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
        socket.bind(any).expect("runner");
        let listener = socket.listen(1_024).expect("runner");
        let address = listener.local_addr().expect("address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "z-a".to_owned(),
            version: version.to_owned(),
            born: born.map_or(0, |time| time.as_millis() as u64),
            record: record.clone(),
            store: store.clone(),
            plan: Mutex::new(plan),
            runs: Mutex::default(),
            seq: Mutex::default(),
            early_answers: AtomicUsize::new(0),
            state: Mutex::new("ready"),
            crashed: Arc::default(),
        });
        let runner = Self {
            address,
            shared: Arc::clone(&shared),
            tasks: Arc::default(),
            crashed: Arc::clone(&shared.crashed),
        };
        runner.beat();
        record.line(format!(
            "runner {id} of {service}, software {version}, at {address}"
        ));
        let serving = tokio::spawn(serve(Arc::clone(&shared), listener));
        let own = runner.clone();
        let beating = tokio::spawn(async move {
            loop {
                sleep_ms(1_200).await;
                own.beat();
            }
        });
        *lock(&runner.tasks) = vec![serving.abort_handle(), beating.abort_handle()];
        runner
    }

    fn beat(&self) {
        let shared = &self.shared;
        let state = *lock(&shared.state);
        if state == "gone" {
            return;
        }
        let mut seq = lock(&shared.seq);
        *seq += 1;
        let entry: Value = json!({
            "service": shared.service, "address": self.address.to_string(), "zone": shared.zone,
            "version": shared.version, "slots": 24, "state": state, "cold_left_ms": 0,
            "seq": *seq, "born": shared.born,
        });
        shared.store.put("servers", &shared.id, &entry);
    }

    /// Reports `draining`, and says in all answers from now on that it leaves.
    pub fn drain(&self) {
        *lock(&self.shared.state) = "draining";
        lock(&self.shared.plan).is_leaving = true;
        self.beat();
        let id = &self.shared.id;
        self.shared
            .record
            .line(format!("runner {id} reported draining"));
    }

    /// Leaves without a report: its entry is removed, and it continues to serve.
    pub fn leave_silently(&self) {
        *lock(&self.shared.state) = "gone";
        lock(&self.shared.plan).is_leaving = true;
        self.shared.store.remove("servers", &self.shared.id);
        let id = &self.shared.id;
        self.shared.record.line(format!(
            "runner {id}: its entry was removed, it continues to serve"
        ));
    }

    /// Ends: closes its listener and all connections, and its entry goes.
    pub fn exit(&self) {
        *lock(&self.shared.state) = "gone";
        for task in lock(&self.tasks).iter() {
            task.abort();
        }
        self.shared.store.remove("servers", &self.shared.id);
        let id = &self.shared.id;
        self.shared.record.line(format!("runner {id} exited"));
    }

    /// Waits until a request crashes the runner, and ends it. Its entry stays for three heartbeats.
    pub async fn end_at_crash(&self) {
        self.crashed.notified().await;
        *lock(&self.shared.state) = "gone";
        lock(&self.tasks).iter().for_each(AbortHandle::abort);
        let (store, id) = (self.shared.store.clone(), self.shared.id.clone());
        tokio::spawn(async move {
            sleep_ms(3_600).await;
            store.remove("servers", &id);
        });
    }

    /// Changes how it works.
    pub fn set_plan(&self, plan: Plan) {
        *lock(&self.shared.plan) = plan;
    }

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns how many requests it rejected before their bodies were in.
    #[must_use]
    pub fn early_answers(&self) -> usize {
        self.shared.early_answers.load(Ordering::SeqCst)
    }

    /// Returns what it ran.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }
}

async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    // Dropped with the task, which ends all connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let shared = Arc::clone(&shared);
                connections.spawn(async move {
                    let mut connection = Connection::new(stream);
                    while let Ok(true) = serve_one(&shared, &mut connection).await {}
                });
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one request. Returns whether another may follow.
async fn serve_one(shared: &Shared, connection: &mut Connection) -> io::Result<bool> {
    let Some(head) = connection.read_head().await? else {
        return Ok(false);
    };
    let plan = lock(&shared.plan).clone();
    let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
    let leaving = if plan.is_leaving { "1" } else { "" };
    let mut common = vec![("Attempt-Id", attempt.as_str())];
    if plan.is_leaving {
        common.push(("Server-Leaving", leaving));
    }
    if let Some(early) = plan.early
        && head.number("content-length").unwrap_or(0) >= early.from_bytes
    {
        return reject_early(shared, connection, &head, early)
            .await
            .map(|()| true);
    }
    let mut body = Vec::new();
    connection.read_body(&head, &mut body).await?;
    if head
        .get("expect-instance")
        .is_some_and(|id| id != shared.id)
    {
        common.push(("Not-Executed", "1"));
        connection
            .respond("421 Misdirected Request", &common, b"")
            .await?;
        return Ok(true);
    }
    let (_, path) = head.target();
    let run = Run {
        at_ms: shared.record.now_ms(),
        runner: shared.id.clone(),
        version: shared.version.clone(),
        attempt: attempt.clone(),
        path: path.to_owned(),
        body,
        previous: head.get("previous-turn").map(str::to_owned),
        last_event: head.number("last-event-id"),
        is_done: false,
    };
    shared.record.line(format!(
        "runner {} runs {attempt} {path} (last event {:?})",
        shared.id, run.last_event
    ));
    let index = {
        let mut runs = lock(&shared.runs);
        runs.push(run.clone());
        runs.len() - 1
    };
    if plan
        .crashes_on
        .is_some_and(|text| String::from_utf8_lossy(&run.body).contains(text))
    {
        shared.record.line(format!("runner {} crashes", shared.id));
        shared.crashed.notify_one();
        // The process ends, and its connections with it.
        return std::future::pending().await;
    }
    let signature = format!("sig.{}.{attempt}", shared.id);
    common.push(("Server-Signature", &signature));
    if let Some(ending) = plan.unframed {
        let is_stream = head.get("token-usage").is_some();
        let is_done = answer_unframed(connection, &plan, &common, &run, is_stream, ending).await?;
        lock(&shared.runs)[index].is_done = is_done;
        return Ok(false);
    }
    if head.get("token-usage").is_some() {
        stream(connection, &plan, &common, &run).await?;
    } else {
        sleep_ms(plan.work_ms).await;
        if plan.loses_one_in > 0 && index.is_multiple_of(plan.loses_one_in) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let text = format!("{} by {}", run.attempt, shared.id);
        connection
            .respond("200 OK", &common, text.as_bytes())
            .await?;
        if plan.repeats_one_in > 0 && index % plan.repeats_one_in == 1 {
            sleep_ms(index as u64 % 7 * 5).await;
            connection
                .respond("200 OK", &common, text.as_bytes())
                .await?;
        }
    }
    lock(&shared.runs)[index].is_done = true;
    Ok(true)
}

async fn stream(
    connection: &mut Connection,
    plan: &Plan,
    common: &[(&str, &str)],
    run: &Run,
) -> io::Result<()> {
    let mut text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
        Transfer-Encoding: chunked\r\n"
        .to_owned();
    for (name, value) in common {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    for event in run.last_event.unwrap_or(0) + 1..=plan.events {
        // A runner drops a run when its connection closes.
        let mut byte = [0];
        tokio::select! {
            () = sleep_ms(plan.work_ms) => {}
            peeked = connection.stream.peek(&mut byte) => if peeked? == 0 {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        let data = format!("id: {event}\ndata: {}.{event}\n\n", run.version);
        text.push_str(&format!("{:x}\r\n{data}\r\n", data.len()));
        connection.write(text.as_bytes()).await?;
        text.clear();
    }
    text.push_str("0\r\n\r\n");
    connection.write(text.as_bytes()).await
}

/// Answers without a length. Returns whether the answer is whole.
async fn answer_unframed(
    connection: &mut Connection,
    plan: &Plan,
    common: &[(&str, &str)],
    run: &Run,
    is_stream: bool,
    ending: Ending,
) -> io::Result<bool> {
    let mut text = "HTTP/1.1 200 OK\r\n".to_owned();
    for (name, value) in common {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    connection.write(text.as_bytes()).await?;
    let mut pieces = Vec::new();
    if is_stream {
        let events = run.last_event.unwrap_or(0) + 1..=plan.events;
        pieces
            .extend(events.map(|event| format!("id: {event}\ndata: {}.{event}\n\n", run.version)));
    } else {
        pieces.push(format!("{} by", run.attempt));
        pieces.push(format!(" {}", run.runner));
    }
    let half = pieces.len() / 2;
    // A stream that is taken up again ends whole.
    let ending = if run.last_event.is_some() {
        Ending::Whole
    } else {
        ending
    };
    for (at, piece) in pieces.iter().enumerate() {
        sleep_ms(plan.work_ms).await;
        let is_last = at + 1 == pieces.len();
        let cut = match ending {
            Ending::Reset if at == half => Some(piece.len() / 2),
            Ending::ResetAfterEvent if at == half => Some(0),
            Ending::InsideEvent if at == half => Some(piece.len() / 2),
            Ending::NoEmptyLine if is_last => Some(piece.len() - 1),
            _ => None,
        };
        connection
            .write(&piece.as_bytes()[..cut.unwrap_or(piece.len())])
            .await?;
        if cut.is_some() {
            sleep_ms(5).await;
            if matches!(ending, Ending::Reset | Ending::ResetAfterEvent) {
                connection.stream.set_zero_linger()?;
            }
            return Ok(false);
        }
    }
    Ok(true)
}

/// Rejects a request before its body is in, keeps the connection and reads on later.
async fn reject_early(
    shared: &Shared,
    connection: &mut Connection,
    head: &Head,
    early: Early,
) -> io::Result<()> {
    let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
    shared.early_answers.fetch_add(1, Ordering::SeqCst);
    shared.record.line(format!(
        "runner {} rejects {attempt} before its body is in",
        shared.id
    ));
    let headers = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
    connection
        .respond("503 Service Unavailable", &headers, b"")
        .await?;
    sleep_ms(early.pause_ms).await;
    let len = head.number("content-length").unwrap_or(0) as usize;
    let mut read = 0;
    while read < len {
        let step = early.bytes_per_step.min(len - read);
        let piece = Head {
            start: String::new(),
            headers: BTreeMap::from([("content-length".to_owned(), step.to_string())])
                .into_iter()
                .collect(),
        };
        connection.read_body(&piece, &mut Vec::new()).await?;
        read += step;
        sleep_ms(100).await;
    }
    shared.record.line(format!(
        "runner {} has read the body of {attempt}",
        shared.id
    ));
    Ok(())
}
