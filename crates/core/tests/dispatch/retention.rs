//! Rows of turns are removed after their retention time, and not before.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::retention::Retention;
use proptest::prelude::*;

const RETENTION_MS: u64 = 60_000;

fn take_expired(retention: &mut Retention, partition: &str, ms: u64) -> Vec<String> {
    let expired = retention.take_expired(partition, Time::from_ms(ms));
    expired
        .iter()
        .map(|stored| stored.attempt.to_string())
        .collect()
}

#[test]
fn expired_turns_are_returned_once() {
    let mut retention = Retention::default();
    retention.record("p01", "t1".into(), 2, RETENTION_MS, Time::ZERO);
    retention.record("p01", "t2".into(), 1, RETENTION_MS, Time::from_ms(1_000));
    assert!(take_expired(&mut retention, "p01", RETENTION_MS).is_empty());
    assert!(take_expired(&mut retention, "p02", RETENTION_MS + 5_000).is_empty());
    assert_eq!(
        take_expired(&mut retention, "p01", RETENTION_MS + 5_000),
        ["t1"]
    );
    assert!(take_expired(&mut retention, "p01", RETENTION_MS + 5_000).is_empty());
    assert_eq!(
        take_expired(&mut retention, "p01", RETENTION_MS + 6_000),
        ["t2"]
    );
}

proptest! {
    /// A route's retention time changes, so later turns may expire earlier than previous ones.
    #[test]
    fn no_turn_is_removed_before_its_retention_ends(
        turns in prop::collection::vec((0..3_usize, 0..400_u64, 1..90_000_u64), 1..200),
    ) {
        let mut retention = Retention::default();
        let mut retained_until = std::collections::BTreeMap::new();
        let mut now = 0;
        for (index, (partition, pause, retention_ms)) in turns.into_iter().enumerate() {
            now += pause;
            let partition = format!("p{partition}");
            for turn in take_expired(&mut retention, &partition, now) {
                prop_assert!(retained_until[&turn] <= now, "{turn} at {now}");
            }
            let turn = format!("t{index}");
            retention.record(&partition, turn.as_str().into(), 1, retention_ms, Time::from_ms(now));
            retained_until.insert(turn, now + retention_ms);
        }
    }
}
