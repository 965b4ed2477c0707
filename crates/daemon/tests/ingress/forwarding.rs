//! Forwarding: what a response tells the caller, retries, and the requests that upstreams receive.

use basilramp_fakes::user_platform::{Behaviour, Upstream};
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::support::{IMMEDIATE_RESPONSE, Instance, Turn, plain_request, start_site};

fn advice_turn(attempt: &str) -> Turn<'_> {
    Turn {
        program: "p1",
        ..Turn::first("advice", attempt)
    }
}

#[tokio::test]
async fn a_response_comes_unchanged_from_the_upstream() {
    let (store, [upstream]) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
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

/// Returns the number of runs at all upstreams.
fn run_count(upstreams: &[Upstream]) -> usize {
    upstreams
        .iter()
        .map(|upstream| upstream.requests().len())
        .sum()
}

#[tokio::test]
async fn unsafe_request_with_a_lost_response_runs_once() {
    let (store, upstreams) = start_site("app", [Behaviour::LosesResponse; 2]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    assert_eq!(run_count(&upstreams), 1);
}

#[tokio::test]
async fn safe_request_runs_on_at_most_max_attempts_upstreams() {
    let (store, upstreams) = start_site("app", [Behaviour::LosesResponse; 3]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain_request("read", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    assert_eq!(run_count(&upstreams), 2);
}

/// Upstreams that fail at once are ejected, and requests that may be repeated go elsewhere.
#[tokio::test]
async fn repeatable_request_goes_elsewhere_after_a_server_error() {
    for service in ["app", "engine"] {
        let (store, upstreams) = start_site(service, [IMMEDIATE_RESPONSE; 2]);
        let instance = Instance::spawn(&store, "a").await;
        let send = async |number: u32| {
            let attempt = format!("t{number}");
            let request = match service {
                "app" => plain_request("read", &attempt),
                _ => Turn {
                    program: &attempt,
                    ..advice_turn(&attempt)
                }
                .request(),
            };
            instance.send(request).await.unwrap()
        };
        send(0).await;
        // Its prompt is cached there, so the next ones prefer it.
        let [first, second] = &upstreams;
        let failing = if first.requests().is_empty() {
            second
        } else {
            first
        };
        failing.set_behaviour(Behaviour::ServerError);
        for number in 1..40 {
            let reply = send(number).await;
            assert_eq!(reply.status, StatusCode::OK, "{service} {number}");
        }
        let failed = failing.requests().len() - 1;
        assert!((1..10).contains(&failed), "{service}: {failed} errors");
        assert!(!instance.events("E0733").is_empty());
    }
}

/// An error of the upstream is a response, and more use to the caller than one of this system.
#[tokio::test]
async fn the_error_of_an_upstream_is_forwarded_when_no_other_responds() {
    let (store, upstreams) = start_site("app", [Behaviour::ServerError, Behaviour::Full]);
    let instance = Instance::spawn(&store, "a").await;
    for attempt in ["t1", "t2"] {
        let reply = instance.send(plain_request("read", attempt)).await.unwrap();
        assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(reply.header("server-signature"), Some("sig-i-1"));
    }
    let reply = instance.send(plain_request("pay", "t3")).await.unwrap();
    assert!(reply.status.is_server_error(), "{}", reply.status);
    assert!(upstreams[0].requests().len() <= 3);
}

#[tokio::test]
async fn a_503_means_that_the_request_did_not_run() {
    let (store, upstreams) = start_site("app", [Behaviour::Full, Behaviour::OtherUpstream]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
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
async fn unsafe_request_is_retried_after_upstreams_that_did_not_run_it() {
    let (store, [_, _, healthy]) = start_site(
        "app",
        [
            Behaviour::Full,
            Behaviour::OtherUpstream,
            IMMEDIATE_RESPONSE,
        ],
    );
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
    assert_eq!(reply.body, "done by i-3");
    assert_eq!(healthy.requests().len(), 1);
}

#[tokio::test]
async fn mismatched_and_unsigned_responses_are_not_forwarded() {
    for behaviour in [Behaviour::WrongAttempt, Behaviour::Unsigned] {
        let (store, _upstreams) = start_site("app", [behaviour]);
        let instance = Instance::spawn(&store, "a").await;
        let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        assert!(!reply.body.contains("done"));
    }
}

#[tokio::test]
async fn internal_headers_from_callers_are_removed() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let mut request = advice_turn("t1").request();
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
    let (store, upstreams) = start_site("engine", [Behaviour::BreaksOff(2), IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    // Every event arrives once and in order, whichever upstream is tried first.
    for attempt in ["t1", "t2", "t3", "t4"] {
        let reply = instance.send(advice_turn(attempt).request()).await.unwrap();
        assert!(reply.is_complete);
        let ids: Vec<_> = reply
            .body
            .lines()
            .filter(|line| line.starts_with("id:"))
            .collect();
        assert_eq!(ids, ["id: 1", "id: 2", "id: 3"]);
    }
    // The connection reset may arrive before the second event, so the stream resumes after event 1
    // or 2.
    let resumed = upstreams[1].requests();
    let follows = |event| (1..=2).contains(&event);
    assert!(resumed.iter().all(|run| run.last_event.is_none_or(follows)));
}

#[tokio::test]
async fn a_broken_stream_that_is_not_resumable_breaks_the_response() {
    let (store, upstreams) = start_site("engine", [Behaviour::BreaksOff(2); 2]);
    let instance = Instance::spawn(&store, "a").await;
    let turn = Turn {
        route: "chat",
        ..advice_turn("t1")
    };
    let reply = instance.send(turn.request()).await.unwrap();
    assert!(!reply.is_complete, "a truncated response looks complete");
    assert_eq!(run_count(&upstreams), 1);
}

#[tokio::test]
async fn a_request_without_a_route_gets_404() {
    let (store, _upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(plain_request("nowhere", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn invalid_requests_are_rejected_and_run_nowhere() {
    let (store, [upstream]) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let mut no_attempt = plain_request("pay", "t1");
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
