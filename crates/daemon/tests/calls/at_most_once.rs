//! Calls to services that are not idempotent run at most once, whichever component fails.

use std::time::Duration;

use assert_matches::assert_matches;
use basilramp_fakes::caller::{self, CallResponse};
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_fakes::service::Fault;
use basilramp_wire::api::{Call, Program};
use basilramp_wire::error::{Executed, Kind};
use basilramp_wire::frame::Settlement;
use basilramp_wire::record::TurnState;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::support::{
    self, assert_rejected, call_until_settled, create, current_owner, other_address, spawn_call,
    start, turn_row, wait_for_owner, wait_until,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_resent_after_the_service_read_it_and_closed_the_connection() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let address = support::any_address(&cluster);
    // The first call leaves an idle connection that a connection pool would reuse. A pool may
    // silently retry a request when such a connection closes.
    let first = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let first = call_until_settled(&cluster, address, &program.id, &first).await;
    assert_matches!(first.result, Ok(_));

    cluster.store.fault_next(Fault::CloseAfterEffect);
    let order = caller::call_request("b", 1, name::ORDER, "two bags of grit");
    let response = spawn_call(&cluster, address, &program.id, &order).await;
    let response = response.expect("the call task does not panic");
    assert_rejected(&response, Kind::InDoubt, Executed::Unknown);
    let resent = cluster.caller(0).call(address, &program.id, &order).await;
    assert_rejected(&resent, Kind::InDoubt, Executed::Unknown);
    let next = caller::call_request("c", 2, name::ORDER, "three bags of grit");
    let next = cluster.caller(0).call(address, &program.id, &next).await;
    assert_rejected(&next, Kind::OutOfOrder, Executed::No);
    assert_eq!(cluster.store.receipts().len(), 2);
    assert_eq!(cluster.store.effects().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_settles_a_call_in_doubt_with_an_audit_entry() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let address = support::any_address(&cluster);
    cluster.store.fault_next(Fault::CloseAfterEffect);
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let response = spawn_call(&cluster, address, &program.id, &order).await;
    let response = response.expect("the call task does not panic");
    assert_rejected(&response, Kind::InDoubt, Executed::Unknown);

    let settlement = Settlement {
        position: 0,
        ran: true,
        output: "order 7".to_owned(),
        reason: "found in the service's order log".to_owned(),
    };
    let operators = cluster
        .operator_address(0)
        .expect("the instance is running");
    let settled = cluster.operator(0);
    let settled = settled
        .settle_call(operators, &program.id, &settlement)
        .await;
    let settled = settled.expect("the settlement is accepted");
    assert_eq!(settled.turns[0].state, "done");
    let audits = cluster.platform.rows("audit");
    assert!(
        audits
            .iter()
            .any(|(_, row)| row.body.contains("found in the service's order log"))
    );

    let recorded = cluster.caller(0).call(address, &program.id, &order).await;
    let recorded = recorded.result.expect("the recorded response is returned");
    assert_eq!(
        (recorded.output.as_str(), recorded.recorded),
        ("order 7", true)
    );
    let next = caller::call_request("b", 1, name::ORDER, "two bags of grit");
    let next = call_until_settled(&cluster, address, &program.id, &next).await;
    assert_matches!(next.result, Ok(_));
    assert_eq!(cluster.store.receipts().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_status_lookup_resolves_a_call_in_doubt() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let address = support::any_address(&cluster);
    cluster.registry.fault_next(Fault::CloseAfterEffect);
    let register = caller::call_request("a", 0, name::REGISTER, "roof 12, sealant S");
    let response = spawn_call(&cluster, address, &program.id, &register).await;
    let response = response.expect("the call task does not panic");
    assert_matches!(response.result, Ok(_));
    assert_eq!(cluster.registry.receipts().len(), 1);
    assert!(cluster.registry.status_lookups() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_a_killed_owner_is_in_doubt_and_never_resent() {
    let mut cluster = start(3).await;
    let program = create(&cluster, "p").await;
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    cluster.store.fault_next(Fault::HangAfterEffect);
    let owner = wait_for_owner(&cluster, &program.id).await;
    let address = other_address(&cluster, owner);
    let call_task = spawn_call(&cluster, address, &program.id, &order);
    wait_until("the service receives the call", || {
        cluster.store.receipts().len() == 1
    })
    .await;
    cluster.kill(owner).expect("the owner is killed");
    let interrupted = call_task.await.expect("the call task does not panic");
    assert_rejected(&interrupted, Kind::Interrupted, Executed::Unknown);

    let resent = call_until_settled(&cluster, address, &program.id, &order).await;
    assert_rejected(&resent, Kind::InDoubt, Executed::Unknown);
    assert_eq!(cluster.store.receipts().len(), 1);
    let row = turn_row(&cluster, &program.id, 0).expect("the intent row exists");
    assert_eq!(row.state, TurnState::Intent);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_frozen_between_intent_and_send_does_not_send_after_the_takeover() {
    let cluster = start(3).await;
    let program = create(&cluster, "p").await;
    let owner = wait_for_owner(&cluster, &program.id).await;
    let address = other_address(&cluster, owner);
    let (order, first) = freeze_before_send(&cluster, &program.id, owner).await;
    let sent = cluster.store.receipts().len();
    let resent = call_until_settled(&cluster, address, &program.id, &order).await;
    assert_rejected(&resent, Kind::InDoubt, Executed::Unknown);

    let process = cluster.instances[owner].process.as_ref();
    process
        .expect("the instance is running")
        .thaw()
        .expect("the process resumes");
    let first = first.await.expect("the call task does not panic");
    assert_matches!(first.result, Err(_));
    cluster
        .wait_for_instance(owner)
        .await
        .expect("the owner becomes ready again");
    let received = cluster.store.receipts().len();
    assert_eq!(received, sent, "the call was sent after the takeover");
}

/// Attempts to make the store lose the response to the write of an intent, and not to a write
/// before it.
const MAX_ATTEMPTS: u32 = 40;

/// Checks for the intent row, 10 ms apart, in one attempt.
const MAX_POLLS: u32 = 20;

/// Suspends the owner of a program after the intent of an order is written and before the owner
/// receives the response to that write. Returns the order and the task of its call.
async fn freeze_before_send(
    cluster: &Cluster,
    program: &str,
    owner: usize,
) -> (Call, JoinHandle<CallResponse>) {
    let address = other_address(cluster, owner);
    for position in 0..MAX_ATTEMPTS {
        let order = caller::call_request(&format!("r{position}"), position, name::ORDER, "grit");
        let sent = cluster.store.receipts().len();
        cluster.platform.lose_responses(1_000);
        let caller = cluster.caller(0);
        let call_task = {
            let (id, order) = (program.to_owned(), order.clone());
            tokio::spawn(async move { caller.call(address, &id, &order).await })
        };
        let mut intent_written = false;
        for _ in 0..MAX_POLLS {
            intent_written = turn_row(cluster, program, position).is_some();
            if intent_written || call_task.is_finished() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let process = cluster.instances[owner].process.as_ref();
        let process = process.expect("the instance is running");
        process.freeze().expect("the process is suspended");
        cluster.platform.lose_responses(0);
        let row = turn_row(cluster, program, position);
        let is_pending = row.is_some_and(|row| row.state == TurnState::Intent);
        if intent_written && is_pending && cluster.store.receipts().len() == sent {
            return (order, call_task);
        }
        process.thaw().expect("the process resumes");
        let _ = call_task.await;
        let done = call_until_settled(cluster, address, program, &order).await;
        assert_matches!(done.result, Ok(_));
    }
    panic!("no attempt suspended the owner between intent and send");
}

/// Delay of a response, long enough to suspend the owner before it arrives.
const RESPONSE_DELAY_MS: u64 = 3_000;

/// Programs that are tried until an owner is suspended in time. On a busy machine the response may
/// arrive first, and another instance may have become the owner.
const MAX_FREEZE_ATTEMPTS: u32 = 5;

/// A call whose owner was suspended after it sent the request and before the response arrived.
struct FrozenCall {
    program: Program,
    owner: usize,
    call_task: JoinHandle<CallResponse>,
    responds_at: Instant,
}

/// Sends an order and suspends the owner of its program before the response arrives.
async fn freeze_owner_of_sent_call(cluster: &Cluster, order: &Call) -> FrozenCall {
    for number in 0..MAX_FREEZE_ATTEMPTS {
        let program = create(cluster, &format!("p{number}")).await;
        let owner = wait_for_owner(cluster, &program.id).await;
        let receipts = cluster.store.receipts().len();
        cluster
            .store
            .fault_next(Fault::DelayResponse(RESPONSE_DELAY_MS));
        let call_task = spawn_call(cluster, other_address(cluster, owner), &program.id, order);
        wait_until("the service receives the call", || {
            cluster.store.receipts().len() == receipts + 1
        })
        .await;
        let owner = current_owner(cluster, &program.id);
        let process = cluster.instances[owner].process.as_ref();
        let process = process.expect("the instance is running");
        process.freeze().expect("the process is suspended");
        let received_at = Instant::from_std(cluster.store.receipts()[receipts].occurred_at);
        let responds_at = received_at + Duration::from_millis(RESPONSE_DELAY_MS);
        let row = turn_row(cluster, &program.id, 0).expect("the intent row exists");
        if Instant::now() < responds_at && row.state == TurnState::Intent {
            return FrozenCall {
                program,
                owner,
                call_task,
                responds_at,
            };
        }
        process.thaw().expect("the process resumes");
    }
    panic!("no owner was suspended before its response arrived");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_frozen_after_its_send_records_no_outcome_after_the_takeover() {
    let cluster = start(3).await;
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let FrozenCall {
        program,
        owner,
        call_task,
        responds_at,
    } = freeze_owner_of_sent_call(&cluster, &order).await;
    let receipts = cluster.store.receipts().len();
    let address = other_address(&cluster, owner);
    let resent = call_until_settled(&cluster, address, &program.id, &order).await;
    assert_rejected(&resent, Kind::InDoubt, Executed::Unknown);

    // The response is waiting for the owner when it resumes.
    sleep_until(responds_at + Duration::from_millis(100)).await;
    let process = cluster.instances[owner].process.as_ref();
    let process = process.expect("the instance is running");
    process.thaw().expect("the process resumes");
    let first = call_task.await.expect("the call task does not panic");
    assert_matches!(first.result, Err(_));
    cluster
        .wait_for_instance(owner)
        .await
        .expect("the owner becomes ready again");
    let row = turn_row(&cluster, &program.id, 0).expect("the intent row exists");
    assert_eq!(row.state, TurnState::Intent);
    assert_eq!(cluster.store.receipts().len(), receipts);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_responses_cause_no_duplicate_sends() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let address = support::any_address(&cluster);
    for position in 0..5 {
        cluster.platform.lose_responses(1);
        let request = format!("r{position}");
        let order = caller::call_request(&request, position, name::ORDER, "one bag of grit");
        let response = call_until_settled(&cluster, address, &program.id, &order).await;
        assert_matches!(response.result, Ok(_));
    }
    assert_eq!(cluster.store.receipts().len(), 5);
    assert!(cluster.platform.counters().lost_responses > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_rejected_during_a_store_outage_never_runs_later() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let address = support::any_address(&cluster);
    cluster.platform.set_down(true);
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let rejected = cluster.caller(0).call(address, &program.id, &order).await;
    assert_rejected(&rejected, Kind::StoreUnavailable, Executed::No);
    assert_eq!(cluster.store.receipts().len(), 0);

    cluster.platform.set_down(false);
    // Another call gets the position, so the rejected call left no intent row.
    let other = caller::call_request("b", 0, name::ORDER, "two bags of grit");
    let other = call_until_settled(&cluster, address, &program.id, &other).await;
    assert_matches!(other.result, Ok(_));
    let effects = cluster.store.effects();
    let bodies: Vec<&str> = effects.iter().map(|effect| effect.body.as_str()).collect();
    assert_eq!(bodies, ["two bags of grit"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_intent_with_an_unknown_write_outcome_is_withdrawn_and_not_sent() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let address = support::any_address(&cluster);
    let mut intent_written = false;
    for position in 0..MAX_ATTEMPTS {
        let order = caller::call_request(&format!("r{position}"), position, name::ORDER, "grit");
        let sent = cluster.store.receipts().len();
        cluster.platform.lose_responses(1_000);
        let rejected = cluster.caller(0).call(address, &program.id, &order).await;
        assert_rejected(&rejected, Kind::StoreUnavailable, Executed::No);
        intent_written = turn_row(&cluster, &program.id, position).is_some();
        cluster.platform.lose_responses(0);
        wait_until("the intent is withdrawn", || {
            turn_row(&cluster, &program.id, position).is_none()
        })
        .await;
        assert_eq!(
            cluster.store.receipts().len(),
            sent,
            "a rejected call was sent"
        );
        let resent = call_until_settled(&cluster, address, &program.id, &order).await;
        assert_matches!(resent.result, Ok(_));
        assert_eq!(cluster.store.receipts().len(), sent + 1);
        if intent_written {
            break;
        }
    }
    assert!(
        intent_written,
        "no attempt wrote an intent whose response was lost"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_to_an_unreachable_service_is_not_in_doubt() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let address = support::any_address(&cluster);
    cluster.store.set_down(true);
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let rejected = spawn_call(&cluster, address, &program.id, &order).await;
    let rejected = rejected.expect("the call task does not panic");
    assert_rejected(&rejected, Kind::UpstreamUnavailable, Executed::No);
    cluster.store.set_down(false);
    wait_until("the intent is withdrawn", || {
        turn_row(&cluster, &program.id, 0).is_none()
    })
    .await;
    let resent = call_until_settled(&cluster, address, &program.id, &order).await;
    assert_matches!(resent.result, Ok(_));
    assert_eq!(cluster.store.receipts().len(), 1);
}
