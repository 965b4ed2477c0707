//! A machine that the store turns away sends a turn to a runner without the turns before it, as the route
//! whose turns are retained was added meanwhile.

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

/// Programs, each with two turns on the route that is added.
const PROGRAMS: usize = 6;

/// For how long the store turns the machine away; the site file has up to 9 s.
const TURNED_AWAY: Duration = Duration::from_millis(6_000);

/// Path on the route that is added. The older, shorter route begins it too.
const PATH: &str = "/lohu930/chat/2f";

fn main() -> ExitCode {
    review_cases_2::main(run)
}

fn input(attempt: &str) -> String {
    format!("<input of {attempt}>")
}

fn turn(path: &str, program: usize, attempt: &str, previous: Option<&str>) -> Request<Full<Bytes>> {
    // The later turns are shorter, so that tokens of the earlier ones are left for them.
    let output = if previous.is_some() { 12 } else { 40 };
    let mut request = stream_request(path, attempt, 4_000, output)
        .header("program-id", format!("program-{program}"))
        .header("session-id", format!("session-{program}"))
        .header("program-deadline-ms", 9_000)
        .header("token-budget", 8_000);
    if let Some(previous) = previous {
        request = request.header("previous-turn", previous);
    }
    with_body(request, &input(attempt))
}

async fn run(record: Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let site = Site::start();
    let advice = stream_route("/lohu930/", "engine", false, true);
    let added = stream_route("/lohu930/chat/", "engine", true, false);
    site.configure(7, std::slice::from_ref(&advice));
    let quick = Behaviour::Respond {
        events: 3,
        interval_ms: 10,
    };
    let runners = [
        site.add_runner("i-1", "engine", "v1", quick),
        site.add_runner("i-2", "engine", "v1", quick),
    ];
    let view = site.store.spawn_view(BTreeMap::new());
    let first = Instance::start("front-casa-a-1", "casa-a", site.store.address()).await?;
    let second = Instance::start("front-casa-b-1", "casa-b", view.address()).await?;
    // The store turns a third of the machines away.
    let _third = Instance::start("front-casa-c-1", "casa-c", site.store.address()).await?;
    // Programs have had turns on the older route at the second machine, on connections that stay open.
    // Their first turns leave enough granted tokens there for the next ones.
    let mut kept = Vec::new();
    for program in 0..PROGRAMS {
        let mut connection = Connection::open(second.callers).await?;
        for number in 0..12 {
            let attempt = format!("before-{program}-{number}");
            let answer = connection
                .send(turn("/lohu930/2f", program, &attempt, None), 4_000)
                .await;
            if answer.status != Some(200) || !answer.is_complete {
                return Err("the calm deployment does not serve".into());
            }
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
    site.configure(9, &[advice, added]);
    record.line(
        "version 9 adds the route /lohu930/chat/, whose turns are retained; it is acknowledged",
    );
    sleep(Duration::from_millis(2_500)).await;
    let mut firsts = Vec::new();
    for program in 0..PROGRAMS {
        let begun = format!("turn-1-{program}");
        let mut elsewhere = Connection::open(first.callers).await?;
        let answer = elsewhere
            .send(turn(PATH, program, &begun, None), 4_000)
            .await;
        record.line(format!("{begun} at {}: {}", first.name, answer.describe()));
        if answer.status != Some(200) || !answer.is_complete {
            return Err("the first turn was not answered whole".into());
        }
        firsts.push(begun);
    }
    let mut seconds = Vec::new();
    for (program, mut connection) in kept.into_iter().enumerate() {
        let (record, begun, machine) = (
            Arc::clone(&record),
            firsts[program].clone(),
            second.name.clone(),
        );
        seconds.push(tokio::spawn(async move {
            let next = format!("turn-2-{program}");
            let answer = connection
                .send(turn(PATH, program, &next, Some(&begun)), 4_000)
                .await;
            record.line(format!(
                "{next}, which continues {begun}, at {machine}: {}",
                answer.describe()
            ));
        }));
    }
    tokio::time::sleep_until(turned_away_at + TURNED_AWAY).await;
    view.set_rejecting(false);
    if has_trouble {
        record.line(format!("the store serves {} again", second.name));
    }
    for second in seconds {
        second.await.map_err(|error| error.to_string())?;
    }
    let mut wrong = 0;
    for (program, begun) in firsts.iter().enumerate() {
        let next = format!("turn-2-{program}");
        let expected = format!("{}t1\nt2\nt3\n{}", input(begun), input(&next));
        let runs = runners.iter().flat_map(|runner| runner.requests());
        for run in runs.filter(|run| run.attempt_id == next) {
            let body = String::from_utf8_lossy(&run.body).into_owned();
            let is_right = body == expected;
            record.line(format!(
                "ran: {next} with the body {body:?}, right: {is_right}"
            ));
            wrong += usize::from(!is_right);
        }
    }
    record.line(format!(
        "{wrong} of {PROGRAMS} turns ran without the inputs and outputs of their chain"
    ));
    Ok(if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
