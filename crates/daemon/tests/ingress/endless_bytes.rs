//! Upstreams that send bytes without end to many callers at once: the memory of the instance stays within
//! its limit, and a sound service beside them is served.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Store, Upstream};
use http::StatusCode;

use crate::scripted_upstream::{HEAD, ScriptedUpstream, Step};
use crate::support::{IMMEDIATE_RESPONSE, Instance, Turn, configure, plain_request};

/// Memory limit of the instance in the tests, in MB.
const MEMORY_MB: u64 = 130;

/// Callers of the faulty service at the same time.
const CALLERS: usize = 80;

/// Time for which callers send requests.
const DURATION: Duration = Duration::from_secs(4);

/// Lets the upstreams of a service send `bytes` again and again after the heads of their responses.
async fn check(service: &str, bytes: String) {
    let store = Store::spawn();
    configure(&store, 3);
    let script = vec![
        Step::Send(HEAD.to_owned()),
        Step::SendForever {
            bytes,
            interval: Duration::ZERO,
        },
    ];
    let mut faulty = Vec::new();
    for number in 0..3 {
        let id = format!("i-{number}");
        faulty.push(ScriptedUpstream::spawn(&store, &id, service, script.clone()).await);
    }
    let (routes, sound_service) = if service == "engine" {
        (["advice", "chat", "varied"], "app")
    } else {
        (["read", "pay", "read"], "engine")
    };
    let _sound = Upstream::spawn(&store, "i-sound", sound_service, IMMEDIATE_RESPONSE);
    let instance = Instance::spawn(&store, "a").await;
    let end = Instant::now() + DURATION;
    let instance = &instance;
    let callers = (0..CALLERS).map(|number| async move {
        let mut count = 0;
        while Instant::now() < end {
            count += 1;
            let route = routes[number % 3];
            let attempt = format!("t{number}-{count}");
            let program = format!("p{number}-{count}");
            let turn = Turn {
                program: &program,
                ..Turn::first(route, &attempt)
            };
            let mut request = turn.request();
            if number % 2 == 0 {
                // Nothing tells how long the stream may be.
                request.headers_mut().remove("token-usage");
            }
            instance.send(request).await;
        }
    });
    let others = async {
        let (mut served, mut sent) = (0, 0);
        while Instant::now() < end {
            sent += 1;
            let attempt = format!("sound-{sent}");
            let request = if service == "engine" {
                plain_request("pay", &attempt)
            } else {
                let program = format!("sound-{sent}");
                let turn = Turn::first("advice", &attempt);
                Turn {
                    program: &program,
                    ..turn
                }
                .request()
            };
            let reply = instance.send(request).await;
            served += usize::from(reply.is_some_and(|reply| reply.status == StatusCode::OK));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        (served, sent)
    };
    let calls = futures_util::future::join(futures_util::future::join_all(callers), others);
    let ((_, (served, sent)), peak_mb) = instance.peak_resident_mb(calls).await;
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB");
    assert_eq!(served, sent);
}

/// An event that never ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_event_keeps_the_memory_limit() {
    check("engine", "data: x".repeat(10_000)).await;
}

/// Whole events that never stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_whole_events_keep_the_memory_limit() {
    let events = (1..2_000).map(|id| format!("id: {id}\ndata: t{id}\n\n"));
    check("engine", events.collect()).await;
}

/// Bodies of a plain service that never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_bodies_keep_the_memory_limit() {
    check("app", "x".repeat(64 * 1_024)).await;
}

/// Comments that never stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_comments_keep_the_memory_limit() {
    check("engine", ": comment\n\n".repeat(5_000)).await;
}
