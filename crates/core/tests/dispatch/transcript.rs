//! Transcripts and their cache.

use basilramp_core::dispatch::transcript::{TranscriptBuilder, TurnCache};

#[test]
fn transcript_joins_previous_turns_input_and_events() {
    let mut first = TranscriptBuilder::new(None, b"one,");
    first.push_event(b"t1");
    first.push_event(b"t2");
    let first = first.finish();
    assert_eq!(&*first, b"one,t1\nt2\n");
    let second = TranscriptBuilder::new(Some(&first), b"two,");
    assert_eq!(second.prompt(), b"one,t1\nt2\ntwo,");
}

#[test]
fn full_cache_evicts_the_least_recently_used_turn() {
    let mut cache = TurnCache::new(30);
    for name in ["a", "b", "c"] {
        cache.insert(name.into(), name, 10);
    }
    assert_eq!(cache.get("a"), Some("a"));
    cache.insert("d".into(), "d", 10);
    assert_eq!(cache.get("b"), None);
    assert_eq!(cache.get("a"), Some("a"));
    assert_eq!(cache.bytes(), 30);
    cache.insert("a".into(), "again", 5);
    assert_eq!((cache.get("a"), cache.bytes()), (Some("again"), 25));
}

#[test]
fn turn_larger_than_the_cache_is_not_stored() {
    let mut cache = TurnCache::new(30);
    cache.insert("a".into(), "a", 31);
    assert_eq!((cache.get("a"), cache.bytes()), (None, 0));
}
