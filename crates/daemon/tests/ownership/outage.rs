//! A store that is unavailable, or throttles all writes, for longer than a lease lasts.

use std::time::Duration;

use basilramp_fakes::platform::{self, Platform};
use serde_json::json;

use crate::support::{
    Instance, PausableInstance, join, lease_row, owned_by_preferred, short_lease_timing, wait_until,
};

const INSTANCE_IDS: [&str; 3] = ["i0", "i1", "i2"];

/// Longer than the lease, the margin and a few heartbeats of [`short_lease_timing`].
const OUTAGE: Duration = Duration::from_millis(5_000);

async fn start(platform: &Platform) -> Vec<Instance> {
    let mut instances = Vec::new();
    for id in INSTANCE_IDS {
        instances.push(join(platform, id, &short_lease_timing()).await);
    }
    wait_until("three instances to own their partitions", || {
        owned_by_preferred(platform, &INSTANCE_IDS)
    })
    .await;
    let all_owned = || {
        instances
            .iter()
            .map(|i| i.membership.owned_count())
            .sum::<usize>()
            == 1024
    };
    wait_until("the acquired partitions to be owned", all_owned).await;
    instances
}

/// Waits until each lease row has advanced by more than 15 versions, then asserts that no instance
/// was fenced.
async fn assert_no_instance_was_fenced(platform: &Platform, instances: &[Instance]) {
    let versions = || {
        INSTANCE_IDS.map(|id| {
            platform
                .row("instance", id)
                .expect("the row exists")
                .version
        })
    };
    let before = versions();
    let renewed = || {
        let pairs = before.iter().zip(versions());
        pairs.into_iter().all(|(before, now)| now > before + 15)
    };
    wait_until("lease renewals", renewed).await;
    for (instance, id) in instances.iter().zip(INSTANCE_IDS) {
        assert_eq!(lease_row(platform, id).incarnation, 1, "{id}");
        assert_eq!(
            instance
                .observed
                .lock()
                .expect("the mutex is not poisoned")
                .fenced,
            0,
            "{id}"
        );
        assert!(instance.membership.is_valid(), "{id}");
    }
    assert!(owned_by_preferred(platform, &INSTANCE_IDS));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_instance_is_fenced_after_a_store_outage() {
    let platform = platform::spawn();
    let instances = start(&platform).await;
    platform.set_down(true);
    tokio::time::sleep(OUTAGE).await;
    for instance in &instances {
        let any = (0..1024).map(basilramp_core::id::Partition);
        let mut owned =
            any.filter(|partition| instance.membership.owned_term(*partition).is_some());
        assert_eq!(
            owned.next(),
            None,
            "a lease is still valid after an outage longer than its duration"
        );
    }
    platform.set_down(false);
    assert_no_instance_was_fenced(&platform, &instances).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_instance_is_fenced_while_all_writes_are_throttled() {
    let platform = platform::spawn();
    let instances = start(&platform).await;
    platform.set_rate_limits(0, 2_000);
    tokio::time::sleep(OUTAGE).await;
    assert!(platform.counters().throttled > 0);
    platform.set_rate_limits(500, 2_000);
    assert_no_instance_was_fenced(&platform, &instances).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_that_died_in_an_outage_is_taken_over_afterwards() {
    let platform = platform::spawn();
    let _first = join(&platform, "i0", &short_lease_timing()).await;
    let _second = join(&platform, "i1", &short_lease_timing()).await;
    let third = PausableInstance::start(&platform, "i2", &short_lease_timing()).await;
    wait_until("three instances to own their partitions", || {
        owned_by_preferred(&platform, &INSTANCE_IDS)
    })
    .await;
    platform.set_down(true);
    third.kill();
    tokio::time::sleep(OUTAGE).await;
    platform.set_down(false);
    wait_until("the takeover of the partitions", || {
        owned_by_preferred(&platform, &["i0", "i1"])
    })
    .await;
    assert_eq!(lease_row(&platform, "i0").incarnation, 1);
    assert_eq!(lease_row(&platform, "i1").incarnation, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_joins_once_the_store_is_available_again() {
    let platform = platform::spawn();
    platform.set_down(true);
    let joining = async {
        let overrides = json!({});
        join(&platform, "i0", &overrides).await
    };
    let recovery = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        platform.lose_responses(1);
        platform.set_down(false);
    };
    let (instance, ()) = tokio::join!(joining, recovery);
    wait_until("ownership of every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lease_expiry_is_measured_from_the_send_of_its_renewal() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &short_lease_timing()).await;
    wait_until("ownership of every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    // The response to each renewal takes most of the lease duration, and the next renewal is sent
    // right after it.
    platform.set_latency_ms(1_300);
    let renewed = platform.counters().transactions + 2;
    wait_until("slow renewals", || {
        platform.counters().transactions > renewed
    })
    .await;
    wait_until("the lease to expire", || !instance.membership.is_valid()).await;
    wait_until("the lease to be valid again", || {
        instance.membership.is_valid()
    })
    .await;
    assert_eq!(
        instance
            .observed
            .lock()
            .expect("the mutex is not poisoned")
            .fenced,
        0
    );
}
