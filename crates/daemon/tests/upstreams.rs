//! Upstreams under a whole deployment: slots, leaving, releases, orders and admission.

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
use tokio::task::JoinSet;
use tokio::time::sleep;

/// An upstream that is leaving gets no new call after this many milliseconds.
const LEAVING_MS: u64 = 3_000;

/// Milliseconds for which a failed request is sent again.
const REPEAT_MS: u64 = 60_000;

/// Nothing is held for a program this many milliseconds after its end.
const RELEASED_MS: u64 = 10_000;

fn options(instances: usize) -> Options {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    Options::new(launcher, instances)
}

/// Looks again and again until something holds, and tells whether it did within `limit_ms`.
async fn within<F: Future<Output = bool>>(limit_ms: u64, holds: impl Fn() -> F) -> bool {
    let limit = Instant::now() + Duration::from_millis(limit_ms);
    while !holds().await {
        if Instant::now() >= limit {
            return false;
        }
        sleep(Duration::from_millis(20)).await;
    }
    true
}

/// Runs one program; a request that fails is sent again under its id.
async fn run_program(caller: Client, at: SocketAddr, request: String, calls: u32) -> String {
    let budget = caller::program_budget(100_000);
    let created = || async { caller.create_root(at, &request, budget).await.ok() };
    let program = until_some(created).await;
    for position in 0..calls {
        let call =
            caller::call_request(&format!("c{position}"), position, name::MODEL, "coverage?");
        let done = || async { caller.call(at, &program.id, &call).await.result.ok() };
        until_some(done).await;
    }
    program.id
}

