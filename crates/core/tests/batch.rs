//! Properties of batches: no row twice, order kept, bounds kept, nothing starves.

use std::collections::BTreeSet;

use basilramp_core::batch::{Bounds, Submission, select};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn entries() -> impl Strategy<Value = Vec<Submission<u8>>> {
    let keys = prop::collection::btree_set(0_u8..12, 1..4);
    let entry = (keys, 1_usize..50).prop_map(|(keys, bytes)| Submission {
        keys: keys.into_iter().collect(),
        bytes,
    });
    prop::collection::vec(entry, 0..30)
}

fn bounds() -> impl Strategy<Value = Bounds> {
    (1_usize..20, 1_usize..200).prop_map(|(max_rows, max_bytes)| Bounds {
        max_rows,
        max_bytes,
    })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn batch_touches_no_row_twice_and_keeps_bounds(entries in entries(), bounds in bounds()) {
        let chosen = select(entries.iter().cloned(), bounds);
        let keys: Vec<u8> = chosen.iter().flat_map(|at| entries[*at].keys.clone()).collect();
        let distinct: BTreeSet<u8> = keys.iter().copied().collect();
        prop_assert_eq!(keys.len(), distinct.len());
        let bytes: usize = chosen.iter().map(|at| entries[*at].bytes).sum();
        prop_assert!(chosen.len() <= 1 || (keys.len() <= bounds.max_rows && bytes <= bounds.max_bytes));
    }

    #[test]
    fn no_entry_overtakes_one_with_a_row_in_common(entries in entries(), bounds in bounds()) {
        let chosen = select(entries.iter().cloned(), bounds);
        for at in &chosen {
            let earlier = (0..*at).filter(|earlier| !chosen.contains(earlier));
            for left_out in earlier {
                let shared = entries[left_out].keys.iter().any(|key| entries[*at].keys.contains(key));
                prop_assert!(!shared, "{at} overtook {left_out}");
            }
        }
    }

    #[test]
    fn first_entry_always_goes(entries in entries(), bounds in bounds()) {
        let chosen = select(entries.iter().cloned(), bounds);
        prop_assert_eq!(chosen.first().copied(), (!entries.is_empty()).then_some(0));
        prop_assert!(chosen.is_sorted());
    }
}
