//! Upstreams of several software versions in one service: what one version began can't go on at
//! another.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Behaviour, Mode, RequestRecord, Store, Upstream};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::support::{IMMEDIATE_RESPONSE, Instance, Reply, Turn, configure, wait_for};

fn turn(attempt: &str) -> Request<Full<Bytes>> {
    Turn::first("advice", attempt).request()
}

/// Returns a stream's request that belongs to no program, so that it needs no budget.
fn stream(attempt: &str) -> Request<Full<Bytes>> {
    let mut request = turn(attempt);
    for name in [
        "program-id",
        "session-id",
        "program-deadline-ms",
        "token-budget",
    ] {
        request.headers_mut().remove(name);
    }
    request
}

/// Returns the request with which a caller takes up the stream of an attempt after an event.
fn resumption(attempt: &str, begun_by: &str, after: u64) -> Request<Full<Bytes>> {
    let mut request = stream(attempt);
    let headers = request.headers_mut();
    headers.insert("resumes", begun_by.parse().unwrap());
    headers.insert("last-event-id", after.into());
    request
}

/// Returns whether a run goes on after an earlier event.
fn is_continuation(run: &&RequestRecord) -> bool {
    run.last_event.is_some()
}

fn continuations(upstream: &Upstream) -> usize {
    upstream.requests().iter().filter(is_continuation).count()
}

/// Starts a store and upstreams `i-1`, `i-2` and so on of service `engine`, each with its version.
fn start_versions<const N: usize>(versions: [(&str, Behaviour); N]) -> (Store, [Upstream; N]) {
    let store = Store::spawn();
    configure(&store, 3);
    let mut index = 0;
    let upstreams = versions.map(|(version, behaviour)| {
        index += 1;
        Upstream::spawn_version(&store, &format!("i-{index}"), "engine", version, behaviour)
    });
    (store, upstreams)
}

/// A stream breaks within a response: it goes on at its version, or not at all.
#[tokio::test]
async fn a_broken_stream_never_goes_on_at_another_version() {
    let breaks = Behaviour::BreaksOff(2);
    let (store, [old, new]) = start_versions([("v1", breaks), ("v2", breaks)]);
    let instance = Instance::spawn(&store, "a").await;
    for number in 0..12 {
        let reply = instance.send(turn(&format!("t{number}"))).await;
        let is_served = |reply: Reply| reply.status == StatusCode::OK && reply.is_complete;
        assert!(!reply.is_some_and(is_served));
    }
    assert_eq!(continuations(&old) + continuations(&new), 0);
    let partner = Upstream::spawn_version(&store, "i-3", "engine", "v1", IMMEDIATE_RESPONSE);
    wait_for("a stream goes on at its version", || async {
        let attempt = format!("u{}", rand::random::<u32>());
        instance.send(turn(&attempt)).await;
        (continuations(&partner) > 0).then_some(())
    })
    .await;
    assert_eq!(continuations(&new), 0);
}

/// An instance is killed in the middle of a stream, and the caller takes the stream up at another
/// instance.
#[tokio::test]
async fn a_stream_is_taken_up_only_at_the_version_that_began_it() {
    let slow = Behaviour::Respond {
        events: 6,
        interval_ms: 100,
    };
    let (store, upstreams) =
        start_versions([("v1", slow), ("v2", slow), ("v1", slow), ("v2", slow)]);
    let survivor = Instance::spawn(&store, "b").await;
    for round in 0..4 {
        let victim = Instance::spawn(&store, "a").await;
        let attempt = format!("t{round}");
        let runs = |attempt: &str| {
            let attempt = attempt.to_owned();
            let ran = |upstream: &Upstream| {
                let requests = upstream.requests();
                requests.iter().any(|run| run.attempt_id == attempt)
            };
            upstreams.iter().position(ran)
        };
        let (reply, first) = tokio::join!(victim.send(turn(&attempt)), async {
            let first = wait_for("the stream begins", || async { runs(&attempt) }).await;
            tokio::time::sleep(Duration::from_millis(250)).await;
            victim.signal("KILL");
            first
        });
        assert!(!reply.unwrap().is_complete);
        let taken_up = format!("u{round}");
        let reply = survivor.send(resumption(&taken_up, &attempt, 2)).await;
        let reply = reply.unwrap();
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.is_complete);
        let second = runs(&taken_up).unwrap();
        // Upstreams of the same version have the same parity.
        assert_eq!(
            first % 2,
            second % 2,
            "begun at {first}, went on at {second}"
        );
    }
}

