//! Admission control: while turns are slow, new programs are rejected and running ones continue.

use std::time::Duration;

use basilramp_fakes::user_platform::Behaviour;
use futures_util::future::join_all;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::Full;

use crate::support::{Instance, Turn, start_site};

/// Returns a behaviour that streams three events, with a delay of `pause_ms` before each.
const fn paced(pause_ms: u64) -> Behaviour {
    Behaviour::Respond {
        events: 3,
        interval_ms: pause_ms,
    }
}

/// Builds a turn with a unique prompt, so that its engine has to prefill all of it.
fn turn(program: &str, attempt: &str) -> Request<Full<bytes::Bytes>> {
    let turn = Turn {
        route: "advice",
        attempt,
        program,
        previous: None,
        budget: 10_000,
        max_output: 100,
        input: "question",
    };
    let mut request = turn.request();
    let part: String = attempt.bytes().map(|byte| format!("{byte:02x}")).collect();
    let prompt = HeaderValue::from_str(&format!("{part}:900")).unwrap();
    request.headers_mut().insert("prompt-prefix", prompt);
    request
}

#[tokio::test]
async fn overload_rejects_new_programs_and_known_ones_continue() {
    let (store, [upstream]) = start_site("engine", [paced(10)]);
    let instance = Instance::spawn(&store, "a").await;
    let known: Vec<_> = (0..30).map(|index| format!("k{index}")).collect();
    let run = async |round: u32| {
        let attempts: Vec<_> = known.iter().map(|id| format!("{id}r{round}")).collect();
        let turns = known.iter().zip(&attempts);
        let sent = turns.map(|(program, attempt)| instance.send(turn(program, attempt)));
        let replies = join_all(sent).await;
        let statuses = replies.into_iter().map(|reply| reply.unwrap().status);
        assert!(statuses.into_iter().all(|status| status == StatusCode::OK));
    };
    // The first turns open connections and write the programs' rows, which can take several times the
    // engine's time beside other load. The second ones show what an idle engine takes.
    run(0).await;
    run(1).await;
    upstream.set_behaviour(paced(120));
    run(2).await;
    let names: Vec<_> = (0..30).map(|index| format!("n{index}")).collect();
    let sent = names.iter().map(|id| instance.send(turn(id, id)));
    let replies: Vec<_> = join_all(sent).await.into_iter().flatten().collect();
    let rejected = replies
        .iter()
        .filter(|reply| reply.status == StatusCode::SERVICE_UNAVAILABLE);
    let rejected: Vec<_> = rejected.collect();
    assert!(rejected.len() >= 15, "{} of 30 rejected", rejected.len());
    assert!(
        rejected
            .iter()
            .all(|reply| reply.retry_after() >= Some(0.4))
    );
    let ran = upstream.requests();
    let new = ran
        .iter()
        .filter(|run| run.attempt_id.starts_with('n'))
        .count();
    assert_eq!(new, 30 - rejected.len(), "a rejected turn ran");
    assert_eq!(instance.events("E0747").len(), rejected.len());
    let metrics = instance.metrics().await;
    for text in [
        "basilramp_programs_total{cause=\"hash\"",
        "basilramp_service_slowdown{",
        "basilramp_service_threshold{",
    ] {
        assert!(metrics.contains(text), "{text}: {metrics}");
    }
    let rejection = &instance.events("E0747")[0];
    assert_eq!(rejection["cause"], "hash");
    assert!(rejection["slowdown"].as_f64() > rejection["threshold"].as_f64());
    run(3).await;
    // Measured turn times expire when no new ones arrive, so new programs are admitted again.
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    let reply = instance.send(turn("n0", "n0-again")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}
