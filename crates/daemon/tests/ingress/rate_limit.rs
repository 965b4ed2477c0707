//! Upstreams that limit the rate of requests from all instances together.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Store, Upstream};
use futures_util::future::join_all;
use http::StatusCode;

use crate::support::{IMMEDIATE_RESPONSE, Instance, configure, plain_request};

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
    let other = Upstream::spawn(&store, "i-2", "app", IMMEDIATE_RESPONSE);
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
