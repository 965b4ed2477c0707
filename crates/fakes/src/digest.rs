//! Text hashes that are equal in every process.

use xxhash_rust::xxh3::Xxh3;

/// Returns the 64-bit XXH3 hash of a list of texts, each prefixed with its length.
pub(crate) fn hash_texts<'a>(texts: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hash = Xxh3::new();
    for text in texts {
        hash.update(&(text.len() as u64).to_be_bytes());
        hash.update(text.as_bytes());
    }
    hash.digest()
}
