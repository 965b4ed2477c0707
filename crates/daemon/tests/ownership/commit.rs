//! Batches, failed checks, withdrawal and bounds.

use assert_matches::assert_matches;
use basilramp_core::id;
use basilramp_daemon::commit::Failure;
use basilramp_fakes::platform;
use basilramp_platform::table::{Condition, Key, Write};
use futures_util::future::join_all;
use serde_json::json;

use crate::support::{join, put, until};

#[tokio::test(flavor = "multi_thread")]
async fn submissions_share_transactions() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_latency_ms(20);
    let names: Vec<String> = (0..300).map(|number| format!("{number:03}")).collect();
    let submits = names
        .iter()
        .map(|name| instance.commit.submit(vec![put(name, Condition::Absent)]));
    let outcomes = join_all(submits).await;
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    assert_eq!(platform.rows("test").len(), names.len());
    let stats = instance.commit.stats();
    assert!(stats.largest_batch > 50, "{stats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_check_spares_the_rest_of_the_batch() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.put_row("test", "taken", 7, &json!({}));
    platform.set_latency_ms(50);
    let names: Vec<String> = (0..20).map(|number| format!("{number:02}")).collect();
    let good = names
        .iter()
        .map(|name| instance.commit.submit(vec![put(name, Condition::Absent)]));
    let bad = instance.commit.submit(vec![
        put("partner", Condition::Absent),
        put("taken", Condition::Absent),
    ]);
    let (bad, good) = tokio::join!(bad, join_all(good));
    assert_eq!(bad, Err(Failure::Conflict));
    assert!(good.iter().all(Result::is_ok), "{good:?}");
    assert_eq!(platform.row("test", "partner"), None);
    assert_eq!(platform.rows("test").len(), names.len() + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_submission_spares_the_rest_of_the_batch() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_latency_ms(50);
    let twice = vec![put("same", Condition::None), put("same", Condition::None)];
    let (first, bad, last) = tokio::join!(
        instance
            .commit
            .submit(vec![put("first", Condition::Absent)]),
        instance.commit.submit(twice),
        instance.commit.submit(vec![put("last", Condition::Absent)]),
    );
    assert_eq!((first, last), (Ok(()), Ok(())));
    assert_eq!(bad, Err(Failure::Conflict));
}

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_write_never_lands() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    until("every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    // A heartbeat without an answer holds the loop, so that nothing else is sent.
    platform.set_latency_ms(20_000);
    until("a heartbeat without an answer", || {
        instance.commit.stats().unknown > 0
    })
    .await;
    let writes = vec![put("late", Condition::Absent)];
    let outcome = instance.commit.submit_with_timeout(writes, 300).await;
    assert_eq!(outcome, Err(Failure::Withdrawn));
    platform.set_latency_ms(0);
    let after = instance
        .commit
        .submit(vec![put("after", Condition::Absent)])
        .await;
    assert_eq!(after, Ok(()));
    assert_eq!(platform.row("test", "late"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn write_that_was_sent_is_not_called_withdrawn() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_latency_ms(1_000);
    let writes = vec![put("slow", Condition::Absent)];
    let outcome = instance.commit.submit_with_timeout(writes, 500).await;
    // The heartbeat may hold the loop until the time has run out, so that nothing is sent.
    let expected = match outcome {
        Err(Failure::Unknown) => true,
        Err(Failure::Withdrawn) => false,
        other => panic!("{other:?}"),
    };
    platform.set_latency_ms(0);
    let after = instance
        .commit
        .submit(vec![put("after", Condition::Absent)])
        .await;
    assert_eq!(after, Ok(()));
    assert_eq!(platform.row("test", "slow").is_some(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn queue_is_bounded_by_bytes() {
    let platform = platform::spawn();
    let limits = json!({"limits": {"uncommitted_bytes": 1_000}});
    let instance = join(&platform, "i0", &limits).await;
    until("every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    platform.set_down(true);
    let handle = instance.commit.clone();
    let waiting = tokio::spawn(async move {
        let names: Vec<String> = (0..20).map(|number| format!("{number:02}")).collect();
        let submits = names
            .iter()
            .map(|name| handle.submit(vec![put(name, Condition::Absent)]));
        join_all(submits).await
    });
    until("a full queue", || {
        instance.commit.stats().queued_bytes > 800
    })
    .await;
    let refused = instance
        .commit
        .submit_with_timeout(vec![put("no", Condition::Absent)], 60_000)
        .await;
    assert_eq!(refused, Err(Failure::Withdrawn));
    assert!(instance.commit.stats().queued_bytes <= 1_000);
    platform.set_down(false);
    let outcomes = waiting.await.expect("no panic");
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    assert_eq!(platform.row("test", "no"), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn throttled_writes_land_once_each() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    platform.set_rate_limits(1, 2_000);
    let names: Vec<String> = (0..250).map(|number| format!("{number:03}")).collect();
    let submits = names
        .iter()
        .map(|name| instance.commit.submit(vec![put(name, Condition::Absent)]));
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
async fn writes_of_programs_that_are_not_owned_fail() {
    let platform = platform::spawn();
    let instance = join(&platform, "i0", &json!({})).await;
    until("every partition", || {
        instance.membership.owned_count() == 1024
    })
    .await;
    let program = id::Program::root(&id::Account::new("a"), &id::Request::new("r"));
    let partition = program.partition();
    let term = instance.membership.owned_term(partition).expect("owned");
    let write = |sort: &str| Write {
        key: Key::new(format!("program/{program}"), sort),
        ..put("", Condition::Absent)
    };
    let current = instance.commit.scoped_to(partition, term);
    assert_eq!(current.submit(vec![write("head")]).await, Ok(()));
    let stale = instance.commit.scoped_to(partition, id::Term(term.0 + 1));
    let refused = stale.submit(vec![write("turn/00000000")]).await;
    assert_matches!(refused, Err(Failure::Fenced));
    assert!(instance.membership.leave(10_000).await);
    let refused = instance.commit.submit(vec![write("turn/00000000")]).await;
    assert_matches!(refused, Err(Failure::Fenced));
}
