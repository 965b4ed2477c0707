//! What instances know about the rates that overloaded upstreams accept.

use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::rate_limit::{Announcement, Rate, RateLimits};

const NONE: Announcement = Announcement::Unlimited;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn rate(per_s: u64) -> Rate {
    Rate::from_milli_per_s(per_s * 1_000)
}

fn limited(per_s: u64) -> Announcement {
    Announcement::Limited(rate(per_s))
}

#[test]
fn a_limit_holds_while_responses_name_it() {
    let upstream: Arc<str> = "u1".into();
    let mut limits = RateLimits::default();
    assert!(!limits.observe(&upstream, NONE, at(0), at(10)));
    assert!(limits.observe(&upstream, limited(4), at(20), at(30)));
    assert!(!limits.observe(&upstream, limited(4), at(40), at(50)));
    assert!(limits.observe(&upstream, limited(9), at(60), at(70)));
    assert_eq!(limits.rate("u1"), Some(rate(9)));
    assert!(limits.observe(&upstream, NONE, at(80), at(90)));
    assert_eq!(limits.rate("u1"), None);
    assert!(limits.observe(&upstream, limited(2), at(100), at(110)));
    assert_eq!(limits.rate("u1"), Some(rate(2)));
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let upstream: Arc<str> = "u1".into();
    let mut limits = RateLimits::default();
    assert!(!limits.observe(&upstream, Announcement::Unreadable, at(0), at(1)));
    assert_eq!(limits.rate("u1"), None);
    limits.observe(&upstream, limited(4), at(2), at(3));
    assert!(!limits.observe(&upstream, Announcement::Unreadable, at(4), at(5)));
    assert_eq!(limits.rate("u1"), Some(rate(4)));
}

/// An instance may be suspended between a response and its processing.
#[test]
fn a_late_response_does_not_loosen_a_limit() {
    let upstream: Arc<str> = "u1".into();
    let mut limits = RateLimits::default();
    limits.observe(&upstream, limited(4), at(100), at(110));
    for late in [NONE, limited(9)] {
        assert!(!limits.observe(&upstream, late, at(90), at(5_000)));
        assert_eq!(limits.rate("u1"), Some(rate(4)));
    }
    assert!(limits.observe(&upstream, limited(1), at(90), at(5_000)));
    assert_eq!(limits.rate("u1"), Some(rate(1)));
}
