//! Property tests of batch selection: distinct rows, order, size limits and progress.

use std::collections::BTreeSet;

use basilramp_core::batch::{Bounds, Submission, select};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn submissions() -> impl Strategy<Value = Vec<Submission<u8>>> {
    let keys = prop::collection::btree_set(0_u8..12, 1..4);
    let submission = (keys, 1_usize..50).prop_map(|(keys, bytes)| Submission {
        keys: keys.into_iter().collect(),
        bytes,
    });
    prop::collection::vec(submission, 0..30)
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
    fn batch_has_distinct_rows_within_bounds(submissions in submissions(), bounds in bounds()) {
        let selected = select(submissions.iter().cloned(), bounds);
        let keys: Vec<u8> = selected.iter().flat_map(|index| submissions[*index].keys.clone()).collect();
        let distinct: BTreeSet<u8> = keys.iter().copied().collect();
        prop_assert_eq!(keys.len(), distinct.len());
        let bytes: usize = selected.iter().map(|index| submissions[*index].bytes).sum();
        prop_assert!(selected.len() <= 1 || (keys.len() <= bounds.max_rows && bytes <= bounds.max_bytes));
    }

    #[test]
    fn submissions_with_common_rows_keep_their_order(submissions in submissions(), bounds in bounds()) {
        let selected = select(submissions.iter().cloned(), bounds);
        for index in &selected {
            let earlier = (0..*index).filter(|earlier| !selected.contains(earlier));
            for skipped in earlier {
                let shared = submissions[skipped].keys.iter().any(|key| submissions[*index].keys.contains(key));
                prop_assert!(!shared, "submission {index} overtook {skipped}");
            }
        }
    }

    #[test]
    fn first_submission_is_always_selected(submissions in submissions(), bounds in bounds()) {
        let selected = select(submissions.iter().cloned(), bounds);
        prop_assert_eq!(selected.first().copied(), (!submissions.is_empty()).then_some(0));
        prop_assert!(selected.is_sorted());
    }
}
