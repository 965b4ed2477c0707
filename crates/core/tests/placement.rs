//! Tests of upstream ranking.

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

fn request(program: id::Program, prompt: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        program,
        offer: "model@1",
        prompt,
        excluded: &[],
    }
}

fn first(candidates: &[Candidate]) -> Option<&id::Upstream> {
    candidates.first().map(|candidate| &candidate.upstream)
}

#[test]
fn least_loaded_upstream_ranks_first() {
    let mut placer = Placer::new(0.5);
    placer.set(&upstream(1), state(2, 0));
    placer.set(&upstream(2), state(8, 0));
    placer.set(&upstream(3), state(0, 900));
    let candidates = placer.rank(&request(program(1), 400));
    let order: Vec<_> = candidates
        .iter()
        .map(|candidate| candidate.upstream.as_str())
        .collect();
    assert_eq!(order, ["engine-2", "engine-1", "engine-3"]);
}

#[test]
fn cached_prefix_wins_unless_the_wait_costs_more() {
    let mut placer = Placer::new(0.5);
    for number in 0..20 {
        placer.set(&upstream(number), state(8, 0));
    }
    placer.set(&upstream(30), state(0, 1_000));
    placer.record_served(program(1), &upstream(30), 8_000);
    let candidates = placer.rank(&request(program(1), 8_400));
    assert_eq!(first(&candidates), Some(&upstream(30)));
    assert_eq!(candidates[0].cached_prefill_ms, 2_000);
    placer.set(&upstream(30), state(0, 9_000));
    let candidates = placer.rank(&request(program(1), 8_400));
    assert_ne!(first(&candidates), Some(&upstream(30)));
}

#[test]
fn eviction_cost_scales_with_the_cache_weight() {
    for (weight, expected) in [(0.0, 1), (4.0, 2)] {
        let mut placer = Placer::new(weight);
        let full = UpstreamState {
            cached_tokens: 100_000,
            ..state(8, 0)
        };
        placer.set(&upstream(1), full);
        placer.set(&upstream(2), state(5, 0));
        let candidates = placer.rank(&request(program(1), 4_000));
        assert_eq!(
            first(&candidates),
            Some(&upstream(expected)),
            "weight {weight}"
        );
    }
}

#[test]
fn excluded_and_removed_upstreams_are_not_ranked() {
    let mut placer = Placer::new(0.5);
    for number in 1..=3 {
        placer.set(&upstream(number), state(8, 0));
    }
    placer.record_served(program(1), &upstream(1), 8_000);
    placer.remove(&upstream(2));
    let excluded = [upstream(1)];
    let request = PlacementRequest {
        excluded: &excluded,
        ..request(program(1), 8_000)
    };
    let candidates = placer.rank(&request);
    assert_eq!(candidates.len(), 1);
    assert_eq!(first(&candidates), Some(&upstream(3)));
}

#[test]
fn only_upstreams_with_the_offer_are_ranked() {
    let mut placer = Placer::new(0.5);
    let other = UpstreamState {
        offers: vec![Arc::from("model@2")],
        ..state(8, 0)
    };
    placer.set(&upstream(1), other);
    assert!(placer.rank(&request(program(1), 100)).is_empty());
    placer.set(&upstream(1), state(8, 0));
    assert_eq!(placer.rank(&request(program(1), 100)).len(), 1);
}

#[test]
fn programs_spread_over_equal_upstreams() {
    let mut placer = Placer::new(0.5);
    for number in 0..4 {
        placer.set(&upstream(number), state(8, 0));
    }
    let mut counts = [0; 4];
    for number in 0..400 {
        let candidates = placer.rank(&request(program(number), 100));
        for (index, count) in counts.iter_mut().enumerate() {
            *count += u32::from(candidates[0].upstream == upstream(index as u32));
        }
    }
    assert!(
        counts.iter().all(|count| (60..=140).contains(count)),
        "{counts:?}"
    );
}
