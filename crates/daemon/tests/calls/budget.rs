//! A tree never uses more tokens than its budget, whatever is cancelled, crashes or dies.

use basilramp_fakes::caller::{self, Failure};
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_fakes::engine::Fault;
use basilramp_wire::api::{CreateProgram, Program};
use basilramp_wire::error::{Executed, Kind};

use crate::support::{
    any, assert_refused, call_until_settled, create_with, options, owner, start, until,
};

const TOKENS: u64 = 4_000;

/// Returns the tokens that engines spent on a tree.
fn used(cluster: &Cluster, root: &str) -> u64 {
    let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
    let own = runs.filter(|run| run.holder.starts_with(root) && run.started);
    own.map(|run| run.prompt_tokens + run.output_tokens).sum()
}

async fn spawn(cluster: &Cluster, parent: &str, request: &str) -> Program {
    let create = CreateProgram {
        request_id: request.to_owned(),
        budget: None,
        parent: Some(parent.to_owned()),
    };
    let created = cluster
        .caller(0)
        .create_program(any(cluster), &create)
        .await;
    created.expect("the sub-agent is created")
}

/// Calls a program until its budget does not cover the next call, and returns the calls that ran.
async fn exhaust(cluster: &Cluster, program: &str) -> u32 {
    let mut position = 0;
    loop {
        let request = format!("e{position}");
        let input = format!("question {position} on gaps between tin and mortar");
        let call = caller::call_request(&request, position, name::MODEL, &input);
        let answer = call_until_settled(cluster, any(cluster), program, &call).await;
        match answer.result {
            Ok(_) => position += 1,
            Err(Failure::Rejected(error)) if error.kind == Kind::BudgetExceeded => {
                assert_eq!(error.ran, Executed::No);
                return position;
            }
            // The call that was cut off has been recorded all the same.
            Err(Failure::Rejected(error)) if error.kind == Kind::OutOfOrder => position += 1,
            // A failed attempt is charged in full; the call may be sent again.
            Err(Failure::Rejected(error)) if error.kind == Kind::UpstreamFailed => {}
            // A request whose stream broke is tried alone for a while.
            Err(Failure::Rejected(error)) if error.kind == Kind::Overloaded => {}
            Err(failure) => panic!("{failure}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sub_agents_and_failed_attempts_stay_within_the_budget() {
    let cluster = start(1).await;
    let root = create_with(&cluster, "p", caller::program_budget(TOKENS)).await;
    let first = spawn(&cluster, &root.id, "s1").await;
    cluster.engines[0].fault_next(Fault::BreakStream);
    cluster.engines[1].fault_next(Fault::BreakStream);
    let (one, two) = tokio::join!(exhaust(&cluster, &root.id), exhaust(&cluster, &first.id));
    assert!(one + two > 0, "nothing ran");
    let used = used(&cluster, &root.id);
    assert!(used <= TOKENS, "{used} tokens of {TOKENS}");
    let hits: u64 = cluster
        .engines
        .iter()
        .map(|engine| engine.faulted_requests())
        .sum();
    assert!(hits > 0, "no attempt failed");
}

/// Streams that are cancelled before the test gives up.
const CANCELS: u32 = 60;

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_streams_are_charged() {
    let mut options = options(1);
    for engine in &mut options.engines {
        engine.decode_ms_per_token = 300.0;
    }
    let cluster = Cluster::start(options).await;
    let cluster = cluster.expect("the deployment starts");
    let story = "a long story ".repeat(30);
    let root = create_with(&cluster, "p", caller::program_budget(TOKENS / 2)).await;
    let mut refused = None;
    for number in 0..CANCELS {
        let mut call = caller::call_request(&format!("c{number}"), 0, name::MODEL, &story);
        call.max_tokens = 200;
        let before = used(&cluster, &root.id);
        let calling = {
            let (caller, at, id) = (cluster.caller(0), any(&cluster), root.id.clone());
            tokio::spawn(async move { caller.call(at, &id, &call).await })
        };
        until("tokens come or the call is refused", || {
            calling.is_finished() || used(&cluster, &root.id) > before + 100
        })
        .await;
        calling.abort();
        let Ok(answer) = calling.await else {
            continue;
        };
        match &answer.result {
            Err(Failure::Rejected(error)) if error.kind == Kind::BudgetExceeded => {
                refused = Some(answer);
                break;
            }
            // The call before is still being cancelled.
            Err(Failure::Rejected(error)) if error.kind == Kind::OutOfOrder => {}
            other => panic!("{other:?}"),
        }
    }
    let used = used(&cluster, &root.id);
    assert!(used <= TOKENS / 2, "{used} tokens of {}", TOKENS / 2);
    assert_refused(
        &refused.expect("the budget runs out"),
        Kind::BudgetExceeded,
        Executed::No,
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_takeover_does_not_give_tokens_back() {
    let mut cluster = start(2).await;
    let root = create_with(&cluster, "p", caller::program_budget(TOKENS)).await;
    let owner = owner(&cluster, &root.id).await;
    let mut cut = caller::call_request("r0", 0, name::MODEL, "a long story");
    cut.max_tokens = 1_500;
    let call = {
        let caller = cluster.caller(0);
        let at = crate::support::other(&cluster, owner);
        let id = root.id.clone();
        tokio::spawn(async move { caller.call(at, &id, &cut).await })
    };
    until("tokens come", || used(&cluster, &root.id) > 20).await;
    cluster.kill(owner).expect("the owner is killed");
    let _ = call.await;
    exhaust(&cluster, &root.id).await;
    let used = used(&cluster, &root.id);
    assert!(used <= TOKENS, "{used} tokens of {TOKENS}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_beyond_the_budget_reaches_no_engine() {
    let cluster = start(1).await;
    let root = create_with(&cluster, "p", caller::program_budget(100)).await;
    let mut call = caller::call_request("a", 0, name::MODEL, "hello");
    call.max_tokens = 1_000;
    let answer = cluster.caller(0).call(any(&cluster), &root.id, &call).await;
    assert_refused(&answer, Kind::BudgetExceeded, Executed::No);
    let runs = cluster.engines.iter().flat_map(|engine| engine.requests());
    assert_eq!(runs.count(), 0);
}
