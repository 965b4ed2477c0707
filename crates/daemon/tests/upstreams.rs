//! Upstreams in a complete deployment: slot limits, draining, cache releases, orders and admission
//! limits.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use basilramp_fakes::Launcher;
use basilramp_fakes::caller::{self, Client, Failure};
use basilramp_fakes::cluster::{
    Cluster, Options, account_key, account_limit, model_service, name, set_item,
};
use basilramp_fakes::engine::{self, Engine};
use basilramp_fakes::platform::State;
use basilramp_wire::config::{Plan, Value};
use basilramp_wire::engine::{LoadReport, Order};
use basilramp_wire::error::{Executed, Kind};
use basilramp_wire::record;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The maximum time in milliseconds until a draining upstream gets no new calls.
const MAX_DRAIN_NOTICE_MS: u64 = 3_000;

/// The time in milliseconds for which a failed request is retried.
const RETRY_TIMEOUT_MS: u64 = 60_000;

/// The maximum time in milliseconds until the cached prefixes of an ended program are released.
const MAX_RELEASE_MS: u64 = 10_000;

fn options(instances: usize) -> Options {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    Options::new(launcher, instances)
}

/// Polls a condition, and returns whether it became true within `limit_ms`.
async fn holds_within<F: Future<Output = bool>>(limit_ms: u64, holds: impl Fn() -> F) -> bool {
    let deadline = Instant::now() + Duration::from_millis(limit_ms);
    while !holds().await {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(Duration::from_millis(20)).await;
    }
    true
}

/// Creates a program, makes its calls in order and returns its id; failed requests are retried with
/// the same request id.
async fn run_program(caller: Client, address: SocketAddr, request: String, calls: u32) -> String {
    let budget = caller::program_budget(100_000);
    let created = || async { caller.create_root(address, &request, budget).await.ok() };
    let program = retry_until_some(created).await;
    for position in 0..calls {
        let call =
            caller::call_request(&format!("c{position}"), position, name::MODEL, "coverage?");
        let done = || async { caller.call(address, &program.id, &call).await.result.ok() };
        retry_until_some(done).await;
    }
    program.id
}

