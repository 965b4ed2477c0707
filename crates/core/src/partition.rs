//! Which instance a partition, or anything else with a key, belongs with.
//!
//! Rendezvous hashing: each instance has a weight for the key, and the heaviest is wanted. An
//! instance that comes or goes moves only what it gains or loses.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;

/// Returns the instance that `key` belongs with, or nothing if there is no instance.
pub fn preferred_instance<'a>(
    key: &[u8],
    instances: impl IntoIterator<Item = &'a id::Instance>,
) -> Option<&'a id::Instance> {
    instances
        .into_iter()
        .max_by_key(|instance| (weight(key, instance), *instance))
}

/// Returns how many of the other instances come before `own` for `key`.
pub fn rank<'a>(
    key: &[u8],
    own: &id::Instance,
    instances: impl IntoIterator<Item = &'a id::Instance>,
) -> usize {
    let own_weight = (weight(key, own), own);
    instances
        .into_iter()
        .filter(|instance| (weight(key, instance), *instance) > own_weight)
        .count()
}

/// Returns the key that a partition is hashed by.
#[must_use]
pub fn hash_key(partition: id::Partition) -> [u8; 2] {
    partition.0.to_be_bytes()
}

fn weight(key: &[u8], instance: &id::Instance) -> u64 {
    let seed = xxh3_64_with_seed(key, 0);
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}
