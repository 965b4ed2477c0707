//! A machine that the store turns away answers 404 to a turn on a route that was added meanwhile.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use basilramp_fakes::user_platform::Behaviour;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use review_cases_2::Verdict;
use review_cases_2::client::Connection;
use review_cases_2::instance::Instance;
use review_cases_2::record::Record;
use review_cases_2::site::{Site, stream_request, stream_route, with_body};
use tokio::time::sleep;

/// Programs, each with two turns.
const PROGRAMS: usize = 6;

/// For how long the store turns the machine away; the site file has up to 9 s.
const TURNED_AWAY: Duration = Duration::from_millis(6_000);

fn main() -> ExitCode {
    review_cases_2::main(run)
}

fn turn(path: &str, program: usize, attempt: &str, previous: Option<&str>) -> Request<Full<Bytes>> {
    let mut request = stream_request(path, attempt, 4_000, 40)
        .header("program-id", format!("program-{program}"))
        .header("session-id", format!("session-{program}"))
        .header("program-deadline-ms", 9_000)
        .header("token-budget", 2_000);
    if let Some(previous) = previous {
        request = request.header("previous-turn", previous);
    }
    with_body(request, &format!("input of {attempt}"))
}

async fn run(record: Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let site = Site::start();
    let chat = stream_route("/pufi791/", "engine", true, false);
    let added = stream_route("/wavo118/", "engine", true, false);
    site.configure(7, std::slice::from_ref(&chat));
    let quick = Behaviour::Respond {
        events: 5,
        interval_ms: 10,
    };
    let runners = [
        site.add_runner("i-1", "engine", "v1", quick),
        site.add_runner("i-2", "engine", "v1", quick),
    ];
    // The store as the second machine sees it, which can turn it away.
    let view = site.store.spawn_view(BTreeMap::new());
    let first = Instance::start("front-casa-a-1", "casa-a", site.store.address()).await?;
    let second = Instance::start("front-casa-b-1", "casa-b", view.address()).await?;
    // The store turns a third of the machines away.
    let _third = Instance::start("front-casa-c-1", "casa-c", site.store.address()).await?;
    // Clients in the second machine's zone have connections open, which stay with it.
    let mut kept = Vec::new();
    for program in 0..PROGRAMS {
        let mut connection = Connection::open(second.callers).await?;
        let attempt = format!("before-{program}");
        let answer = connection
            .send(turn("/pufi791/2f", 100 + program, &attempt, None), 4_000)
            .await;
        record.line(format!(
            "{attempt} at {}: {}",
            second.name,
            answer.describe()
        ));
        if answer.status != Some(200) || !answer.is_complete {
            return Err("the calm deployment does not serve".into());
        }
        kept.push(connection);
    }
    if has_trouble {
        view.set_rejecting(true);
        record.line(format!("the store turns {} away (503)", second.name));
    }
    let turned_away_at = tokio::time::Instant::now();
    sleep(Duration::from_millis(1_200)).await;
    record.line(format!(
        "{} is ready: {}",
        second.name,
        second.is_ready().await
    ));
    site.configure(9, &[chat, added]);
    record.line("version 9 adds the route /wavo118/; the store has acknowledged it");
    sleep(Duration::from_millis(2_500)).await;
    let mut broken = 0;
    for (program, connection) in kept.iter_mut().enumerate() {
        let begun = format!("turn-1-{program}");
        let mut elsewhere = Connection::open(first.callers).await?;
        let answer = elsewhere
            .send(turn("/wavo118/2f", program, &begun, None), 4_000)
            .await;
        record.line(format!("{begun} at {}: {}", first.name, answer.describe()));
        if answer.status != Some(200) || !answer.is_complete {
            return Err("the first turn was not answered whole".into());
        }
        let next = format!("turn-2-{program}");
        let answer = connection
            .send(turn("/wavo118/2f", program, &next, Some(&begun)), 4_000)
            .await;
        record.line(format!(
            "{next}, which continues {begun}, at {}: {}",
            second.name,
            answer.describe()
        ));
        broken += usize::from(matches!(answer.status, Some(404 | 410)));
    }
    tokio::time::sleep_until(turned_away_at + TURNED_AWAY).await;
    view.set_rejecting(false);
    for runner in &runners {
        for run in runner.requests() {
            record.line(format!("ran: {} {}", run.attempt_id, run.path));
        }
    }
    record.line(format!(
        "{broken} of {PROGRAMS} turns got 404 though their previous turn was answered whole before"
    ));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
