//! Answers that are lost, late or never come.

use std::time::Duration;

use basilramp_daemon::commit::Failure;
use basilramp_fakes::platform;
use basilramp_platform::table::Condition;
use futures_util::future::join_all;
use serde_json::json;

use crate::support::{check, join, lease, put, until};

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_settled_by_the_same_token() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.lose_responses(1);
    let outcome = instance
        .commit
        .submit(vec![put("row", Condition::Absent)])
        .await;
    assert_eq!(outcome, Ok(()));
    assert_eq!(platform.row("test", "row").map(|row| row.version), Some(1));
    assert!(platform.counters().lost_responses > 0);
    assert!(platform.counters().replayed > 0);
    assert_eq!(lease(&platform, "i0").incarnation, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_settled_by_reading_back_once_the_token_is_forgotten() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.discard_transaction_tokens();
    platform.lose_responses(1);
    let outcome = instance
        .commit
        .submit(vec![put("row", Condition::Absent)])
        .await;
    assert_eq!(outcome, Ok(()));
    assert!(platform.counters().lost_responses > 0);
    assert!(platform.counters().condition_failures > 0);
    let after = instance
        .commit
        .submit(vec![put("after", Condition::Absent)])
        .await;
    assert_eq!(after, Ok(()));
    assert_eq!(lease(&platform, "i0").incarnation, 1);
    assert_eq!(instance.seen.lock().expect("unpoisoned").fenced, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_write_never_lands_late() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    until("every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    // The first attempt is on its way for a second; the second one is refused at once.
    platform.delay_writes(1, 1_000);
    let writes = vec![
        check("gate", Condition::Present),
        put("row", Condition::Absent),
    ];
    let outcome = instance.commit.submit(writes).await;
    assert_eq!(outcome, Err(Failure::Conflict));
    assert_eq!(platform.counters().delayed, 1);
    // Now only the lease row's version speaks against the first attempt.
    platform.put_row("test", "gate", 1, &json!({}));
    let refused = platform.counters().condition_failures;
    until("the late attempt", || {
        platform.counters().condition_failures > refused
    })
    .await;
    assert_eq!(platform.row("test", "row"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn late_write_is_not_doubled() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.delay_writes(1, 500);
    let outcome = instance
        .commit
        .submit(vec![put("row", Condition::Absent)])
        .await;
    assert_eq!(outcome, Ok(()));
    until("the late attempt", || platform.counters().replayed > 0).await;
    assert_eq!(instance.seen.lock().expect("unpoisoned").fenced, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_lost_at_random_leave_what_was_told() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.lose_responses_at_random(0.3, 11);
    for round in 0..20 {
        let names: Vec<String> = (0..10).map(|n| format!("{round:02}-{n}")).collect();
        let submits = names.iter().enumerate().map(|(n, name)| {
            let gate = if n % 3 == 0 {
                Condition::Present
            } else {
                Condition::None
            };
            let gate = (n % 3 == 0).then(|| check("missing", gate));
            let writes = [put(name, Condition::Absent)].into_iter().chain(gate);
            instance.commit.submit(writes.collect())
        });
        let outcomes = join_all(submits).await;
        for (n, (name, outcome)) in names.iter().zip(outcomes).enumerate() {
            let expected = if n % 3 == 0 {
                Err(Failure::Conflict)
            } else {
                Ok(())
            };
            assert_eq!(outcome, expected, "{name}");
            assert_eq!(
                platform.row("test", name).is_some(),
                outcome.is_ok(),
                "{name}"
            );
        }
    }
    assert!(
        platform.counters().lost_responses > 3,
        "{:?}",
        platform.counters()
    );
    assert_eq!(instance.seen.lock().expect("unpoisoned").fenced, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_slower_than_the_first_time_out_is_waited_for() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_latency_ms(2_000);
    let outcome = instance
        .commit
        .submit(vec![put("row", Condition::Absent)])
        .await;
    assert_eq!(outcome, Ok(()));
    platform.set_latency_ms(0);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(instance.seen.lock().expect("unpoisoned").fenced, 0);
}
