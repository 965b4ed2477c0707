//! A machine without a path to the runners relays a request that must run at most once to a machine with
//! an older configuration, which repeats it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use basilramp_fakes::relay::{self, Cut, Door};
use basilramp_fakes::user_platform::Behaviour;
use bytes::Bytes;
use http_body_util::Full;
use review_cases_2::Verdict;
use review_cases_2::client::Connection;
use review_cases_2::instance::Instance;
use review_cases_2::record::Record;
use review_cases_2::site::{Site, request, safe_route, unsafe_route, with_body};
use tokio::time::{Instant, sleep, sleep_until};

/// Clients that send catalog requests, one after the other.
const READERS: usize = 6;

/// Pause of such a client between two requests.
const PAUSE: Duration = Duration::from_millis(30);

/// Orders, and the time from one to the next.
const ORDERS: u64 = 12;
const ORDER_INTERVAL: Duration = Duration::from_millis(90);

/// How long a runner works on a catalog request and on an order. The site file has up to 213 ms
/// (`consulta-refac`) and up to 593 ms (`envio-refac`).
const READ_MS: u64 = 20;
const ORDER_MS: u64 = 590;

fn main() -> ExitCode {
    review_cases_2::main(run)
}

const fn works(interval_ms: u64) -> Behaviour {
    Behaviour::Respond {
        events: 1,
        interval_ms,
    }
}

async fn run(record: Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let site = Site::start();
    let reads = safe_route("/pule252/", "shop");
    let orders = unsafe_route("/pule252/order/", "shop");
    site.configure(7, std::slice::from_ref(&reads));
    let runners: Vec<_> = (1..=6)
        .map(|number| site.add_runner(&format!("i-{number}"), "shop", "v1", works(READ_MS)))
        .collect();
    // The first machine's links to the runners, and the third machine's link to the store.
    let links: Vec<_> = runners
        .iter()
        .map(|runner| relay::spawn(runner.address()))
        .collect();
    let addresses: BTreeMap<SocketAddr, SocketAddr> = runners
        .iter()
        .zip(&links)
        .map(|(runner, link)| (runner.address(), link.address()))
        .collect();
    let view = site.store.spawn_view(addresses);
    let store_link = relay::spawn(site.store.address());
    let first = Instance::start("front-qro-a-1", "qro-a", view.address()).await?;
    let _second = Instance::start("front-qro-b-1", "qro-b", site.store.address()).await?;
    let third = Instance::start("front-qro-c-1", "qro-c", store_link.address()).await?;
    // The machines find each other within 15 s of their start.
    sleep(Duration::from_secs(17)).await;
    let begin = Instant::now();
    let at = |ms| begin + Duration::from_millis(ms);
    let readers: Vec<_> = (0..READERS)
        .map(|number| tokio::spawn(read(number, first.callers, at(4_650), Arc::clone(&record))))
        .collect();
    sleep_until(at(500)).await;
    if has_trouble {
        for link in &links {
            link.set_door(Door::Refusing);
            link.reset_connections();
        }
        record.line(format!(
            "{} is partitioned from all runners (reset)",
            first.name
        ));
    }
    sleep_until(at(4_500)).await;
    if has_trouble {
        store_link.cut(Cut::Both);
        store_link.set_door(Door::Silent);
        record.line(format!("the store does not answer {} any more", third.name));
    }
    sleep_until(at(4_700)).await;
    site.configure(9, &[reads, orders]);
    record.line("version 9 adds the unsafe route /pule252/order/; it is acknowledged");
    for reader in readers {
        reader.await.map_err(|error| error.to_string())?;
    }
    for runner in &runners {
        runner.set_behaviour(works(ORDER_MS));
    }
    // From here on the first machine, which reaches the store, has had time to learn of the route.
    sleep_until(at(4_900)).await;
    let mut clients = Vec::new();
    for number in 0..ORDERS {
        clients.push(tokio::spawn(order(
            number,
            first.callers,
            Arc::clone(&record),
        )));
        sleep(ORDER_INTERVAL).await;
    }
    for client in clients {
        client.await.map_err(|error| error.to_string())?;
    }
    let mut repeated = 0;
    for number in 0..ORDERS {
        let attempt = format!("order-{number}");
        let mut ran_at = Vec::new();
        for (index, runner) in runners.iter().enumerate() {
            let runs = runner.requests().into_iter();
            let runs = runs.filter(|run| run.attempt_id == attempt);
            ran_at.extend(runs.map(|run| {
                let end = if run.completed {
                    "to its end"
                } else {
                    "not to its end"
                };
                format!("i-{} ({end})", index + 1)
            }));
        }
        record.line(format!("ran: {attempt} at {}", ran_at.join(", ")));
        repeated += usize::from(ran_at.len() > 1);
    }
    record.line(format!("{repeated} of {ORDERS} orders ran more than once"));
    Ok(if repeated > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends catalog requests until `end`.
async fn read(number: usize, address: SocketAddr, end: Instant, record: Arc<Record>) {
    let (mut count, mut served) = (0, 0);
    let mut connection = None;
    while Instant::now() < end {
        count += 1;
        let open = connection
            .take()
            .filter(|open: &Connection| !open.is_closed());
        let mut open = match open {
            Some(open) => open,
            None => match Connection::open(address).await {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        let attempt = format!("read-{number}-{count}");
        let get = request("GET", "/pule252/2f", &attempt, 1_200).body(Full::<Bytes>::default());
        let answer = open.send(get.expect("the request is valid"), 1_200).await;
        served += usize::from(answer.status == Some(200));
        connection = Some(open);
        sleep(PAUSE).await;
    }
    record.line(format!(
        "reader {number}: {served} of {count} requests were served"
    ));
}

/// Sends one order.
async fn order(number: u64, address: SocketAddr, record: Arc<Record>) {
    let attempt = format!("order-{number}");
    let Ok(mut connection) = Connection::open(address).await else {
        return record.line(format!("{attempt}: no connection"));
    };
    let sent_ms = record.now_ms();
    let post = request("POST", "/pule252/order/2f", &attempt, 3_000);
    let post = post.header("cookie", format!("Affinity-Key={number}"));
    let answer = connection
        .send(with_body(post, "one spare part"), 3_000)
        .await;
    record.line(format!(
        "{attempt} sent at {sent_ms} ms: {}",
        answer.describe()
    ));
}
