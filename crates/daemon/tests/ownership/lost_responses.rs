//! Store responses that are lost or delayed: the outcome of a write is resolved, not guessed.

use std::time::Duration;

use basilramp_daemon::commit::Failure;
use basilramp_fakes::platform;
use basilramp_platform::table::Condition;
use futures_util::future::join_all;
use serde_json::json;

use crate::support::{check_row, join, lease_row, put_row, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn lost_response_is_resolved_by_a_retry_with_the_same_token() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.lose_responses(1);
    let outcome = instance
        .commit
        .submit(vec![put_row("row", Condition::Absent)])
        .await;
    assert_eq!(outcome, Ok(()));
    assert_eq!(platform.row("test", "row").map(|row| row.version), Some(1));
    assert!(platform.counters().lost_responses > 0);
    assert!(platform.counters().replayed > 0);
    assert_eq!(lease_row(&platform, "i0").incarnation, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_response_is_resolved_by_reading_back_if_the_store_no_longer_knows_the_token() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.discard_transaction_tokens();
    platform.lose_responses(1);
    let outcome = instance
        .commit
        .submit(vec![put_row("row", Condition::Absent)])
        .await;
    assert_eq!(outcome, Ok(()));
    assert!(platform.counters().lost_responses > 0);
    assert!(platform.counters().condition_failures > 0);
    let after = instance
        .commit
        .submit(vec![put_row("after", Condition::Absent)])
        .await;
    assert_eq!(after, Ok(()));
    assert_eq!(lease_row(&platform, "i0").incarnation, 1);
    assert_eq!(
        instance
            .observed
            .lock()
            .expect("the mutex is not poisoned")
            .fenced,
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn rejected_write_is_never_applied_by_a_delayed_attempt() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    wait_until("ownership of every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    // The first attempt reaches the store after a second; the second attempt is rejected at once.
    platform.delay_writes(1, 1_000);
    let writes = vec![
        check_row("gate", Condition::Present),
        put_row("row", Condition::Absent),
    ];
    let outcome = instance.commit.submit(writes).await;
    assert_eq!(outcome, Err(Failure::Conflict));
    assert_eq!(platform.counters().delayed, 1);
    // From here only the condition on the lease row's version rejects the first attempt.
    platform.put_row("test", "gate", 1, &json!({}));
    let rejected = platform.counters().condition_failures;
    wait_until("the delayed attempt", || {
        platform.counters().condition_failures > rejected
    })
    .await;
    assert_eq!(platform.row("test", "row"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn delayed_write_is_not_applied_twice() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.delay_writes(1, 500);
    let outcome = instance
        .commit
        .submit(vec![put_row("row", Condition::Absent)])
        .await;
    assert_eq!(outcome, Ok(()));
    wait_until("the delayed attempt", || platform.counters().replayed > 0).await;
    assert_eq!(
        instance
            .observed
            .lock()
            .expect("the mutex is not poisoned")
            .fenced,
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn reported_outcomes_match_the_store_when_responses_are_lost_at_random() {
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
            let gate = (n % 3 == 0).then(|| check_row("missing", gate));
            let writes = [put_row(name, Condition::Absent)].into_iter().chain(gate);
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
    assert_eq!(
        instance
            .observed
            .lock()
            .expect("the mutex is not poisoned")
            .fenced,
        0
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn write_succeeds_when_the_store_is_slower_than_the_first_timeout() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_latency_ms(2_000);
    let outcome = instance
        .commit
        .submit(vec![put_row("row", Condition::Absent)])
        .await;
    assert_eq!(outcome, Ok(()));
    platform.set_latency_ms(0);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        instance
            .observed
            .lock()
            .expect("the mutex is not poisoned")
            .fenced,
        0
    );
}
