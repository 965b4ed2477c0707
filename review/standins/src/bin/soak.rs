//! Not a case: random cuts, stops, kills and pauses under load, to look for broken rules about requests
//! that run at most once, foreign answers and joined streams. Arguments: folder, seed, seconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use review_standins::http::{Answer, Request};
use review_standins::proxy::{Proxy, Way};
use review_standins::runner::Plan;
use review_standins::site::{model_service, plain_route, plain_service, stream_route};
use review_standins::{Machine, Record, Runner, Site, View, lock, sleep_ms};
use serde_json::json;

const MACHINES: usize = 4;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}

type Fronts = Arc<Mutex<Vec<SocketAddr>>>;
type Answers = Arc<Mutex<Vec<(String, Answer)>>>;

#[tokio::main]
async fn main() {
    let number = |at: usize| std::env::args().nth(at).and_then(|text| text.parse().ok());
    let seed: u64 = number(2).unwrap_or(1);
    let seconds: u64 = number(3).unwrap_or(40);
    let routes = json!([
        plain_route("/order/", "unsafe", "shop-api", 2_000),
        plain_route("/read/", "safe", "shop-api", 1_200),
        stream_route("/advice/", "lm-pool", false, true),
        stream_route("/talk/", "lm-pool", false, false),
    ]);
    let services = json!([plain_service("shop-api"), model_service("lm-pool")]);
    let site = Site::start(&routes, &services);
    let record = site.record.clone();
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let plain = Plan {
        work_ms: 40,
        loses_one_in: 41,
        repeats_one_in: 37,
        ..Plan::default()
    };
    let model = Plan {
        work_ms: 30,
        events: 12,
        ..Plan::default()
    };
    let mut runners = Vec::new();
    for at in 0..8 {
        let (service, plan) = if at % 2 == 0 {
            ("shop-api", &plain)
        } else {
            ("lm-pool", &model)
        };
        let id = format!("i-{at}");
        runners.push(Runner::start(&record, &site.store, &id, service, "v1", plan.clone()).await);
    }
    let mut ways: Vec<Vec<Proxy>> = Vec::new();
    let mut machines: Vec<(Machine, View)> = Vec::new();
    for at in 0..MACHINES {
        let view = site.store.open_view().await;
        let mut proxies = Vec::new();
        for runner in &runners {
            let proxy = Proxy::start(runner.address).await;
            view.set_proxy(runner.address, proxy.address);
            proxies.push(proxy);
        }
        ways.push(proxies);
        machines.push((
            site.machine_with(&format!("front-{at}"), &zone(at), &view)
                .await,
            view,
        ));
    }
    let fronts: Fronts = Arc::new(Mutex::new(machines.iter().map(|(m, _)| m.front).collect()));
    let answers: Answers = Arc::default();
    let clients: Vec<_> = (0..24)
        .map(|client| {
            let (fronts, answers) = (Arc::clone(&fronts), Arc::clone(&answers));
            tokio::spawn(run_client(client, seed, record.clone(), fronts, answers))
        })
        .collect();
    let until = record.now_ms() + seconds * 1_000;
    while record.now_ms() < until {
        sleep_ms(200 + random.below(1_200)).await;
        let at = random.below(MACHINES as u64) as usize;
        let lasts = 300 + random.below(2_700);
        match random.below(7) {
            0..=2 => {
                let way = [Way::Hangs, Way::Reset, Way::LivesOn][random.below(3) as usize];
                record.line(format!(
                    "front-{at} is cut off from all runners: {way:?} for {lasts} ms"
                ));
                ways[at].iter().for_each(|proxy| proxy.set(way));
                sleep_ms(lasts).await;
                ways[at].iter().for_each(|proxy| proxy.set(Way::Open));
            }
            3 => {
                let other = (at + 1) % MACHINES;
                record.line(format!(
                    "front-{at} is cut off, front-{other} stops meanwhile"
                ));
                ways[at].iter().for_each(|proxy| proxy.set(Way::Reset));
                sleep_ms(600).await;
                restart(&site, &mut machines, &fronts, other, false).await;
                ways[at].iter().for_each(|proxy| proxy.set(Way::Open));
            }
            4 => restart(&site, &mut machines, &fronts, at, random.below(2) == 0).await,
            5 => {
                record.line(format!("front-{at} stands still for {lasts} ms"));
                machines[at].0.signal("STOP").await;
                sleep_ms(lasts).await;
                machines[at].0.signal("CONT").await;
            }
            _ => {
                record.line(format!("the store turns front-{at} away for {lasts} ms"));
                machines[at].1.set_rejecting(true);
                sleep_ms(lasts).await;
                machines[at].1.set_rejecting(false);
            }
        }
    }
    for client in clients {
        client.abort();
    }
    sleep_ms(3_000).await;
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in runners.iter().flat_map(Runner::runs) {
        *runs.entry(run.attempt).or_default() += 1;
    }
    let mut faults = Vec::new();
    let mut statuses: BTreeMap<String, usize> = BTreeMap::new();
    for (attempt, count) in &runs {
        let once = attempt.starts_with("order") || attempt.starts_with("talk");
        if once && *count > 1 {
            faults.push(format!("{attempt} ran {count} times"));
        }
    }
    for (attempt, answer) in lock(&answers).iter() {
        let kind = attempt.split('-').next().unwrap_or_default();
        let key = format!("{kind} {} {}", answer.status, answer.is_complete);
        *statuses.entry(key).or_default() += 1;
        let once = kind == "order" || kind == "talk";
        let ran = runs.get(attempt).copied().unwrap_or(0);
        if once && matches!(answer.status, 408 | 421 | 429 | 503) && ran > 0 {
            faults.push(format!("{attempt} was answered {} and ran", answer.status));
        }
        if answer.status == 200 && answer.is_complete {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let is_plain = kind == "order" || kind == "read";
            let ids: Vec<u64> = answer.events().iter().map(|(id, _)| *id).collect();
            if is_plain && !text.starts_with(&format!("{attempt} by ")) {
                faults.push(format!("{attempt} got {text:?}"));
            }
            if !is_plain && ids != (1..=12).collect::<Vec<_>>() {
                faults.push(format!("{attempt} got the events {ids:?}"));
            }
            if answer.head.get("server-signature").is_none() {
                faults.push(format!("{attempt} got a success without a signature"));
            }
        }
    }
    record.say(format!("{statuses:?}"));
    faults.iter().for_each(|fault| record.say(fault));
    for (machine, _) in machines {
        machine.stop().await;
    }
    site.end(
        !faults.is_empty(),
        &format!("{} faults with seed {seed}", faults.len()),
    );
}

