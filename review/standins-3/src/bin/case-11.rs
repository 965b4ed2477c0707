//! Case 11: a faulty runner sends additional bytes after a complete response. They have the form of a
//! refusal without an id and reach the instance while the next request is in flight on the connection.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use basilramp_review_3::case::{self, BROKEN, HELD, NOT_RUN, Record, lock};
use basilramp_review_3::instance::Instance;
use basilramp_review_3::runner::read_request;
use basilramp_review_3::{caller, site};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Duration of the traffic and of the disruption.
const TRAFFIC: Duration = Duration::from_secs(5);

/// Callers that send one request after the other.
const CALLERS: usize = 4;

/// Work of a request at its runner.
const WORK: Duration = Duration::from_millis(10);

/// Every how many answers of the faulty runner one is followed by additional bytes (3 in 100).
const GARBLE_EVERY: u64 = 34;

/// The additional bytes.
const EXTRA: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// What the runners ran: how often by attempt id.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

struct Runner {
    name: &'static str,
    garbles: bool,
    answers: AtomicU64,
    runs: Runs,
    record: Record,
}

fn main() {
    case::run(run)
}

async fn run(record: Record, has_trouble: bool) -> i32 {
    let Ok(store) = site::start_store(&site::config(3, &[site::PAY])).await else {
        return NOT_RUN;
    };
    let runs = Runs::default();
    // One of two runners is faulty.
    for (name, garbles) in [("i-1", has_trouble), ("i-2", false)] {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0").await else {
            return NOT_RUN;
        };
        let Ok(address) = listener.local_addr() else {
            return NOT_RUN;
        };
        let runner = Arc::new(Runner {
            name,
            garbles,
            answers: AtomicU64::new(0),
            runs: Arc::clone(&runs),
            record: record.clone(),
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(Arc::clone(&runner), stream));
            }
        });
        site::register(&store, name, "app", address, "ready", 1);
    }
    let instance = match Instance::start("front-a-1", "z1", store.address()).await {
        Ok(instance) => instance,
        Err(error) => {
            record.line(error);
            return NOT_RUN;
        }
    };
    let until = Instant::now() + TRAFFIC;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| tokio::spawn(call(record.clone(), number, instance.callers, until)))
        .collect();
    let mut answers = BTreeMap::new();
    for caller in callers {
        let Ok(of_caller) = caller.await else {
            return NOT_RUN;
        };
        answers.extend(of_caller);
    }
    // A request that is said not to have run must not run later either.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let runs = lock(&runs).clone();
    let mut refused_and_run = 0;
    let mut served = 0;
    for (attempt, status) in &answers {
        let count = runs.get(attempt).copied().unwrap_or(0);
        served += usize::from(*status == 200);
        if (*status == 503 || *status == 429) && count > 0 {
            refused_and_run += 1;
            record.line(format!(
                "REFUSED: {attempt} was answered {status} and ran {count} time(s)"
            ));
        }
        if count > 1 {
            record.line(format!("TWICE: {attempt} ran {count} times"));
            refused_and_run += 1;
        }
    }
    record.line(format!(
        "{} attempts, {served} served, {refused_and_run} refused though they ran",
        answers.len()
    ));
    if served == 0 {
        return NOT_RUN;
    }
    if refused_and_run > 0 { BROKEN } else { HELD }
}

/// Sends payments one after the other. A payment that is refused is sent once more.
async fn call(
    record: Record,
    caller: usize,
    address: std::net::SocketAddr,
    until: Instant,
) -> BTreeMap<String, u16> {
    let mut answers = BTreeMap::new();
    let mut payment = 0;
    while Instant::now() < until {
        payment += 1;
        for attempt in 1..=2 {
            let id = format!("c{caller}-p{payment}-a{attempt}");
            let body = format!("payment {payment} of caller {caller}");
            record.line(format!("sent {id}"));
            let request = caller::plain("POST", "/pay/x", &id, 2_000, &body);
            let reply = caller::send(address, request).await;
            let status = reply.as_ref().map_or(0, |reply| reply.status.as_u16());
            record.line(format!("answered {id} {status}"));
            answers.insert(id, status);
            if status != 503 && status != 429 {
                break;
            }
        }
    }
    answers
}

async fn serve(runner: Arc<Runner>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    let mut extra_is_due = false;
    while let Some(arrival) = read_request(&mut stream).await {
        let id = arrival.header("attempt-id").to_owned();
        let is_expected = arrival.header("expect-instance") == runner.name;
        if !is_expected {
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
        *lock(&runner.runs).entry(id.clone()).or_default() += 1;
        runner.record.line(format!("{} runs {id}", runner.name));
        if std::mem::take(&mut extra_is_due) {
            runner.record.line(format!(
                "{} sends bytes that belong to no request",
                runner.name
            ));
            if stream.get_mut().write_all(EXTRA.as_bytes()).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(WORK).await;
        let body = format!("done {id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {}.{id}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
            runner.name,
            body.len()
        );
        if stream.get_mut().write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        let number = runner.answers.fetch_add(1, Ordering::Relaxed) + 1;
        extra_is_due = runner.garbles && number.is_multiple_of(GARBLE_EVERY);
    }
}
