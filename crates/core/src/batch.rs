//! Selection of queued submissions for the next transaction.

use std::collections::BTreeSet;

/// Size limits of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of rows.
    pub max_rows: usize,
    /// Maximum size in bytes.
    pub max_bytes: usize,
}

/// The rows and size of a queued submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission<K> {
    /// Keys of the affected rows, without duplicates.
    pub keys: Vec<K>,
    /// Size in bytes.
    pub bytes: usize,
}

/// Returns the indices of the submissions that form the next transaction, in order.
///
/// A row appears at most once, and submissions with a common row keep their order: a submission
/// that is left out also blocks every later one that shares a row with it. The first submission is
/// always selected, even if it exceeds the limits, so that every submission is sent eventually.
pub fn select<K: Ord + Clone>(
    entries: impl IntoIterator<Item = Submission<K>>,
    bounds: Bounds,
) -> Vec<usize> {
    let mut touched = BTreeSet::new();
    let mut chosen = Vec::new();
    let mut rows = 0;
    let mut bytes = 0;
    for (place, entry) in entries.into_iter().enumerate() {
        let fits =
            rows + entry.keys.len() <= bounds.max_rows && bytes + entry.bytes <= bounds.max_bytes;
        let free = entry.keys.iter().all(|key| !touched.contains(key));
        if (fits || chosen.is_empty()) && free {
            rows += entry.keys.len();
            bytes += entry.bytes;
            chosen.push(place);
        }
        touched.extend(entry.keys);
        if rows >= bounds.max_rows || bytes >= bounds.max_bytes {
            break;
        }
    }
    chosen
}
