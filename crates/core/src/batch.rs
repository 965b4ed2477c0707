//! Chooses which of the queued submissions go into the next transaction.

use std::collections::BTreeSet;

/// Bounds on one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum rows.
    pub max_rows: usize,
    /// Maximum bytes.
    pub max_bytes: usize,
}

/// A submission: what it touches and how large it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission<K> {
    /// The rows that it touches, each once.
    pub keys: Vec<K>,
    /// Its size.
    pub bytes: usize,
}

/// Returns the places of the entries that go together, in order.
///
/// No row is touched twice, and entries that touch the same row keep their order: one that is
/// left out holds back every later one with a row in common. The first entry always goes.
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