/// The last upstream of the version has left: waiting would not help.
#[tokio::test]
async fn a_stream_without_its_version_is_rejected_at_once() {
    let (store, [old]) = start_versions([("v1", IMMEDIATE_RESPONSE)]);
    let instance = Instance::spawn(&store, "a").await;
    let reply = instance.send(turn("t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    let new = Upstream::spawn_version(&store, "i-2", "engine", "v2", IMMEDIATE_RESPONSE);
    wait_for("the new version serves", || async {
        let joined = instance.events("E0731");
        joined
            .iter()
            .any(|line| line["version"] == "v2")
            .then_some(())
    })
    .await;
    old.register(&store, "draining");
    instance.wait_for_event("E0732").await;
    let sent_at = Instant::now();
    let reply = instance.send(resumption("u1", "t1", 1)).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.retry_after().is_some_and(|seconds| seconds > 0.0));
    assert!(sent_at.elapsed() < Duration::from_secs(1));
    assert!(new.requests().is_empty());
}

/// Without a record, a stream may belong to either version; without the store, nothing is known.
#[tokio::test]
async fn a_stream_of_unknown_version_is_not_taken_up() {
    for mode in [Mode::Up, Mode::Unavailable] {
        let (store, upstreams) =
            start_versions([("v1", IMMEDIATE_RESPONSE), ("v2", IMMEDIATE_RESPONSE)]);
        let instance = Instance::spawn(&store, "a").await;
        store.set_mode(mode);
        let reply = instance.send(resumption("u1", "t1", 1)).await.unwrap();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{mode:?}");
        assert!(reply.retry_after().is_some_and(|seconds| seconds > 0.0));
        assert!(
            upstreams
                .iter()
                .all(|upstream| upstream.requests().is_empty())
        );
    }
}

/// An instance that is killed after the first event can't tell the version any more.
#[tokio::test]
async fn the_version_is_stored_before_the_first_event() {
    let slow = Behaviour::Respond {
        events: 2,
        interval_ms: 50,
    };
    let (store, _upstreams) = start_versions([("v1", slow), ("v2", slow)]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Slow(200));
    let sent = tokio::join!(instance.send(turn("t1")), async {
        wait_for("the version is stored", || async {
            (store.row_count("stream") == 1).then_some(())
        })
        .await;
    });
    assert!(sent.0.unwrap().is_complete);
    // Without the record, no event is sent.
    let reply = tokio::join!(instance.send(turn("t2")), async {
        tokio::time::sleep(Duration::from_millis(20)).await;
        store.set_mode(Mode::Unavailable);
    });
    let reply = reply.0.unwrap();
    assert!(reply.status.is_server_error());
    assert!(reply.body.is_empty());
}

/// Longer than the time for which the configuration's streams and the requests that take them up last.
const SPAN: Duration = Duration::from_millis(8_500);

/// An instance without the store begins streams at upstreams that it alone still uses. An instance that
/// has started since then must not take these streams for ones of the only version that it knows.
#[tokio::test]
async fn a_stream_begun_without_the_store_does_not_go_on_at_a_version_that_came_later() {
    let slow = Behaviour::Respond {
        events: 60,
        interval_ms: 100,
    };
    let (store, [old]) = start_versions([("v1", slow)]);
    let view = store.spawn_view(BTreeMap::new());
    let cut_off = Instance::spawn_ready_at(view.address(), "a").await;
    let restarted = Instance::spawn(&store, "b").await;
    tokio::time::sleep(SPAN).await;
    view.set_rejecting(true);
    cut_off.wait_for_event("E0711").await;
    let new = Upstream::spawn_version(&store, "i-2", "engine", "v2", slow);
    let sent = cut_off.send(stream("t1"));
    let (begun, (restarted, added)) = tokio::join!(sent, async {
        wait_for("the stream begins", || async {
            (!old.requests().is_empty()).then_some(())
        })
        .await;
        store.remove("servers", "i-1");
        restarted.wait_for_event("E0732").await;
        restarted.signal("KILL");
        let started = tokio::join!(Instance::spawn(&store, "b"), Instance::spawn(&store, "c"));
        old.crash();
        started
    });
    let begun = begun.unwrap();
    assert!(!begun.body.is_empty() && !begun.is_complete);
    for (instance, attempt) in [(&added, "u1"), (&restarted, "u2")] {
        let reply = instance.send(resumption(attempt, "t1", 2)).await.unwrap();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(continuations(&new), 0);
}

/// Longest time from the start of two instances until they know each other, and a margin.
const DISCOVERY: Duration = Duration::from_secs(17);

/// Begins streams at an instance while the store has been in `mode` for two seconds, kills the instance
/// after the store's return, and takes the streams up at another one. A second version has come just
/// before the outage.
async fn check_streams_begun_in_an_outage(mode: Mode) {
    let slow = Behaviour::Respond {
        events: 28,
        interval_ms: 100,
    };
    let (store, _old) = start_versions([("v1", slow), ("v1", slow)]);
    let begun_at = Instance::spawn(&store, "a").await;
    let survivor = Instance::spawn(&store, "b").await;
    tokio::time::sleep(DISCOVERY).await;
    let _new = Upstream::spawn_version(&store, "i-3", "engine", "v2", slow);
    begun_at.wait_for_event("E0731").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.set_mode(mode);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let streams = (0..12).map(|number| begun_at.send(stream(&format!("t{number}"))));
    let (begun, ()) = tokio::join!(futures_util::future::join_all(streams), async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        store.set_mode(Mode::Up);
        tokio::time::sleep(Duration::from_millis(400)).await;
        begun_at.signal("KILL");
    });
    let survivor = &survivor;
    let taken_up = begun
        .into_iter()
        .enumerate()
        .map(|(number, reply)| async move {
            let begun = reply.unwrap();
            assert_eq!(begun.status, StatusCode::OK, "{mode:?}, stream {number}");
            assert!(!begun.body.is_empty() && !begun.is_complete);
            // The instance may not have noticed the store's return yet.
            let continued = wait_for("the stream goes on", || async {
                let attempt = format!("u{number}-{}", rand::random::<u32>());
                let request = resumption(&attempt, &format!("t{number}"), 5);
                let reply = survivor.send(request).await.unwrap();
                (reply.status == StatusCode::OK).then_some(reply)
            })
            .await;
            let is_new = |reply: &Reply| reply.header("server-signature") == Some("sig-i-3");
            assert_eq!(
                is_new(&begun),
                is_new(&continued),
                "{mode:?}, stream {number}"
            );
        });
    futures_util::future::join_all(taken_up).await;
}

/// A stream that begins without a record during an outage must begin at the version that instances
/// assume of it after the outage.
#[tokio::test]
async fn streams_begun_in_an_outage_go_on_at_the_version_that_began_them() {
    tokio::join!(
        check_streams_begun_in_an_outage(Mode::Unavailable),
        check_streams_begun_in_an_outage(Mode::Unresponsive)
    );
}

/// All instances start again, one after the other. A service of one version stays one of which every
/// stream goes on at once.
#[tokio::test]
async fn streams_of_a_single_version_go_on_at_instances_that_have_just_started() {
    let slow = Behaviour::Respond {
        events: 8,
        interval_ms: 60,
    };
    let (store, upstreams) = start_versions([("v1", slow), ("v1", slow)]);
    let mut begun_at = Instance::spawn(&store, "a").await;
    begun_at.wait_for_event("E0771").await;
    for round in 0..4 {
        let attempt = format!("t{round}");
        let ran = |upstream: &Upstream| {
            let requests = upstream.requests();
            requests.iter().any(|run| run.attempt_id == attempt)
        };
        let (reply, ()) = tokio::join!(begun_at.send(turn(&attempt)), async {
            wait_for("the stream begins", || async {
                upstreams.iter().any(ran).then_some(())
            })
            .await;
            tokio::time::sleep(Duration::from_millis(200)).await;
            begun_at.signal("KILL");
        });
        assert!(!reply.unwrap().is_complete);
        let slowness = [Mode::Up, Mode::Slow(150)][round % 2];
        let started = Instance::spawn(&store, &format!("b{round}")).await;
        store.set_mode(slowness);
        let taken_up = format!("u{round}");
        let reply = started.send(resumption(&taken_up, &attempt, 2)).await;
        let reply = reply.unwrap();
        store.set_mode(Mode::Up);
        assert_eq!(reply.status, StatusCode::OK, "round {round}");
        assert!(reply.is_complete);
        begun_at = started;
    }
}

/// An instance that a relaying one has given up writes the version of the stream late, after another
/// instance has begun the stream under the same attempt at another version.
#[tokio::test]
async fn a_late_record_does_not_replace_that_of_the_stream_that_callers_got() {
    let slow = Behaviour::Respond {
        events: 4,
        interval_ms: 30,
    };
    let (store, upstreams) = start_versions([("v1", slow), ("v2", slow)]);
    let survivor = Instance::spawn(&store, "c").await;
    let mut checked = 0;
    for round in 0..12 {
        let given_up = Instance::spawn(&store, "a").await;
        let attempt = format!("t{round}");
        store.set_mode(Mode::AppliesLate(700));
        tokio::join!(given_up.send(stream(&attempt)), async {
            wait_for("the stream runs", || async {
                let runs = upstreams.iter().flat_map(Upstream::requests);
                let mut runs = runs.filter(|run| run.attempt_id == attempt);
                runs.next().map(|_| ())
            })
            .await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            given_up.signal("KILL");
        });
        store.set_mode(Mode::Up);
        let reply = survivor.send(stream(&attempt)).await.unwrap();
        tokio::time::sleep(Duration::from_millis(700)).await;
        let runs: Vec<_> = upstreams.iter().flat_map(Upstream::requests).collect();
        let versions = runs.iter().filter(|run| run.attempt_id == attempt);
        let versions: Vec<_> = versions.map(|run| run.version.clone()).collect();
        if reply.status != StatusCode::OK || versions.len() != 2 || versions[0] == versions[1] {
            continue;
        }
        checked += 1;
        let version = reply.header("server-signature").unwrap() == "sig-i-1";
        let version = if version { "v1" } else { "v2" };
        let taken_up = format!("u{round}");
        let reply = survivor.send(resumption(&taken_up, &attempt, 2)).await;
        assert_eq!(reply.unwrap().status, StatusCode::OK);
        let runs: Vec<_> = upstreams.iter().flat_map(Upstream::requests).collect();
        let run = runs.iter().find(|run| run.attempt_id == taken_up).unwrap();
        assert_eq!(run.version, version, "round {round}");
    }
    assert!(checked > 0);
}
