//! Programs end, and nothing is held for them afterwards.

use basilramp_fakes::caller;
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_fakes::service::Fault;
use basilramp_wire::api::Budget;
use basilramp_wire::error::{Executed, Kind};

use crate::support::{
    any, assert_refused, call_until_settled, create, create_with, options, other, owner, refusal,
    start, until,
};

/// Tells whether an engine holds anything for a program.
fn held(cluster: &Cluster, program: &str) -> bool {
    let holdings = cluster
        .engines
        .iter()
        .flat_map(|engine| engine.cached_prefixes());
    holdings
        .into_iter()
        .any(|holding| holding.holder == program)
}

async fn call(cluster: &Cluster, program: &str, position: u32) {
    let request = format!("r{position}");
    let call = caller::call_request(&request, position, name::MODEL, "which grit comes first?");
    let answer = call_until_settled(cluster, any(cluster), program, &call).await;
    assert!(answer.result.is_ok(), "{:?}", answer.result);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_ended_program_holds_nothing_even_if_its_engine_was_away() {
    let cluster = start(2).await;
    let program = create(&cluster, "p").await;
    call(&cluster, &program.id, 0).await;
    assert!(held(&cluster, &program.id));
    for engine in &cluster.engines {
        engine.set_down(true);
    }
    let ended = cluster
        .caller(0)
        .end_program(any(&cluster), &program.id)
        .await;
    assert_eq!(ended.expect("it ends").state, "ended");
    for engine in &cluster.engines {
        engine.set_down(false);
    }
    until("the engines let go", || !held(&cluster, &program.id)).await;
    let late = caller::call_request("late", 1, name::MODEL, "and then?");
    let late = cluster
        .caller(0)
        .call(any(&cluster), &program.id, &late)
        .await;
    assert_refused(&late, Kind::Ended, Executed::No);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_program_whose_owner_died_holds_nothing_after_its_end() {
    let mut cluster = start(2).await;
    let program = create(&cluster, "p").await;
    call(&cluster, &program.id, 0).await;
    assert!(held(&cluster, &program.id));
    let owner = owner(&cluster, &program.id).await;
    let at = other(&cluster, owner);
    cluster.kill(owner).expect("it is killed");
    until("the program has ended", || {
        let (caller, id) = (cluster.caller(0), program.id.clone());
        let ending = async move { caller.end_program(at, &id).await.is_ok() };
        tokio::task::block_in_place(|| tokio::runtime::Handle::current().block_on(ending))
    })
    .await;
    until("the engines let go", || !held(&cluster, &program.id)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn time_ends_a_program_that_nobody_ends() {
    let cluster = start(1).await;
    let budget = Budget {
        wall_ms: 1_500,
        ..caller::program_budget(100_000)
    };
    let program = create_with(&cluster, "p", budget).await;
    call(&cluster, &program.id, 0).await;
    until("the engines let go", || !held(&cluster, &program.id)).await;
    let late = caller::call_request("late", 1, name::MODEL, "and then?");
    let late = cluster
        .caller(0)
        .call(any(&cluster), &program.id, &late)
        .await;
    assert_refused(&late, Kind::Ended, Executed::No);
    until("the end is durable", || {
        let partition = format!("program/{}", program.id);
        let row = cluster.platform.row(&partition, "head");
        row.is_some_and(|row| row.body.contains("\"ended\":true"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn turns_end_a_looping_program() {
    let cluster = start(1).await;
    let budget = Budget {
        turns: 2,
        ..caller::program_budget(100_000)
    };
    let program = create_with(&cluster, "p", budget).await;
    call(&cluster, &program.id, 0).await;
    call(&cluster, &program.id, 1).await;
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
        .call(any(&cluster), &program.id, &late)
        .await;
    let error = refusal(&late);
    assert!(
        matches!(error.kind, Kind::BudgetExceeded | Kind::Ended),
        "{error}"
    );
    assert_eq!((error.ran, runs()), (Executed::No, before));
    until("the engines let go", || !held(&cluster, &program.id)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hung_tool_ends_by_its_time_out_and_the_program_goes_on() {
    let mut options = options(1);
    options.timeout_ms = 400;
    let cluster = Cluster::start(options).await;
    let cluster = cluster.expect("the deployment starts");
    let program = create(&cluster, "p").await;
    cluster.registry.fault_next(Fault::HangAfterEffect);
    let lookup = caller::call_request("a", 0, name::LOOKUP, "roof 12");
    let hung = cluster
        .caller(0)
        .call(any(&cluster), &program.id, &lookup)
        .await;
    assert_refused(&hung, Kind::TimedOut, Executed::Unknown);
    call(&cluster, &program.id, 0).await;
}
