//! Case 13: the store turns one machine away, so that it goes on with an older configuration. It answers
//! the first turn of a line on a route that it does not know, as an older route with a shorter prefix
//! allows, and keeps nothing of it. The next turn, at another machine, gets 404.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_review_3::caller::Connection;
use basilramp_review_3::case::{self, BROKEN, HELD, NOT_RUN, Record, lock};
use basilramp_review_3::engine::{Runs, Turn, start_runner};
use basilramp_review_3::instance::Instance;
use basilramp_review_3::site::{self, Route};

/// Advice, whose turns carry their whole prompts.
const ADVICE: Route = Route {
    name: "advice",
    kind: "stream",
    service: "engine",
    timeout_ms: 4_000,
    max_attempts: 2,
    is_resumable: false,
    is_retained: false,
};

/// Advice that is remembered, in the newer configuration.
const REMEMBERED: Route = Route {
    name: "advice/remembered",
    is_retained: true,
    ..ADVICE
};

/// Programs, each with one line of turns on the newer route.
const PROGRAMS: usize = 6;

/// Programs that ran before, so that the machine knows the size of a turn.
const EARLIER_PROGRAMS: usize = 24;

/// Time from the beginning of the disruption to the newer configuration.
const CONFIG_AFTER: Duration = Duration::from_millis(1_000);

/// Time from the acknowledgement of the configuration to the turns; `config_apply_ms` is 2,000.
const TURNS_AFTER: Duration = Duration::from_millis(2_500);

/// Time from the first turns of the lines to their second ones.
const PAUSE: Duration = Duration::from_millis(150);

/// Time from the second turns to the end of the disruption.
const END_AFTER: Duration = Duration::from_millis(1_000);

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
    let store = site::start_store(&site::config(3, &[ADVICE])).await?;
    let runs = Runs::default();
    for name in ["i-1", "i-2", "i-3"] {
        let address = start_runner(name, &runs, record).await?;
        site::register(&store, name, "engine", address, "ready", 1);
    }
    let view = store.open_view().await?;
    let served = Instance::start("front-a-1", "z1", store.address()).await?;
    let turned_away = Instance::start("front-b-1", "z1", view.address()).await?;
    let _third = Instance::start("front-c-1", "z1", store.address()).await?;
    for number in 0..EARLIER_PROGRAMS {
        let program = format!("e{number}");
        let turn = Turn::first(&program, "main", "/advice/x");
        let mut connection = open(turned_away.callers).await?;
        turn.send(&mut connection, record).await?;
    }
    // The first turn of each program, on a connection that is kept.
    let mut connections = Vec::new();
    for number in 0..PROGRAMS {
        let program = format!("p{number}");
        let turn = Turn::first(&program, "main", "/advice/x");
        let mut connection = open(turned_away.callers).await?;
        let (status, is_whole) = turn.send(&mut connection, record).await?;
        if status != 200 || !is_whole {
            return Err("a first turn was not served".into());
        }
        connections.push(connection);
    }
    if has_trouble {
        record.line("the store turns front-b-1 away");
        view.set_rejecting(true);
    }
    tokio::time::sleep(CONFIG_AFTER).await;
    site::put_config(&store, &site::config(7, &[ADVICE, REMEMBERED]));
    record.line("configuration 7 is acknowledged; it adds a route whose turns are kept");
    tokio::time::sleep(TURNS_AFTER).await;
    record.line(format!(
        "front-b-1 is ready: {}",
        turned_away.is_ready().await
    ));
    // Each program starts a sub-agent, whose line of turns begins at the same machine.
    let mut begun = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let program = format!("p{number}");
        let record = record.clone();
        begun.push(tokio::spawn(async move {
            let turn = Turn::first(&program, "sub", "/advice/remembered/x");
            let answer = turn.send(&mut connection, &record).await;
            (program, turn.attempt, answer)
        }));
    }
    let mut whole = Vec::new();
    for turn in begun {
        let (program, attempt, answer) = turn.await.map_err(|error| error.to_string())?;
        if answer? == (200, true) {
            whole.push((program, attempt));
        }
    }
    tokio::time::sleep(PAUSE).await;
    // Their second turns arrive at the machine that the store serves.
    let (mut lost, mut wrong) = (0, 0);
    for (program, previous) in &whole {
        let turn = Turn {
            previous: Some(previous.clone()),
            attempt: format!("{program}-sub-2"),
            ..Turn::first(program, "sub", "/advice/remembered/x")
        };
        let mut connection = open(served.callers).await?;
        let (status, _) = turn.send(&mut connection, record).await?;
        if status == 404 || status == 410 {
            lost += 1;
            record.line(format!(
                "LOST: {} was answered {status}; it continues {previous}, which was answered whole",
                turn.attempt
            ));
        }
        let body = lock(&runs).get(&turn.attempt).cloned();
        if body.is_some_and(|body| body != turn.expected_body()) {
            wrong += 1;
            record.line(format!("UNASKED: {} ran with another body", turn.attempt));
        }
    }
    tokio::time::sleep(END_AFTER).await;
    view.set_rejecting(false);
    record.line("the store serves front-b-1");
    record.line(format!(
        "{PROGRAMS} lines, {} first turns answered whole, {lost} second turns lost, {wrong} with another body",
        whole.len()
    ));
    if !has_trouble && whole.len() < PROGRAMS {
        return Err("not all first turns of the lines were served".into());
    }
    Ok(if lost + wrong > 0 { BROKEN } else { HELD })
}

async fn open(address: SocketAddr) -> Result<Connection, String> {
    Connection::open(address)
        .await
        .ok_or_else(|| "no connection".to_owned())
}
