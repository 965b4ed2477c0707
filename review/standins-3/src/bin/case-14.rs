//! Case 14: streams that began without a record of their software version are taken up after a route's
//! timeout was made longer. The longer span leads to the version that was alone before the latest release.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilramp_review_3::caller::Connection;
use basilramp_review_3::case::{self, BROKEN, HELD, NOT_RUN, Record};
use basilramp_review_3::instance::Instance;
use basilramp_review_3::runner::read_request;
use basilramp_review_3::site::{self, Route};
use basilramp_review_3::store::Store;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::json;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Advice, whose streams can be resumed.
const ADVICE: Route = Route {
    name: "advice",
    kind: "stream",
    service: "engine",
    timeout_ms: 4_000,
    max_attempts: 2,
    is_resumable: true,
    is_retained: false,
};

/// Timeout of the route in the newer configuration.
const LONGER_TIMEOUT_MS: u64 = 10_000;

/// Runners that the service has.
const RUNNERS: usize = 5;

/// Runners that one release replaces: a share of 0.4.
const RELEASED: usize = 2;

/// Pause between two releases.
const RELEASE_PAUSE: Duration = Duration::from_millis(1_500);

/// Streams that are under way when the machine is killed.
const STREAMS: usize = 24;

/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

/// Events of a stream, and the pause between them.
const EVENTS: u64 = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// Time between two replacements of a release.
const RELEASE_GAP: Duration = Duration::from_millis(1_000);

/// Time from a runner's report that it drains to its end; `drain_ms` is 2,000.
const DRAIN: Duration = Duration::from_millis(2_200);

/// Time from the end of the release to the next one, back to the earlier version.
const STEADY: Duration = Duration::from_secs(21);

/// Time from the second release to the streams, from these to the new timeout, and from that to the kill.
const STREAMS_AFTER: Duration = Duration::from_millis(1_000);
const CONFIG_AFTER: Duration = Duration::from_millis(500);
const KILL_AFTER: Duration = Duration::from_millis(1_000);

/// Milliseconds that a client waits for its stream, over all of its tries.
const DEADLINE_MS: u64 = 4_000;

fn main() {
    case::run(|record, has_trouble| async move {
        match run(&record, has_trouble).await {
            Ok(code) => code,
            Err(error) => {
                record.line(error);
                NOT_RUN
            }
        }
    })
}

async fn run(record: &Record, has_trouble: bool) -> Result<i32, String> {
    let store = site::start_store(&site::config(3, &[ADVICE])).await?;
    let mut earlier = Vec::new();
    for number in 0..RUNNERS {
        earlier.push(Runner::start(&store, number, "v1", record).await?);
    }
    let first = Instance::start("front-a-1", "z1", store.address()).await?;
    let mut second = Instance::start("front-b-1", "z1", store.address()).await?;
    let third = Instance::start("front-c-1", "z1", store.address()).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for (number, old) in earlier.into_iter().enumerate() {
        Runner::start(&store, number, "v2", record).await?;
        old.leave(&store);
        record.line(format!("{} drains", old.id));
        tokio::time::sleep(RELEASE_GAP).await;
        if (number + 1) % RELEASED == 0 {
            record.line("a release has ended");
            tokio::time::sleep(RELEASE_PAUSE).await;
        }
    }
    tokio::time::sleep(DRAIN + STEADY).await;
    Runner::start(&store, RUNNERS, "v1", record).await?;
    tokio::time::sleep(STREAMS_AFTER).await;
    let others = [first.callers, third.callers];
    let streams: Vec<_> = (0..STREAMS)
        .map(|number| {
            let addresses = [second.callers, others[number % 2]];
            tokio::spawn(read_stream(number, addresses, record.clone()))
        })
        .collect();
    tokio::time::sleep(CONFIG_AFTER).await;
    let longer = Route {
        timeout_ms: LONGER_TIMEOUT_MS,
        ..ADVICE
    };
    site::put_config(&store, &site::config(7, &[longer]));
    record.line(format!(
        "configuration 7 is acknowledged; timeout_ms is {LONGER_TIMEOUT_MS}"
    ));
    tokio::time::sleep(KILL_AFTER).await;
    if has_trouble {
        second.kill();
        record.line("front-b-1 is killed");
    }
    let (mut mixed, mut whole, mut taken_up) = (0, 0, 0);
    for stream in streams {
        let stream = stream.await.map_err(|error| error.to_string())?;
        whole += usize::from(stream.is_whole);
        taken_up += usize::from(stream.tries > 1);
        if stream.versions.len() > 1 {
            mixed += 1;
            record.line(format!(
                "ORDER: stream {} holds events of {:?}",
                stream.number, stream.versions
            ));
        }
    }
    record.line(format!(
        "{STREAMS} streams, {taken_up} taken up, {whole} whole, {mixed} with events of two versions ({ALLOWED} allowed)"
    ));
    if !has_trouble && whole < STREAMS {
        return Err("not all streams were served".into());
    }
    Ok(if mixed > ALLOWED { BROKEN } else { HELD })
}