/// Repeats an attempt until it returns a value; panics after [`RETRY_TIMEOUT_MS`].
async fn retry_until_some<T, F: Future<Output = Option<T>>>(attempt: impl Fn() -> F) -> T {
    let deadline = Instant::now() + Duration::from_millis(RETRY_TIMEOUT_MS);
    loop {
        if let Some(outcome) = attempt().await {
            return outcome;
        }
        assert!(Instant::now() < deadline, "no attempt succeeded in time");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Runs programs concurrently, spread over the given instances, and returns their ids.
async fn run_programs(
    cluster: &Cluster,
    instances: &[usize],
    tag: &str,
    programs: usize,
) -> Vec<String> {
    let mut running = JoinSet::new();
    for number in 0..programs {
        let address = cluster
            .caller_address(instances[number % instances.len()])
            .unwrap();
        let request = format!("{tag}-{number}");
        running.spawn(run_program(cluster.caller(0), address, request, 2));
    }
    running.join_all().await
}

async fn fetch_load(engine: &Engine) -> LoadReport {
    let url = format!("http://{}/load", engine.address()).parse().unwrap();
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Empty<bytes::Bytes>>();
    let response = client.get(url).await.unwrap();
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    serde_json::from_slice(&body.unwrap().to_bytes()).unwrap()
}

/// Polls the load of the engines while `work` runs, and returns the largest number of calls that
/// waited for a slot on any engine.
async fn max_waiting_calls<T>(engines: &[Arc<Engine>], work: impl Future<Output = T>) -> u32 {
    let mut max_waiting = 0;
    tokio::pin!(work);
    loop {
        tokio::select! {
            _ = &mut work => return max_waiting,
            () = sleep(Duration::from_millis(2)) => {}
        }
        for engine in engines {
            max_waiting = max_waiting.max(fetch_load(engine).await.waiting);
        }
    }
}

fn small_engines() -> Vec<engine::Options> {
    let engine = engine::Options {
        slots: 2,
        speed: 4.0,
        ..engine::Options::default()
    };
    vec![engine; 2]
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_never_receives_more_calls_than_its_slots() {
    let options = Options {
        engines: small_engines(),
        timeout_ms: 30_000,
        ..options(3)
    };
    let cluster = Cluster::start(options).await.unwrap();
    let work = run_programs(&cluster, &[0, 1, 2], "slots", 24);
    assert_eq!(max_waiting_calls(&cluster.engines, work).await, 0);
    let runs: Vec<_> = cluster
        .engines
        .iter()
        .map(|engine| engine.requests().len())
        .collect();
    assert_eq!(runs.iter().sum::<usize>(), 48);
    assert!(runs.iter().all(|runs| *runs > 0), "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_are_respected_after_an_instance_died() {
    let options = Options {
        engines: small_engines(),
        timeout_ms: 30_000,
        ..options(3)
    };
    let mut cluster = Cluster::start(options).await.unwrap();
    run_programs(&cluster, &[0, 1, 2], "before", 6).await;
    cluster.kill(0).unwrap();
    let work = run_programs(&cluster, &[1, 2], "after", 24);
    assert_eq!(max_waiting_calls(&cluster.engines, work).await, 0);
}

/// Returns whether an instance has logged that it became the home of an upstream.
fn is_home(cluster: &Cluster, instance: usize, upstream: &str) -> bool {
    let output = cluster.instances[instance]
        .process
        .as_ref()
        .unwrap()
        .output();
    let names = format!("\"{upstream}\"");
    let gained = |line: &String| line.contains("upstream home gained") && line.contains(&names);
    output.iter().any(gained)
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_are_respected_while_homes_move_to_a_new_instance() {
    let engine = engine::Options {
        slots: 2,
        speed: 0.2,
        ..engine::Options::default()
    };
    let options = Options {
        engines: vec![engine; 4],
        timeout_ms: 30_000,
        ..options(2)
    };
    let mut cluster = Cluster::start(options).await.unwrap();
    cluster.kill(1).unwrap();
    let moved = || async { (0..4).all(|engine| is_home(&cluster, 0, &format!("e{engine}"))) };
    assert!(holds_within(30_000, moved).await, "the homes did not move");
    let address = cluster.caller_address(0).unwrap();
    let mut running = JoinSet::new();
    for number in 0..16 {
        let request = format!("moved-{number}");
        running.spawn(run_program(cluster.caller(0), address, request, 2));
    }
    cluster.start_process(1).await.unwrap();
    let engines = cluster.engines.clone();
    let work = async { while running.join_next().await.is_some() {} };
    assert_eq!(max_waiting_calls(&engines, work).await, 0);
    let output = cluster.instances[1].process.as_ref().unwrap().output();
    let gained = output
        .iter()
        .filter(|line| line.contains("upstream home gained"));
    assert!(gained.count() > 0, "no home moved");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_engine_gets_no_new_calls() {
    let cluster = Cluster::start(options(2)).await.unwrap();
    run_programs(&cluster, &[0, 1], "before", 12).await;
    assert!(!cluster.engines[0].requests().is_empty());
    cluster.platform.set_endpoint_state("e0", State::Draining);
    sleep(Duration::from_millis(MAX_DRAIN_NOTICE_MS)).await;
    let before = cluster.engines[0].requests().len();
    run_programs(&cluster, &[0, 1], "after", 12).await;
    assert_eq!(cluster.engines[0].requests().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_reports_draining_gets_no_new_calls() {
    let cluster = Cluster::start(options(2)).await.unwrap();
    run_programs(&cluster, &[0, 1], "before", 12).await;
    assert!(!cluster.engines[0].requests().is_empty());
    cluster.engines[0].start_draining();
    sleep(Duration::from_millis(MAX_DRAIN_NOTICE_MS)).await;
    let before = cluster.engines[0].requests().len();
    run_programs(&cluster, &[0, 1], "after", 12).await;
    assert_eq!(cluster.engines[0].requests().len(), before);
}

/// Returns the number of prefixes that all engines cache for programs.
fn cached_prefix_count(cluster: &Cluster) -> usize {
    let engines = cluster.engines.iter();
    engines.map(|engine| engine.cached_prefixes().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn cached_prefixes_are_released_after_a_program_ends() {
    let cluster = Cluster::start(options(2)).await.unwrap();
    let programs = run_programs(&cluster, &[0, 1], "held", 6).await;
    assert!(cached_prefix_count(&cluster) >= 6);
    let address = cluster.caller_address(0).unwrap();
    for program in &programs {
        assert_matches!(cluster.caller(0).end_program(address, program).await, Ok(_));
    }
    assert!(
        holds_within(MAX_RELEASE_MS, || async {
            cached_prefix_count(&cluster) == 0
        })
        .await
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn cached_prefixes_are_released_after_the_end_of_a_program_whose_owner_died() {
    let mut cluster = Cluster::start(options(3)).await.unwrap();
    let programs = run_programs(&cluster, &[0, 1, 2], "held", 12).await;
    assert!(cached_prefix_count(&cluster) >= 12);
    cluster.kill(0).unwrap();
    let address = cluster.caller_address(1).unwrap();
    for program in &programs {
        let ended = || async {
            cluster
                .caller(0)
                .end_program(address, program)
                .await
                .is_ok()
        };
        assert!(
            holds_within(30_000, ended).await,
            "{program} can't be ended"
        );
    }
    assert!(
        holds_within(MAX_RELEASE_MS, || async {
            cached_prefix_count(&cluster) == 0
        })
        .await
    );
}

fn plan(place: &str, ready: u32) -> Value {
    Value::Plan(Plan {
        service: "advisor".to_owned(),
        place: place.to_owned(),
        from_minute: 0,
        until_minute: 1_440,
        ready,
        headroom_percent: 10,
    })
}

/// Asserts that a plan for one ready upstream loads the model on exactly one engine by exactly one
/// order, and that the engine then serves calls of the service.
async fn assert_plan_orders_one_load(fencing: bool) {
    let engine = engine::Options {
        checks_fencing: fencing,
        model_load_ms: 30_000,
        ..engine::Options::default()
    };
    let options = Options {
        engines: vec![engine; 2],
        edits: vec![
            set_item("advisor", model_service("grit", "2", 5_000)),
            set_item("morning", plan("place-a", 1)),
        ],
        ..options(3)
    };
    let cluster = Cluster::start(options).await.unwrap();
    let loaded = || async { cluster.engines[0].models().contains(&"grit@2".to_owned()) };
    assert!(
        holds_within(30_000, loaded).await,
        "the planned model was not loaded"
    );
    let orders = cluster.engines[0].received_orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_matches!(&orders[0].order, Order::Load { model } if model == "grit@2");
    let row = cluster.platform.row("upstream", "e0").unwrap();
    assert_eq!(orders[0].fencing, row.version);
    assert!(cluster.engines[1].received_orders().is_empty());
    assert!(cluster.engines[0].models().contains(&"base@1".to_owned()));

    let address = cluster.caller_address(1).unwrap();
    let caller = cluster.caller(0);
    let budget = caller::program_budget(10_000);
    let program = caller.create_root(address, "r", budget).await.unwrap();
    let call = caller::call_request("c", 0, "advisor", "which grit?");
    assert_matches!(caller.call(address, &program.id, &call).await.result, Ok(_));
    assert_eq!(cluster.engines[0].requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_models_are_loaded_by_orders_with_fencing_numbers() {
    assert_plan_orders_one_load(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_models_are_loaded_by_orders_without_fencing() {
    assert_plan_orders_one_load(false).await;
}

/// The home of an engine is suspended while the engine executes its order to load a model. The next
/// home finds the order in the store and that the engine has accepted it.
#[tokio::test(flavor = "multi_thread")]
async fn a_load_in_progress_is_not_ordered_again_by_the_next_home() {
    let engine = engine::Options {
        model_load_ms: 80_000,
        ..engine::Options::default()
    };
    let lease = json!({"timing": {
        "lease_ms": 800,
        "lease_margin_ms": 200,
        "heartbeat_ms": 200,
        "upstream_poll_ms": 100,
    }});
    let options = Options {
        engines: vec![engine; 2],
        edits: vec![
            set_item("advisor", model_service("grit", "2", 5_000)),
            set_item("morning", plan("place-a", 1)),
        ],
        settings: lease,
        ..options(3)
    };
    let cluster = Cluster::start(options).await.unwrap();
    let ordered = || async { !cluster.engines[0].received_orders().is_empty() };
    assert!(holds_within(30_000, ordered).await, "no order was sent");
    let row = cluster.platform.row("upstream", "e0").unwrap();
    let order: record::Order = serde_json::from_str(&row.body).unwrap();
    let home = cluster
        .instances
        .iter()
        .position(|instance| instance.id == order.sender)
        .unwrap();
    let process = cluster.instances[home].process.as_ref().unwrap();
    process.freeze().unwrap();
    let loaded = || async { cluster.engines[0].models().contains(&"grit@2".to_owned()) };
    assert!(
        holds_within(30_000, loaded).await,
        "the planned model was not loaded"
    );
    process.thaw().unwrap();
    cluster.wait_for_instance(home).await.unwrap();
    let orders = cluster.engines[0].received_orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_account_can_not_exceed_its_program_limit() {
    let options = Options {
        edits: vec![set_item(
            "trust",
            account_limit(&account_key("trust"), 1_000, 2),
        )],
        ..options(3)
    };
    let cluster = Cluster::start(options).await.unwrap();
    let caller = cluster.caller(0);
    let [first, second, third] = [0, 1, 2].map(|index| cluster.caller_address(index).unwrap());
    let budget = caller::program_budget(1_000);
    let program = caller.create_root(first, "p1", budget).await.unwrap();
    caller.create_root(second, "p2", budget).await.unwrap();
    let rejected = caller.create_root(third, "p3", budget).await;
    let error = assert_matches!(rejected, Err(Failure::Rejected(error)) => error);
    assert_eq!(
        (error.kind, error.ran),
        (Kind::TooManyPrograms, Executed::No)
    );
    assert!(error.retry_after_ms.is_some());
    let again = caller.create_root(third, "p1", budget).await.unwrap();
    assert_eq!(again.id, program.id);
    caller.end_program(second, &program.id).await.unwrap();
    let created = || async { caller.create_root(third, "p3", budget).await.is_ok() };
    assert!(
        holds_within(30_000, created).await,
        "no program is admitted after another one has ended"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_account_s_rate_limit_is_divided_among_the_instances() {
    const RATE_PER_S: u32 = 20;
    let options = Options {
        edits: vec![set_item(
            "trust",
            account_limit(&account_key("trust"), RATE_PER_S, 10),
        )],
        ..options(2)
    };
    let cluster = Cluster::start(options).await.unwrap();
    let operators = cluster.operator_address(0).unwrap();
    let both = || async {
        let known = cluster.operator(0).list_instances(operators).await;
        known.is_ok_and(|known| known.instances.len() == 2)
    };
    assert!(
        holds_within(30_000, both).await,
        "the other instance is not listed"
    );
    let caller = cluster.caller(0);
    let address = cluster.caller_address(0).unwrap();
    let start = Instant::now();
    let mut accepted = 0;
    let mut rejected = 0;
    while rejected < 20 {
        match caller.get_program(address, "p0000000000000000").await {
            Err(Failure::Rejected(error)) if error.kind == Kind::RateLimited => {
                assert_eq!(error.ran, Executed::No);
                assert!(error.retry_after_ms.is_some());
                rejected += 1;
            }
            _ => accepted += 1,
        }
    }
    let share = f64::from(RATE_PER_S) / 2.0;
    let max_accepted = share * (2.0 + start.elapsed().as_secs_f64()) + 1.0;
    assert!(
        f64::from(accepted) <= max_accepted,
        "{accepted} of at most {max_accepted}"
    );
}
