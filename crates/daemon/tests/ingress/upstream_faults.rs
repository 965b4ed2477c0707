//! Upstreams that send no valid response: what callers get, how long it takes, and that the
//! instance keeps its memory and its connections.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Behaviour, Store, Upstream};
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::scripted_upstream::{CHUNKED_HEAD, HEAD, ScriptedUpstream, Step, chunk};
use crate::support::{
    IMMEDIATE_RESPONSE, Instance, Reply, Turn, configure, configure_body_limit, plain_request,
    wait_for,
};

/// Memory that an instance may use while upstreams send without end. Its limit is 130 MB.
const MAX_RESIDENT_MB: u64 = 110;

/// Time within which a request ends whose upstream sends bytes that are no response: well below the
/// caller's deadline of 3 s.
const MAX_FAILURE_TIME: Duration = Duration::from_millis(2_500);

async fn site(service: &str, script: Vec<Step>) -> (Store, ScriptedUpstream) {
    let store = Store::spawn();
    configure(&store, 3);
    let upstream = ScriptedUpstream::spawn(&store, "i-1", service, script).await;
    (store, upstream)
}

fn send(text: &str) -> Step {
    Step::Send(text.to_owned())
}

fn forever(bytes: &str, interval_ms: u64) -> Step {
    Step::SendForever {
        bytes: bytes.to_owned(),
        interval: Duration::from_millis(interval_ms),
    }
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: t{id}\n\n")
}

fn event_ids(reply: &Reply) -> Vec<&str> {
    let lines = reply.body.lines();
    lines.filter_map(|line| line.strip_prefix("id: ")).collect()
}

#[tokio::test]
async fn an_endless_head_ends_the_attempt() {
    let (store, upstream) = site(
        "app",
        vec![
            send("HTTP/1.1 200 OK\r\n"),
            forever(&"x-padding: yes\r\n".repeat(64), 0),
        ],
    )
    .await;
    let instance = Instance::spawn(&store, "a").await;
    let started_at = Instant::now();
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    assert!(started_at.elapsed() < MAX_FAILURE_TIME);
    assert!(instance.resident_mb() < MAX_RESIDENT_MB);
    instance.wait_for_closed(&upstream, 1).await;
}

#[tokio::test]
async fn endless_bodies_end_their_attempts_and_do_not_fill_the_memory() {
    let (store, upstream) =
        site("app", vec![send(HEAD), forever(&"x".repeat(64 * 1_024), 0)]).await;
    let instance = Instance::spawn(&store, "a").await;
    let ids: Vec<_> = (0..40).map(|number| format!("t{number}")).collect();
    let replies = ids.iter().map(|id| instance.send(plain_request("pay", id)));
    let replies = futures_util::future::join_all(replies);
    let (replies, peak_mb) = instance.peak_resident_mb(replies).await;
    for reply in replies.into_iter().flatten() {
        assert!(!reply.status.is_success(), "{}", reply.status);
    }
    assert!(peak_mb < MAX_RESIDENT_MB, "{peak_mb} MB");
    instance.wait_for_closed(&upstream, 1).await;
    assert!(instance.is_ready().await);
    assert!(instance.metrics().await.contains("basilramp_buffer"));
}

#[tokio::test]
async fn endless_events_end_their_streams_and_do_not_fill_the_memory() {
    let (store, upstream) = site(
        "engine",
        vec![
            send(HEAD),
            send(&event(1)),
            forever(&"data: x".repeat(10_000), 0),
        ],
    )
    .await;
    let instance = Instance::spawn(&store, "a").await;
    let ids: Vec<_> = (0..40).map(|number| format!("t{number}")).collect();
    let turns = ids
        .iter()
        .map(|id| instance.send(Turn::first("chat", id).request()));
    let replies = futures_util::future::join_all(turns);
    let (replies, peak_mb) = instance.peak_resident_mb(replies).await;
    for reply in replies.into_iter().flatten() {
        assert!(!reply.is_complete || !reply.status.is_success());
    }
    assert!(peak_mb < MAX_RESIDENT_MB, "{peak_mb} MB");
    instance.wait_for_closed(&upstream, 1).await;
    assert!(instance.is_ready().await);
}