async fn until_some<T, F: Future<Output = Option<T>>>(attempt: impl Fn() -> F) -> T {
    let limit = Instant::now() + Duration::from_millis(REPEAT_MS);
    loop {
        if let Some(outcome) = attempt().await {
            return outcome;
        }
        assert!(Instant::now() < limit, "given up");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Runs programs at once, spread over instances, and returns their ids.
async fn run_programs(cluster: &Cluster, at: &[usize], tag: &str, programs: usize) -> Vec<String> {
    let mut running = JoinSet::new();
    for number in 0..programs {
        let address = cluster.caller_address(at[number % at.len()]).unwrap();
        let request = format!("{tag}-{number}");
        running.spawn(run_program(cluster.caller(0), address, request, 2));
    }
    running.join_all().await
}

async fn load(engine: &Engine) -> LoadReport {
    let url = format!("http://{}/load", engine.address()).parse().unwrap();
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Empty<bytes::Bytes>>();
    let answer = client.get(url).await.unwrap();
    let body = http_body_util::BodyExt::collect(answer.into_body()).await;
    serde_json::from_slice(&body.unwrap().to_bytes()).unwrap()
}

/// Watches engines while something runs, and returns the most calls that any had to make wait.
async fn most_waiting<T>(engines: &[Arc<Engine>], work: impl Future<Output = T>) -> u32 {
    let mut most = 0;
    tokio::pin!(work);
    loop {
        tokio::select! {
            _ = &mut work => return most,
            () = sleep(Duration::from_millis(2)) => {}
        }
        for engine in engines {
            most = most.max(load(engine).await.waiting);
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
async fn an_engine_never_gets_more_calls_than_its_slots() {
    let options = Options {
        engines: small_engines(),
        timeout_ms: 30_000,
        ..options(3)
    };
    let cluster = Cluster::start(options).await.unwrap();
    let work = run_programs(&cluster, &[0, 1, 2], "slots", 24);
    assert_eq!(most_waiting(&cluster.engines, work).await, 0);
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
    assert_eq!(most_waiting(&cluster.engines, work).await, 0);
}

/// Tells whether an instance has logged that it became the home of an upstream.
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
    assert!(within(30_000, moved).await, "the homes did not move");
    let at = cluster.caller_address(0).unwrap();
    let mut running = JoinSet::new();
    for number in 0..16 {
        let request = format!("moved-{number}");
        running.spawn(run_program(cluster.caller(0), at, request, 2));
    }
    cluster.start_process(1).await.unwrap();
    let engines = cluster.engines.clone();
    let work = async { while running.join_next().await.is_some() {} };
    assert_eq!(most_waiting(&engines, work).await, 0);
    let output = cluster.instances[1].process.as_ref().unwrap().output();
    let gained = output
        .iter()
        .filter(|line| line.contains("upstream home gained"));
    assert!(gained.count() > 0, "no home moved");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_call() {
    let cluster = Cluster::start(options(2)).await.unwrap();
    run_programs(&cluster, &[0, 1], "before", 12).await;
    assert!(!cluster.engines[0].requests().is_empty());
    cluster.platform.set_endpoint_state("e0", State::Draining);
    sleep(Duration::from_millis(LEAVING_MS)).await;
    let before = cluster.engines[0].requests().len();
    run_programs(&cluster, &[0, 1], "after", 12).await;
    assert_eq!(cluster.engines[0].requests().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_s_own_word_that_it_leaves_is_enough() {
    let cluster = Cluster::start(options(2)).await.unwrap();
    run_programs(&cluster, &[0, 1], "before", 12).await;
    assert!(!cluster.engines[0].requests().is_empty());
    cluster.engines[0].start_draining();
    sleep(Duration::from_millis(LEAVING_MS)).await;
    let before = cluster.engines[0].requests().len();
    run_programs(&cluster, &[0, 1], "after", 12).await;
    assert_eq!(cluster.engines[0].requests().len(), before);
}

fn held(cluster: &Cluster) -> usize {
    let engines = cluster.engines.iter();
    engines.map(|engine| engine.cached_prefixes().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_held_after_a_program_s_end() {
    let cluster = Cluster::start(options(2)).await.unwrap();
    let programs = run_programs(&cluster, &[0, 1], "held", 6).await;
    assert!(held(&cluster) >= 6);
    let at = cluster.caller_address(0).unwrap();
    for program in &programs {
        assert_matches!(cluster.caller(0).end_program(at, program).await, Ok(_));
    }
    assert!(within(RELEASED_MS, || async { held(&cluster) == 0 }).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_held_after_the_end_of_a_program_whose_owner_died() {
    let mut cluster = Cluster::start(options(3)).await.unwrap();
    let programs = run_programs(&cluster, &[0, 1, 2], "held", 12).await;
    assert!(held(&cluster) >= 12);
    cluster.kill(0).unwrap();
    let at = cluster.caller_address(1).unwrap();
    for program in &programs {
        let ended = || async { cluster.caller(0).end_program(at, program).await.is_ok() };
        assert!(within(30_000, ended).await, "{program} can't be ended");
    }
    assert!(within(RELEASED_MS, || async { held(&cluster) == 0 }).await);
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

async fn check_orders(fencing: bool) {
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
    assert!(within(30_000, loaded).await, "not loaded");
    let orders = cluster.engines[0].received_orders();
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_matches!(&orders[0].order, Order::Load { model } if model == "grit@2");
    let row = cluster.platform.row("upstream", "e0").unwrap();
    assert_eq!(orders[0].fencing, row.version);
    assert!(cluster.engines[1].received_orders().is_empty());
    assert!(cluster.engines[0].models().contains(&"base@1".to_owned()));

    let at = cluster.caller_address(1).unwrap();
    let caller = cluster.caller(0);
    let budget = caller::program_budget(10_000);
    let program = caller.create_root(at, "r", budget).await.unwrap();
    let call = caller::call_request("c", 0, "advisor", "which grit?");
    assert_matches!(caller.call(at, &program.id, &call).await.result, Ok(_));
    assert_eq!(cluster.engines[0].requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_plan_s_models_are_ordered_under_fencing_numbers() {
    check_orders(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_plan_s_models_are_ordered_without_fencing() {
    check_orders(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_account_has_no_more_programs_than_its_limit() {
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
    let refused = caller.create_root(third, "p3", budget).await;
    let error = assert_matches!(refused, Err(Failure::Rejected(error)) => error);
    assert_eq!(
        (error.kind, error.ran),
        (Kind::TooManyPrograms, Executed::No)
    );
    assert!(error.retry_after_ms.is_some());
    let again = caller.create_root(third, "p1", budget).await.unwrap();
    assert_eq!(again.id, program.id);
    caller.end_program(second, &program.id).await.unwrap();
    let taken = || async { caller.create_root(third, "p3", budget).await.is_ok() };
    assert!(within(30_000, taken).await, "no room after an end");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_account_s_rate_is_divided_over_the_instances() {
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
        within(30_000, both).await,
        "the other instance is not known"
    );
    let caller = cluster.caller(0);
    let at = cluster.caller_address(0).unwrap();
    let start = Instant::now();
    let mut taken = 0;
    let mut refused = 0;
    while refused < 20 {
        match caller.get_program(at, "p0000000000000000").await {
            Err(Failure::Rejected(error)) if error.kind == Kind::RateLimited => {
                assert_eq!(error.ran, Executed::No);
                assert!(error.retry_after_ms.is_some());
                refused += 1;
            }
            _ => taken += 1,
        }
    }
    let share = f64::from(RATE_PER_S) / 2.0;
    let most = share * (2.0 + start.elapsed().as_secs_f64()) + 1.0;
    assert!(f64::from(taken) <= most, "{taken} of at most {most}");
}
