//! A store that is down or takes no writes for longer than a lease.

use std::time::Duration;

use basilramp_fakes::platform::{self, Platform};
use serde_json::json;

use crate::support::{Instance, Process, join, lease, settled, short_leases, until};

const IDS: [&str; 3] = ["i0", "i1", "i2"];

/// Longer than the lease, the margin and a few heartbeats of [`short_leases`].
const OUTAGE: Duration = Duration::from_millis(5_000);

async fn start(platform: &Platform) -> Vec<Instance> {
    let mut instances = Vec::new();
    for id in IDS {
        instances.push(join(platform, id, &short_leases()).await);
    }
    until("a third each", || settled(platform, &IDS)).await;
    let counted = || {
        instances
            .iter()
            .map(|i| i.membership.owned_count())
            .sum::<usize>()
            == 1024
    };
    until("the gains", counted).await;
    instances
}

/// Waits until every instance has renewed its lease twice, and checks that none was fenced.
async fn check_nobody_was_fenced(platform: &Platform, instances: &[Instance]) {
    let versions = || IDS.map(|id| platform.row("instance", id).expect("a row").version);
    let before = versions();
    let renewed = || {
        let pairs = before.iter().zip(versions());
        pairs.into_iter().all(|(before, now)| now > before + 15)
    };
    until("renewals", renewed).await;
    for (instance, id) in instances.iter().zip(IDS) {
        assert_eq!(lease(platform, id).incarnation, 1, "{id}");
        assert_eq!(instance.seen.lock().expect("unpoisoned").fenced, 0, "{id}");
        assert!(instance.membership.is_valid(), "{id}");
    }
    assert!(settled(platform, &IDS));
}

#[tokio::test(flavor = "multi_thread")]
async fn nobody_is_fenced_over_an_outage() {
    let platform = platform::spawn();
    let instances = start(&platform).await;
    platform.set_down(true);
    tokio::time::sleep(OUTAGE).await;
    for instance in &instances {
        let any = (0..1024).map(basilramp_core::id::Partition);
        let mut owned =
            any.filter(|partition| instance.membership.owned_term(*partition).is_some());
        assert_eq!(owned.next(), None, "a lease outlived the outage");
    }
    platform.set_down(false);
    check_nobody_was_fenced(&platform, &instances).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nobody_is_fenced_while_no_write_is_taken() {
    let platform = platform::spawn();
    let instances = start(&platform).await;
    platform.set_rate_limits(0, 2_000);
    tokio::time::sleep(OUTAGE).await;
    assert!(platform.counters().throttled > 0);
    platform.set_rate_limits(500, 2_000);
    check_nobody_was_fenced(&platform, &instances).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_that_died_in_an_outage_is_taken_over_after_it() {
    let platform = platform::spawn();
    let _first = join(&platform, "i0", &short_leases()).await;
    let _second = join(&platform, "i1", &short_leases()).await;
    let third = Process::start(&platform, "i2", &short_leases()).await;
    until("a third each", || settled(&platform, &IDS)).await;
    platform.set_down(true);
    third.kill();
    tokio::time::sleep(OUTAGE).await;
    platform.set_down(false);
    until("the takeover", || settled(&platform, &["i0", "i1"])).await;
    assert_eq!(lease(&platform, "i0").incarnation, 1);
    assert_eq!(lease(&platform, "i1").incarnation, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_joins_once_the_store_is_back() {
    let platform = platform::spawn();
    platform.set_down(true);
    let joining = async {
        let overrides = json!({});
        join(&platform, "i0", &overrides).await
    };
    let back = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        platform.lose_responses(1);
        platform.set_down(false);
    };
    let (instance, ()) = tokio::join!(joining, back);
    until("every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lease_is_counted_from_the_send_of_its_renewal() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &short_leases()).await;
    until("every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    // Each renewal takes most of the lease to be answered, and the next is sent at once.
    platform.set_latency_ms(1_300);
    let renewed = platform.counters().transactions + 2;
    until("slow renewals", || {
        platform.counters().transactions > renewed
    })
    .await;
    until("a time without the lease", || {
        !instance.membership.is_valid()
    })
    .await;
    until("the lease again", || instance.membership.is_valid()).await;
    assert_eq!(instance.seen.lock().expect("unpoisoned").fenced, 0);
}