/// Upstreams stop at the caller's deadline, which tells nothing about their health.
#[tokio::test]
async fn a_timeout_at_the_deadline_ejects_no_upstream() {
    let timeout = "HTTP/1.1 504 Gateway Timeout\r\nattempt-id: {id}\r\nserver-signature: sig\r\n\
                   content-length: 0\r\n\r\n";
    let script = vec![Step::Wait(Duration::from_millis(185)), send(timeout)];
    let (store, _first) = site("app", script.clone()).await;
    let _second = ScriptedUpstream::spawn(&store, "i-2", "app", script).await;
    let instance = Instance::spawn(&store, "a").await;
    for number in 0..8 {
        let mut request = plain_request("pay", &format!("t{number}"));
        request
            .headers_mut()
            .insert("deadline-ms", "200".parse().unwrap());
        let reply = instance.send(request).await.unwrap();
        assert_eq!(reply.status, StatusCode::GATEWAY_TIMEOUT);
    }
    assert!(instance.events("E0733").is_empty());
}

/// A rejection says that the request did not run, so it goes elsewhere without waiting for the end
/// of the rejection's body.
#[tokio::test]
async fn a_rejection_with_an_endless_body_does_not_hold_its_request() {
    let rejection = "HTTP/1.1 503 Service Unavailable\r\nattempt-id: {id}\r\nnot-executed: 1\r\n\
                     transfer-encoding: chunked\r\n\r\n";
    let (store, _rejecting) = site("app", vec![send(rejection), forever("1\r\nx\r\n", 50)]).await;
    let _healthy = Upstream::spawn(&store, "i-2", "app", IMMEDIATE_RESPONSE);
    let instance = Instance::spawn(&store, "a").await;
    for attempt in ["t1", "t2", "t3", "t4", "t5", "t6"] {
        let started_at = Instant::now();
        let reply = instance.send(plain_request("pay", attempt)).await.unwrap();
        assert_eq!(reply.body, "done by i-2");
        let elapsed = started_at.elapsed();
        assert!(elapsed < Duration::from_millis(1_000), "{elapsed:?}");
    }
}

/// An upstream that sends comments but no events has stalled. The stream goes on elsewhere.
#[tokio::test]
async fn a_stalled_stream_with_comments_is_resumed_elsewhere() {
    let comments = forever(&chunk(": still here\n\n"), 100);
    let (store, stalled) = site(
        "engine",
        vec![send(CHUNKED_HEAD), send(&chunk(&event(1))), comments],
    )
    .await;
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(Turn::first("advice", "t1").request());
    let start_other = async {
        wait_for("the stream begins", || async {
            (stalled.requests() == 1).then_some(())
        })
        .await;
        Upstream::spawn(&store, "i-2", "engine", IMMEDIATE_RESPONSE)
    };
    let (reply, _healthy) = tokio::join!(reply, start_other);
    let reply = reply.unwrap();
    assert!(reply.is_complete, "{}", reply.body);
    assert_eq!(event_ids(&reply), ["1", "2", "3"]);
    instance.wait_for_closed(&stalled, 1).await;
}

/// Comments are no tokens, so they use up no budget.
#[tokio::test]
async fn comments_are_not_charged() {
    let comments = ": still here\n\n".repeat(200);
    let events = event(1) + &comments + &event(2);
    let (store, _upstream) = site(
        "engine",
        vec![send(CHUNKED_HEAD), send(&chunk(&events)), send("0\r\n\r\n")],
    )
    .await;
    let instance = Instance::spawn(&store, "a").await;
    for number in 0..6 {
        let attempt = format!("t{number}");
        let turn = Turn {
            program: "p1",
            max_output: 20,
            budget: 100,
            ..Turn::first("advice", &attempt)
        };
        let reply = instance.send(turn.request()).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "turn {number}");
        assert_eq!(event_ids(&reply), ["1", "2"]);
    }
}

