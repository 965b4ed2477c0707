//! A program never gets more tokens than its budget and the most of one turn.

use http::StatusCode;

use crate::support::{ANSWERS, EVENT_TOKENS, Instance, Turn, site};

const BUDGET: u64 = 60;

/// The most of a turn; each really makes three events.
const MOST: u64 = 20;

fn turn(attempt: &str) -> Turn<'_> {
    Turn {
        route: "advice",
        attempt,
        program: "p1",
        previous: None,
        budget: BUDGET,
        most: MOST,
        input: "more",
    }
}

/// Sends turns to instances by turns; returns the tokens handed out and the last status.
async fn exhaust(instances: &[Instance]) -> (u64, StatusCode) {
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
async fn budget_holds_over_instances() {
    let (store, _upstreams) = site("engine", [ANSWERS]);
    let instances = [
        Instance::spawn(&store, "a").await,
        Instance::spawn(&store, "b").await,
    ];
    let (tokens, status) = exhaust(&instances).await;
    assert_eq!(status, StatusCode::PAYMENT_REQUIRED);
    assert!(tokens >= BUDGET - MOST, "{tokens}");
    assert!(tokens <= BUDGET + MOST, "{tokens}");
}

#[tokio::test]
async fn budget_holds_over_the_loss_of_instances() {
    let (store, upstreams) = site("engine", [ANSWERS]);
    let mut tokens = 0;
    for index in 0..8 {
        let instance = Instance::spawn(&store, "a").await;
        let reply = instance
            .send(turn(&format!("t{index}")).request())
            .await
            .unwrap();
        tokens += reply.body.matches("data:").count() as u64 * EVENT_TOKENS;
    }
    assert!(tokens <= BUDGET + MOST, "{tokens}");
    let runs = upstreams[0].requests().len();
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(turn("last").request()).await.unwrap();
    assert_eq!(reply.status, StatusCode::PAYMENT_REQUIRED);
    assert_eq!(
        upstreams[0].requests().len(),
        runs,
        "a turn that is told 402 must not run"
    );
}

#[tokio::test]
async fn budget_holds_for_turns_at_the_same_time() {
    let (store, upstreams) = site("engine", [ANSWERS]);
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
    assert!(tokens <= BUDGET + MOST, "{tokens}");
    let refused: Vec<_> = names
        .iter()
        .zip(&replies)
        .filter(|(_, reply)| reply.status == StatusCode::PAYMENT_REQUIRED)
        .map(|(name, _)| name.clone())
        .collect();
    assert!(!refused.is_empty());
    let ran = upstreams[0].requests();
    assert!(ran.iter().all(|run| !refused.contains(&run.attempt_id)));
}
