//! Configuration and upstreams, as the store tells of them.

use std::time::Duration;

use basilramp_fakes::user_platform::{Store, Upstream};
use http::StatusCode;

use crate::support::{ANSWERS, Instance, configure, plain, site, until};

#[tokio::test]
async fn without_a_configuration_nothing_is_denied() {
    let store = Store::spawn();
    let instance = Instance::spawn_unready(&store, "a").await;
    assert!(!instance.is_ready().await);
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    configure(&store, 3);
    until("the instance is ready", || async {
        instance.is_ready().await.then_some(())
    })
    .await;
}

/// Found by CI on a busy machine: an instance took requests before it knew any upstream.
#[tokio::test]
async fn without_the_upstreams_an_instance_is_not_ready() {
    let (store, _upstreams) = site("app", [ANSWERS]);
    store.block_reads(Some("servers"));
    let instance = Instance::spawn_unready(&store, "a").await;
    until("the configuration is in force", || async {
        (!instance.events("E0721").is_empty()).then_some(())
    })
    .await;
    assert!(!instance.is_ready().await);
    store.block_reads(None);
    until("the instance is ready", || async {
        instance.is_ready().await.then_some(())
    })
    .await;
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

#[tokio::test]
async fn an_older_configuration_is_passed_over() {
    let (store, _upstreams) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    configure(&store, 2);
    configure(&store, 9);
    until("version 9 is in force", || async {
        let events = instance.events("E0721");
        events
            .iter()
            .any(|event| event["version"] == 9)
            .then_some(())
    })
    .await;
    assert!(
        instance
            .events("E0721")
            .iter()
            .all(|event| event["version"] != 2)
    );
}

#[tokio::test]
async fn a_faulty_configuration_changes_nothing() {
    let (store, _upstreams) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.put("op", "config", b"{\"version\": 99, \"routes\": 7}");
    until("the row is logged", || async {
        (!instance.events("E0714").is_empty()).then_some(())
    })
    .await;
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

#[tokio::test]
async fn a_faulty_entry_names_no_upstream_and_the_others_hold() {
    let (store, [upstream]) = site("app", [ANSWERS]);
    let entries: [&[u8]; 4] = [
        b"\xff\xfe",
        b"{}",
        b"{\"service\":\"app\",\"address\":7,\"zone\":\"z1\",\"slots\":8,\"state\":\"ready\"}",
        b"{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\",\"slots\":8,\"state\":\"odd\"}",
    ];
    for (index, entry) in entries.into_iter().enumerate() {
        store.put("servers", &format!("bad-{index}"), entry);
    }
    let instance = Instance::spawn(&store, "a").await;
    for index in 0..6 {
        let reply = instance
            .send(plain("pay", &format!("t{index}")))
            .await
            .unwrap();
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert_eq!(upstream.requests().len(), 6);
}

/// Sends requests until an upstream gets none any more; returns how long it took.
async fn until_left(instance: &Instance, upstream: &Upstream) -> Duration {
    let began = std::time::Instant::now();
    let mut quiet = 0;
    let mut index = 0;
    while quiet < 30 {
        let before = upstream.requests().len();
        index += 1;
        let reply = instance
            .send(plain("pay", &format!("q{index}")))
            .await
            .unwrap();
        assert_eq!(reply.status, StatusCode::OK);
        quiet = if upstream.requests().len() == before {
            quiet + 1
        } else {
            0
        };
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    began.elapsed()
}

#[tokio::test]
async fn an_upstream_that_leaves_gets_no_new_work() {
    let (store, [leaving, _stays]) = site("app", [ANSWERS; 2]);
    let instance = Instance::spawn(&store, "a").await;
    leaving.register(&store, "draining");
    assert!(until_left(&instance, &leaving).await < Duration::from_secs(2));
    assert!(!instance.events("E0732").is_empty());
}

#[tokio::test]
async fn an_upstream_without_an_entry_gets_no_new_work() {
    let (store, [gone, _stays]) = site("app", [ANSWERS; 2]);
    let instance = Instance::spawn(&store, "a").await;
    store.remove("servers", "i-1");
    assert!(until_left(&instance, &gone).await < Duration::from_secs(2));
}

#[tokio::test]
async fn changes_are_found_after_the_history_is_gone() {
    let (store, [_first]) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.remove("servers", "i-1");
    store.discard_history();
    let second = Upstream::spawn(&store, "i-9", "app", ANSWERS);
    until("the new upstream is used", || async {
        instance.send(plain("read", "t1")).await;
        (!second.requests().is_empty()).then_some(())
    })
    .await;
}
