//! Planned moves: an instance leaves, an instance joins.

use basilramp_core::id;
use basilramp_fakes::platform;
use basilramp_platform::table::Condition;
use basilramp_wire::record::{self, InstanceState};
use serde_json::json;

use crate::support::{Seen, join, lease, owners, put, settled, until};

#[tokio::test(flavor = "multi_thread")]
async fn leaving_instance_hands_everything_to_the_wanted_owners() {
    let platform = platform::spawn();
    let first = join(&platform, "i0", &json!({})).await;
    let second = join(&platform, "i1", &json!({})).await;
    let third = join(&platform, "i2", &json!({})).await;
    until("a third each", || settled(&platform, &["i0", "i1", "i2"])).await;
    let before = owners(&platform).expect("all owned");
    assert!(third.membership.leave(20_000).await);
    assert_eq!(third.membership.owned_count(), 0);
    assert_eq!(lease(&platform, "i2").state, InstanceState::Fenced);
    // The rows name the new owners already, before they have read them.
    assert!(settled(&platform, &["i0", "i1"]));
    let after = owners(&platform).expect("all owned");
    for (partition, row) in &before {
        let moved = u64::from(row.owner == "i2");
        assert_eq!(
            after[partition].term,
            row.term + moved,
            "partition {partition}"
        );
    }
    let count = || first.membership.owned_count() + second.membership.owned_count();
    until("the gains", || count() == usize::from(id::PARTITIONS)).await;
    let late = third
        .commit
        .submit(vec![put("late", Condition::Absent)])
        .await;
    assert!(late.is_err());
    assert_eq!(platform.row("test", "late"), None);
    assert_eq!(lease(&platform, "i0").incarnation, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_handed_over_before_its_programs_are_let_go() {
    let platform = platform::spawn();
    let first = join(&platform, "i0", &json!({})).await;
    until("every partition", || first.membership.owned_count() == 1024).await;
    let _second = join(&platform, "i1", &json!({})).await;
    let seen = &first.seen;
    let lock = || -> std::sync::MutexGuard<'_, Seen> { seen.lock().expect("unpoisoned") };
    lock().holds = true;
    until("a hand-over that waits", || !lock().losing.is_empty()).await;
    let third = join(&platform, "i2", &json!({})).await;
    until("every instance", || {
        first.membership.live_instances().len() == 3
    })
    .await;
    // Several rounds later no more than the limit are under way at once.
    let version = platform.row("instance", "i2").expect("a row").version;
    until("some heartbeats", || {
        platform.row("instance", "i2").expect("a row").version > version + 2
    })
    .await;
    assert!(lock().losing.len() <= 16, "{}", lock().losing.len());
    let waiting: Vec<id::Partition> = lock().losing.iter().map(|(at, _)| *at).collect();
    let rows = owners(&platform).expect("all owned");
    for partition in &waiting {
        assert_eq!(rows[&partition.0].owner, "i0", "{partition:?}");
        assert!(
            first.membership.owned_term(*partition).is_some(),
            "{partition:?}"
        );
    }
    lock().holds = false;
    lock().losing.clear();
    until("a third each", || settled(&platform, &["i0", "i1", "i2"])).await;
    assert_eq!(third.seen.lock().expect("unpoisoned").fenced, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn joining_instance_moves_only_what_it_gains() {
    let platform = platform::spawn();
    let _first = join(&platform, "i0", &json!({})).await;
    let _second = join(&platform, "i1", &json!({})).await;
    until("a half each", || settled(&platform, &["i0", "i1"])).await;
    let before = owners(&platform).expect("all owned");
    let third = join(&platform, "i2", &json!({})).await;
    until("a third each", || settled(&platform, &["i0", "i1", "i2"])).await;
    let after = owners(&platform).expect("all owned");
    for (partition, row) in &after {
        let moved = u64::from(row.owner == "i2");
        assert_eq!(
            row.term,
            before[partition].term + moved,
            "partition {partition}"
        );
    }
    let gained = after.values().filter(|row| row.owner == "i2").count();
    until("the gains", || third.membership.owned_count() == gained).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn last_instance_leaves_partitions_to_whoever_comes() {
    let platform = platform::spawn();
    let last = join(&platform, "i0", &json!({})).await;
    until("every partition", || last.membership.owned_count() == 1024).await;
    assert!(last.membership.leave(20_000).await);
    let next = join(&platform, "i1", &json!({})).await;
    until("every partition again", || {
        next.membership.owned_count() == 1024
    })
    .await;
    assert_eq!(lease(&platform, "i0").incarnation, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_instance_passes_on_what_it_is_still_given() {
    let platform = platform::spawn();
    let timing = json!({
        "timing": {"lease_ms": 12_000, "lease_margin_ms": 3_000, "heartbeat_ms": 3_000},
    });
    let _first = join(&platform, "i0", &timing).await;
    let second = join(&platform, "i1", &timing).await;
    until("a half each", || settled(&platform, &["i0", "i1"])).await;
    let given = owners(&platform).expect("all owned");
    let given = given.iter().find(|(_, row)| row.owner == "i1");
    let sort = format!("{:04}", given.expect("some partition").0);
    let leaving = second.membership.clone();
    let leaving = tokio::spawn(async move { leaving.leave(60_000).await });
    until("the hand-over of all it had", || {
        settled(&platform, &["i0"])
    })
    .await;
    // A peer that has not seen it leave gives it a partition.
    let row = platform.row("partition", &sort).expect("a row");
    let mut record: record::Partition = serde_json::from_str(&row.body).expect("a record");
    record.owner = "i1".to_owned();
    record.term += 1;
    platform.put_row("partition", &sort, row.version + 1, &record);
    assert!(leaving.await.expect("no panic"));
    assert!(settled(&platform, &["i0"]));
}