/// A stream as its client got it.
struct Stream {
    number: usize,
    tries: usize,
    is_whole: bool,
    versions: BTreeSet<String>,
}

/// Reads a stream at the first address. After a break it is taken up at the second one, once.
async fn read_stream(number: usize, addresses: [SocketAddr; 2], record: Record) -> Stream {
    let began = Instant::now();
    let mut stream = Stream {
        number,
        tries: 0,
        is_whole: false,
        versions: BTreeSet::new(),
    };
    let mut last = 0;
    for address in addresses {
        stream.tries += 1;
        let left_ms = DEADLINE_MS.saturating_sub(began.elapsed().as_millis() as u64);
        let attempt = format!("s{number}-{}", stream.tries);
        let request = request(number, &attempt, last, left_ms);
        let Some(mut connection) = Connection::open(address).await else {
            continue;
        };
        let reply = connection.send(request).await;
        let Some(reply) = reply else {
            record.line(format!("{attempt} after event {last}: no answer"));
            continue;
        };
        let mut ids = Vec::new();
        let events = reply
            .body
            .split_inclusive("\n\n")
            .filter(|text| text.ends_with("\n\n"));
        for event in events {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            let data = event.lines().find_map(|line| line.strip_prefix("data: "));
            if let (Some(Ok(id)), Some(data)) = (id.map(str::parse::<u64>), data) {
                last = id;
                ids.push(id);
                let version = data.split(' ').next().unwrap_or_default();
                stream.versions.insert(version.to_owned());
            }
        }
        record.line(format!(
            "{attempt}: {}, events {:?} to {:?}, complete: {}, versions so far {:?}",
            reply.status.as_u16(),
            ids.first(),
            ids.last(),
            reply.is_complete,
            stream.versions
        ));
        if reply.status.is_success() && reply.is_complete {
            stream.is_whole = last == EVENTS;
            break;
        }
    }
    stream
}

fn request(number: usize, attempt: &str, last: u64, left_ms: u64) -> Request<Full<Bytes>> {
    let mut request = Request::post("/advice/x")
        .header("host", "a.example")
        .header("attempt-id", attempt)
        .header("model", "m")
        .header("token-usage", "1460,120")
        .header("prompt-prefix", format!("5c1e07a2:800,{number:x}:660"))
        .header("deadline-ms", left_ms);
    if last > 0 {
        request = request
            .header("last-event-id", last)
            .header("resumes", format!("s{number}-1"));
    }
    let request = request.body(Full::from(format!("question {number}")));
    request.expect("the request is valid")
}

/// A runner of a software version.
struct Runner {
    id: String,
    version: &'static str,
    address: SocketAddr,
}

impl Runner {
    async fn start(
        store: &Store,
        number: usize,
        version: &'static str,
        record: &Record,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let id = format!("i-{version}-{number}");
        let runner = Self {
            id,
            version,
            address,
        };
        runner.register(store, "ready");
        record.line(format!("{} is ready", runner.id));
        let (id, record) = (runner.id.clone(), record.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(id.clone(), version, record.clone(), stream));
            }
        });
        Ok(runner)
    }

    fn register(&self, store: &Store, state: &str) {
        let entry = json!({
            "service": "engine", "address": self.address.to_string(), "zone": "z1",
            "version": self.version, "slots": 24, "state": state, "cold_left_ms": 0, "seq": 1,
            "born": 1_765_000_000_000_u64,
        });
        store.put("servers", &self.id, entry.to_string().as_bytes());
    }

    /// Reports that it drains, and removes its entry when it ends.
    fn leave(&self, store: &Store) {
        self.register(store, "draining");
        let (store, id) = (store.clone(), self.id.clone());
        tokio::spawn(async move {
            tokio::time::sleep(DRAIN).await;
            store.remove("servers", &id);
        });
    }
}

async fn serve(name: String, version: &'static str, record: Record, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    while let Some(arrival) = read_request(&mut stream).await {
        let id = arrival.header("attempt-id").to_owned();
        if arrival.header("expect-instance") != name {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if stream
                .get_mut()
                .write_all(refusal.as_bytes())
                .await
                .is_err()
            {
                return;
            }
            continue;
        }
        let last: u64 = arrival.header("last-event-id").parse().unwrap_or(0);
        record.line(format!("{name} runs {id} after event {last}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {name}.{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.get_mut().write_all(head.as_bytes()).await.is_err() {
            return;
        }
        for event in last + 1..=EVENTS {
            tokio::time::sleep(EVENT_PAUSE).await;
            let text = format!("id: {event}\ndata: {version} {id} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.get_mut().write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
        }
        if stream.get_mut().write_all(b"0\r\n\r\n").await.is_err() {
            return;
        }
    }
}
