//! Case 15: the first client account is configured while programs without a key are under way on a public
//! route. Their turns are looked up under other ids from then on.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_review_3::caller::Connection;
use basilramp_review_3::case::{self, BROKEN, HELD, NOT_RUN, Record, lock};
use basilramp_review_3::engine::{Runs, Turn, start_runner};
use basilramp_review_3::instance::Instance;
use basilramp_review_3::site::{self, Route};
use serde_json::json;

/// Chats, whose turns are kept.
const CHAT: Route = Route {
    name: "chat",
    kind: "stream",
    service: "engine",
    timeout_ms: 4_000,
    max_attempts: 2,
    is_resumable: false,
    is_retained: true,
};

/// Path of the chats.
const PATH: &str = "/chat/x";

/// Programs under way.
const PROGRAMS: usize = 12;

/// Time from the acknowledgement of the configuration to the next turns; `config_apply_ms` is 3,000.
const TURNS_AFTER: Duration = Duration::from_millis(3_500);

fn main() {
    case::run(|record, has_trouble| async move {
        match run(&record, has_trouble).await {
            Ok(code) => code,
            Err(error) => {
                record.line(error);
                NOT_RUN
            }
        }
    })
}

async fn run(record: &Record, has_trouble: bool) -> Result<i32, String> {
    // Callers of a public route need no key, whether there are accounts or not.
    let mut config = site::config(3, &[CHAT]);
    config["routes"][0]["public"] = true.into();
    let store = site::start_store(&config).await?;
    let runs = Runs::default();
    for name in ["i-1", "i-2", "i-3"] {
        let address = start_runner(name, &runs, record).await?;
        site::register(&store, name, "engine", address, "ready", 1);
    }
    let mut instances = Vec::new();
    for name in ["front-a-1", "front-b-1", "front-c-1"] {
        instances.push(Instance::start(name, "z1", store.address()).await?);
    }
    let mut turns = Vec::new();
    for number in 0..PROGRAMS {
        let turn = Turn::first(&format!("p{number}"), "main", PATH);
        let answer = send(&turn, instances[number % 3].callers, record).await?;
        if answer != (200, true) {
            return Err("a first turn was not served".into());
        }
        turns.push(turn);
    }
    config["version"] = 7.into();
    if has_trouble {
        config["tenants"] = json!([{"name": "acme", "api_keys": ["acme-key-1"]}]);
    }
    site::put_config(&store, &config);
    record.line(format!(
        "configuration 7 is acknowledged; accounts: {has_trouble}"
    ));
    tokio::time::sleep(TURNS_AFTER).await;
    let (mut lost, mut wrong) = (0, 0);
    for (number, first) in turns.iter().enumerate() {
        let next = Turn {
            attempt: format!("{}-main-2", first.program),
            previous: Some(first.attempt.clone()),
            ..first.clone()
        };
        let (status, _) = send(&next, instances[(number + 1) % 3].callers, record).await?;
        if status == 404 || status == 410 {
            lost += 1;
            record.line(format!(
                "LOST: {} was answered {status}; it continues {}, which was answered whole",
                next.attempt, first.attempt
            ));
        }
        let body = lock(&runs).get(&next.attempt).cloned();
        wrong += usize::from(body.is_some_and(|body| body != next.expected_body()));
    }
    record.line(format!(
        "{PROGRAMS} programs, {lost} turns lost, {wrong} with another body"
    ));
    Ok(if lost + wrong > 0 { BROKEN } else { HELD })
}

/// Sends a turn without a key on a connection of its own.
async fn send(turn: &Turn, address: SocketAddr, record: &Record) -> Result<(u16, bool), String> {
    let connection = Connection::open(address).await;
    let mut connection = connection.ok_or("no connection")?;
    turn.send(&mut connection, record).await
}
