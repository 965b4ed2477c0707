//! Programs end by request or by a spent budget, and engines release their cache.

use basilramp_fakes::caller;
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_fakes::service::Fault;
use basilramp_wire::api::Budget;
use basilramp_wire::error::{Executed, Kind};

use crate::support::{
    any_address, assert_rejected, call_until_settled, create, create_with, options, other_address,
    rejection, start, wait_for_owner, wait_until,
};

/// Returns whether an engine holds cached tokens for a program.
fn holds_cache(cluster: &Cluster, program: &str) -> bool {
    let holdings = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.cached_prefixes());
    holdings
        .into_iter()
        .any(|holding| holding.holder == program)
}

async fn run_call(cluster: &Cluster, program: &str, position: u32) {
    let request = format!("r{position}");
    let call = caller::call_request(&request, position, name::MODEL, "which grit comes first?");
    let response = call_until_settled(cluster, any_address(cluster), program, &call).await;
    assert!(response.result.is_ok(), "{:?}", response.result);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cache_of_an_ended_program_is_released_after_an_engine_outage() {
    let cluster = start(2).await;
    let program = create(&cluster, "p").await;
    run_call(&cluster, &program.id, 0).await;
    assert!(holds_cache(&cluster, &program.id));
    for engine in &cluster.engines {
        engine.set_down(true);
    }
    let ended = cluster
        .caller(0)
        .end_program(any_address(&cluster), &program.id)
        .await;
    assert_eq!(ended.expect("the end is accepted").state, "ended");
    for engine in &cluster.engines {
        engine.set_down(false);
    }
    wait_until("the engines release the cache", || {
        !holds_cache(&cluster, &program.id)
    })
    .await;
    let late = caller::call_request("late", 1, name::MODEL, "and then?");
    let late = cluster
        .caller(0)
        .call(any_address(&cluster), &program.id, &late)
        .await;
    assert_rejected(&late, Kind::Ended, Executed::No);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cache_of_a_program_ended_after_its_owner_was_killed_is_released() {
    let mut cluster = start(2).await;
    let program = create(&cluster, "p").await;
    run_call(&cluster, &program.id, 0).await;
    assert!(holds_cache(&cluster, &program.id));
    let owner = wait_for_owner(&cluster, &program.id).await;
    let address = other_address(&cluster, owner);
    cluster.kill(owner).expect("the process is killed");
    wait_until("another instance ends the program", || {
        let (caller, id) = (cluster.caller(0), program.id.clone());
        let ending = async move { caller.end_program(address, &id).await.is_ok() };
        tokio::task::block_in_place(|| tokio::runtime::Handle::current().block_on(ending))
    })
    .await;
    wait_until("the engines release the cache", || {
        !holds_cache(&cluster, &program.id)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_spent_wall_time_budget_ends_a_program() {
    let cluster = start(1).await;
    let budget = Budget {
        wall_ms: 1_500,
        ..caller::program_budget(100_000)
    };
    let program = create_with(&cluster, "p", budget).await;
    run_call(&cluster, &program.id, 0).await;
    wait_until("the engines release the cache", || {
        !holds_cache(&cluster, &program.id)
    })
    .await;
    let late = caller::call_request("late", 1, name::MODEL, "and then?");
    let late = cluster
        .caller(0)
        .call(any_address(&cluster), &program.id, &late)
        .await;
    assert_rejected(&late, Kind::Ended, Executed::No);
    wait_until("the end is stored", || {
        let partition = format!("program/{}", program.id);
        let row = cluster.platform.row(&partition, "head");
        row.is_some_and(|row| row.body.contains("\"ended\":true"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_spent_turn_budget_ends_a_program() {
    let cluster = start(1).await;
    let budget = Budget {
        turns: 2,
        ..caller::program_budget(100_000)
    };
    let program = create_with(&cluster, "p", budget).await;
    run_call(&cluster, &program.id, 0).await;
    run_call(&cluster, &program.id, 1).await;
    let runs = || {
        cluster
            .engines
            .iter()
            .map(|engine| engine.requests().len())
            .sum::<usize>()
    };
    let before = runs();
    let late = caller::call_request("late", 2, name::MODEL, "and then?");
    let late = cluster
        .caller(0)
        .call(any_address(&cluster), &program.id, &late)
        .await;
    let error = rejection(&late);
    assert!(
        matches!(error.kind, Kind::BudgetExceeded | Kind::Ended),
        "{error}"
    );
    assert_eq!((error.ran, runs()), (Executed::No, before));
    wait_until("the engines release the cache", || {
        !holds_cache(&cluster, &program.id)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_a_hung_service_times_out_and_the_program_continues() {
    let mut options = options(1);
    options.timeout_ms = 400;
    let cluster = Cluster::start(options).await;
    let cluster = cluster.expect("the deployment starts");
    let program = create(&cluster, "p").await;
    cluster.registry.fault_next(Fault::HangAfterEffect);
    let lookup = caller::call_request("a", 0, name::LOOKUP, "roof 12");
    let hung = cluster
        .caller(0)
        .call(any_address(&cluster), &program.id, &lookup)
        .await;
    assert_rejected(&hung, Kind::TimedOut, Executed::Unknown);
    run_call(&cluster, &program.id, 0).await;
}
