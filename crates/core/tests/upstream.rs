//! The list of upstreams, and the view of a cache.

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
fn an_upstream_is_open_only_while_the_list_says_ready() {
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
fn a_late_listing_keeps_new_work_away_until_it_is_gone() {
    let mut view = View::default();
    view.apply([listing("engine-1", true), listing("engine-1", false)]);
    assert!(!view.accepts_work(&engine()));
    view.apply([listing("engine-1", true)]);
    assert!(view.accepts_work(&engine()));
}

#[test]
fn an_upstream_s_own_word_outlives_a_lagging_list() {
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
fn events_in_order_are_believed() {
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
fn a_gap_makes_the_view_decay_until_it_is_read_again() {
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
fn a_restarted_engine_holds_nothing() {
    let mut view = cache::View::default();
    view.observe_epoch(1);
    view.apply(Time::ZERO, event(1, program(1), 500));
    view.observe_epoch(1);
    assert_eq!(view.tokens(Time::ZERO, program(1)), 500);
    view.observe_epoch(2);
    assert_eq!(view.tokens(Time::ZERO, program(1)), 0);
    assert_eq!(view.sequence(), 0);
}
