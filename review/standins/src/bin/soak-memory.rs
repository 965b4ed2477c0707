//! Not a case: many long bodies at once, with a length, some of them slow, and callers that don't read.
//! Prints the most memory that the process had. Arguments: folder.

use review_standins::http::{Connection, Request};
use review_standins::runner::Plan;
use review_standins::site::{plain_route, plain_service};
use review_standins::{Runner, Site, sleep_ms};
use serde_json::json;

#[tokio::main]
async fn main() {
    let routes = json!([plain_route("/order/", "unsafe", "shop-api", 3_000)]);
    let site = Site::start(&routes, &json!([plain_service("shop-api")]));
    let record = site.record.clone();
    for id in ["i-1", "i-2"] {
        let plan = Plan::default();
        let _ = Runner::start(&record, &site.store, id, "shop-api", "v1", plan).await;
    }
    let (mut machine, _view) = site.machine("front-a", "z-a").await;
    sleep_ms(2_000).await;
    let front = machine.front;
    for round in 0..4 {
        let mut clients = Vec::new();
        for client in 0..300 {
            clients.push(tokio::spawn(async move {
                let attempt = format!("o-{round}-{client}");
                let request = Request::new("POST", "/order/x", &attempt, 3_000);
                if client % 3 == 0 {
                    return request.body(vec![b'x'; 4_000_000]).send(front).await.status;
                }
                // A slow body, or a caller that does not read its answer.
                let Ok(mut connection) = Connection::open(front).await else {
                    return 0;
                };
                let head = format!(
                    "POST /order/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\n\
                     Deadline-Ms: 3000\r\nContent-Length: 4000000\r\n\r\n"
                );
                let _ = connection.write(head.as_bytes()).await;
                for _ in 0..20 {
                    if connection.write(&[b'x'; 100_000]).await.is_err() {
                        return 0;
                    }
                    sleep_ms(50).await;
                }
                sleep_ms(2_000).await;
                0
            }));
        }
        let mut answered = std::collections::BTreeMap::<u16, usize>::new();
        for client in clients {
            *answered.entry(client.await.unwrap_or(0)).or_default() += 1;
        }
        record.say(format!("round {round}: {answered:?}"));
    }
    let status = std::fs::read_to_string(format!("/proc/{}/status", machine.id()));
    let status = status.unwrap_or_default();
    let most = status.lines().find(|line| line.starts_with("VmHWM"));
    record.say(format!("{most:?} with memory_mb = 270"));
    let is_running = machine.is_running();
    machine.stop().await;
    site.end(!is_running, "the process runs");
}
