//! Operators who change the configuration against each other, and one who watches it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use basilramp_wire::config::{Edit, Plan, Value};
use basilramp_wire::engine::Order;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use super::world::{Seen, World, within};
use crate::cluster::{name, set_item};
use crate::history::{Operation, Outcome};

/// The longest time between two changes of one operator.
const CHANGE_MS: u64 = 1_200;

/// The longest time between two orders.
const ORDER_MS: u64 = 600;

/// The model that orders load and unload.
const EXTRA: &str = "extra@1";

/// Time between two looks at the version in force at every instance.
const WATCH_MS: u64 = 250;

/// Starts the operators; they stop when the set is dropped.
pub(crate) fn spawn(world: &Arc<World>, seed: u64) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for number in 0..world.operators.len() {
        let random = ChaCha8Rng::seed_from_u64(seed ^ number as u64);
        tasks.spawn(change(Arc::clone(world), number, random));
    }
    tasks.spawn(watch(Arc::clone(world)));
    let random = ChaCha8Rng::seed_from_u64(seed.rotate_left(1));
    tasks.spawn(order(Arc::clone(world), random));
    tasks
}

/// Orders engines to load and unload a model that nobody calls, through any instance.
async fn order(world: Arc<World>, mut random: ChaCha8Rng) {
    let mut tasks = JoinSet::new();
    loop {
        let ms = random.random_range(ORDER_MS / 4..ORDER_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        let engine = random.random_range(0..world.engines.len());
        let model = EXTRA.to_owned();
        let order = match random.random_bool(0.5) {
            true => Order::Load { model },
            false => Order::Unload { model },
        };
        let Some(at) = world.any(&mut random) else {
            continue;
        };
        let operator = world.operators[0].clone();
        tasks.spawn(async move {
            let address = at.addresses.operators;
            let name = format!("e{engine}");
            // What the engine was given is checked, whatever the operator is told.
            let _ = within(operator.send_order(address, &name, &order)).await;
        });
    }
}

/// Changes one plan again and again, from the version just read.
async fn change(world: Arc<World>, number: usize, mut random: ChaCha8Rng) {
    loop {
        let ms = random.random_range(CHANGE_MS / 4..CHANGE_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        let Some(at) = world.any(&mut random) else {
            continue;
        };
        let Outcome::Version(base) = read(&world, at.start, at.addresses.operators).await else {
            continue;
        };
        let Some(at) = world.any(&mut random) else {
            continue;
        };
        let edit = plan(number, random.random_range(0..10));
        let operator = &world.operators[number];
        let apply = async {
            let applied = operator.apply_edits(at.addresses.operators, base, vec![edit]);
            applied.await.map(|applied| applied.version)
        };
        world.version(Operation::Apply { base }, apply).await;
    }
}

fn plan(number: usize, ready: u32) -> Edit {
    let plan = Plan {
        service: name::MODEL.to_owned(),
        place: "place-a".to_owned(),
        from_minute: 0,
        until_minute: 1,
        ready,
        headroom_percent: 0,
    };
    set_item(&format!("plan-{number}"), Value::Plan(plan))
}

async fn read(world: &World, start: usize, at: std::net::SocketAddr) -> Outcome {
    let request = async {
        let config = world.operators[0].get_config(at);
        config.await.map(|config| config.version)
    };
    let operation = Operation::Version { instance: start };
    world.version(operation, request).await
}

/// Watches every instance that callers see.
async fn watch(world: Arc<World>) {
    let mut watched = BTreeSet::new();
    let mut tasks = JoinSet::new();
    loop {
        for seen in world.seen() {
            if watched.insert(seen.start) {
                tasks.spawn(watch_one(Arc::clone(&world), seen));
            }
        }
        tokio::time::sleep(Duration::from_millis(WATCH_MS)).await;
    }
}

/// Reads the version in force at one start of an instance, until callers see it no longer.
async fn watch_one(world: Arc<World>, seen: Seen) {
    while world.seen().iter().any(|other| other.start == seen.start) {
        read(&world, seen.start, seen.addresses.operators).await;
        tokio::time::sleep(Duration::from_millis(WATCH_MS)).await;
    }
}
