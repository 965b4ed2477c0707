//! Calls during an outage of the platform's store.

use basilramp_fakes::caller;
use basilramp_fakes::cluster::name;
use basilramp_wire::api::Call;
use basilramp_wire::error::{Executed, Kind};

use crate::support::{
    any_address, assert_rejected, call_until_settled, create, other_address, start, turn_row,
    wait_for_owner, wait_until,
};

fn provisional_call(request: &str, position: u32) -> Call {
    let mut call = caller::call_request(request, position, name::MODEL, "which grit comes first?");
    call.provisional = true;
    call
}

#[tokio::test(flavor = "multi_thread")]
async fn provisional_responses_become_durable_after_a_store_outage() {
    let cluster = start(1).await;
    let program = create(&cluster, "p").await;
    let address = any_address(&cluster);
    cluster.platform.set_down(true);
    let mut hashes = Vec::new();
    for position in 0..3 {
        let call = provisional_call(&format!("r{position}"), position);
        let response = cluster.caller(0).call(address, &program.id, &call).await;
        let response = response.result.expect("the call succeeds");
        assert!(response.provisional);
        hashes.push(response.hash);
    }
    let order = caller::call_request("o", 3, name::ORDER, "one bag of grit");
    let rejected = cluster.caller(0).call(address, &program.id, &order).await;
    assert_rejected(&rejected, Kind::StoreUnavailable, Executed::No);
    cluster.platform.set_down(false);
    wait_until("the turns are stored", || {
        turn_row(&cluster, &program.id, 2).is_some()
    })
    .await;
    let resent =
        call_until_settled(&cluster, address, &program.id, &provisional_call("r1", 1)).await;
    let resent = resent.result.expect("the recorded response is returned");
    assert_eq!((resent.provisional, resent.recorded), (false, true));
    for (position, hash) in hashes.iter().enumerate() {
        let row = turn_row(&cluster, &program.id, position as u32);
        assert_eq!(&row.expect("the turn is stored").hash, hash);
    }
    assert_eq!(cluster.store.receipts().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resends_provisional_calls_lost_in_a_crash() {
    let mut cluster = start(2).await;
    let program = create(&cluster, "p").await;
    let owner = wait_for_owner(&cluster, &program.id).await;
    let owner_address = cluster
        .caller_address(owner)
        .expect("the instance is running");
    let durable = call_until_settled(
        &cluster,
        owner_address,
        &program.id,
        &provisional_call("r0", 0),
    )
    .await;
    durable.result.expect("the call succeeds");
    wait_until("the turn is stored", || {
        turn_row(&cluster, &program.id, 0).is_some()
    })
    .await;
    cluster.platform.set_down(true);
    let lost = cluster
        .caller(0)
        .call(owner_address, &program.id, &provisional_call("r1", 1))
        .await;
    assert!(lost.result.expect("the call succeeds").provisional);
    cluster.kill(owner).expect("the process is killed");
    cluster.platform.set_down(false);
    let address = other_address(&cluster, owner);
    let behind =
        call_until_settled(&cluster, address, &program.id, &provisional_call("r2", 2)).await;
    assert_rejected(&behind, Kind::HistoryBehind, Executed::No);
    for position in 1..3 {
        let call = provisional_call(&format!("r{position}"), position);
        let response = call_until_settled(&cluster, address, &program.id, &call).await;
        assert!(response.result.is_ok(), "{:?}", response.result);
    }
}
