//! Not a case: requests that crash the runners which begin to run them come again and again, at any
//! machine, and one machine is killed meanwhile. Counts the runs after the third crash (BUDGET).
//! Arguments: folder, seed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use review_standins::http::Request;
use review_standins::runner::Plan;
use review_standins::site::{model_service, plain_route, plain_service, stream_route};
use review_standins::{Runner, Site, lock, sleep_ms};
use serde_json::json;

const STABLE_MS: u64 = 3_000;

#[tokio::main]
async fn main() {
    let seed: u64 = std::env::args()
        .nth(2)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let routes = json!([
        plain_route("/order/", "unsafe", "shop-api", 2_000),
        plain_route("/read/", "safe", "shop-api", 1_200),
        stream_route("/advice/", "lm-pool", false, true),
    ]);
    let services = json!([plain_service("shop-api"), model_service("lm-pool")]);
    let site = Site::start(&routes, &services);
    let record = site.record.clone();
    let all: Arc<Mutex<Vec<Runner>>> = Arc::default();
    for at in 0..16 {
        let service = if at % 2 == 0 { "shop-api" } else { "lm-pool" };
        let (store, record, all) = (site.store.clone(), record.clone(), Arc::clone(&all));
        tokio::spawn(async move {
            for start in 0.. {
                let plan = Plan {
                    crashes_on: Some("CRASH"),
                    ..Plan::default()
                };
                let id = format!("i-{at}-{start}");
                let runner = Runner::start(&record, &store, &id, service, "v1", plan).await;
                lock(&all).push(runner.clone());
                runner.end_at_crash().await;
                sleep_ms(2_500).await;
            }
        });
    }
    let mut machines = Vec::new();
    for at in 0..4 {
        machines.push(
            site.machine(&format!("front-{at}"), &format!("z-{at}"))
                .await,
        );
    }
    sleep_ms(5_000).await;
    let fronts: Arc<Mutex<Vec<_>>> =
        Arc::new(Mutex::new(machines.iter().map(|(m, _)| m.front).collect()));
    let mut clients = Vec::new();
    for client in 0..10_u64 {
        let fronts = Arc::clone(&fronts);
        let record = record.clone();
        clients.push(tokio::spawn(async move {
            let mut state = (seed * 7_919 + client * 104_729) | 1;
            for number in 0_u64.. {
                state ^= state << 13;
                state ^= state >> 7;
                state ^= state << 17;
                let front = {
                    let fronts = lock(&fronts);
                    fronts[(state % fronts.len() as u64) as usize]
                };
                // Three kinds of crashing requests, beside innocent ones of the same kinds.
                let kind = ["order", "read", "advice"][(client % 3) as usize];
                let body = if client < 6 {
                    "CRASH".to_owned()
                } else {
                    format!("{client}-{number}")
                };
                let mark = if client < 6 { "bad" } else { "good" };
                let attempt = format!("{mark}-{kind}-{client}-{number}");
                let mut request = Request::new("POST", &format!("/{kind}/x"), &attempt, 2_000);
                if kind == "advice" {
                    request = request
                        .header("Model", "m")
                        .header("Token-Usage", "1840,136");
                }
                let answer = request.body(body).send(front).await;
                record.line(format!("{attempt}: {}", answer.describe()));
                sleep_ms(if client < 6 { 100 + state % 500 } else { 20 }).await;
            }
        }));
    }
    sleep_ms(400).await;
    machines[1].0.kill().await;
    record.line("front-1 is killed");
    sleep_ms(3_000).await;
    let view = machines[1].1.clone();
    machines[1].0 = site.machine_with("front-1", "z-1", &view).await;
    lock(&fronts)[1] = machines[1].0.front;
    sleep_ms(25_000).await;
    clients.iter().for_each(tokio::task::JoinHandle::abort);
    let mut times: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for run in lock(&all).iter().flat_map(Runner::runs) {
        if run.attempt.starts_with("bad") {
            times.entry(run.path).or_default().push(run.at_ms);
        }
    }
    let mut broken = false;
    for (path, mut at) in times {
        at.sort_unstable();
        let late = at.get(2).map_or(0, |third| {
            at.iter().filter(|time| **time > third + STABLE_MS).count()
        });
        record.say(format!(
            "{path}: {} runs, {late} later than {STABLE_MS} ms after the third",
            at.len()
        ));
        broken |= late > 3;
    }
    for (machine, _) in machines {
        machine.stop().await;
    }
    site.end(broken, "crashing requests");
}