/// A stream that can't be resumed may be slow, but it ends at the caller's deadline.
#[tokio::test]
async fn a_stalled_stream_that_is_not_resumable_ends_at_the_deadline() {
    let comments = forever(&chunk(": still here\n\n"), 100);
    let (store, upstream) = site(
        "engine",
        vec![send(CHUNKED_HEAD), send(&chunk(&event(1))), comments],
    )
    .await;
    let instance = Instance::spawn(&store, "a").await;
    let started_at = Instant::now();
    let reply = instance
        .send(Turn::first("chat", "t1").request())
        .await
        .unwrap();
    assert!(!reply.is_complete, "a truncated response looks complete");
    // The caller's deadline is 3.5 s.
    let elapsed = started_at.elapsed().as_millis();
    assert!((3_000..4_500).contains(&elapsed), "{elapsed} ms");
    assert_eq!(upstream.requests(), 1);
}

/// No other upstream could continue the stream, so its slow events are waited for.
#[tokio::test]
async fn a_slow_stream_is_not_interrupted_while_no_upstream_is_better() {
    let mut script = vec![send(CHUNKED_HEAD)];
    for id in 1..4 {
        script.push(send(&chunk(&event(id))));
        if id < 3 {
            script.push(Step::Wait(Duration::from_millis(1_300)));
        }
    }
    script.push(send("0\r\n\r\n"));
    let (store, upstream) = site("engine", script).await;
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance
        .send(Turn::first("advice", "t1").request())
        .await
        .unwrap();
    assert!(reply.is_complete, "{}", reply.body);
    assert_eq!(event_ids(&reply), ["1", "2", "3"]);
    assert_eq!(upstream.requests(), 1);
}

/// The second copy of a response arrives when the connection is in use for another request.
#[tokio::test]
async fn a_late_second_copy_of_a_response_is_not_sent_to_another_caller() {
    let response = "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-signature: sig\r\n\
                    content-length: 6\r\n\r\n{id}-ok";
    for wait_ms in [0, 1, 20] {
        let copy = vec![
            send(response),
            Step::Wait(Duration::from_millis(wait_ms)),
            send(response),
        ];
        let (store, _upstream) = site("app", copy).await;
        let instance = Instance::spawn(&store, "a").await;
        for number in 0..30 {
            let id = format!("t{number:02}");
            let reply = instance.send(plain_request("pay", &id)).await.unwrap();
            if reply.status.is_success() {
                assert_eq!(reply.body, format!("{id}-ok"));
                assert_eq!(reply.header("attempt-id"), Some(&*id));
            }
        }
    }
}

/// A response breaks off in every way in which HTTP/1.1 can delimit its body.
#[tokio::test]
async fn a_truncated_response_does_not_look_complete() {
    let with_length = "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-signature: sig\r\n\
                       content-length: 100\r\n\r\nhalf of it";
    let chunked = [CHUNKED_HEAD, "64\r\nhalf of it"].concat();
    let unfinished_chunks = [CHUNKED_HEAD, &chunk("half of it")].concat();
    let without_length = [HEAD, "half of it"].concat();
    for text in [with_length, &chunked, &unfinished_chunks, &without_length] {
        let script = vec![
            send(text),
            Step::Wait(Duration::from_millis(50)),
            Step::Reset,
        ];
        let (store, _upstream) = site("app", script).await;
        let instance = Instance::spawn(&store, "a").await;
        for route in ["pay", "read"] {
            let reply = instance.send(plain_request(route, "t1")).await.unwrap();
            assert!(!reply.status.is_success(), "{route} {text}: {reply:?}");
        }
    }
}

