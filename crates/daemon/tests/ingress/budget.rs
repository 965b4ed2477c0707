//! A program never receives more tokens than its budget plus the maximum output of one turn.

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
