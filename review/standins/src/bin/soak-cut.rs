//! Not a case: a zone of machines is cut off from all runners, in each way. Compares how often clients'
//! first tries are served there and elsewhere (RECOVER). Arguments: folder.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use review_standins::http::Request;
use review_standins::proxy::{Proxy, Way};
use review_standins::runner::Plan;
use review_standins::site::{model_service, plain_route, plain_service, stream_route};
use review_standins::{Runner, Site, lock, sleep_ms};
use serde_json::json;

#[tokio::main]
async fn main() {
    let routes = json!([
        plain_route("/order/", "unsafe", "shop-api", 2_000),
        plain_route("/read/", "safe", "shop-api", 1_200),
        stream_route("/advice/", "lm-pool", false, true),
        stream_route("/chat/", "lm-pool", true, false),
    ]);
    let services = json!([plain_service("shop-api"), model_service("lm-pool")]);
    let site = Site::start(&routes, &services);
    let record = site.record.clone();
    let plan = Plan {
        work_ms: 30,
        ..Plan::default()
    };
    let mut runners = Vec::new();
    for at in 0..8 {
        let service = if at % 2 == 0 { "shop-api" } else { "lm-pool" };
        let id = format!("i-{at}");
        runners.push(Runner::start(&record, &site.store, &id, service, "v1", plan.clone()).await);
    }
    let (mut ways, mut others, mut machines) = (Vec::new(), Vec::new(), Vec::new());
    for at in 0..6 {
        let view = site.store.open_view().await;
        for runner in &runners {
            let proxy = Proxy::start(runner.address).await;
            view.set_proxy(runner.address, proxy.address);
            if at < 2 {
                ways.push(proxy);
            } else {
                others.push(proxy);
            }
        }
        let zone = ["z-a", "z-b", "z-c"][at / 2];
        machines.push(site.machine_with(&format!("front-{at}"), zone, &view).await);
    }
    sleep_ms(10_000).await;
    let tries: Arc<Mutex<Vec<(u64, usize, bool)>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..30_usize {
        let (record, tries) = (record.clone(), Arc::clone(&tries));
        let at = client % 6;
        let front = machines[at].front;
        clients.push(tokio::spawn(async move {
            for number in 0.. {
                let kind = ["order", "read", "advice", "chat"][(client / 6 + number) % 4];
                let attempt = format!("{kind}-{client}-{number}");
                let path = format!("/{kind}/x");
                let request = match kind {
                    "read" => Request::new("GET", &path, &attempt, 1_200),
                    "order" => Request::new("POST", &path, &attempt, 2_000).body("one barrel"),
                    _ => Request::new("POST", &path, &attempt, 4_000)
                        .header("Model", "m")
                        .header("Program-Id", &attempt)
                        .header("Session-Id", &attempt)
                        .header("Token-Budget", 1_000)
                        .header("Token-Usage", "1840,136")
                        .body("the prompt"),
                };
                let at_ms = record.now_ms();
                let answer = request.send(front).await;
                record.line(format!("{attempt} at front-{at}: {}", answer.describe()));
                lock(&tries).push((at_ms, at, answer.is_ok()));
                sleep_ms(60).await;
            }
        }));
    }
    let mut broken = false;
    for way in [Way::Silent, Way::Hangs, Way::Reset, Way::LivesOn] {
        sleep_ms(2_000).await;
        let began_ms = record.now_ms();
        record.line(format!(
            "front-0 and front-1 are cut off from all runners: {way:?}"
        ));
        ways.iter().for_each(|proxy| proxy.set(way));
        sleep_ms(9_000).await;
        let ended_ms = record.now_ms();
        ways.iter().for_each(|proxy| proxy.set(Way::Open));
        sleep_ms(4_000).await;
        let mut counts: BTreeMap<bool, (f64, f64)> = BTreeMap::new();
        for (at_ms, at, is_ok) in lock(&tries).iter() {
            if (began_ms + 3_000..ended_ms).contains(at_ms) {
                let count = counts.entry(*at < 2).or_default();
                count.0 += 1.0;
                count.1 += f64::from(u8::from(*is_ok));
            }
        }
        let share = |is_cut: bool| counts.get(&is_cut).map_or(1.0, |(all, ok)| ok / all);
        record.say(format!(
            "{way:?}: {counts:?}, cut {:.3}, others {:.3}",
            share(true),
            share(false)
        ));
        broken |= share(true) < share(false) * 2.0 / 3.0;
    }
    clients.iter().for_each(tokio::task::JoinHandle::abort);
    for machine in machines {
        machine.stop().await;
    }
    site.end(broken, "first tries at machines that are cut off");
}
