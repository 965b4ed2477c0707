//! Tests of the upstream list and of the cache view.

use std::sync::Arc;

use basilramp_core::cache::{self, STALE_TTL_MS};
use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role, View};

fn listing(id: &str, ready: bool) -> Listing {
    Listing {
        id: id::Upstream::new(id),
        role: Role::Engine,
        address: ([127, 0, 0, 1], 9_000).into(),
        place: Arc::from("north"),
        group: Arc::from(""),
        failure_domain: Arc::from("a"),
        ready,
    }
}

fn engine() -> id::Upstream {
    id::Upstream::new("engine-1")
}

fn program(number: u32) -> id::Program {
    let request = id::Request::new(number.to_string());
    id::Program::root(&id::Account::new("account"), &request)
}

#[test]
fn upstream_accepts_work_only_while_listed_as_ready() {
    let mut view = View::default();
    view.apply([listing("engine-1", true)]);
    assert!(view.accepts_work(&engine()));
    view.apply([listing("engine-1", false)]);
    assert!(!view.accepts_work(&engine()));
    view.apply([listing("engine-1", true)]);
    assert!(view.accepts_work(&engine()));
    view.apply([]);
    assert!(!view.accepts_work(&engine()));
}

#[test]
fn unready_duplicate_listing_blocks_new_work_until_removed() {
    let mut view = View::default();
    view.apply([listing("engine-1", true), listing("engine-1", false)]);
    assert!(!view.accepts_work(&engine()));
    view.apply([listing("engine-1", true)]);
    assert!(view.accepts_work(&engine()));
}

#[test]
fn reported_draining_survives_a_list_update() {
    let mut view = View::default();
    view.apply([listing("engine-1", true)]);
    view.set_draining(&engine(), true);
    view.apply([listing("engine-1", true)]);
    assert!(!view.accepts_work(&engine()));
    view.set_draining(&engine(), false);
    assert!(view.accepts_work(&engine()));
}

const fn event(sequence: u64, program: id::Program, tokens: u64) -> cache::Event {
    cache::Event {
        sequence,
        program,
        tokens,
    }
}

#[test]
fn events_are_applied_in_order() {
    let mut view = cache::View::default();
    view.apply(Time::ZERO, event(1, program(1), 500));
    view.apply(Time::ZERO, event(2, program(2), 300));
    view.apply(Time::ZERO, event(3, program(1), 0));
    view.apply(Time::ZERO, event(2, program(2), 900));
    let late = Time::from_ms(10 * STALE_TTL_MS);
    assert_eq!(view.tokens(late, program(1)), 0);
    assert_eq!(view.tokens(late, program(2)), 300);
    assert!(!view.is_stale());
}

#[test]
fn missed_events_expire_the_view_until_it_is_replaced() {
    let mut view = cache::View::default();
    view.apply(Time::ZERO, event(1, program(1), 500));
    view.apply(Time::ZERO, event(3, program(2), 300));
    assert!(view.is_stale());
    assert_eq!(
        view.tokens(Time::from_ms(STALE_TTL_MS - 1), program(1)),
        500
    );
    assert_eq!(view.tokens(Time::from_ms(STALE_TTL_MS), program(1)), 0);
    view.replace([(program(1), 500)]);
    assert_eq!(view.tokens(Time::from_ms(STALE_TTL_MS), program(1)), 500);
}

#[test]
fn new_epoch_clears_the_view() {
    let mut view = cache::View::default();
    view.observe_epoch(1);
    view.apply(Time::ZERO, event(1, program(1), 500));
    view.observe_epoch(1);
    assert_eq!(view.tokens(Time::ZERO, program(1)), 500);
    view.observe_epoch(2);
    assert_eq!(view.tokens(Time::ZERO, program(1)), 0);
    assert_eq!(view.sequence(), 0);
}
