//! Concurrent operators: two change the configuration, one sends orders, one reads versions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use basilramp_wire::config::{Edit, Plan, Value};
use basilramp_wire::engine::Order;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

use super::environment::{Environment, VisibleInstance, with_timeout};
use crate::cluster::{name, set_item};
use crate::history::{Operation, Outcome};

/// Maximum delay between two changes of one operator.
const MAX_CHANGE_INTERVAL_MS: u64 = 1_200;

/// Maximum delay between two orders.
const MAX_ORDER_INTERVAL_MS: u64 = 600;

/// Model that the orders load and unload.
const EXTRA_MODEL: &str = "extra@1";

/// Interval between two reads of the configuration version of an instance.
const WATCH_INTERVAL_MS: u64 = 250;

/// Starts the operators; they stop when the set is dropped.
pub(crate) fn spawn(environment: &Arc<Environment>, seed: u64) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for number in 0..environment.operators.len() {
        let random = ChaCha8Rng::seed_from_u64(seed ^ number as u64);
        tasks.spawn(apply_changes(Arc::clone(environment), number, random));
    }
    tasks.spawn(watch_instances(Arc::clone(environment)));
    let random = ChaCha8Rng::seed_from_u64(seed.rotate_left(1));
    tasks.spawn(send_orders(Arc::clone(environment), random));
    tasks
}

/// Sends orders to load or unload a model that no program uses, through random instances.
async fn send_orders(environment: Arc<Environment>, mut random: ChaCha8Rng) {
    let mut tasks = JoinSet::new();
    loop {
        let ms = random.random_range(MAX_ORDER_INTERVAL_MS / 4..MAX_ORDER_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        let engine = random.random_range(0..environment.engines.len());
        let model = EXTRA_MODEL.to_owned();
        let order = match random.random_bool(0.5) {
            true => Order::Load { model },
            false => Order::Unload { model },
        };
        let Some(at) = environment.pick_instance(&mut random) else {
            continue;
        };
        let operator = environment.operators[0].clone();
        tasks.spawn(async move {
            let address = at.addresses.operators;
            let name = format!("e{engine}");
            // The check uses the orders that the engine received, so the response is ignored.
            let _ = with_timeout(operator.send_order(address, &name, &order)).await;
        });
    }
}

/// Repeatedly changes one plan, based on the version just read.
async fn apply_changes(environment: Arc<Environment>, number: usize, mut random: ChaCha8Rng) {
    loop {
        let ms = random.random_range(MAX_CHANGE_INTERVAL_MS / 4..MAX_CHANGE_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        let Some(at) = environment.pick_instance(&mut random) else {
            continue;
        };
        let Outcome::Version(base) =
            read_version(&environment, at.start_number, at.addresses.operators).await
        else {
            continue;
        };
        let Some(at) = environment.pick_instance(&mut random) else {
            continue;
        };
        let edit = plan_edit(number, random.random_range(0..10));
        let operator = &environment.operators[number];
        let apply = async {
            let applied = operator.apply_edits(at.addresses.operators, base, vec![edit]);
            applied.await.map(|applied| applied.version)
        };
        environment
            .request_version(Operation::Apply { base }, apply)
            .await;
    }
}

fn plan_edit(number: usize, ready: u32) -> Edit {
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

async fn read_version(
    environment: &Environment,
    start_number: usize,
    at: std::net::SocketAddr,
) -> Outcome {
    let request = async {
        let config = environment.operators[0].get_config(at);
        config.await.map(|config| config.version)
    };
    let operation = Operation::ReadVersion {
        instance: start_number,
    };
    environment.request_version(operation, request).await
}

/// Starts a version reader for every new start of an instance.
async fn watch_instances(environment: Arc<Environment>) {
    let mut watched = BTreeSet::new();
    let mut tasks = JoinSet::new();
    loop {
        for instance in environment.visible_instances() {
            if watched.insert(instance.start_number) {
                tasks.spawn(watch_instance(Arc::clone(&environment), instance));
            }
        }
        tokio::time::sleep(Duration::from_millis(WATCH_INTERVAL_MS)).await;
    }
}

/// Reads the active version of one start of an instance until callers stop using it.
async fn watch_instance(environment: Arc<Environment>, instance: VisibleInstance) {
    while environment
        .visible_instances()
        .iter()
        .any(|other| other.start_number == instance.start_number)
    {
        read_version(
            &environment,
            instance.start_number,
            instance.addresses.operators,
        )
        .await;
        tokio::time::sleep(Duration::from_millis(WATCH_INTERVAL_MS)).await;
    }
}
