//! Runners reject long requests before they are in, keep the connections and read on later. Requests
//! that come after them hang.

use review_standins::http::{Answer, Request};
use review_standins::runner::{Early, Plan};
use review_standins::site::{plain_route, plain_service};
use review_standins::{Runner, Site, has_trouble, sleep_ms};
use serde_json::json;

/// Time limit of the route for short requests, and how long its clients wait.
const TIMEOUT_MS: u64 = 1_200;
const CLIENT_MS: u64 = 3_000;
const ROUNDS: usize = 8;
/// The rule has no lower bound; a few late requests are not taken for it.
const MIN_HELD: usize = 4;

#[tokio::main]
async fn main() {
    let routes = json!([
        plain_route("/upload/", "unsafe", "shop-api", 3_000),
        plain_route("/read/", "safe", "shop-api", TIMEOUT_MS),
    ]);
    let site = Site::start(&routes, &json!([plain_service("shop-api")]));
    let record = site.record.clone();
    let early = Early {
        from_bytes: 1_000_000,
        pause_ms: 500,
        bytes_per_step: 10 * 1_024,
    };
    let plan = Plan {
        early: has_trouble().then_some(early),
        receive_buffer: Some(64 * 1_024),
        ..Plan::default()
    };
    let sound = Plan {
        early: None,
        ..plan.clone()
    };
    // Three runners of five reject early.
    let mut runners = Vec::new();
    for (number, id) in ["i-1", "i-2", "i-3", "i-4", "i-5"].into_iter().enumerate() {
        let plan = if number < 3 { &plan } else { &sound };
        let store = &site.store;
        runners.push(Runner::start(&record, store, id, "shop-api", "v1", plan.clone()).await);
    }
    let (machine, _view) = site.machine("front-a", "z-a").await;
    sleep_ms(4_000).await;
    let front = machine.front;
    let mut sent = Vec::new();
    let began_ms = record.now_ms();
    for round in 0..ROUNDS {
        // A long upload, and short requests, several at once.
        let attempt = format!("upload-{round}");
        let request = Request::new("POST", "/upload/x", &attempt, 3_000);
        let request = request.body(vec![b'x'; 4_000_000]);
        let own = record.clone();
        sent.push((false, tokio::spawn(send(own, front, request))));
        sleep_ms(330).await;
        for batch in 0..4 {
            for number in 0..30 {
                let attempt = format!("read-{round}-{batch}-{number}");
                let request = Request::new("GET", "/read/x", &attempt, CLIENT_MS);
                let own = record.clone();
                sent.push((true, tokio::spawn(send(own, front, request))));
            }
            sleep_ms(60).await;
        }
        sleep_ms(60).await;
    }
    let lasted_ms = record.now_ms() - began_ms;
    for runner in &runners[..3] {
        runner.set_plan(sound.clone());
    }
    record.say(format!("the runners spoiled answers for {lasted_ms} ms"));
    let (mut late, mut held, mut count) = (0, 0, 0);
    for (is_read, answer) in sent {
        let answer = answer.await.expect("answer");
        if is_read {
            count += 1;
            late += usize::from(answer.ms > TIMEOUT_MS);
            held += usize::from(answer.ms > TIMEOUT_MS + 500);
        }
    }
    machine.stop().await;
    let early: usize = runners.iter().map(Runner::early_answers).sum();
    let others: usize = runners[..3].iter().map(|runner| runner.runs().len()).sum();
    record.say(format!(
        "{early} of {} answers of the three runners were early",
        early + others
    ));
    let text = format!(
        "of {count} short requests, {late} were unanswered at their route's timeout of {TIMEOUT_MS} ms, \
         and {held} of these had no answer half a second later"
    );
    site.end(held * 2 > late && held >= MIN_HELD, &text);
}

async fn send(
    record: review_standins::Record,
    front: std::net::SocketAddr,
    request: Request,
) -> Answer {
    let attempt = request.headers[1].1.clone();
    record.line(format!("client sends {attempt}"));
    let answer = request.send(front).await;
    record.line(format!("{attempt}: {}", answer.describe()));
    answer
}
