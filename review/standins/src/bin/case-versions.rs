//! A release replaces the runners of a service by ones of another software version, while the store turns
//! one machine away. Streams that begin there go on at the other version.

use review_standins::http::{Connection, Request};
use review_standins::runner::Plan;
use review_standins::site::{model_service, stream_route};
use review_standins::{Runner, Site, has_trouble, sleep_ms};
use serde_json::json;

const STREAMS: usize = 10;
const CLIENT_MS: u64 = 4_000;

#[tokio::main]
async fn main() {
    let routes = json!([stream_route("/advice/", "lm-pool", false, true)]);
    let site = Site::start(&routes, &json!([model_service("lm-pool")]));
    let record = site.record.clone();
    let plan = Plan {
        work_ms: 60,
        events: 34,
        ..Plan::default()
    };
    let store = &site.store;
    let mut old = Vec::new();
    for id in ["i-old-1", "i-old-2", "i-old-3"] {
        old.push(Runner::start(&record, store, id, "lm-pool", "v1", plan.clone()).await);
    }
    let (front_a, view_a) = site.machine("front-a", "z-a").await;
    let (front_b, _view_b) = site.machine("front-b", "z-b").await;
    let (front_d, _view_d) = site.machine("front-d", "z-c").await;
    // Traffic starts 10 s after the machines do.
    sleep_ms(10_000).await;
    let mut connections = Vec::new();
    for _ in 0..STREAMS {
        connections.push(Connection::open(front_a.front).await.expect("connect"));
    }
    if has_trouble() {
        record.line("the store turns front-a away (503)");
        view_a.set_rejecting(true);
    }
    sleep_ms(500).await;
    // Three releases of one runner of three each: the new runner starts first, then the old one leaves.
    let mut new = Vec::new();
    for (id, old) in ["i-new-1", "i-new-2", "i-new-3"].into_iter().zip(&old) {
        new.push(Runner::start(&record, store, id, "lm-pool", "v2", plan.clone()).await);
        sleep_ms(400).await;
        old.leave_silently();
    }
    sleep_ms(400).await;
    // A machine is added.
    let (front_c, _view_c) = site.machine("front-c", "z-c").await;
    sleep_ms(1_500).await;
    let mut streams = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let (record, front) = (record.clone(), front_c.front);
        streams.push(tokio::spawn(async move {
            let began_ms = record.now_ms();
            let first = format!("stream-{number}");
            let answer = connection.exchange(&request(&first, CLIENT_MS)).await;
            let mut events = answer.events();
            record.line(format!(
                "{first}: {} events, {}",
                events.len(),
                answer.describe()
            ));
            // The client takes the stream up again, at another machine.
            let mut tries = 0;
            while !answer.is_complete && !events.is_empty() && tries < 2 {
                tries += 1;
                let left_ms = CLIENT_MS.saturating_sub(record.now_ms() - began_ms);
                let attempt = format!("{first}-again-{tries}");
                let last = events.last().map_or(0, |(id, _)| *id);
                let again = request(&attempt, left_ms)
                    .header("Last-Event-Id", last)
                    .header("Resumes", &first);
                let answer = again.send(front).await;
                let more = answer.events();
                record.line(format!(
                    "{attempt} after event {last}: {} events, {}",
                    more.len(),
                    answer.describe()
                ));
                let is_refused = answer.status == 503;
                events.extend(more);
                if !is_refused {
                    break;
                }
                sleep_ms(300).await;
            }
            (first, events)
        }));
    }
    sleep_ms(1_000).await;
    old.iter().for_each(Runner::exit);
    let mut joined = 0;
    for stream in streams {
        let (name, events) = stream.await.expect("stream");
        let of = |version: &str| {
            let start = format!("{version}.");
            events
                .iter()
                .filter(|(_, data)| data.starts_with(&start))
                .count()
        };
        let (v1, v2) = (of("v1"), of("v2"));
        record.line(format!("{name} holds {v1} events of v1 and {v2} of v2"));
        joined += usize::from(v1 > 0 && v2 > 0);
    }
    view_a.set_rejecting(false);
    for machine in [front_a, front_b, front_c, front_d] {
        machine.stop().await;
    }
    new.iter().for_each(Runner::exit);
    let text =
        format!("{joined} of {STREAMS} streams hold events of runners of two software versions");
    site.end(joined > 2, &text);
}

fn request(attempt: &str, wait_ms: u64) -> Request {
    Request::new("POST", "/advice/x", attempt, wait_ms)
        .header("Model", "m")
        .header("Token-Usage", "1840,136")
        .header("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410")
        .body("the prompt")
}
