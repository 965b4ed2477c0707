//! A program never receives more tokens than its budget plus the maximum output of one turn.

use std::time::Duration;

use basilramp_fakes::user_platform::{Behaviour, Mode};
use http::StatusCode;

use crate::support::{EVENT_TOKENS, IMMEDIATE_RESPONSE, Instance, Turn, start_site};

const BUDGET: u64 = 60;

/// Maximum output tokens stated by a turn; the upstream streams three events, 12 tokens.
const MAX_OUTPUT: u64 = 20;

fn turn(attempt: &str) -> Turn<'_> {
    Turn {
        route: "advice",
        attempt,
        program: "p1",
        previous: None,
        budget: BUDGET,
        max_output: MAX_OUTPUT,
        input: "more",
    }
}

/// Sends 20 turns round robin to the instances. Returns the tokens received and the last status.
async fn exhaust_budget(instances: &[Instance]) -> (u64, StatusCode) {
    let mut tokens = 0;
    let mut status = StatusCode::OK;
    for index in 0..20 {
        let attempt = format!("t{index}");
        let instance = &instances[index % instances.len()];
        let reply = instance.send(turn(&attempt).request()).await.unwrap();
        status = reply.status;
        tokens += reply.body.matches("data:").count() as u64 * EVENT_TOKENS;
    }
    (tokens, status)
}

#[tokio::test]
async fn budget_is_shared_across_instances() {
    let (store, _upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instances = [
        Instance::spawn(&store, "a").await,
        Instance::spawn(&store, "b").await,
    ];
    let (tokens, status) = exhaust_budget(&instances).await;
    assert_eq!(status, StatusCode::PAYMENT_REQUIRED);
    assert!(tokens >= BUDGET - MAX_OUTPUT, "{tokens}");
    assert!(tokens <= BUDGET + MAX_OUTPUT, "{tokens}");
}

#[tokio::test]
async fn budget_survives_the_loss_of_instances() {
    let (store, upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let mut tokens = 0;
    for index in 0..8 {
        let instance = Instance::spawn(&store, "a").await;
        let reply = instance
            .send(turn(&format!("t{index}")).request())
            .await
            .unwrap();
        tokens += reply.body.matches("data:").count() as u64 * EVENT_TOKENS;
    }
    assert!(tokens <= BUDGET + MAX_OUTPUT, "{tokens}");
    let runs = upstreams[0].requests().len();
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(turn("last").request()).await.unwrap();
    assert_eq!(reply.status, StatusCode::PAYMENT_REQUIRED);
    assert_eq!(
        upstreams[0].requests().len(),
        runs,
        "a turn rejected with 402 ran"
    );
}

#[tokio::test]
async fn budget_bounds_concurrent_turns() {
    let (store, upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instances = [
        Instance::spawn(&store, "a").await,
        Instance::spawn(&store, "b").await,
    ];
    let names: Vec<_> = (0..16).map(|index| format!("t{index}")).collect();
    let sent = names.iter().enumerate().map(|(index, name)| {
        let instance = &instances[index % 2];
        async move { instance.send(turn(name).request()).await.unwrap() }
    });
    let replies = futures_util::future::join_all(sent).await;
    let events = |body: &str| body.matches("data:").count() as u64 * EVENT_TOKENS;
    let tokens: u64 = replies.iter().map(|reply| events(&reply.body)).sum();
    assert!(tokens <= BUDGET + MAX_OUTPUT, "{tokens}");
    let rejected: Vec<_> = names
        .iter()
        .zip(&replies)
        .filter(|(_, reply)| reply.status == StatusCode::PAYMENT_REQUIRED)
        .map(|(name, _)| name.clone())
        .collect();
    assert!(!rejected.is_empty());
    let ran = upstreams[0].requests();
    assert!(ran.iter().all(|run| !rejected.contains(&run.attempt_id)));
}

/// Writes of grants are done after their writer has given up on them, while turns that end change what
/// the next grant would be. The turns get what the row counts, not what was computed last.
#[tokio::test]
async fn a_grant_that_is_written_late_is_the_one_that_counts() {
    const EVENTS: u64 = 12;
    const MAX_TOKENS: u64 = EVENTS * EVENT_TOKENS;
    const LIMIT: u64 = 8 * MAX_TOKENS;
    let slow = Behaviour::Respond {
        events: EVENTS,
        interval_ms: 25,
    };
    let (store, upstreams) = start_site("engine", [slow, slow]);
    let instance = Instance::spawn(&store, "a").await;
    let turn = |program: &str, attempt: &str| {
        let turn = Turn {
            program,
            budget: LIMIT,
            max_output: MAX_TOKENS,
            ..turn(attempt)
        };
        turn.request()
    };
    let short: Vec<_> = (0..16).map(|index| format!("short-{index}")).collect();
    let long: Vec<_> = (0..6).map(|index| format!("long-{index}")).collect();
    let earlier = async {
        let sent = short.iter().map(|name| instance.send(turn(name, name)));
        futures_util::future::join_all(sent).await
    };
    let first = async {
        tokio::time::sleep(Duration::from_millis(270)).await;
        store.set_mode(Mode::AppliesLate(130));
        let sent = long.iter().map(|name| instance.send(turn(name, name)));
        let replies = tokio::join!(futures_util::future::join_all(sent), async {
            tokio::time::sleep(Duration::from_millis(900)).await;
            store.set_mode(Mode::Up);
        });
        replies.0
    };
    let (_, first) = tokio::join!(earlier, first);
    for (program, reply) in long.iter().zip(first) {
        let mut bodies = vec![reply.map(|reply| reply.body).unwrap_or_default()];
        for number in 0..24 {
            let attempt = format!("{program}-{number}");
            let reply = instance.send(turn(program, &attempt)).await.unwrap();
            if reply.status == StatusCode::PAYMENT_REQUIRED {
                break;
            }
            bodies.push(reply.body);
        }
        let tokens = bodies.concat().matches("data:").count() as u64 * EVENT_TOKENS;
        assert!(tokens <= LIMIT + MAX_TOKENS, "{program} got {tokens}");
        assert!(tokens >= LIMIT / 2, "{program} got {tokens}");
    }
    assert!(
        upstreams
            .iter()
            .all(|upstream| !upstream.requests().is_empty())
    );
}
