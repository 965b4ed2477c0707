//! Discovery of the configuration and the upstreams from the store.

use std::time::Duration;

use basilramp_fakes::user_platform::{Behaviour, Store, Upstream};
use http::StatusCode;

use crate::support::{
    IMMEDIATE_RESPONSE, Instance, Turn, configure, plain_request, start_site, wait_for,
};

#[tokio::test]
async fn requests_get_503_before_the_first_configuration() {
    let store = Store::spawn();
    let instance = Instance::spawn_unready(&store, "a").await;
    assert!(!instance.is_ready().await);
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    configure(&store, 3);
    wait_for("the instance is ready", || async {
        instance.is_ready().await.then_some(())
    })
    .await;
}

/// An upstream reports nothing for a while, so its entry is removed. The stream that it runs goes on
/// there, and is neither repeated elsewhere nor given up.
#[tokio::test]
async fn a_stream_outlives_the_entry_of_its_upstream() {
    let slow = Behaviour::Respond {
        events: 12,
        interval_ms: 200,
    };
    for route in ["advice", "chat"] {
        let (store, upstreams) = start_site("engine", [slow; 2]);
        let instance = Instance::spawn(&store, "a").await;
        let turn = Turn {
            program: "p1",
            ..Turn::first(route, "t1")
        };
        let silence = async {
            let runs_at = |index: usize| !upstreams[index].requests().is_empty();
            let index = wait_for("the stream begins", || async {
                (0..2).find(|index| runs_at(*index))
            })
            .await;
            store.remove("servers", &format!("i-{}", index + 1));
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            upstreams[index].register(&store, "ready");
        };
        let (reply, ()) = tokio::join!(instance.send(turn.request()), silence);
        let reply = reply.unwrap();
        assert!(reply.is_complete, "{route}: {}", reply.body);
        let runs: usize = upstreams.iter().map(|up| up.requests().len()).sum();
        assert_eq!(runs, 1, "{route}");
    }
}

