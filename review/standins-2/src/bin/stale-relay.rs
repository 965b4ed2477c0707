//! A machine without a path to the runners relays to one with an older configuration after it has relayed
//! to one with the newest.

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
use review_cases_2::site::{Site, request, safe_route};
use tokio::time::{Instant, sleep, sleep_until};

/// Clients that send one request after the other.
const CLIENTS: usize = 6;

/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(30);

/// `downgrade_ms` of the site file.
const DOWNGRADE_MS: u64 = 250;

fn main() -> ExitCode {
    review_cases_2::main(run)
}

/// A request that was answered by a runner.
#[derive(Clone, Debug)]
struct Served {
    attempt: String,
    sent_ms: u64,
    answered_ms: u64,
    runner: String,
}

async fn run(record: Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let site = Site::start();
    site.configure(7, &[safe_route("/pule252/", "shop")]);
    let quick = Behaviour::Respond {
        events: 1,
        interval_ms: 20,
    };
    let runners: Vec<_> = (1..=6)
        .map(|number| {
            let service = if number <= 3 { "shop" } else { "shop-new" };
            site.add_runner(&format!("i-{number}"), service, "v1", quick)
        })
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
    let cut_off = Instance::start("front-casa-a-1", "casa-a", view.address()).await?;
    let _second = Instance::start("front-casa-b-1", "casa-b", site.store.address()).await?;
    let third = Instance::start("front-casa-c-1", "casa-c", store_link.address()).await?;
    // The machines find each other within 15 s of their start.
    sleep(Duration::from_secs(17)).await;
    let begin = Instant::now();
    let end = begin + Duration::from_millis(7_500);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| tokio::spawn(client(number, cut_off.callers, end, Arc::clone(&record))))
        .collect();
    sleep_until(begin + Duration::from_millis(2_000)).await;
    if has_trouble {
        for link in &links {
            link.set_door(Door::Refusing);
            link.reset_connections();
        }
        record.line(format!(
            "{} is partitioned from all runners (reset)",
            cut_off.name
        ));
    }
    sleep_until(begin + Duration::from_millis(4_500)).await;
    if has_trouble {
        store_link.cut(Cut::Both);
        store_link.set_door(Door::Silent);
        record.line(format!("the store does not answer {} any more", third.name));
    }
    sleep_until(begin + Duration::from_millis(4_700)).await;
    site.configure(9, &[safe_route("/pule252/", "shop-new")]);
    record.line("version 9 moves the route /pule252/ from shop to shop-new; it is acknowledged");
    let mut served = Vec::new();
    for client in clients {
        served.extend(client.await.map_err(|error| error.to_string())?);
    }
    served.sort_by_key(|request| request.sent_ms);
    let is_new =
        |request: &Served| ["sig-i-4", "sig-i-5", "sig-i-6"].contains(&request.runner.as_str());
    let Some(seen_ms) = served
        .iter()
        .filter(|one| is_new(one))
        .map(|one| one.answered_ms)
        .min()
    else {
        return Err("no request was served by the new service".into());
    };
    record.line(format!(
        "a runner of shop-new had run a request at {seen_ms} ms"
    ));
    let mut regressed = 0;
    for request in &served {
        if request.sent_ms > seen_ms + DOWNGRADE_MS && !is_new(request) {
            regressed += 1;
            record.line(format!(
                "regressed: {} sent at {} ms, answered at {} ms by {}",
                request.attempt, request.sent_ms, request.answered_ms, request.runner
            ));
        }
    }
    record.line(format!(
        "{regressed} requests at {} that were sent over {DOWNGRADE_MS} ms later ran at shop, of {} served",
        cut_off.name,
        served.len()
    ));
    Ok(if regressed > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

async fn client(
    number: usize,
    address: SocketAddr,
    end: Instant,
    record: Arc<Record>,
) -> Vec<Served> {
    let mut served = Vec::new();
    let mut count = 0;
    let mut connection = None;
    while Instant::now() < end {
        count += 1;
        let mut open = match connection
            .take()
            .filter(|open: &Connection| !open.is_closed())
        {
            Some(open) => open,
            None => match Connection::open(address).await {
                Ok(open) => open,
                Err(_) => continue,
            },
        };
        let attempt = format!("c{number}-{count}");
        let sent_ms = record.now_ms();
        let get = request("GET", "/pule252/2f", &attempt, 1_200).body(Full::<Bytes>::default());
        let answer = open.send(get.expect("the request is valid"), 1_200).await;
        record.line(format!(
            "{attempt} sent at {sent_ms} ms: {}",
            answer.describe()
        ));
        if let (Some(200), Some(runner)) = (answer.status, answer.header("server-signature")) {
            served.push(Served {
                attempt,
                sent_ms,
                answered_ms: record.now_ms(),
                runner: runner.to_owned(),
            });
        }
        connection = Some(open);
        sleep(PAUSE).await;
    }
    served
}
