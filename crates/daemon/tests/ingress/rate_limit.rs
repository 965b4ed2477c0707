//! Upstreams that limit the rate of requests from all instances together.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Behaviour, Mode, Store, Upstream};
use futures_util::future::join_all;
use http::StatusCode;

use crate::support::{
    IMMEDIATE_RESPONSE, Instance, Turn, configure, plain_request, start_site, wait_for,
};

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after the first answer with a limit from which on the limit is checked.
const GRACE: Duration = Duration::from_secs(1);

/// Returns the largest number of requests in a window that begins after `from`.
fn busiest_window(arrivals: &[Instant], from: Instant) -> usize {
    let later: Vec<_> = arrivals.iter().filter(|at| **at >= from).collect();
    let count = |first: usize| {
        let within = later[first..].iter();
        within
            .take_while(|at| ***at < *later[first] + WINDOW)
            .count()
    };
    (0..later.len()).map(count).max().unwrap_or_default()
}

/// Returns the requests in a window that the limit allows: one and a half times the rate and five.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64()) as usize + 5
}

/// Sends a request to every instance at intervals, until `duration` is over. Returns the statuses.
async fn send_requests(
    instances: &[Instance],
    route: &str,
    interval: Duration,
    duration: Duration,
) -> Vec<StatusCode> {
    let started_at = Instant::now();
    let mut statuses = Vec::new();
    let mut number = 0;
    while started_at.elapsed() < duration {
        let sent = instances.iter().map(|instance| {
            number += 1;
            instance.send(plain_request(
                route,
                &format!("t{number}-{}", rand::random::<u32>()),
            ))
        });
        for reply in join_all(sent).await {
            statuses.push(reply.unwrap().status);
        }
        tokio::time::sleep(interval).await;
    }
    statuses
}

/// Each instance alone could keep the limit and still the sum of all would exceed it.
#[tokio::test(flavor = "multi_thread")]
async fn instances_together_keep_the_limit_of_an_upstream() {
    let store = Store::spawn();
    configure(&store, 3);
    let limited = Upstream::spawn(&store, "i-1", "app", IMMEDIATE_RESPONSE);
    // The limited upstream is preferred for as long as it has permits.
    let slower = Behaviour::Respond {
        events: 0,
        interval_ms: 100,
    };
    let other = Upstream::spawn(&store, "i-2", "app", slower);
    limited.set_rate_limit(Some("1.5"));
    let mut instances = Vec::new();
    for name in ["a", "b", "c", "d", "e", "f"] {
        instances.push(Instance::spawn(&store, name).await);
    }
    let began = Instant::now();
    let pause = Duration::from_millis(60);
    let statuses = send_requests(&instances, "read", pause, GRACE + 2 * WINDOW).await;
    assert!(statuses.iter().all(|status| *status == StatusCode::OK));
    let busiest = busiest_window(&limited.arrivals(), began + GRACE);
    assert!(busiest <= allowed(1.5), "{busiest} requests in a window");
    // The limit is used, too.
    assert!(busiest >= 3, "{busiest} requests in a window");
    assert!(other.arrivals().len() > 100);
}

/// No upstream has a permit left, so waiting would not help.
#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_limit_are_rejected_at_once() {
    let (store, [limited]) = start_site("app", [IMMEDIATE_RESPONSE]);
    limited.set_rate_limit(Some("2"));
    let instance = Instance::spawn(&store, "a").await;
    let began = Instant::now();
    let mut delays = Vec::new();
    let mut served = 0;
    while began.elapsed() < GRACE + WINDOW {
        let sent_at = Instant::now();
        let request = plain_request("pay", &format!("t{}", rand::random::<u32>()));
        let reply = instance.send(request).await.unwrap();
        if reply.status == StatusCode::OK {
            served += 1;
        } else {
            assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(sent_at.elapsed() < Duration::from_millis(500));
            delays.push(reply.retry_after().unwrap());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(served >= 6, "{served} requests served");
    let busiest = busiest_window(&limited.arrivals(), began + GRACE);
    assert!(busiest <= allowed(2.0), "{busiest} requests in a window");
    // Callers come back one after the other.
    assert!(
        delays.windows(2).any(|pair| pair[0] < pair[1]),
        "{delays:?}"
    );
}

/// An instance learns a limit from the others before it sends a request, also if it starts later,
/// and learns from them that the limit has ended.
#[tokio::test]
async fn instances_learn_limits_and_their_end_from_each_other() {
    let (store, [limited]) = start_site("app", [IMMEDIATE_RESPONSE]);
    let first = Instance::spawn(&store, "a").await;
    let second = Instance::spawn(&store, "b").await;
    limited.set_rate_limit(Some("4.5"));
    first.send(plain_request("read", "t1")).await.unwrap();
    let third = Instance::spawn(&store, "c").await;
    for instance in [&second, &third] {
        let line = instance.wait_for_event("E0735").await;
        assert_eq!(line["source"], "row");
        assert_eq!(line["per_s"], 4.5);
    }
    // Text that can't be read changes nothing.
    limited.set_rate_limit(Some("many"));
    first.send(plain_request("read", "t2")).await.unwrap();
    limited.set_rate_limit(None);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(second.events("E0736").is_empty());
    first.send(plain_request("read", "t3")).await.unwrap();
    for instance in [&second, &third] {
        assert_eq!(instance.wait_for_event("E0736").await["source"], "row");
    }
    let stored = wait_for("the rows are removed", || async {
        (store.row_count("limit") + store.row_count("schedule") == 0).then_some(())
    });
    stored.await;
}

/// Streams that break at another upstream continue at the limited one, each as a request of its own.
#[tokio::test(flavor = "multi_thread")]
async fn continued_streams_count_as_requests() {
    let (store, [breaking, limited]) =
        start_site("engine", [Behaviour::BreaksOff(1), IMMEDIATE_RESPONSE]);
    limited.set_rate_limit(Some("1"));
    let instance = Instance::spawn(&store, "a").await;
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < GRACE + WINDOW {
        number += 1;
        let attempt = format!("t{number}");
        instance
            .send(Turn::first("advice", &attempt).request())
            .await;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let busiest = busiest_window(&limited.arrivals(), began + GRACE);
    assert!(busiest <= allowed(1.0), "{busiest} requests in a window");
    assert!(breaking.arrivals().len() > 10);
}

/// Without the store there are no permits: other upstreams serve, and the limit holds.
#[tokio::test(flavor = "multi_thread")]
async fn the_limit_holds_while_the_store_is_away() {
    for mode in [Mode::Unavailable, Mode::Unresponsive, Mode::Slow(300)] {
        let (store, [limited, other]) = start_site("app", [IMMEDIATE_RESPONSE; 2]);
        limited.set_rate_limit(Some("1"));
        let instance = Instance::spawn(&store, "a").await;
        let instances = [instance];
        let pause = Duration::from_millis(20);
        send_requests(&instances, "read", pause, GRACE).await;
        let began = Instant::now();
        store.set_mode(mode);
        let statuses = send_requests(&instances, "read", pause, WINDOW).await;
        let busiest = busiest_window(&limited.arrivals(), began);
        assert!(busiest <= allowed(1.0), "{mode:?}: {busiest} requests");
        assert!(other.arrivals().len() > 20, "{mode:?}");
        let served = statuses.iter().filter(|status| **status == StatusCode::OK);
        assert!(served.count() > 20, "{mode:?}");
    }
}
