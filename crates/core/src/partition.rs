//! Assignment of partitions and other keys to instances by rendezvous hashing.
//!
//! Each instance has a weight for a key, and the key belongs to the instance with the highest
//! weight. When an instance joins or leaves, only the keys that it gains or loses move.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id;

/// Returns the instance with the highest weight for `key`, or `None` if there are no instances.
pub fn preferred_instance<'a>(
    key: &[u8],
    instances: impl IntoIterator<Item = &'a id::Instance>,
) -> Option<&'a id::Instance> {
    instances
        .into_iter()
        .max_by_key(|instance| (weight(key, instance), *instance))
}

/// Returns the number of instances with a higher weight for `key` than `own`.
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

/// Returns the hash key of a partition.
#[must_use]
pub fn hash_key(partition: id::Partition) -> [u8; 2] {
    partition.0.to_be_bytes()
}

fn weight(key: &[u8], instance: &id::Instance) -> u64 {
    let seed = xxh3_64_with_seed(key, 0);
    xxh3_64_with_seed(instance.as_str().as_bytes(), seed)
}