/// Guards against an instance that is ready with a configuration but without upstreams: on a busy
/// machine, one accepted requests before it had read any upstream.
#[tokio::test]
async fn an_instance_is_not_ready_before_it_has_read_the_upstreams() {
    let (store, _upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    store.block_reads(Some("servers"));
    let instance = Instance::spawn_unready(&store, "a").await;
    wait_for("the configuration is applied", || async {
        (!instance.events("E0721").is_empty()).then_some(())
    })
    .await;
    assert!(!instance.is_ready().await);
    store.block_reads(None);
    wait_for("the instance is ready", || async {
        instance.is_ready().await.then_some(())
    })
    .await;
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

#[tokio::test]
async fn an_older_configuration_is_ignored() {
    let (store, _upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    configure(&store, 2);
    configure(&store, 9);
    wait_for("version 9 is applied", || async {
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
async fn an_invalid_configuration_is_ignored() {
    let (store, _upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.put("op", "config", b"{\"version\": 99, \"routes\": 7}");
    wait_for("the invalid row is logged", || async {
        (!instance.events("E0714").is_empty()).then_some(())
    })
    .await;
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

#[tokio::test]
async fn invalid_upstream_entries_are_skipped() {
    let (store, [upstream]) = start_site("app", [IMMEDIATE_RESPONSE]);
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
            .send(plain_request("pay", &format!("t{index}")))
            .await
            .unwrap();
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert_eq!(upstream.requests().len(), 6);
}

/// Sends requests until an upstream has received none of the last 30. Returns the elapsed time.
async fn time_until_idle(instance: &Instance, upstream: &Upstream) -> Duration {
    let started_at = std::time::Instant::now();
    let mut idle_requests = 0;
    let mut index = 0;
    while idle_requests < 30 {
        let before = upstream.requests().len();
        index += 1;
        let reply = instance
            .send(plain_request("pay", &format!("q{index}")))
            .await
            .unwrap();
        assert_eq!(reply.status, StatusCode::OK);
        idle_requests = if upstream.requests().len() == before {
            idle_requests + 1
        } else {
            0
        };
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    started_at.elapsed()
}

#[tokio::test]
async fn a_draining_upstream_gets_no_new_work() {
    let (store, [draining, _stays]) = start_site("app", [IMMEDIATE_RESPONSE; 2]);
    let instance = Instance::spawn(&store, "a").await;
    draining.register(&store, "draining");
    assert!(time_until_idle(&instance, &draining).await < Duration::from_secs(2));
    assert!(!instance.events("E0732").is_empty());
}

#[tokio::test]
async fn an_upstream_removed_from_the_store_gets_no_new_work() {
    let (store, [removed, _stays]) = start_site("app", [IMMEDIATE_RESPONSE; 2]);
    let instance = Instance::spawn(&store, "a").await;
    store.remove("servers", "i-1");
    assert!(time_until_idle(&instance, &removed).await < Duration::from_secs(2));
}

#[tokio::test]
async fn changes_are_read_after_the_feed_history_has_expired() {
    let (store, [_first]) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.remove("servers", "i-1");
    store.discard_history();
    let second = Upstream::spawn(&store, "i-9", "app", IMMEDIATE_RESPONSE);
    wait_for("the new upstream is used", || async {
        instance.send(plain_request("read", "t1")).await;
        (!second.requests().is_empty()).then_some(())
    })
    .await;
}

/// Another writer left entries that no upstream writes, and writes them again and again. The instance
/// runs on, follows the others, and does not fill its log.
#[tokio::test]
async fn odd_entries_of_other_writers_do_not_end_an_instance_or_its_feed() {
    let (store, [first]) = start_site("app", [IMMEDIATE_RESPONSE]);
    let entry = |slots: &str, address: &str, born: &str| {
        format!(
            r#"{{"service": "app", "address": "{address}", "zone": "z1", "version": "v1",
                "slots": {slots}, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": {born}}}"#
        )
    };
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let odd = [
        nested(20_000),
        "{\"a\":".repeat(9_000),
        format!("{{\"service\": {}}}", nested(20_000)),
        entry("8", "127.0.0.1:9", "7")
            .replace("\"seq\": 1", &format!("\"seq\": {}", nested(9_000))),
        entry("99999999999999999999999999", "127.0.0.1:9", "7"),
        entry("1e999", "127.0.0.1:9", "7"),
        entry("-1", "127.0.0.1:9", "7"),
        entry("8", "127.0.0.1:70000", "7"),
        entry("8", "127.0.0.1:-1", "7"),
        entry("8", "127.0.0.1", "7"),
        entry("8", "127.0.0.1:9", "18446744073709551616"),
        entry("8", "127.0.0.1:9", "1.5e400"),
        "\u{0}\u{1}".to_owned(),
        String::new(),
    ];
    let write_all = || {
        for (index, text) in odd.iter().enumerate() {
            store.put("servers", &format!("odd-{index}"), text.as_bytes());
        }
        // A valid entry whose id can't be named in a request.
        let valid = entry("8", "127.0.0.1:9", "7");
        store.put("servers", "odd\u{7}\nid", valid.as_bytes());
    };
    write_all();
    let instance = Instance::spawn(&store, "a").await;
    for _ in 0..20 {
        write_all();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let _added = Upstream::spawn(&store, "i-2", "app", IMMEDIATE_RESPONSE);
    wait_for("the instance follows the entries", || async {
        let joined = instance.events("E0731");
        joined
            .iter()
            .any(|line| line["upstream"] == "i-2")
            .then_some(())
    })
    .await;
    first.register(&store, "draining");
    instance.wait_for_event("E0732").await;
    for number in 0..20 {
        let reply = instance.send(plain_request("pay", &format!("t{number}")));
        let reply = reply.await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{number}");
        assert_eq!(reply.body, "done by i-2", "{number}");
    }
    let joined = instance.events("E0731");
    assert!(
        joined
            .iter()
            .all(|line| !line["upstream"].as_str().unwrap().starts_with("odd"))
    );
    assert!(instance.events("E0708").is_empty());
    assert!(instance.is_ready().await);
}
