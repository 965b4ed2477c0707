//! Where calls are placed.

use std::sync::Arc;

use basilramp_core::id;
use basilramp_core::placement::{Candidate, PlacementRequest, Placer, UpstreamState};

fn upstream(number: u32) -> id::Upstream {
    id::Upstream::new(format!("engine-{number}"))
}

fn program(number: u32) -> id::Program {
    let request = id::Request::new(number.to_string());
    id::Program::root(&id::Account::new("account"), &request)
}

fn state(free: u32, wait_ms: u64) -> UpstreamState {
    UpstreamState {
        offers: vec![Arc::from("model@1")],
        slots: 8,
        free,
        wait_ms,
        cached_tokens: 0,
        cache_tokens: 100_000,
    }
}

fn call(program: id::Program, prompt: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        program,
        offer: "model@1",
        prompt,
        excluded: &[],
    }
}

fn first(choices: &[Candidate]) -> Option<&id::Upstream> {
    choices.first().map(|choice| &choice.upstream)
}

#[test]
fn the_least_loaded_upstream_comes_first() {
    let mut board = Placer::new(0.5);
    board.set(&upstream(1), state(2, 0));
    board.set(&upstream(2), state(8, 0));
    board.set(&upstream(3), state(0, 900));
    let choices = board.rank(&call(program(1), 400));
    let order: Vec<_> = choices
        .iter()
        .map(|choice| choice.upstream.as_str())
        .collect();
    assert_eq!(order, ["engine-2", "engine-1", "engine-3"]);
}

#[test]
fn a_program_returns_to_its_prefix_unless_the_wait_costs_more() {
    let mut board = Placer::new(0.5);
    for number in 0..20 {
        board.set(&upstream(number), state(8, 0));
    }
    board.set(&upstream(30), state(0, 1_000));
    board.record_served(program(1), &upstream(30), 8_000);
    let choices = board.rank(&call(program(1), 8_400));
    assert_eq!(first(&choices), Some(&upstream(30)));
    assert_eq!(choices[0].cached_prefill_ms, 2_000);
    board.set(&upstream(30), state(0, 9_000));
    let choices = board.rank(&call(program(1), 8_400));
    assert_ne!(first(&choices), Some(&upstream(30)));
}

#[test]
fn a_full_cache_counts_by_the_cache_weight() {
    for (weight, expected) in [(0.0, 1), (4.0, 2)] {
        let mut board = Placer::new(weight);
        let full = UpstreamState {
            cached_tokens: 100_000,
            ..state(8, 0)
        };
        board.set(&upstream(1), full);
        board.set(&upstream(2), state(5, 0));
        let choices = board.rank(&call(program(1), 4_000));
        assert_eq!(
            first(&choices),
            Some(&upstream(expected)),
            "weight {weight}"
        );
    }
}

#[test]
fn avoided_and_removed_upstreams_are_not_chosen() {
    let mut board = Placer::new(0.5);
    for number in 1..=3 {
        board.set(&upstream(number), state(8, 0));
    }
    board.record_served(program(1), &upstream(1), 8_000);
    board.remove(&upstream(2));
    let avoid = [upstream(1)];
    let call = PlacementRequest {
        excluded: &avoid,
        ..call(program(1), 8_000)
    };
    let choices = board.rank(&call);
    assert_eq!(choices.len(), 1);
    assert_eq!(first(&choices), Some(&upstream(3)));
}

#[test]
fn only_upstreams_with_the_offer_are_chosen() {
    let mut board = Placer::new(0.5);
    let other = UpstreamState {
        offers: vec![Arc::from("model@2")],
        ..state(8, 0)
    };
    board.set(&upstream(1), other);
    assert!(board.rank(&call(program(1), 100)).is_empty());
    board.set(&upstream(1), state(8, 0));
    assert_eq!(board.rank(&call(program(1), 100)).len(), 1);
}

#[test]
fn equal_upstreams_share_the_programs() {
    let mut board = Placer::new(0.5);
    for number in 0..4 {
        board.set(&upstream(number), state(8, 0));
    }
    let mut counts = [0; 4];
    for number in 0..400 {
        let choices = board.rank(&call(program(number), 100));
        for (index, count) in counts.iter_mut().enumerate() {
            *count += u32::from(choices[0].upstream == upstream(index as u32));
        }
    }
    assert!(
        counts.iter().all(|count| (60..=140).contains(count)),
        "{counts:?}"
    );
}
