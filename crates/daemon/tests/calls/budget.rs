//! A program tree never uses more tokens than its budget, also when streams are cancelled, attempts
//! fail or the owner is killed.

use std::time::Duration;

use basilramp_fakes::caller::{self, Failure};
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_fakes::engine::Fault;
use basilramp_wire::api::{CreateProgram, Program};
use basilramp_wire::error::{Executed, Kind};
use tokio::time::{Instant, sleep};

use crate::support::{
    any_address, assert_rejected, call_until_settled, create_with, options, start, wait_for_owner,
    wait_until,
};

const TOKENS: u64 = 4_000;

/// Returns the prompt and output tokens that all engines processed for a program tree.
fn tokens_used(cluster: &Cluster, root: &str) -> u64 {
    let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
    let own = runs.filter(|run| run.holder.starts_with(root) && run.started);
    own.map(|run| run.prompt_tokens + run.output_tokens).sum()
}

async fn create_child(cluster: &Cluster, parent: &str, request: &str) -> Program {
    let create = CreateProgram {
        request_id: request.to_owned(),
        budget: None,
        parent: Some(parent.to_owned()),
    };
    let created = cluster
        .caller(0)
        .create_program(any_address(cluster), &create)
        .await;
    created.expect("the child program is created")
}

/// Calls a program until its budget does not cover the next call. Returns the number of calls that
/// ran.
async fn exhaust_budget(cluster: &Cluster, program: &str) -> u32 {
    let mut position = 0;
    loop {
        let request = format!("e{position}");
        let input = format!("question {position} on gaps between tin and mortar");
        let call = caller::call_request(&request, position, name::MODEL, &input);
        let response = call_until_settled(cluster, any_address(cluster), program, &call).await;
        match response.result {
            Ok(_) => position += 1,
            Err(Failure::Rejected(error)) if error.kind == Kind::BudgetExceeded => {
                assert_eq!(error.ran, Executed::No);
                return position;
            }
            // The interrupted call was recorded nevertheless.
            Err(Failure::Rejected(error)) if error.kind == Kind::OutOfOrder => position += 1,
            // A failed attempt is charged its whole reservation; the call may be sent again.
            Err(Failure::Rejected(error)) if error.kind == Kind::UpstreamFailed => {}
            // After a broken stream, only one copy of the request is in flight for a while.
            Err(Failure::Rejected(error)) if error.kind == Kind::Overloaded => {}
            Err(failure) => panic!("{failure}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sub_agents_and_failed_attempts_stay_within_the_budget() {
    let cluster = start(1).await;
    let root = create_with(&cluster, "p", caller::program_budget(TOKENS)).await;
    let first = create_child(&cluster, &root.id, "s1").await;
    cluster.engines[0].fault_next(Fault::BreakStream);
    cluster.engines[1].fault_next(Fault::BreakStream);
    let (one, two) = tokio::join!(
        exhaust_budget(&cluster, &root.id),
        exhaust_budget(&cluster, &first.id)
    );
    assert!(one + two > 0, "no call ran");
    let used = tokens_used(&cluster, &root.id);
    assert!(used <= TOKENS, "used {used} of {TOKENS} tokens");
    let hits: u64 = cluster
        .engines
        .iter()
        .map(|engine| engine.faulted_requests())
        .sum();
    assert!(hits > 0, "no attempt failed");
}

/// Upper bound on the streams that are cancelled to spend the budget.
const MAX_CANCELS: u32 = 60;

/// Upper bound on the time that it takes.
const MAX_CANCEL_TIME: Duration = Duration::from_secs(60);

/// Interval between two calls while the cancellation of a stream is in progress.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_streams_are_charged() {
    let mut options = options(1);
    for engine in &mut options.engines {
        engine.decode_ms_per_token = 300.0;
    }
    let cluster = Cluster::start(options).await;
    let cluster = cluster.expect("the deployment starts");
    let prompt = "a long story ".repeat(30);
    let root = create_with(&cluster, "p", caller::program_budget(TOKENS / 2)).await;
    let mut rejected = None;
    let mut cancelled = 0;
    let deadline = Instant::now() + MAX_CANCEL_TIME;
    while cancelled < MAX_CANCELS && Instant::now() < deadline {
        let request = format!("c{cancelled}");
        let mut call = caller::call_request(&request, 0, name::MODEL, &prompt);
        call.max_tokens = 200;
        let before = tokens_used(&cluster, &root.id);
        let call_task = {
            let (caller, address, id) = (cluster.caller(0), any_address(&cluster), root.id.clone());
            tokio::spawn(async move { caller.call(address, &id, &call).await })
        };
        wait_until("tokens are generated or the call is rejected", || {
            call_task.is_finished() || tokens_used(&cluster, &root.id) > before + 100
        })
        .await;
        call_task.abort();
        let Ok(response) = call_task.await else {
            cancelled += 1;
            continue;
        };
        match &response.result {
            Err(Failure::Rejected(error)) if error.kind == Kind::BudgetExceeded => {
                rejected = Some(response);
                break;
            }
            // The cancellation of the previous call is still in progress. This call did not run, so
            // it is not one of the cancelled ones.
            Err(Failure::Rejected(error)) if error.kind == Kind::OutOfOrder => {
                sleep(CANCEL_POLL_INTERVAL).await;
            }
            other => panic!("{other:?}"),
        }
    }
    let used = tokens_used(&cluster, &root.id);
    assert!(used <= TOKENS / 2, "used {used} of {} tokens", TOKENS / 2);
    assert_rejected(
        &rejected.expect("a call is rejected once the budget is spent"),
        Kind::BudgetExceeded,
        Executed::No,
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn tokens_reserved_by_a_killed_owner_stay_charged() {
    let mut cluster = start(2).await;
    let root = create_with(&cluster, "p", caller::program_budget(TOKENS)).await;
    let owner = wait_for_owner(&cluster, &root.id).await;
    let mut cut = caller::call_request("r0", 0, name::MODEL, "a long story");
    cut.max_tokens = 1_500;
    let call = {
        let caller = cluster.caller(0);
        let address = crate::support::other_address(&cluster, owner);
        let id = root.id.clone();
        tokio::spawn(async move { caller.call(address, &id, &cut).await })
    };
    wait_until("tokens are generated", || {
        tokens_used(&cluster, &root.id) > 20
    })
    .await;
    cluster.kill(owner).expect("the owner is killed");
    let _ = call.await;
    exhaust_budget(&cluster, &root.id).await;
    let used = tokens_used(&cluster, &root.id);
    assert!(used <= TOKENS, "used {used} of {TOKENS} tokens");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_beyond_the_budget_reaches_no_engine() {
    let cluster = start(1).await;
    let root = create_with(&cluster, "p", caller::program_budget(100)).await;
    let mut call = caller::call_request("a", 0, name::MODEL, "hello");
    call.max_tokens = 1_000;
    let response = cluster
        .caller(0)
        .call(any_address(&cluster), &root.id, &call)
        .await;
    assert_rejected(&response, Kind::BudgetExceeded, Executed::No);
    let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
    assert_eq!(runs.count(), 0);
}
