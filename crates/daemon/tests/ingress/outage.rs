//! The store is away, slow, or loses answers.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::Mode;
use http::StatusCode;

use crate::support::{ANSWERS, Instance, Turn, plain, site, until};

fn turn(attempt: &str) -> Turn<'_> {
    Turn {
        route: "advice",
        attempt,
        program: attempt,
        previous: None,
        budget: 1_000,
        most: 100,
        input: "question",
    }
}

/// Waits until the balancer would have sent callers to other instances.
async fn outlast_balancer(instance: &Instance) {
    until("the outage is noticed", || async {
        (!instance.events("E0711").is_empty()).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(2_100)).await;
}

#[tokio::test]
async fn plain_calls_need_no_store() {
    let (store, _upstreams) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Unavailable);
    for index in 0..5 {
        let reply = instance
            .send(plain("pay", &format!("t{index}")))
            .await
            .unwrap();
        assert_eq!(reply.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn callers_are_sent_elsewhere_while_the_store_is_away() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Unavailable);
    until("the instance is not ready", || async {
        (!instance.is_ready().await).then_some(())
    })
    .await;
    let reply = instance.send(turn("t1").request()).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.header("connection"), Some("close"));
    assert!(upstream.requests().is_empty());
    store.set_mode(Mode::Up);
    until("the instance is ready", || async {
        instance.is_ready().await.then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_long_outage_is_waited_for() {
    let (store, _upstreams) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Unavailable);
    outlast_balancer(&instance).await;
    let request = turn("t1").request();
    let back = async {
        tokio::time::sleep(Duration::from_millis(800)).await;
        store.set_mode(Mode::Up);
    };
    let (reply, ()) = tokio::join!(instance.send(request), back);
    assert_eq!(reply.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn what_is_held_in_vain_is_refused_before_its_deadline() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Unresponsive);
    until("the instance is not ready", || async {
        (!instance.is_ready().await).then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(2_200)).await;
    let began = Instant::now();
    let reply = instance.send(turn("t1").request()).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.retry_after().is_some());
    assert!(
        began.elapsed() < Duration::from_millis(3_000),
        "{:?}",
        began.elapsed()
    );
    assert!(upstream.requests().is_empty());
}

#[tokio::test]
async fn a_slow_store_is_no_store_that_is_away() {
    let (store, _upstreams) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Slow(250));
    for index in 0..4 {
        let name = format!("t{index}");
        let reply = instance.send(turn(&name).request()).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.is_whole);
    }
}

#[tokio::test]
async fn a_grant_whose_answer_is_lost_is_found_again() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::LosesResponses);
    let reply = instance.send(turn("t1").request()).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.is_whole);
    assert_eq!(upstream.requests().len(), 1);
    assert_eq!(store.row_count("program"), 1);
}

/// Endings of the names of all parts but that of the feeds.
const ALL_PARTS: [char; 16] = [
    '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f',
];

/// Calls fail while the feeds' polls wait, and no caller comes after them.
#[tokio::test]
async fn an_instance_without_callers_learns_that_the_store_is_back() {
    let (store, _upstreams) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_unavailable_partitions(&ALL_PARTS);
    let began = Instant::now();
    let mut index = 0;
    while began.elapsed() < Duration::from_millis(600) {
        let attempt = format!("t{index}");
        index += 1;
        let reply = instance.send(turn(&attempt).request()).await.unwrap();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    store.set_unavailable_partitions(&[]);
    until("the instance is ready", || async {
        instance.is_ready().await.then_some(())
    })
    .await;
}

/// Half of the parts are away; an instance that left for that would help nobody.
#[tokio::test]
async fn parts_that_are_away_hold_back_their_own_turns_alone() {
    let (store, _upstreams) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_unavailable_partitions(&ALL_PARTS[..8]);
    let names: Vec<_> = (0..40).map(|index| format!("t{index}")).collect();
    let sent = names.iter().map(|name| instance.send(turn(name).request()));
    let replies = futures_util::future::join_all(sent).await;
    assert!(instance.is_ready().await);
    let count = |status| {
        let replies = replies.iter().flatten();
        replies.filter(|reply| reply.status == status).count()
    };
    let served = count(StatusCode::OK);
    assert!((5..35).contains(&served), "{served} of 40 served");
    assert_eq!(served + count(StatusCode::SERVICE_UNAVAILABLE), 40);
    let (reads, _) = store.call_counts();
    assert!(reads < 400, "{reads} reads for 40 turns");
    store.set_unavailable_partitions(&[]);
    let held = names.iter().zip(&replies).find(|(_, reply)| {
        let reply = reply.as_ref();
        reply.is_some_and(|reply| reply.status != StatusCode::OK)
    });
    let again = turn(held.unwrap().0).request();
    assert_eq!(instance.send(again).await.unwrap().status, StatusCode::OK);
}