/// A stream is reset within its last event, or closed within it.
#[tokio::test]
async fn a_stream_that_ends_within_an_event_does_not_look_complete() {
    let events = event(1) + "id: 2\ndata: t";
    let in_chunks = [CHUNKED_HEAD, &chunk(&events)].concat();
    let whole_chunks = [CHUNKED_HEAD, &chunk(&events), "0\r\n\r\n"].concat();
    let without_length = [HEAD, &events].concat();
    for text in [in_chunks, whole_chunks, without_length] {
        let script = vec![
            send(&text),
            Step::Wait(Duration::from_millis(50)),
            Step::Reset,
        ];
        let (store, _upstream) = site("engine", script).await;
        let instance = Instance::spawn(&store, "a").await;
        for route in ["chat", "advice"] {
            let reply = instance
                .send(Turn::first(route, "t1").request())
                .await
                .unwrap();
            assert_eq!(event_ids(&reply)[0], "1");
            assert!(!reply.is_complete, "{route} {text}: {reply:?}");
            assert!(!reply.body.contains("data: t\n"), "{reply:?}");
        }
    }
}

/// Callers send large bodies at the same time. Beyond the memory for them, requests are rejected
/// as not run, and small requests are served afterwards.
#[tokio::test]
async fn large_bodies_at_once_do_not_fill_the_memory() {
    let store = Store::spawn();
    configure_body_limit(&store, 3, 4 * 1_024 * 1_024);
    let slow = Behaviour::Respond {
        events: 1,
        interval_ms: 500,
    };
    let upstream = Upstream::spawn(&store, "i-1", "app", slow);
    let instance = Instance::spawn(&store, "a").await;
    let requests = (0..60).map(|number| {
        let request = Request::post("/pay/x")
            .header("host", "a.example")
            .header("attempt-id", format!("t{number}"))
            .header("deadline-ms", "8000")
            .body(Full::from(vec![b'x'; 4 * 1_024 * 1_024]));
        instance.send(request.unwrap())
    });
    let replies = futures_util::future::join_all(requests);
    let (replies, peak_mb) = instance.peak_resident_mb(replies).await;
    assert!(peak_mb < MAX_RESIDENT_MB, "{peak_mb} MB");
    let unanswered = replies.iter().filter(|reply| reply.is_none());
    assert_eq!(unanswered.count(), 0);
    let rejected = replies.iter().flatten();
    let rejected = rejected.filter(|reply| reply.status == StatusCode::SERVICE_UNAVAILABLE);
    assert!(rejected.count() > 0, "{peak_mb} MB");
    assert!(!upstream.requests().is_empty());
    let reply = instance.send(plain_request("pay", "small")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

/// A refusal is written once more when its connection is in use for the next request, which the
/// upstream runs. That request is not told to be not run, and runs nowhere else.
#[tokio::test]
async fn a_refusal_that_is_repeated_is_no_refusal_of_the_next_request() {
    let with_id = "attempt-id: {id}\r\n";
    for (status, id) in [
        ("503 Service Unavailable", ""),
        ("503 Service Unavailable", with_id),
        ("421 Misdirected Request", ""),
        ("421 Misdirected Request", with_id),
    ] {
        let refusal =
            format!("HTTP/1.1 {status}\r\n{id}not-executed: 1\r\ncontent-length: 0\r\n\r\n");
        let script = vec![
            send(&refusal),
            Step::Wait(Duration::from_millis(60)),
            send(&refusal),
        ];
        let (store, faulty) = site("app", script).await;
        let instance = Instance::spawn(&store, "a").await;
        let first = instance.send(plain_request("pay", "t1")).await.unwrap();
        assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE, "{refusal}");
        let healthy = Upstream::spawn(&store, "i-2", "app", IMMEDIATE_RESPONSE);
        let second = instance.send(plain_request("pay", "t2")).await.unwrap();
        if faulty.attempts().contains(&"t2".to_owned()) {
            assert_eq!(second.status, StatusCode::BAD_GATEWAY, "{refusal}");
            assert!(healthy.requests().is_empty(), "{refusal}");
        }
    }
}

/// Bytes that belong to no request follow a complete answer when the connection is in use for the next
/// request, which the upstream runs. Guards against their status as the answer to it.
#[tokio::test]
async fn bytes_after_a_complete_answer_are_no_answer_to_the_next_request() {
    for status in [
        "503 Service Unavailable",
        "429 Too Many Requests",
        "408 Request Timeout",
        "404 Not Found",
        "500 Internal Server Error",
    ] {
        let answer = "HTTP/1.1 200 OK\r\nattempt-id: {id}\r\nserver-signature: sig\r\n\
                      content-length: 2\r\n\r\nok";
        let additional = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        let script = vec![
            send(answer),
            Step::Wait(Duration::from_millis(60)),
            send(&additional),
        ];
        let (store, faulty) = site("app", script).await;
        let instance = Instance::spawn(&store, "a").await;
        let first = instance.send(plain_request("pay", "t1")).await.unwrap();
        assert_eq!(first.status, StatusCode::OK, "{status}");
        let second = instance.send(plain_request("pay", "t2")).await.unwrap();
        assert!(faulty.attempts().contains(&"t2".to_owned()), "{status}");
        assert_eq!(second.status, StatusCode::BAD_GATEWAY, "{status}");
    }
}

/// Guards against a status that promises that a request has not run, from an upstream that does not say so.
#[tokio::test]
async fn a_refusal_without_proof_is_not_passed_on() {
    for status in [
        "503 Service Unavailable",
        "429 Too Many Requests",
        "408 Request Timeout",
    ] {
        let answer = format!(
            "HTTP/1.1 {status}\r\nattempt-id: {{id}}\r\nserver-signature: sig\r\n\
             content-length: 0\r\n\r\n"
        );
        let (store, faulty) = site("app", vec![send(&answer)]).await;
        let instance = Instance::spawn(&store, "a").await;
        let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{status}");
        assert_eq!(faulty.requests(), 1, "{status}");
    }
}

/// The same on the first connection: nothing earlier can have been written there.
#[tokio::test]
async fn a_refusal_on_a_new_connection_is_proof_also_without_an_id() {
    let refusal = "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\n\
                   connection: close\r\ncontent-length: 0\r\n\r\n";
    let (store, _full) = site("app", vec![send(refusal)]).await;
    let _healthy = Upstream::spawn(&store, "i-2", "app", IMMEDIATE_RESPONSE);
    let instance = Instance::spawn(&store, "a").await;
    for number in 0..6 {
        let request = plain_request("pay", &format!("t{number}"));
        let reply = instance.send(request).await.unwrap();
        assert_eq!(reply.body, "done by i-2");
    }
}

/// Answers a stream that is taken up with an error, after the first upstream broke off.
async fn site_with_error(first: Vec<Step>, error: Vec<Step>) -> (Store, [ScriptedUpstream; 2]) {
    let (store, broken) = site("engine", first).await;
    let failing = ScriptedUpstream::spawn(&store, "i-2", "engine", error).await;
    (store, [broken, failing])
}

/// A stream has begun and breaks off; the next upstream answers with an error. The caller gets
/// nothing of the error, and the stream does not look complete.
#[tokio::test]
async fn an_error_is_never_a_part_of_a_stream() {
    let head = |framing: &str| {
        format!(
            "HTTP/1.1 500 Internal Server Error\r\nattempt-id: {{id}}\r\nserver-signature: sig\r\n\
             {framing}\r\n"
        )
    };
    let text = "data: oops\n\nid: 9\ndata: all failed\n\n";
    let with_length = head(&format!("content-length: {}\r\n", text.len())) + text;
    let in_chunks = head("transfer-encoding: chunked\r\n") + &chunk(text) + "0\r\n\r\n";
    let without_length = head("connection: close\r\n") + text;
    let empty = head("content-length: 0\r\n");
    let unsigned = "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 4\r\n\r\noops".to_owned();
    let no_answer = "oops, not HTTP at all\r\n\r\n".to_owned();
    for error in [
        with_length,
        in_chunks,
        without_length,
        empty,
        unsigned,
        no_answer,
    ] {
        let first = vec![
            send(CHUNKED_HEAD),
            send(&chunk(&(event(1) + "id: 2\nda"))),
            Step::Wait(Duration::from_millis(30)),
            Step::Reset,
        ];
        let (store, upstreams) = site_with_error(
            first,
            vec![
                send(&error),
                Step::Wait(Duration::from_millis(50)),
                Step::Reset,
            ],
        )
        .await;
        let instance = Instance::spawn(&store, "a").await;
        for number in 0..4 {
            let attempt = format!("t{number}");
            let reply = instance.send(Turn::first("advice", &attempt).request());
            let reply = reply.await.unwrap();
            assert!(!reply.body.contains("HTTP"), "{error}: {reply:?}");
            if reply.status.is_success() {
                assert!(!reply.body.contains("oops"), "{error}: {reply:?}");
                assert_eq!(event_ids(&reply), ["1"], "{error}");
                assert!(!reply.is_complete, "{error}: {reply:?}");
            }
        }
        assert!(upstreams.iter().all(|upstream| upstream.requests() > 0));
    }
}

/// An upstream writes a whole error into the body of its stream, which has no length.
#[tokio::test]
async fn an_answer_within_a_stream_breaks_it_off() {
    let error = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
    for text in [error.to_owned(), format!("{error}oops\n\n")] {
        let script = vec![
            send(HEAD),
            send(&event(1)),
            Step::Wait(Duration::from_millis(30)),
            send(&text),
        ];
        let (store, _upstream) = site("engine", script).await;
        let instance = Instance::spawn(&store, "a").await;
        for route in ["advice", "chat"] {
            let reply = instance.send(Turn::first(route, "t1").request());
            let reply = reply.await.unwrap();
            assert!(!reply.body.contains("HTTP"), "{route}: {reply:?}");
            assert!(!reply.is_complete, "{route}: {reply:?}");
        }
    }
}

/// Guards against an answer whose status HTTP does not have (RFC 9110, 15), or an interim one in the place of
/// the final answer. A request that has run is not refused with a promise in its place.
#[tokio::test]
async fn a_status_that_http_does_not_have_is_no_answer() {
    for status in [
        "000", "099", "101", "600", "700", "999", "1000", "20", "abc", "",
    ] {
        for service in ["app", "engine"] {
            let answer = format!(
                "HTTP/1.1 {status} Odd\r\nattempt-id: {{id}}\r\nserver-signature: sig\r\n\
                 content-length: 3\r\n\r\nodd"
            );
            let (store, faulty) = site(service, vec![send(&answer)]).await;
            let instance = Instance::spawn(&store, "a").await;
            let requests = match service {
                "app" => vec![plain_request("pay", "pay"), plain_request("read", "read")],
                _ => vec![
                    Turn::first("chat", "chat").request(),
                    Turn::first("advice", "advice").request(),
                ],
            };
            for request in requests {
                let context = format!("{status}, {}", request.uri());
                let reply = instance.send(request).await.unwrap();
                assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{context}");
                assert_eq!(reply.body, "", "{context}");
                assert_eq!(reply.header("server-signature"), None, "{context}");
            }
            assert_eq!(faulty.requests(), 2, "{status}");
        }
    }
}

/// Where the request may be repeated, the answer of another upstream is passed on.
#[tokio::test]
async fn a_repeatable_request_goes_elsewhere_after_a_status_that_http_does_not_have() {
    let answer = "HTTP/1.1 999 Odd\r\nattempt-id: {id}\r\nserver-signature: sig\r\n\
         content-length: 0\r\n\r\n";
    let (store, faulty) = site("app", vec![send(answer)]).await;
    let _sound = Upstream::spawn(&store, "i-9", "app", IMMEDIATE_RESPONSE);
    let instance = Instance::spawn(&store, "a").await;
    for number in 0..20 {
        let reply = instance
            .send(plain_request("read", &format!("t{number}")))
            .await;
        assert_eq!(reply.unwrap().status, StatusCode::OK, "{number}");
    }
    assert!(faulty.requests() > 0);
}
