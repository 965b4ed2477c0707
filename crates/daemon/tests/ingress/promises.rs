//! What answers promise, and what upstreams are sent.

use basilramp_fakes::user_platform::{Behaviour, Upstream};
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::support::{ANSWERS, Instance, Turn, plain, site};

fn advice(attempt: &str) -> Turn<'_> {
    Turn {
        route: "advice",
        attempt,
        program: "p1",
        previous: None,
        budget: 1_000,
        most: 100,
        input: "question",
    }
}

#[tokio::test]
async fn an_answer_is_the_upstreams_own() {
    let (store, [upstream]) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body, "done by i-1");
    assert_eq!(reply.header("server-signature"), Some("sig-i-1"));
    assert_eq!(reply.header("attempt-id"), Some("t1"));
    let runs = upstream.requests();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].path, "/pay/x");
    assert_eq!(&runs[0].body[..], b"order");
    assert!(
        runs[0]
            .deadline_ms
            .is_some_and(|ms| (1..=3_000).contains(&ms))
    );
}

/// Returns how often requests ran, at all upstreams.
fn run_count(upstreams: &[Upstream]) -> usize {
    upstreams
        .iter()
        .map(|upstream| upstream.requests().len())
        .sum()
}

#[tokio::test]
async fn unsafe_request_with_a_lost_answer_runs_once() {
    let (store, upstreams) = site("app", [Behaviour::LosesResponse; 2]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    assert_eq!(run_count(&upstreams), 1);
}

#[tokio::test]
async fn safe_request_runs_on_no_more_upstreams_than_allowed() {
    let (store, upstreams) = site("app", [Behaviour::LosesResponse; 3]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain("read", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    assert_eq!(run_count(&upstreams), 2);
}

#[tokio::test]
async fn a_refusal_says_truly_that_nothing_ran() {
    let (store, upstreams) = site("app", [Behaviour::Full, Behaviour::OtherUpstream]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.retry_after().is_some_and(|seconds| seconds > 0.0));
    assert!(reply.header("server-signature").is_none());
    assert!(
        upstreams
            .iter()
            .all(|upstream| upstream.requests().is_empty())
    );
}

#[tokio::test]
async fn unsafe_request_goes_on_after_an_upstream_that_did_not_run_it() {
    let (store, [_, _, sound]) = site("app", [Behaviour::Full, Behaviour::OtherUpstream, ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.body, "done by i-3");
    assert_eq!(sound.requests().len(), 1);
}

#[tokio::test]
async fn answers_of_other_attempts_and_unsigned_ones_reach_no_caller() {
    for behaviour in [Behaviour::WrongAttempt, Behaviour::Unsigned] {
        let (store, _upstreams) = site("app", [behaviour]);
        let instance = Instance::spawn(&store, "a").await;
        let reply = instance.send(plain("pay", "t1")).await.unwrap();
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert!(!reply.body.contains("done"));
    }
}

#[tokio::test]
async fn headers_of_the_system_are_not_a_callers_to_set() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    let mut request = advice("t1").request();
    for name in ["hold", "pin-ms", "kv-from", "kv-backup", "request-priority"] {
        request.headers_mut().insert(name, "1".parse().unwrap());
    }
    let reply = instance.send(request).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    assert!(
        upstream.requests()[0].forged_headers.is_empty(),
        "{:?}",
        upstream.requests()[0]
    );
}

#[tokio::test]
async fn a_broken_stream_is_resumed_after_its_last_event() {
    let (store, upstreams) = site("engine", [Behaviour::BreaksOff(2), ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    // Whichever upstream is asked first, every event comes once and in order.
    for attempt in ["t1", "t2", "t3", "t4"] {
        let reply = instance.send(advice(attempt).request()).await.unwrap();
        assert!(reply.is_whole);
        let ids: Vec<_> = reply
            .body
            .lines()
            .filter(|line| line.starts_with("id:"))
            .collect();
        assert_eq!(ids, ["id: 1", "id: 2", "id: 3"]);
    }
    // The reset may overtake the second event.
    let resumed = upstreams[1].requests();
    let follows = |event| (1..=2).contains(&event);
    assert!(resumed.iter().all(|run| run.last_event.is_none_or(follows)));
}

#[tokio::test]
async fn a_stream_that_runs_once_ends_as_broken() {
    let (store, upstreams) = site("engine", [Behaviour::BreaksOff(2); 2]);
    let instance = Instance::spawn(&store, "a").await;
    let turn = Turn {
        route: "chat",
        ..advice("t1")
    };
    let reply = instance.send(turn.request()).await.unwrap();
    assert!(!reply.is_whole, "an answer that broke off looks complete");
    assert_eq!(run_count(&upstreams), 1);
}

#[tokio::test]
async fn what_no_route_allows_is_not_found() {
    let (store, _upstreams) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain("nowhere", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn faulty_requests_are_refused_and_run_nowhere() {
    let (store, [upstream]) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    let mut no_attempt = plain("pay", "t1");
    no_attempt.headers_mut().remove("attempt-id");
    let reply = instance.send(no_attempt).await.unwrap();
    assert_eq!(reply.status, StatusCode::BAD_REQUEST);
    let long = Request::post("/pay/x")
        .header("host", "a.example")
        .header("attempt-id", "t2")
        .body(Full::from(vec![b'x'; 100_001]))
        .unwrap();
    let reply = instance.send(long).await.unwrap();
    assert_eq!(reply.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert!(upstream.requests().is_empty());
}
