//! A digest of texts that is the same in every process.

use xxhash_rust::xxh3::Xxh3;

/// Returns the 64-bit digest of texts and their lengths.
pub(crate) fn hash_texts<'a>(texts: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hash = Xxh3::new();
    for text in texts {
        hash.update(&(text.len() as u64).to_be_bytes());
        hash.update(text.as_bytes());
    }
    hash.digest()
}
