//! Tests of the service order.

use basilramp_core::clock::Time;
use basilramp_core::queue::{BACKLOG_STEP_MS, OVERTAKE_MS, Queue, Rank};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const fn rank(arrived: u64, attained: u64, cached: bool, backlog: u32) -> Rank {
    Rank {
        arrived: Time::from_ms(arrived),
        attained,
        cached,
        backlog,
    }
}

fn service_order(ranks: &[Rank]) -> Vec<usize> {
    let mut queue = Queue::default();
    for (index, rank) in ranks.iter().enumerate() {
        queue.push(*rank, index);
    }
    std::iter::from_fn(|| queue.pop()).collect()
}

#[test]
fn program_with_less_attained_service_goes_first() {
    let ranks = [rank(0, 50_000, false, 0), rank(100, 500, false, 0)];
    assert_eq!(service_order(&ranks), [1, 0]);
}

#[test]
fn a_cached_prefix_goes_first() {
    let ranks = [rank(0, 500, false, 0), rank(100, 500, true, 0)];
    assert_eq!(service_order(&ranks), [1, 0]);
}

#[test]
fn equal_ranks_keep_their_order() {
    let ranks = [rank(5, 500, true, 0); 4];
    assert_eq!(service_order(&ranks), [0, 1, 2, 3]);
}

#[test]
fn a_removed_item_is_not_served() {
    let mut queue = Queue::default();
    queue.push(rank(0, 0, false, 0), "first");
    let key = queue.push(rank(1, 0, false, 0), "second");
    queue.push(rank(2, 0, false, 0), "third");
    assert_eq!(queue.remove(key), Some("second"));
    assert_eq!(queue.remove(key), None);
    assert_eq!(queue.pop(), Some("first"));
    assert_eq!(queue.pop(), Some("third"));
    assert!(queue.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_request_is_overtaken_by_a_much_later_arrival(
        ranks in prop::collection::vec(
            (0_u64..60_000, (0_u32..64).prop_map(|bits| 1 << bits), any::<bool>(), 0_u32..20)
                .prop_map(|(at, attained, cached, backlog)| rank(at, attained, cached, backlog)),
            1..60,
        ),
    ) {
        let order = service_order(&ranks);
        for (position, later) in order.iter().enumerate() {
            for earlier in &order[position + 1..] {
                let (later, earlier) = (ranks[*later], ranks[*earlier]);
                let backlog_ms = u64::from(earlier.backlog) * BACKLOG_STEP_MS;
                let overtaken = later.arrived.since(earlier.arrived);
                prop_assert!(overtaken <= OVERTAKE_MS + backlog_ms);
            }
        }
    }
}
