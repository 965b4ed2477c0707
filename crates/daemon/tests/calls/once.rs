//! Calls that may not be repeated run at most once, whatever fails.

use std::time::Duration;

use assert_matches::assert_matches;
use basilramp_fakes::caller::{self, CallResponse};
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_fakes::service::Fault;
use basilramp_wire::api::Call;
use basilramp_wire::error::{Executed, Kind};
use basilramp_wire::frame::Settlement;
use basilramp_wire::record::TurnState;
use tokio::task::JoinHandle;

use crate::support::{
    self, assert_refused, call_until_settled, create, other, owner, spawn_call, start, turn_row,
    until,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_closed_after_the_request_was_read_is_not_replayed() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let at = support::any(&cluster);
    // The first call leaves a connection behind that a pool would use again.
    let first = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let first = call_until_settled(&cluster, at, &program.id, &first).await;
    assert_matches!(first.result, Ok(_));

    cluster.store.fault_next(Fault::CloseAfterEffect);
    let order = caller::call_request("b", 1, name::ORDER, "two bags of grit");
    let answer = spawn_call(&cluster, at, &program.id, &order).await;
    let answer = answer.expect("the caller is answered");
    assert_refused(&answer, Kind::InDoubt, Executed::Unknown);
    let again = cluster.caller(0).call(at, &program.id, &order).await;
    assert_refused(&again, Kind::InDoubt, Executed::Unknown);
    let next = caller::call_request("c", 2, name::ORDER, "three bags of grit");
    let next = cluster.caller(0).call(at, &program.id, &next).await;
    assert_refused(&next, Kind::OutOfOrder, Executed::No);
    assert_eq!(cluster.store.receipts().len(), 2);
    assert_eq!(cluster.store.effects().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operator_settles_a_call_in_doubt_on_record() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let at = support::any(&cluster);
    cluster.store.fault_next(Fault::CloseAfterEffect);
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let answer = spawn_call(&cluster, at, &program.id, &order).await;
    let answer = answer.expect("the caller is answered");
    assert_refused(&answer, Kind::InDoubt, Executed::Unknown);

    let settlement = Settlement {
        position: 0,
        ran: true,
        output: "order 7".to_owned(),
        reason: "seen in the shop's books".to_owned(),
    };
    let operators = cluster.operator_address(0).expect("it runs");
    let settled = cluster.operator(0);
    let settled = settled
        .settle_call(operators, &program.id, &settlement)
        .await;
    let settled = settled.expect("the call is settled");
    assert_eq!(settled.turns[0].state, "done");
    let audits = cluster.platform.rows("audit");
    assert!(
        audits
            .iter()
            .any(|(_, row)| row.body.contains("seen in the shop's books"))
    );

    let recorded = cluster.caller(0).call(at, &program.id, &order).await;
    let recorded = recorded.result.expect("the answer is recorded");
    assert_eq!(
        (recorded.output.as_str(), recorded.recorded),
        ("order 7", true)
    );
    let next = caller::call_request("b", 1, name::ORDER, "two bags of grit");
    let next = call_until_settled(&cluster, at, &program.id, &next).await;
    assert_matches!(next.result, Ok(_));
    assert_eq!(cluster.store.receipts().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_with_a_status_look_up_settles_the_doubt_itself() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let at = support::any(&cluster);
    cluster.registry.fault_next(Fault::CloseAfterEffect);
    let register = caller::call_request("a", 0, name::REGISTER, "roof 12, sealant S");
    let answer = spawn_call(&cluster, at, &program.id, &register).await;
    let answer = answer.expect("the caller is answered");
    assert_matches!(answer.result, Ok(_));
    assert_eq!(cluster.registry.receipts().len(), 1);
    assert!(cluster.registry.status_lookups() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_leaves_the_call_in_doubt_and_nobody_sends_it_again() {
    let mut cluster = start(3).await;
    let program = create(&cluster, "p").await;
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    cluster.store.fault_next(Fault::HangAfterEffect);
    let owner = owner(&cluster, &program.id).await;
    let at = other(&cluster, owner);
    let calling = spawn_call(&cluster, at, &program.id, &order);
    until("the call arrives", || cluster.store.receipts().len() == 1).await;
    cluster.kill(owner).expect("the owner is killed");
    let cut = calling.await.expect("the caller is answered");
    assert_refused(&cut, Kind::Interrupted, Executed::Unknown);

    let again = call_until_settled(&cluster, at, &program.id, &order).await;
    assert_refused(&again, Kind::InDoubt, Executed::Unknown);
    assert_eq!(cluster.store.receipts().len(), 1);
    let row = turn_row(&cluster, &program.id, 0).expect("the intent is kept");
    assert_eq!(row.state, TurnState::Intent);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_frozen_between_its_intent_and_its_send_does_not_send_late() {
    let cluster = start(3).await;
    let program = create(&cluster, "p").await;
    let owner = owner(&cluster, &program.id).await;
    let at = other(&cluster, owner);
    let (order, first) = freeze_before_send(&cluster, &program.id, owner).await;
    let sent = cluster.store.receipts().len();
    let again = call_until_settled(&cluster, at, &program.id, &order).await;
    assert_refused(&again, Kind::InDoubt, Executed::Unknown);

    let process = cluster.instances[owner].process.as_ref();
    process.expect("it runs").thaw().expect("it goes on");
    let first = first.await.expect("the caller is answered");
    assert_matches!(first.result, Err(_));
    cluster
        .wait_for_instance(owner)
        .await
        .expect("it joins again");
    let received = cluster.store.receipts().len();
    assert_eq!(received, sent, "sent after the takeover");
}

/// Tries at having the store lose the answer to an intent and not to what goes before it.
const CATCHES: u32 = 40;

/// Looks whether an intent is written, 10 ms apart, before the next try.
const LOOKS: u32 = 20;

/// Freezes the owner of a program after an order's intent was written and before it learns so.
async fn freeze_before_send(
    cluster: &Cluster,
    program: &str,
    owner: usize,
) -> (Call, JoinHandle<CallResponse>) {
    let at = other(cluster, owner);
    for position in 0..CATCHES {
        let order = caller::call_request(&format!("r{position}"), position, name::ORDER, "grit");
        let sent = cluster.store.receipts().len();
        cluster.platform.lose_responses(1_000);
        let caller = cluster.caller(0);
        let calling = {
            let (id, order) = (program.to_owned(), order.clone());
            tokio::spawn(async move { caller.call(at, &id, &order).await })
        };
        let mut caught = false;
        for _ in 0..LOOKS {
            caught = turn_row(cluster, program, position).is_some();
            if caught || calling.is_finished() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let process = cluster.instances[owner].process.as_ref();
        let process = process.expect("it runs");
        process.freeze().expect("it is frozen");
        cluster.platform.lose_responses(0);
        let row = turn_row(cluster, program, position);
        let open = row.is_some_and(|row| row.state == TurnState::Intent);
        if caught && open && cluster.store.receipts().len() == sent {
            return (order, calling);
        }
        process.thaw().expect("it goes on");
        let _ = calling.await;
        let done = call_until_settled(cluster, at, program, &order).await;
        assert_matches!(done.result, Ok(_));
    }
    panic!("the owner was never frozen between intent and send");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_frozen_after_its_send_records_no_outcome_of_its_own() {
    let cluster = start(3).await;
    let program = create(&cluster, "p").await;
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let owner = owner(&cluster, &program.id).await;
    let at = other(&cluster, owner);
    cluster.store.fault_next(Fault::DelayResponse(1_000));
    let calling = spawn_call(&cluster, at, &program.id, &order);
    until("the call arrives", || cluster.store.receipts().len() == 1).await;
    let process = cluster.instances[owner].process.as_ref();
    let process = process.expect("it runs");
    process.freeze().expect("it is frozen");
    let again = call_until_settled(&cluster, at, &program.id, &order).await;
    assert_refused(&again, Kind::InDoubt, Executed::Unknown);

    process.thaw().expect("it goes on");
    let first = calling.await.expect("the caller is answered");
    assert_matches!(first.result, Err(_));
    cluster
        .wait_for_instance(owner)
        .await
        .expect("it joins again");
    let row = turn_row(&cluster, &program.id, 0).expect("the intent is kept");
    assert_eq!(row.state, TurnState::Intent);
    assert_eq!(cluster.store.receipts().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_store_send_nothing_twice() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let at = support::any(&cluster);
    for position in 0..5 {
        cluster.platform.lose_responses(1);
        let request = format!("r{position}");
        let order = caller::call_request(&request, position, name::ORDER, "one bag of grit");
        let answer = call_until_settled(&cluster, at, &program.id, &order).await;
        assert_matches!(answer.result, Ok(_));
    }
    assert_eq!(cluster.store.receipts().len(), 5);
    assert!(cluster.platform.counters().lost_responses > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_refused_while_the_store_is_down_never_runs_later() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let at = support::any(&cluster);
    cluster.platform.set_down(true);
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let refused = cluster.caller(0).call(at, &program.id, &order).await;
    assert_refused(&refused, Kind::StoreUnavailable, Executed::No);
    assert_eq!(cluster.store.receipts().len(), 0);

    cluster.platform.set_down(false);
    // Another call takes the position: the refused one can't have left anything behind.
    let other = caller::call_request("b", 0, name::ORDER, "two bags of grit");
    let other = call_until_settled(&cluster, at, &program.id, &other).await;
    assert_matches!(other.result, Ok(_));
    let effects = cluster.store.effects();
    let bodies: Vec<&str> = effects.iter().map(|effect| effect.body.as_str()).collect();
    assert_eq!(bodies, ["two bags of grit"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_intent_whose_write_is_unknown_is_withdrawn_and_not_sent() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let at = support::any(&cluster);
    let mut caught = false;
    for position in 0..CATCHES {
        let order = caller::call_request(&format!("r{position}"), position, name::ORDER, "grit");
        let sent = cluster.store.receipts().len();
        cluster.platform.lose_responses(1_000);
        let refused = cluster.caller(0).call(at, &program.id, &order).await;
        assert_refused(&refused, Kind::StoreUnavailable, Executed::No);
        caught = turn_row(&cluster, &program.id, position).is_some();
        cluster.platform.lose_responses(0);
        until("the intent is withdrawn", || {
            turn_row(&cluster, &program.id, position).is_none()
        })
        .await;
        assert_eq!(
            cluster.store.receipts().len(),
            sent,
            "a refused call was sent"
        );
        let again = call_until_settled(&cluster, at, &program.id, &order).await;
        assert_matches!(again.result, Ok(_));
        assert_eq!(cluster.store.receipts().len(), sent + 1);
        if caught {
            break;
        }
    }
    assert!(caught, "no intent was written without its answer");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_is_not_reached_leaves_no_doubt() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let at = support::any(&cluster);
    cluster.store.set_down(true);
    let order = caller::call_request("a", 0, name::ORDER, "one bag of grit");
    let refused = spawn_call(&cluster, at, &program.id, &order).await;
    let refused = refused.expect("the caller is answered");
    assert_refused(&refused, Kind::UpstreamUnavailable, Executed::No);
    cluster.store.set_down(false);
    until("the intent is withdrawn", || {
        turn_row(&cluster, &program.id, 0).is_none()
    })
    .await;
    let again = call_until_settled(&cluster, at, &program.id, &order).await;
    assert_matches!(again.result, Ok(_));
    assert_eq!(cluster.store.receipts().len(), 1);
}
