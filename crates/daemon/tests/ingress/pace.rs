//! Release of a service under load: each upstream is replaced by a new one.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Behaviour, Upstream};
use http::StatusCode;

use crate::support::{Instance, plain_request, start_site, wait_for};

const INSTANCES: usize = 3;

const RESPONSE: Behaviour = Behaviour::Respond {
    events: 1,
    interval_ms: 30,
};

/// Requests that an upstream runs at once, as its entry says.
const SLOTS: usize = 8;

/// Returns the largest number of arrivals within the duration of a response.
fn max_concurrency(arrivals: &[Instant]) -> usize {
    let span = Duration::from_millis(30);
    let within = |first: &Instant| {
        let later = arrivals.iter().skip_while(|at| *at < first);
        later
            .take_while(|at| at.duration_since(*first) < span)
            .count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

/// A new upstream must neither get the requests of all instances at once nor be left idle, and no
/// request fails.
#[tokio::test]
async fn release_under_load_fails_no_request() {
    let (store, old) = start_site("app", [RESPONSE; 4]);
    let mut instances = Vec::new();
    for number in 0..INSTANCES {
        instances.push(Instance::spawn(&store, &format!("n-{number}")).await);
    }
    let callers: Vec<_> = instances.iter().map(|instance| instance.callers).collect();
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let mut tasks = Vec::new();
    for task in 0..9 {
        let (address, stopped) = (callers[task % INSTANCES], stopped.clone());
        tasks.push(tokio::spawn(async move {
            let mut statuses = Vec::new();
            while !*stopped.borrow() {
                let attempt = format!("t-{task}-{}", statuses.len());
                let reply = crate::support::send(address, plain_request("read", &attempt)).await;
                statuses.push(reply.map(|reply| reply.status));
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            statuses
        }));
    }
    wait_for("the demand is known", || async {
        let total: usize = old.iter().map(|upstream| upstream.arrivals().len()).sum();
        (total > 200).then_some(())
    })
    .await;
    let mut new = Vec::new();
    for (number, upstream) in old.iter().enumerate().take(2) {
        new.push(Upstream::spawn(
            &store,
            &format!("j-{number}"),
            "app",
            RESPONSE,
        ));
        upstream.register(&store, "draining");
        let joined = new.last().unwrap();
        wait_for("the new upstream gets requests", || async {
            (joined.arrivals().len() > 60).then_some(())
        })
        .await;
    }
    stop.send(true).unwrap();
    for task in tasks {
        let statuses = task.await.unwrap();
        assert!(
            statuses
                .iter()
                .all(|status| *status == Some(StatusCode::OK)),
            "{statuses:?}"
        );
    }
    for upstream in &new {
        let concurrency = max_concurrency(&upstream.arrivals());
        assert!(concurrency <= SLOTS, "{concurrency}");
    }
    for instance in &instances {
        for code in ["E0739", "E0740"] {
            wait_for("the pace is logged", || async {
                (instance.events(code).len() >= 2).then_some(())
            })
            .await;
        }
        // The upstreams that were present at the start are not new.
        assert_eq!(instance.events("E0739").len(), 2);
        assert!(
            instance
                .metrics()
                .await
                .contains("basilramp_upstreams_paced")
        );
    }
}
