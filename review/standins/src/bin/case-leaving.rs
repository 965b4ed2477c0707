//! A runner leaves while the store turns one machine away. Its answers say so, but the machine goes on
//! sending to it.

use review_standins::http::{Answer, Connection, Request};
use review_standins::runner::Plan;
use review_standins::site::{plain_route, plain_service};
use review_standins::{Runner, Site, has_trouble, sleep_ms};
use serde_json::json;

const DRAIN_MS: u64 = 2_000;
/// Open connections of clients to front-a. Each brings one order.
const CONNECTIONS: usize = 60;

#[tokio::main]
async fn main() {
    let routes = json!([plain_route("/order/", "unsafe", "shop-api", 3_000)]);
    let site = Site::start(&routes, &json!([plain_service("shop-api")]));
    let record = site.record.clone();
    let plan = Plan {
        work_ms: 300,
        ..Plan::default()
    };
    let mut runners = Vec::new();
    for id in ["i-leaving", "i-staying-1", "i-staying-2"] {
        let store = &site.store;
        runners.push(Runner::start(&record, store, id, "shop-api", "v1", plan.clone()).await);
    }
    let (mut machines, mut views) = (Vec::new(), Vec::new());
    for (name, zone) in [("front-a", "z-a"), ("front-b", "z-b"), ("front-c", "z-c")] {
        let (machine, view) = site.machine(name, zone).await;
        machines.push(machine);
        views.push(view);
    }
    // Clients have open connections to front-a, which stay with it.
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(Connection::open(machines[0].front).await.expect("connect"));
    }
    sleep_ms(4_000).await;
    if has_trouble() {
        record.line("the store turns front-a away (503)");
        views[0].set_rejecting(true);
    }
    sleep_ms(500).await;
    // A release of one runner of three: the new one starts first, then the old one drains.
    let store = &site.store;
    let _new = Runner::start(&record, store, "i-new", "shop-api", "v1", plan.clone()).await;
    runners[0].drain();
    // Each client sends one order, one after the other.
    let mut sent = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let record = record.clone();
        sent.push(tokio::spawn(async move {
            let attempt = format!("order-{number}");
            let request = Request::new("POST", "/order/x", &attempt, 3_000)
                .header("Cookie", format!("Affinity-Key={number}"))
                .body("one barrel");
            let at_ms = record.now_ms();
            let answer = connection.exchange(&request).await;
            let answered_ms = record.now_ms();
            let leaving = answer.head.get("server-leaving").is_some();
            record.line(format!(
                "{attempt} sent at {at_ms} ms: {}, leaving: {leaving}",
                answer.describe()
            ));
            (attempt, at_ms, answered_ms, answer)
        }));
        if number == CONNECTIONS - 1 {
            break;
        }
        sleep_ms(100).await;
    }
    // The runner exits some seconds after the drain time, with the latest orders in work.
    sleep_ms(100).await;
    runners[0].exit();
    let mut orders: Vec<(String, u64, u64, Answer)> = Vec::new();
    for order in sent {
        orders.push(order.await.expect("order"));
    }
    views[0].set_rejecting(false);
    let told = orders
        .iter()
        .filter(|(.., answer)| answer.head.get("server-leaving").is_some());
    let told_ms = told.map(|(_, _, answered_ms, _)| *answered_ms).min();
    record.say(format!(
        "front-a passed on the first answer with Server-Leaving at {told_ms:?} ms"
    ));
    let runs = runners[0].runs();
    let late: Vec<_> = orders
        .iter()
        .filter(|(attempt, at_ms, ..)| {
            told_ms.is_some_and(|told_ms| *at_ms > told_ms + DRAIN_MS)
                && runs.iter().any(|run| run.attempt == *attempt)
        })
        .collect();
    let lost: Vec<_> = late.iter().filter(|(.., answer)| !answer.is_ok()).collect();
    for machine in machines {
        machine.stop().await;
    }
    let text = format!(
        "{} requests reached the leaving runner that clients sent more than {DRAIN_MS} ms after \
         front-a had passed on its Server-Leaving; {} of them have no complete answer",
        late.len(),
        lost.len()
    );
    site.end(!late.is_empty(), &text);
}
