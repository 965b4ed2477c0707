//! An instance that may have an older configuration than others says nothing for certain that a newer one
//! could contradict.

use std::time::Duration;

use basilramp_fakes::relay::{self, Cut, Door};
use basilramp_fakes::user_platform::{Store, Upstream};
use http::StatusCode;

use crate::support::{IMMEDIATE_RESPONSE, Instance, Turn, configure, configure_prefix, wait_for};

/// How the store fails for an instance.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// It rejects the calls, which the instance has noticed.
    Rejects,
    /// It has just fallen silent.
    Silent,
}

/// A version adds a route whose turns are retained, below the prefix of another route (`is_below`) or
/// beside all others. A turn that continues one from there arrives at an instance without that version.
async fn check_continued_turn(failure: Failure, is_below: bool) {
    let store = Store::spawn();
    configure(&store, 3);
    let upstream = Upstream::spawn(&store, "i-1", "engine", IMMEDIATE_RESPONSE);
    let view = store.spawn_view(std::collections::BTreeMap::new());
    let link = relay::spawn(view.address());
    let informed = Instance::spawn(&store, "a").await;
    let older = Instance::spawn_ready_at(link.address(), "b").await;
    match failure {
        Failure::Rejects => {
            view.set_rejecting(true);
            older.wait_for_event("E0711").await;
        }
        Failure::Silent => {
            link.cut(Cut::Both);
            link.set_door(Door::Silent);
        }
    }
    let route = if is_below { "advice/chat" } else { "talk" };
    configure_prefix(&store, 5, "chat", &format!("/{route}/"));
    informed.wait_for_config(5).await;
    let first = Turn::first(route, "t1").request();
    assert_eq!(informed.send(first).await.unwrap().status, StatusCode::OK);
    let next = || Turn::chained(route, "t2", Some("t1"), "more").request();
    let reply = older.send(next()).await.unwrap();
    let context = format!("{failure:?}, below: {is_below}");
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{context}");
    assert!(reply.retry_after().is_some(), "{context}");
    let runs = upstream.requests();
    assert!(runs.iter().all(|run| run.attempt_id != "t2"), "{context}");
    view.set_rejecting(false);
    link.heal();
    wait_for("the turn goes on", || async {
        let reply = older.send(next()).await?;
        (reply.status == StatusCode::OK).then_some(())
    })
    .await;
    let runs = upstream.requests();
    let run = runs.iter().find(|run| run.attempt_id == "t2").unwrap();
    let body = String::from_utf8_lossy(&run.body);
    assert!(body.ends_with("t1\nt2\nt3\nmore"), "{context}: {body}");
}

/// Guards against a turn that runs without the turns before it.
#[tokio::test]
async fn a_turn_of_a_route_that_is_not_known_yet_does_not_run_alone() {
    tokio::join!(
        check_continued_turn(Failure::Rejects, true),
        check_continued_turn(Failure::Silent, true)
    );
}

/// Guards against 404 for a turn that continues an answered one.
#[tokio::test]
async fn a_turn_of_a_route_that_is_not_known_yet_is_not_denied() {
    tokio::join!(
        check_continued_turn(Failure::Rejects, false),
        check_continued_turn(Failure::Silent, false)
    );
}

/// With a store that answers, what no configuration allows is denied at once.
#[tokio::test]
async fn a_request_without_a_route_is_denied() {
    let store = Store::spawn();
    configure(&store, 3);
    let _upstream = Upstream::spawn(&store, "i-1", "engine", IMMEDIATE_RESPONSE);
    let instance = Instance::spawn(&store, "a").await;
    for previous in [None, Some("t1")] {
        let request = Turn::chained("talk", "t2", previous, "more").request();
        let began = std::time::Instant::now();
        let reply = instance.send(request).await.unwrap();
        assert_eq!(reply.status, StatusCode::NOT_FOUND);
        assert!(began.elapsed() < Duration::from_millis(500));
    }
}
