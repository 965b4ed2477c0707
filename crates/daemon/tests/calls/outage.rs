//! Calls while the platform's store is down.

use basilramp_fakes::caller;
use basilramp_fakes::cluster::name;
use basilramp_wire::api::Call;
use basilramp_wire::error::{Executed, Kind};

use crate::support::{
    any, assert_refused, call_until_settled, create, other, owner, start, turn_row, until,
};

fn provisional(request: &str, position: u32) -> Call {
    let mut call = caller::call_request(request, position, name::MODEL, "which grit comes first?");
    call.provisional = true;
    call
}

#[tokio::test(flavor = "multi_thread")]
async fn provisional_answers_become_durable_once_the_store_is_back() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let at = any(&cluster);
    cluster.platform.set_down(true);
    let mut hashes = Vec::new();
    for position in 0..3 {
        let call = provisional(&format!("r{position}"), position);
        let answer = cluster.caller(0).call(at, &program.id, &call).await;
        let answer = answer.result.expect("it is answered");
        assert!(answer.provisional);
        hashes.push(answer.hash);
    }
    let order = caller::call_request("o", 3, name::ORDER, "one bag of grit");
    let refused = cluster.caller(0).call(at, &program.id, &order).await;
    assert_refused(&refused, Kind::StoreUnavailable, Executed::No);
    cluster.platform.set_down(false);
    until("the turns are durable", || {
        turn_row(&cluster, &program.id, 2).is_some()
    })
    .await;
    let again = call_until_settled(&cluster, at, &program.id, &provisional("r1", 1)).await;
    let again = again.result.expect("it is recorded");
    assert_eq!((again.provisional, again.recorded), (false, true));
    for (position, hash) in hashes.iter().enumerate() {
        let row = turn_row(&cluster, &program.id, position as u32);
        assert_eq!(&row.expect("the turn is durable").hash, hash);
    }
    assert_eq!(cluster.store.receipts().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_sends_again_what_a_crash_lost_of_provisional_answers() {
    let mut cluster = start(2).await;
    let program = create(&cluster, "p").await;
    let owner = owner(&cluster, &program.id).await;
    let door = cluster.caller_address(owner).expect("it runs");
    let kept = call_until_settled(&cluster, door, &program.id, &provisional("r0", 0)).await;
    kept.result.expect("it is answered");
    until("the turn is durable", || {
        turn_row(&cluster, &program.id, 0).is_some()
    })
    .await;
    cluster.platform.set_down(true);
    let lost = cluster
        .caller(0)
        .call(door, &program.id, &provisional("r1", 1))
        .await;
    assert!(lost.result.expect("it is answered").provisional);
    cluster.kill(owner).expect("it is killed");
    cluster.platform.set_down(false);
    let at = other(&cluster, owner);
    let behind = call_until_settled(&cluster, at, &program.id, &provisional("r2", 2)).await;
    assert_refused(&behind, Kind::HistoryBehind, Executed::No);
    for position in 1..3 {
        let call = provisional(&format!("r{position}"), position);
        let answer = call_until_settled(&cluster, at, &program.id, &call).await;
        assert!(answer.result.is_ok(), "{:?}", answer.result);
    }
}
