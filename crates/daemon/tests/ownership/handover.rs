//! Partition handover when an instance drains or joins.

use basilramp_core::id;
use basilramp_fakes::platform;
use basilramp_platform::table::Condition;
use basilramp_wire::record::{self, InstanceState};
use serde_json::json;

use crate::support::{
    ObservedOwnership, join, lease_row, owned_by_preferred, partition_owners, put_row, wait_until,
};

#[tokio::test(flavor = "multi_thread")]
async fn draining_instance_hands_all_partitions_to_their_preferred_owners() {
    let platform = platform::spawn();
    let first = join(&platform, "i0", &json!({})).await;
    let second = join(&platform, "i1", &json!({})).await;
    let third = join(&platform, "i2", &json!({})).await;
    wait_until("three instances to own their partitions", || {
        owned_by_preferred(&platform, &["i0", "i1", "i2"])
    })
    .await;
    let before = partition_owners(&platform).expect("every partition is owned");
    assert!(third.membership.leave(20_000).await);
    assert_eq!(third.membership.owned_count(), 0);
    assert_eq!(lease_row(&platform, "i2").state, InstanceState::Fenced);
    // The rows name the new owners before these have read them.
    assert!(owned_by_preferred(&platform, &["i0", "i1"]));
    let after = partition_owners(&platform).expect("every partition is owned");
    for (partition, row) in &before {
        let moved = u64::from(row.owner == "i2");
        assert_eq!(
            after[partition].term,
            row.term + moved,
            "partition {partition}"
        );
    }
    let count = || first.membership.owned_count() + second.membership.owned_count();
    wait_until("the acquired partitions to be owned", || {
        count() == usize::from(id::PARTITIONS)
    })
    .await;
    let late = third
        .commit
        .submit(vec![put_row("late", Condition::Absent)])
        .await;
    assert!(late.is_err());
    assert_eq!(platform.row("test", "late"), None);
    assert_eq!(lease_row(&platform, "i0").incarnation, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn partition_is_handed_over_only_after_its_programs_are_unloaded() {
    let platform = platform::spawn();
    let first = join(&platform, "i0", &json!({})).await;
    wait_until("ownership of every partition", || {
        first.membership.owned_count() == 1024
    })
    .await;
    let _second = join(&platform, "i1", &json!({})).await;
    let observed = &first.observed;
    let lock = || -> std::sync::MutexGuard<'_, ObservedOwnership> {
        observed.lock().expect("the mutex is not poisoned")
    };
    lock().blocks_handover = true;
    wait_until("a pending handover", || {
        !lock().pending_handovers.is_empty()
    })
    .await;
    let third = join(&platform, "i2", &json!({})).await;
    wait_until("all three instances to be live", || {
        first.membership.live_instances().len() == 3
    })
    .await;
    // The number of concurrent handovers stays within the limit over several heartbeats.
    let version = platform
        .row("instance", "i2")
        .expect("the row exists")
        .version;
    wait_until("further heartbeats", || {
        platform
            .row("instance", "i2")
            .expect("the row exists")
            .version
            > version + 2
    })
    .await;
    assert!(
        lock().pending_handovers.len() <= 16,
        "{}",
        lock().pending_handovers.len()
    );
    let waiting: Vec<id::Partition> = lock()
        .pending_handovers
        .iter()
        .map(|(partition, _)| *partition)
        .collect();
    let rows = partition_owners(&platform).expect("every partition is owned");
    for partition in &waiting {
        assert_eq!(rows[&partition.0].owner, "i0", "{partition:?}");
        assert!(
            first.membership.owned_term(*partition).is_some(),
            "{partition:?}"
        );
    }
    lock().blocks_handover = false;
    lock().pending_handovers.clear();
    wait_until("three instances to own their partitions", || {
        owned_by_preferred(&platform, &["i0", "i1", "i2"])
    })
    .await;
    assert_eq!(
        third
            .observed
            .lock()
            .expect("the mutex is not poisoned")
            .fenced,
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn joining_instance_moves_only_the_partitions_it_acquires() {
    let platform = platform::spawn();
    let _first = join(&platform, "i0", &json!({})).await;
    let _second = join(&platform, "i1", &json!({})).await;
    wait_until("two instances to own their partitions", || {
        owned_by_preferred(&platform, &["i0", "i1"])
    })
    .await;
    let before = partition_owners(&platform).expect("every partition is owned");
    let third = join(&platform, "i2", &json!({})).await;
    wait_until("three instances to own their partitions", || {
        owned_by_preferred(&platform, &["i0", "i1", "i2"])
    })
    .await;
    let after = partition_owners(&platform).expect("every partition is owned");
    for (partition, row) in &after {
        let moved = u64::from(row.owner == "i2");
        assert_eq!(
            row.term,
            before[partition].term + moved,
            "partition {partition}"
        );
    }
    let gained = after.values().filter(|row| row.owner == "i2").count();
    wait_until("the acquired partitions to be owned", || {
        third.membership.owned_count() == gained
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn partitions_of_the_last_instance_are_acquired_by_the_next_to_join() {
    let platform = platform::spawn();
    let last = join(&platform, "i0", &json!({})).await;
    wait_until("ownership of every partition", || {
        last.membership.owned_count() == 1024
    })
    .await;
    assert!(last.membership.leave(20_000).await);
    let next = join(&platform, "i1", &json!({})).await;
    wait_until("ownership of every partition again", || {
        next.membership.owned_count() == 1024
    })
    .await;
    assert_eq!(lease_row(&platform, "i0").incarnation, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_instance_hands_on_partitions_it_acquires_late() {
    let platform = platform::spawn();
    let timing = json!({
        "timing": {"lease_ms": 12_000, "lease_margin_ms": 3_000, "heartbeat_ms": 3_000},
    });
    let _first = join(&platform, "i0", &timing).await;
    let second = join(&platform, "i1", &timing).await;
    wait_until("two instances to own their partitions", || {
        owned_by_preferred(&platform, &["i0", "i1"])
    })
    .await;
    let given = partition_owners(&platform).expect("every partition is owned");
    let given = given.iter().find(|(_, row)| row.owner == "i1");
    let sort = format!("{:04}", given.expect("i1 owns a partition").0);
    let draining = second.membership.clone();
    let draining = tokio::spawn(async move { draining.leave(60_000).await });
    wait_until("the handover of all partitions it owned", || {
        owned_by_preferred(&platform, &["i0"])
    })
    .await;
    // A peer that has not observed the draining state assigns a partition to i1.
    let row = platform.row("partition", &sort).expect("the row exists");
    let mut record: record::Partition =
        serde_json::from_str(&row.body).expect("the row body is a valid record");
    record.owner = "i1".to_owned();
    record.term += 1;
    platform.put_row("partition", &sort, row.version + 1, &record);
    assert!(draining.await.expect("the task does not panic"));
    assert!(owned_by_preferred(&platform, &["i0"]));
}
