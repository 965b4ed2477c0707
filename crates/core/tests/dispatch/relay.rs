//! Selection of the instances that handle the requests of others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::relay::{Outcome, Relays};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn instance(number: usize) -> (Arc<str>, Arc<str>) {
    (
        format!("n{number}").into(),
        format!("z{}", number % 4).into(),
    )
}

fn relays(instances: usize) -> Relays {
    let mut relays = Relays::default();
    relays.replace_all((0..instances).map(instance));
    relays
}

#[test]
fn another_failure_domain_comes_first_and_a_tried_instance_never_again() {
    let relays = relays(8);
    let mut tried = Vec::new();
    for step in 0..8 {
        let selected = relays.select("z1", &tried, step, Time::ZERO).unwrap();
        assert!(!tried.contains(&selected));
        let is_near = ["n1", "n5"].contains(&&*selected);
        assert_eq!(is_near, step >= 6, "{selected}");
        tried.push(selected);
    }
    assert_eq!(relays.select("z1", &tried, 9, Time::ZERO), None);
}

#[test]
fn an_instance_that_declines_is_avoided_for_a_time() {
    let mut relays = relays(1);
    relays.start("n0");
    relays.end("n0", Outcome::Declined, Time::ZERO);
    assert_eq!(relays.select("z", &[], 1, Time::from_ms(100)), None);
    assert!(relays.select("z", &[], 1, Time::from_ms(600)).is_some());
    relays.end("n0", Outcome::Failed, Time::from_ms(600));
    assert_eq!(relays.select("z", &[], 1, Time::from_ms(1_500)), None);
    assert!(relays.select("z", &[], 1, Time::from_ms(5_000)).is_some());
    relays.end("gone", Outcome::Failed, Time::ZERO);
    relays.replace_all([]);
    assert!(relays.is_empty());
}

/// Most of 370 instances lose their path. Each finds a few that help, without connections to all, and
/// the load spreads over those that can.
#[test]
fn the_load_of_many_instances_spreads_over_few() {
    const INSTANCES: usize = 370;
    const REQUESTS: u64 = 30;
    for seed in 0..3 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let is_cut: Vec<_> = (0..INSTANCES).map(|_| random.random_bool(0.6)).collect();
        let mut handled: BTreeMap<usize, u64> = BTreeMap::new();
        let mut declined = 0;
        let mut most_peers = 0;
        let mut requests = 0;
        for cut in (0..INSTANCES).filter(|index| is_cut[*index]) {
            let (own, domain) = instance(cut);
            let mut relays = Relays::default();
            relays.replace_all((0..INSTANCES).map(instance).filter(|(id, _)| *id != own));
            let mut used = BTreeSet::new();
            let mut running: Vec<Arc<str>> = Vec::new();
            for request in 0..REQUESTS {
                let now = Time::from_ms(request * 20);
                let mut tried = Vec::new();
                requests += 1;
                let handler = loop {
                    let selected = relays
                        .select(&domain, &tried, random.random(), now)
                        .expect("an instance is left");
                    let index: usize = selected[1..].parse().unwrap();
                    relays.start(&selected);
                    used.insert(index);
                    if !is_cut[index] {
                        break selected;
                    }
                    declined += 1;
                    relays.end(&selected, Outcome::Declined, now);
                    tried.push(selected);
                };
                *handled.entry(handler[1..].parse().unwrap()).or_default() += 1;
                running.push(handler);
                // Each request takes some hundred milliseconds.
                if running.len() > 6 {
                    relays.end(&running.remove(0), Outcome::Handled, now);
                }
            }
            most_peers = most_peers.max(used.len());
        }
        let sound = is_cut.iter().filter(|cut| !**cut).count() as u64;
        let mean = requests / sound;
        let most = handled.values().max().copied().unwrap();
        assert!(
            most < mean * 3,
            "{most} at one instance, {mean} in the mean"
        );
        assert!(declined * 2 < requests, "{declined} of {requests} declined");
        assert!(most_peers < 40, "{most_peers} instances used by one");
    }
}
