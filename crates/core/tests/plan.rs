//! Tests of model assignment and order of loads and unloads.

use std::collections::BTreeSet;
use std::sync::Arc;

use basilramp_core::id;
use basilramp_core::plan::{Assignment, Demand, Engine, Step, assign, next_step};

fn engines(count: u32) -> Vec<Engine> {
    let engine = |number| Engine {
        id: id::Upstream::new(format!("engine-{number}")),
        place: Arc::from(if number % 2 == 0 { "north" } else { "south" }),
    };
    (0..count).map(engine).collect()
}

fn demand(place: &str, model: &str, engines: u32) -> Demand {
    Demand {
        place: Arc::from(place),
        model: Arc::from(model),
        engines,
    }
}

fn engines_with(assignment: &Assignment, model: &str) -> Vec<id::Upstream> {
    let has = |models: &BTreeSet<Arc<str>>| models.iter().any(|other| **other == *model);
    let engines = assignment.iter().filter(|(_, models)| has(models));
    engines.map(|(engine, _)| engine.clone()).collect()
}

fn set(models: &[&str]) -> BTreeSet<Arc<str>> {
    models.iter().map(|model| Arc::from(*model)).collect()
}

#[test]
fn each_demand_gets_its_engines_at_its_place() {
    let demands = BTreeSet::from([demand("north", "a@1", 2), demand("south", "b@1", 3)]);
    let all = engines(10);
    let assignment = assign(&all, &demands);
    assert_eq!(engines_with(&assignment, "a@1").len(), 2);
    assert_eq!(engines_with(&assignment, "b@1").len(), 3);
    for engine in engines_with(&assignment, "a@1") {
        let place = all.iter().find(|other| other.id == engine);
        assert_eq!(place.map(|engine| &*engine.place), Some("north"));
    }
}

#[test]
fn models_are_spread_over_the_engines() {
    let demands = BTreeSet::from([demand("north", "a@1", 3), demand("north", "b@1", 2)]);
    let assignment = assign(&engines(10), &demands);
    assert_eq!(assignment.len(), 5);
    assert!(assignment.values().all(|models| models.len() == 1));
}

#[test]
fn place_with_too_few_engines_assigns_them_all() {
    let demands = BTreeSet::from([demand("north", "a@1", 9)]);
    assert_eq!(engines_with(&assign(&engines(4), &demands), "a@1").len(), 2);
}

#[test]
fn removing_an_engine_moves_only_its_models() {
    let demands = BTreeSet::from([demand("north", "a@1", 4)]);
    let mut all = engines(20);
    let before = engines_with(&assign(&all, &demands), "a@1");
    all.retain(|engine| engine.id != before[0]);
    let after = engines_with(&assign(&all, &demands), "a@1");
    let unchanged = before
        .iter()
        .filter(|engine| after.contains(engine))
        .count();
    assert_eq!(unchanged, 3);
}

#[test]
fn loads_come_before_unloads() {
    let wanted = set(&["a@2"]);
    let step = next_step(&wanted, &set(&["a@1"]), |_| true);
    assert_eq!(step, Some(Step::Load(Arc::from("a@2"))));
    let loaded = set(&["a@1", "a@2"]);
    let step = next_step(&wanted, &loaded, |_| true);
    assert_eq!(step, Some(Step::Unload(Arc::from("a@1"))));
    assert_eq!(next_step(&wanted, &loaded, |_| false), None);
    assert_eq!(next_step(&wanted, &wanted, |_| true), None);
}

#[test]
fn engine_without_a_plan_is_left_unchanged() {
    assert_eq!(next_step(&set(&[]), &set(&["a@1"]), |_| true), None);
}