fn zone(at: usize) -> String {
    format!("z-{}", ["a", "b", "c"][at % 3])
}

async fn restart(
    site: &Site,
    machines: &mut [(Machine, View)],
    fronts: &Fronts,
    at: usize,
    is_killed: bool,
) {
    let name = machines[at].0.name.clone();
    site.record
        .line(format!("{name} is stopped, killed: {is_killed}"));
    if is_killed {
        machines[at].0.kill().await;
    } else {
        machines[at].0.signal("TERM").await;
        for _ in 0..160 {
            if !machines[at].0.is_running() {
                break;
            }
            sleep_ms(50).await;
        }
        machines[at].0.kill().await;
    }
    let view = machines[at].1.clone();
    machines[at].0 = site.machine_with(&name, &zone(at), &view).await;
    lock(fronts)[at] = machines[at].0.front;
}

async fn run_client(client: u64, seed: u64, record: Record, fronts: Fronts, answers: Answers) {
    let mut random = Random(seed.wrapping_mul(31).wrapping_add(client * 7_919 + 17) | 1);
    for number in 0.. {
        sleep_ms(random.below(150)).await;
        let front = {
            let fronts = lock(&fronts);
            fronts[random.below(fronts.len() as u64) as usize]
        };
        let kind = ["order", "order", "read", "advice", "talk"][random.below(5) as usize];
        let attempt = format!("{kind}-{client}-{number}");
        let path = format!("/{kind}/x");
        let request = match kind {
            "read" => Request::new("GET", &path, &attempt, 1_200),
            "order" => Request::new("POST", &path, &attempt, 2_000).body("one barrel"),
            _ => Request::new("POST", &path, &attempt, 4_000)
                .header("Model", "m")
                .header("Token-Usage", "1840,136")
                .header("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410")
                .body("the prompt"),
        };
        let answer = request.send(front).await;
        record.line(format!("{attempt}: {}", answer.describe()));
        lock(&answers).push((attempt, answer));
    }
}
