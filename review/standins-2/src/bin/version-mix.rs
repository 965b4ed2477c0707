//! Streams that begin while the store is down go on at another software version after its return.

use std::collections::BTreeSet;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use basilramp_fakes::user_platform::{Behaviour, Upstream};
use http::request::Builder;
use review_cases_2::Verdict;
use review_cases_2::client::{Answer, Connection};
use review_cases_2::instance::Instance;
use review_cases_2::record::Record;
use review_cases_2::site::{Site, stream_request, stream_route, with_body};
use tokio::time::{Instant, sleep, sleep_until};

/// Streams that begin during the outage.
const STREAMS: usize = 24;

/// Duration of the outage; the site file has 4.5 s.
const OUTAGE: Duration = Duration::from_millis(4_500);

/// Deadline of a client, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

/// Client attempts with which a client takes its stream up.
const TAKE_UPS: usize = 3;

const PATH: &str = "/lohu930/2f";

fn main() -> ExitCode {
    review_cases_2::main(run)
}

fn request(attempt: &str, left_ms: u64) -> Builder {
    stream_request(PATH, attempt, left_ms, 160)
}

/// Attempts of one client for one stream, with what each brought.
struct Stream {
    attempts: Vec<(String, Answer)>,
}

async fn run(record: Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let site = Site::start();
    site.configure(7, &[stream_route("/lohu930/", "engine", false, true)]);
    // 3.5 s, within the deadline of 4 s.
    let slow = Behaviour::Respond {
        events: 35,
        interval_ms: 100,
    };
    let mut runners = vec![
        site.add_runner("i-1", "engine", "v1", slow),
        site.add_runner("i-2", "engine", "v1", slow),
    ];
    let mut machines = Vec::new();
    for zone in ["a", "b", "c"] {
        let name = format!("front-casa-{zone}-1");
        let zone = format!("casa-{zone}");
        machines.push(Instance::start(&name, &zone, site.store.address()).await?);
    }
    // The machines find each other within 15 s of their start.
    sleep(Duration::from_secs(17)).await;
    let answer = attempt(&machines[0], "calm", None, DEADLINE_MS, &record).await;
    if answer.status != Some(200) || !answer.is_complete {
        return Err("the calm deployment does not serve".into());
    }
    // A release: the new runners start first, one a second.
    for id in ["i-3", "i-4"] {
        runners.push(site.add_runner(id, "engine", "v2", slow));
        record.line(format!("runner {id} of version v2 is ready"));
        sleep(Duration::from_secs(1)).await;
    }
    let begin = Instant::now();
    if has_trouble {
        site.set_down(true);
        record.line("the store is down (503)");
    }
    sleep_until(begin + Duration::from_secs(2)).await;
    let targets: Vec<_> = machines.iter().map(|machine| machine.callers).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, targets) = (Arc::clone(&record), targets.clone());
            tokio::spawn(async move { client(number, targets, record).await })
        })
        .collect();
    sleep_until(begin + OUTAGE).await;
    if has_trouble {
        site.set_down(false);
        record.line("the store is back");
        sleep_until(begin + OUTAGE + Duration::from_millis(400)).await;
        machines[0].kill();
        record.line(format!("{} is killed", machines[0].name));
    }
    let mut mixed = 0;
    for client in clients {
        let stream = client.await.map_err(|error| error.to_string())?;
        let versions = versions(&stream, &runners, &record);
        mixed += usize::from(versions.len() > 1);
    }
    record.line(format!(
        "{mixed} of {STREAMS} streams hold events from runners of two software versions; 2 are allowed"
    ));
    Ok(if mixed > 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

async fn attempt(
    machine: &Instance,
    id: &str,
    resumed: Option<(&str, u64)>,
    left_ms: u64,
    record: &Record,
) -> Answer {
    send(machine.callers, id, resumed, left_ms, record).await
}

async fn send(
    address: std::net::SocketAddr,
    id: &str,
    resumed: Option<(&str, u64)>,
    left_ms: u64,
    record: &Record,
) -> Answer {
    let mut builder = request(id, left_ms);
    if let Some((begun_by, last)) = resumed {
        builder = builder
            .header("resumes", begun_by)
            .header("last-event-id", last);
    }
    let Ok(mut connection) = Connection::open(address).await else {
        record.line(format!("{id}: no connection"));
        return Answer::default();
    };
    let answer = connection
        .send(with_body(builder, "question"), left_ms)
        .await;
    let events = answer.events();
    record.line(format!(
        "{id}{}: {}, events {:?} to {:?}",
        resumed.map_or(String::new(), |(begun_by, last)| format!(
            " (takes {begun_by} up after event {last})"
        )),
        answer.describe(),
        events.first(),
        events.last()
    ));
    answer
}

/// Begins a stream at the first machine, and takes it up at the others if it breaks off.
async fn client(number: usize, machines: Vec<std::net::SocketAddr>, record: Arc<Record>) -> Stream {
    let deadline = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let left_ms = || {
        deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64
    };
    let first = format!("s{number}");
    let answer = send(machines[0], &first, None, DEADLINE_MS, &record).await;
    let mut last = answer.events().last().copied();
    let mut is_done = answer.is_complete;
    let mut attempts = vec![(first.clone(), answer)];
    for turn in 0..TAKE_UPS {
        let Some(after) = last.filter(|_| !is_done && left_ms() > 50) else {
            break;
        };
        let id = format!("s{number}-again-{turn}");
        let machine = machines[1 + (number + turn) % 2];
        let answer = send(machine, &id, Some((&first, after)), left_ms(), &record).await;
        let wait_ms = (answer.retry_after().unwrap_or(0.05) * 1_000.0) as u64;
        last = answer.events().last().copied().or(last);
        is_done = answer.is_complete && answer.status == Some(200);
        attempts.push((id, answer));
        if !is_done {
            sleep(Duration::from_millis(wait_ms.min(left_ms() / 3))).await;
        }
    }
    Stream { attempts }
}

/// Returns the software versions of the runners whose events a stream holds. Attempts that several
/// runners ran are left out, as the events don't tell the runners apart.
fn versions(stream: &Stream, runners: &[Arc<Upstream>], record: &Record) -> BTreeSet<String> {
    let mut versions = BTreeSet::new();
    for (attempt, answer) in &stream.attempts {
        if answer.events().is_empty() {
            continue;
        }
        let runs = runners.iter().flat_map(|runner| runner.requests());
        let runs: Vec<_> = runs.filter(|run| run.attempt_id == *attempt).collect();
        let text = runs
            .iter()
            .map(|run| format!("{} after {:?}", run.version, run.last_event));
        let text: Vec<_> = text.collect();
        record.line(format!("ran: {attempt} at {}", text.join(", then ")));
        if let [run] = &runs[..] {
            versions.insert(run.version.clone());
        }
    }
    versions
}
