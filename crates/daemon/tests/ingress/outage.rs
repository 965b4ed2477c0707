//! The store is unavailable or slow, or loses responses.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::Mode;
use http::StatusCode;

use crate::support::{IMMEDIATE_RESPONSE, Instance, Turn, plain_request, start_site, wait_for};

fn turn(attempt: &str) -> Turn<'_> {
    Turn::first("advice", attempt)
}

/// Waits until the instance has detected the outage and the load balancer would have moved its
/// callers to other instances.
async fn wait_for_balancer(instance: &Instance) {
    wait_for("the outage is logged", || async {
        (!instance.events("E0711").is_empty()).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(2_100)).await;
}

#[tokio::test]
async fn plain_requests_are_served_during_a_store_outage() {
    let (store, _upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Unavailable);
    for index in 0..5 {
        let reply = instance
            .send(plain_request("pay", &format!("t{index}")))
            .await
            .unwrap();
        assert_eq!(reply.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn an_instance_is_not_ready_and_closes_connections_during_a_store_outage() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Unavailable);
    wait_for("the instance is not ready", || async {
        (!instance.is_ready().await).then_some(())
    })
    .await;
    let reply = instance.send(turn("t1").request()).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.header("connection"), Some("close"));
    assert!(upstream.requests().is_empty());
    store.set_mode(Mode::Up);
    wait_for("the instance is ready", || async {
        instance.is_ready().await.then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_turn_waits_for_the_end_of_a_long_outage() {
    let (store, _upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Unavailable);
    wait_for_balancer(&instance).await;
    let request = turn("t1").request();
    let recovery = async {
        tokio::time::sleep(Duration::from_millis(800)).await;
        store.set_mode(Mode::Up);
    };
    let (reply, ()) = tokio::join!(instance.send(request), recovery);
    assert_eq!(reply.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn a_waiting_turn_is_rejected_before_its_deadline() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Unresponsive);
    wait_for("the instance is not ready", || async {
        (!instance.is_ready().await).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    let started_at = Instant::now();
    let reply = instance.send(turn("t1").request()).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.retry_after().is_some());
    assert!(
        started_at.elapsed() < Duration::from_millis(3_000),
        "{:?}",
        started_at.elapsed()
    );
    assert!(upstream.requests().is_empty());
}

#[tokio::test]
async fn a_slow_store_is_not_treated_as_unavailable() {
    let (store, _upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Slow(250));
    for index in 0..4 {
        let name = format!("t{index}");
        let reply = instance.send(turn(&name).request()).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.is_complete);
    }
}

#[tokio::test]
async fn a_token_grant_with_a_lost_response_is_read_back() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::LosesResponses);
    let reply = instance.send(turn("t1").request()).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.is_complete);
    assert_eq!(upstream.requests().len(), 1);
    assert_eq!(store.row_count("program"), 1);
}

/// Last characters of the names of all store partitions except the one of the feeds.
const ALL_PARTITIONS: [char; 16] = [
    '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f',
];

/// Calls to the store fail while the long polls of the feeds wait, and no caller sends a request
/// afterwards. Without requests only the feeds can report that the store is available again.
#[tokio::test]
async fn an_idle_instance_detects_that_the_store_is_available_again() {
    let (store, _upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_unavailable_partitions(&ALL_PARTITIONS);
    let started_at = Instant::now();
    let mut index = 0;
    while started_at.elapsed() < Duration::from_millis(600) {
        let attempt = format!("t{index}");
        index += 1;
        let reply = instance.send(turn(&attempt).request()).await.unwrap();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    store.set_unavailable_partitions(&[]);
    wait_for("the instance is ready", || async {
        instance.is_ready().await.then_some(())
    })
    .await;
}

/// With half of the store partitions unavailable, the instance stays ready: all instances share the
/// store, so the load balancer has no better one.
#[tokio::test]
async fn unavailable_partitions_reject_only_their_own_turns() {
    let (store, _upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_unavailable_partitions(&ALL_PARTITIONS[..8]);
    let names: Vec<_> = (0..40).map(|index| format!("t{index}")).collect();
    let sent = names.iter().map(|name| instance.send(turn(name).request()));
    let replies = futures_util::future::join_all(sent).await;
    assert!(instance.is_ready().await);
    let count = |status| {
        let replies = replies.iter().flatten();
        replies.filter(|reply| reply.status == status).count()
    };
    let served = count(StatusCode::OK);
    assert!((5..35).contains(&served), "{served} of 40 turns served");
    assert_eq!(served + count(StatusCode::SERVICE_UNAVAILABLE), 40);
    let (reads, _) = store.call_counts();
    assert!(reads < 400, "{reads} reads for 40 turns");
    store.set_unavailable_partitions(&[]);
    let rejected = names.iter().zip(&replies).find(|(_, reply)| {
        let reply = reply.as_ref();
        reply.is_some_and(|reply| reply.status != StatusCode::OK)
    });
    let resent = turn(rejected.unwrap().0).request();
    assert_eq!(instance.send(resent).await.unwrap().status, StatusCode::OK);
}
