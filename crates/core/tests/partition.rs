//! Property tests of rendezvous hashing: minimal moves, even shares and a consistent ranking.

use std::collections::BTreeSet;

use basilramp_core::id::{self, PARTITIONS, Partition};
use basilramp_core::partition::{hash_key, preferred_instance, rank};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn instances() -> impl Strategy<Value = Vec<id::Instance>> {
    prop::collection::btree_set("[a-z0-9-]{1,12}", 2..20)
        .prop_map(|names| names.into_iter().map(id::Instance::new).collect())
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
    fn removing_an_instance_moves_only_its_partitions(instances in instances(), lost in any::<prop::sample::Index>()) {
        let lost = lost.get(&instances);
        let remaining: Vec<&id::Instance> = instances.iter().filter(|other| *other != lost).collect();
        for partition in (0..PARTITIONS).map(Partition) {
            let before = preferred_instance(&hash_key(partition), &instances).expect("at least one instance");
            let after = preferred_instance(&hash_key(partition), remaining.iter().copied()).expect("at least one instance");
            prop_assert!(before == after || before == lost);
        }
    }

    #[test]
    fn ranks_are_a_permutation_starting_at_the_preferred_instance(instances in instances(), partition in 0..PARTITIONS) {
        let key = hash_key(Partition(partition));
        let ranks: BTreeSet<usize> = instances.iter().map(|own| rank(&key, own, &instances)).collect();
        prop_assert_eq!(ranks, (0..instances.len()).collect());
        let first = instances.iter().find(|own| rank(&key, own, &instances) == 0);
        prop_assert_eq!(first, preferred_instance(&key, &instances));
    }
}

#[test]
fn twelve_instances_have_even_shares() {
    let instances: Vec<id::Instance> = (0..12)
        .map(|n| id::Instance::new(format!("i{n}")))
        .collect();
    for own in &instances {
        let all = (0..PARTITIONS).map(Partition);
        let share = all
            .filter(|at| preferred_instance(&hash_key(*at), &instances) == Some(own))
            .count();
        assert!((60..=115).contains(&share), "{own}: {share}");
    }
}
