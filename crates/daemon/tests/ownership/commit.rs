//! Commit loop: batching, failed conditions, withdrawal after a timeout and queue bounds.

use assert_matches::assert_matches;
use basilramp_core::id;
use basilramp_daemon::commit::Failure;
use basilramp_fakes::platform;
use basilramp_platform::table::{Condition, Key, Write};
use futures_util::future::join_all;
use serde_json::json;

use crate::support::{join, put_row, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_submissions_share_transactions() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_latency_ms(20);
    let names: Vec<String> = (0..300).map(|number| format!("{number:03}")).collect();
    let submits = names.iter().map(|name| {
        instance
            .commit
            .submit(vec![put_row(name, Condition::Absent)])
    });
    let outcomes = join_all(submits).await;
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    assert_eq!(platform.rows("test").len(), names.len());
    let stats = instance.commit.stats();
    assert!(stats.largest_batch > 50, "{stats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_condition_does_not_fail_the_rest_of_the_batch() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.put_row("test", "taken", 7, &json!({}));
    platform.set_latency_ms(50);
    let names: Vec<String> = (0..20).map(|number| format!("{number:02}")).collect();
    let good = names.iter().map(|name| {
        instance
            .commit
            .submit(vec![put_row(name, Condition::Absent)])
    });
    let bad = instance.commit.submit(vec![
        put_row("partner", Condition::Absent),
        put_row("taken", Condition::Absent),
    ]);
    let (bad, good) = tokio::join!(bad, join_all(good));
    assert_eq!(bad, Err(Failure::Conflict));
    assert!(good.iter().all(Result::is_ok), "{good:?}");
    assert_eq!(platform.row("test", "partner"), None);
    assert_eq!(platform.rows("test").len(), names.len() + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_submission_does_not_fail_the_rest_of_the_batch() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_latency_ms(50);
    let twice = vec![
        put_row("same", Condition::None),
        put_row("same", Condition::None),
    ];
    let (first, bad, last) = tokio::join!(
        instance
            .commit
            .submit(vec![put_row("first", Condition::Absent)]),
        instance.commit.submit(twice),
        instance
            .commit
            .submit(vec![put_row("last", Condition::Absent)]),
    );
    assert_eq!((first, last), (Ok(()), Ok(())));
    assert_eq!(bad, Err(Failure::Conflict));
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_write_is_never_applied() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    wait_until("ownership of every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    // The loop waits for the response to a heartbeat, so nothing else is sent.
    platform.set_latency_ms(20_000);
    wait_until("a heartbeat without a response", || {
        instance.commit.stats().unknown > 0
    })
    .await;
    let writes = vec![put_row("late", Condition::Absent)];
    let outcome = instance.commit.submit_with_timeout(writes, 300).await;
    assert_eq!(outcome, Err(Failure::Withdrawn));
    platform.set_latency_ms(0);
    let after = instance
        .commit
        .submit(vec![put_row("after", Condition::Absent)])
        .await;
    assert_eq!(after, Ok(()));
    assert_eq!(platform.row("test", "late"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn sent_write_is_not_reported_as_withdrawn() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_latency_ms(1_000);
    let writes = vec![put_row("slow", Condition::Absent)];
    let outcome = instance.commit.submit_with_timeout(writes, 500).await;
    // A heartbeat in flight may block the loop until the timeout, so that the write is not sent.
    let was_sent = match outcome {
        Err(Failure::Unknown) => true,
        Err(Failure::Withdrawn) => false,
        other => panic!("{other:?}"),
    };
    platform.set_latency_ms(0);
    let after = instance
        .commit
        .submit(vec![put_row("after", Condition::Absent)])
        .await;
    assert_eq!(after, Ok(()));
    assert_eq!(platform.row("test", "slow").is_some(), was_sent);
}

#[tokio::test(flavor = "multi_thread")]
async fn queue_is_bounded_by_bytes() {
    let platform = platform::spawn();
    let limits = json!({"limits": {"uncommitted_bytes": 1_000}});
    let instance = join(&platform, "i0", &limits).await;
    wait_until("ownership of every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    platform.set_down(true);
    let handle = instance.commit.clone();
    let waiting = tokio::spawn(async move {
        let names: Vec<String> = (0..20).map(|number| format!("{number:02}")).collect();
        let submits = names
            .iter()
            .map(|name| handle.submit(vec![put_row(name, Condition::Absent)]));
        join_all(submits).await
    });
    wait_until("a full commit queue", || {
        instance.commit.stats().queued_bytes > 800
    })
    .await;
    let rejected = instance
        .commit
        .submit_with_timeout(vec![put_row("no", Condition::Absent)], 60_000)
        .await;
    assert_eq!(rejected, Err(Failure::Withdrawn));
    assert!(instance.commit.stats().queued_bytes <= 1_000);
    platform.set_down(false);
    let outcomes = waiting.await.expect("the task does not panic");
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    assert_eq!(platform.row("test", "no"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn throttled_writes_are_each_applied_once() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_rate_limits(1, 2_000);
    let names: Vec<String> = (0..250).map(|number| format!("{number:03}")).collect();
    let submits = names.iter().map(|name| {
        instance
            .commit
            .submit(vec![put_row(name, Condition::Absent)])
    });
    let outcomes = join_all(submits).await;
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    assert!(
        platform.counters().throttled > 0,
        "{:?}",
        platform.counters()
    );
    assert_eq!(platform.rows("test").len(), names.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn program_writes_without_current_ownership_are_fenced() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    wait_until("ownership of every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    let program = id::Program::root(&id::Account::new("a"), &id::Request::new("r"));
    let partition = program.partition();
    let term = instance
        .membership
        .owned_term(partition)
        .expect("the partition is owned");
    let write = |sort: &str| Write {
        key: Key::new(format!("program/{program}"), sort),
        ..put_row("", Condition::Absent)
    };
    let current = instance.commit.scoped_to(partition, term);
    assert_eq!(current.submit(vec![write("head")]).await, Ok(()));
    let stale = instance.commit.scoped_to(partition, id::Term(term.0 + 1));
    let rejected = stale.submit(vec![write("turn/00000000")]).await;
    assert_matches!(rejected, Err(Failure::Fenced));
    assert!(instance.membership.leave(10_000).await);
    let rejected = instance.commit.submit(vec![write("turn/00000000")]).await;
    assert_matches!(rejected, Err(Failure::Fenced));
}
