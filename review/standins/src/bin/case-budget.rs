//! The store is slow while programs have their first turns. The tokens that a program gets after that
//! exceed its budget.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use review_standins::http::{Connection, Request};
use review_standins::runner::Plan;
use review_standins::site::{model_service, stream_route};
use review_standins::{Record, Runner, Site, has_trouble, sleep_ms};
use serde_json::json;

/// Events of each turn, and tokens in each event (`chunk_tokens`).
const EVENTS: u64 = 34;
const CHUNK_TOKENS: u64 = 4;
const MAX_TURN_TOKENS: u64 = EVENTS * CHUNK_TOKENS;
const BUDGET: u64 = 8 * MAX_TURN_TOKENS;

/// Programs whose only turn is under way when the store turns slow, and programs that begin then.
const SHORT_PROGRAMS: usize = 24;
const LONG_PROGRAMS: usize = 8;

#[tokio::main]
async fn main() {
    let routes = json!([stream_route("/turn/", "lm-pool", false, true)]);
    let site = Site::start(&routes, &json!([model_service("lm-pool")]));
    let record = site.record.clone();
    let plan = Plan {
        work_ms: 30,
        events: EVENTS,
        ..Plan::default()
    };
    let mut runners = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let store = &site.store;
        runners.push(Runner::start(&record, store, id, "lm-pool", "v1", plan.clone()).await);
    }
    let (machine, _view) = site.machine("front-a", "z-a").await;
    sleep_ms(1_000).await;
    let front = machine.front;
    let mut programs = Vec::new();
    for number in 0..SHORT_PROGRAMS {
        let name = format!("short-{number}");
        programs.push(tokio::spawn(run(record.clone(), front, name, 1)));
    }
    sleep_ms(350).await;
    if has_trouble() {
        record.line("the store is slow: its answers take 60 times as long");
        site.store.set_slowness(60);
    }
    sleep_ms(50).await;
    for number in 0..LONG_PROGRAMS {
        let name = format!("long-{number}");
        programs.push(tokio::spawn(run(record.clone(), front, name, 100)));
    }
    sleep_ms(4_400).await;
    site.store.set_slowness(1);
    record.line("the store is as fast as usual");
    let mut handed = BTreeMap::new();
    for program in programs {
        let (name, tokens) = program.await.expect("program");
        handed.insert(name, tokens);
    }
    machine.stop().await;
    for (name, tokens) in handed.iter().filter(|(name, _)| name.starts_with("long")) {
        record.line(format!("{name} got {tokens} tokens of {BUDGET}"));
    }
    let over = handed
        .values()
        .filter(|tokens| **tokens > BUDGET + MAX_TURN_TOKENS);
    let most = handed.values().max().copied().unwrap_or(0);
    let text = format!(
        "{} of {LONG_PROGRAMS} programs got more than their budget {BUDGET} + the most of one turn \
         {MAX_TURN_TOKENS}; the most was {most} tokens",
        over.clone().count()
    );
    site.end(over.count() > 0, &text);
}

/// Sends the turns of a program one after the other until its budget is spent. Returns the tokens that
/// it was handed.
async fn run(record: Record, front: SocketAddr, name: String, turns: usize) -> (String, u64) {
    let mut connection = Connection::open(front).await.expect("connect");
    let mut tokens = 0;
    for turn in 0..turns {
        let attempt = format!("{name}-t{turn}");
        let request = Request::new("POST", "/turn/x", &attempt, 4_000)
            .header("Model", "m")
            .header("Program-Id", &name)
            .header("Session-Id", &name)
            .header("Program-Deadline-Ms", 60_000)
            .header("Token-Budget", BUDGET)
            .header("Token-Usage", format!("1840,{MAX_TURN_TOKENS}"))
            .header("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410")
            .body("the input of this turn");
        let answer = connection.exchange(&request).await;
        let events = answer.events().len() as u64;
        tokens += events * CHUNK_TOKENS;
        record.line(format!("{attempt}: {events} events, {}", answer.describe()));
        if answer.status == 402 {
            break;
        }
        let closes = answer
            .head
            .get("connection")
            .is_some_and(|text| text.contains("close"));
        if closes || !answer.is_complete {
            sleep_ms(250).await;
            connection = Connection::open(front).await.expect("connect");
        }
    }
    (name, tokens)
}
