//! A request that crashes engines is quarantined after two crashes, whichever program or instance
//! sends it again.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_fakes::caller;
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_fakes::engine;
use basilramp_fakes::relay::Cut;
use basilramp_wire::api::Call;
use basilramp_wire::error::{Executed, Kind};
use tokio::time::{Instant, sleep};

use crate::support::{
    assert_rejected, call_until_settled, create, options, other_address, rejection, wait_for_owner,
    wait_until,
};

/// An input that crashes the fake engine: it contains the word "POISON" in capitals.
const POISON: &str = "tell me about POISON ivy";

/// Time within which a request that is sent again and again is quarantined.
const QUARANTINE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two calls of a request that crashes engines.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Latency of a store that makes a crash durable only after the timeout of its write.
const SLOW_STORE_MS: u64 = 600;

fn crashes(cluster: &Cluster) -> u64 {
    let engines = cluster.engines.iter();
    engines.map(|engine| engine.crashes()).sum()
}

async fn start_deployment(engines: usize) -> Cluster {
    let mut options = options(3);
    options.engines = vec![engine::Options::default(); engines];
    let cluster = Cluster::start(options).await;
    cluster.expect("the deployment starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resent_poison_request_crashes_two_engines_in_total() {
    let cluster = start_deployment(4).await;
    for round in 0..4u32 {
        for index in 0..3 {
            let program = create(&cluster, &format!("p{round} {index}")).await;
            let address = cluster
                .caller_address(index)
                .expect("the instance is running");
            let mut call = caller::call_request(&format!("r{round}"), 0, name::MODEL, POISON);
            call.max_tokens = 10 + round;
            let response = cluster.caller(0).call(address, &program.id, &call).await;
            assert!(response.result.is_err());
        }
    }
    assert_eq!(crashes(&cluster), 2);
    let program = create(&cluster, "another").await;
    let address = crate::support::any_address(&cluster);
    let call = caller::call_request("r", 0, name::MODEL, POISON);
    let response = cluster.caller(0).call(address, &program.id, &call).await;
    assert_rejected(&response, Kind::Quarantined, Executed::No);
    let good = caller::call_request("r", 0, name::MODEL, "tell me about poison ivy");
    let response = cluster.caller(0).call(address, &program.id, &good).await;
    assert!(response.result.is_ok(), "{:?}", response.result);
}

/// Sends a call again until it is quarantined. It fails with the first crash if the crash is not
/// durable in time, as the instance may not send it again before.
async fn send_until_quarantined(
    cluster: &Cluster,
    address: SocketAddr,
    program: &str,
    call: &Call,
) {
    let rejections = [Kind::UpstreamFailed, Kind::Overloaded];
    send_through_rejections(cluster, address, program, call, &rejections).await;
}

/// Sends a call until it is quarantined. Until then, only rejections of these kinds are allowed.
async fn send_through_rejections(
    cluster: &Cluster,
    address: SocketAddr,
    program: &str,
    call: &Call,
    rejections: &[Kind],
) {
    let deadline = Instant::now() + QUARANTINE_TIMEOUT;
    loop {
        let response = cluster.caller(0).call(address, program, call).await;
        match rejection(&response).kind {
            Kind::Quarantined => return,
            kind => assert!(rejections.contains(&kind), "{kind:?}"),
        }
        assert!(Instant::now() < deadline, "the request is not quarantined");
        sleep(RESEND_INTERVAL).await;
    }
}

/// The store is too slow to make a crash durable before the call fails. The call is not sent again
/// until then, and the next crash quarantines it.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_that_is_not_durable_yet_blocks_its_request() {
    let cluster = start_deployment(3).await;
    let program = create(&cluster, "p").await;
    wait_for_owner(&cluster, &program.id).await;
    let address = crate::support::any_address(&cluster);
    // The owner has to have loaded the program, as it can't do so while the store is slow.
    let call = caller::call_request("r0", 0, name::MODEL, "tell me about ivy");
    let response = call_until_settled(&cluster, address, &program.id, &call).await;
    assert!(response.result.is_ok(), "{:?}", response.result);
    let call = caller::call_request("r1", 1, name::MODEL, POISON);
    cluster.platform.set_latency_ms(SLOW_STORE_MS);
    let response = cluster.caller(0).call(address, &program.id, &call).await;
    assert_eq!(rejection(&response).kind, Kind::UpstreamFailed);
    assert_eq!(crashes(&cluster), 1);
    // The line is written by a thread of its own and may arrive after the response.
    wait_until("the failed write is logged", || {
        let processes = cluster.instances.iter();
        let mut processes = processes.filter_map(|instance| instance.process.as_ref());
        processes.any(|process| process.output().join("\n").contains("E0511"))
    })
    .await;
    cluster.platform.set_latency_ms(0);
    // The trial is not recorded while a commit still waits for the slow store.
    let rejections = [
        Kind::UpstreamFailed,
        Kind::Overloaded,
        Kind::StoreUnavailable,
    ];
    send_through_rejections(&cluster, address, &program.id, &call, &rejections).await;
    assert_eq!(crashes(&cluster), 2);
}

/// The owner sees a crash, loses the store before it can record it, and is fenced. The next owner
/// knows of no crash and may send the request once, but no trial after that: with the crash that is
/// not recorded yet, the request has crashed two engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_crash_at_an_owner_without_the_store_counts_at_the_next_owner() {
    check_crash_at_an_owner_without_the_store(4).await;
}

/// As above, but the same engine crashes twice. It has restarted in between, so its second crash is
/// not taken for the first one.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_crash_of_the_same_engine_counts_at_the_next_owner() {
    check_crash_at_an_owner_without_the_store(1).await;
}

async fn check_crash_at_an_owner_without_the_store(engines: usize) {
    let mut options = options(3);
    options.engines = vec![engine::Options::default(); engines];
    options.relays = true;
    let cluster = Cluster::start(options).await;
    let cluster = cluster.expect("the deployment starts");
    let program = create(&cluster, "p").await;
    let owner = wait_for_owner(&cluster, &program.id).await;
    let store = cluster.instances[owner].store_relay.as_ref();
    let store = store.expect("the deployment has relays");
    let address = cluster.caller_address(owner);
    let address = address.expect("the instance is running");
    // Once a call is complete, the instance knows that it owns the program.
    let call = caller::call_request("r0", 0, name::MODEL, "tell me about ivy");
    let response = call_until_settled(&cluster, address, &program.id, &call).await;
    assert!(response.result.is_ok(), "{:?}", response.result);
    let call = caller::call_request("r1", 1, name::MODEL, POISON);
    store.cut(Cut::Both);
    let response = cluster.caller(0).call(address, &program.id, &call).await;
    assert_eq!(rejection(&response).kind, Kind::UpstreamFailed);
    assert_eq!(crashes(&cluster), 1);

    let address = other_address(&cluster, owner);
    let deadline = Instant::now() + QUARANTINE_TIMEOUT;
    while crashes(&cluster) < 2 {
        let response = cluster.caller(0).call(address, &program.id, &call).await;
        assert!(response.result.is_err());
        assert!(Instant::now() < deadline, "the next owner sends nothing");
        sleep(RESEND_INTERVAL).await;
    }
    for _ in 0..10 {
        let response = cluster.caller(0).call(address, &program.id, &call).await;
        assert_rejected(&response, Kind::Overloaded, Executed::No);
        sleep(RESEND_INTERVAL).await;
    }
    store.heal();
    let rejections = [
        Kind::Overloaded,
        Kind::OwnerUnavailable,
        Kind::StoreUnavailable,
        Kind::Interrupted,
    ];
    send_through_rejections(&cluster, address, &program.id, &call, &rejections).await;
    assert_eq!(crashes(&cluster), 2);
}

/// The write of a trial times out while it is being sent, and is made later. The trial has no sender
/// then, and must not block the request until it is stale, after two minutes.
#[tokio::test(flavor = "multi_thread")]
async fn a_trial_that_is_written_late_does_not_block_its_request() {
    /// Latency at which a read is in time and a commit is not, as it waits for the one before it.
    const LATENCY_MS: u64 = 400;
    let cluster = start_deployment(1).await;
    let program = create(&cluster, "p").await;
    wait_for_owner(&cluster, &program.id).await;
    let address = crate::support::any_address(&cluster);
    let call = caller::call_request("r0", 0, name::MODEL, "tell me about ivy");
    let response = call_until_settled(&cluster, address, &program.id, &call).await;
    assert!(response.result.is_ok(), "{:?}", response.result);
    let call = caller::call_request("r1", 1, name::MODEL, POISON);
    let response = cluster.caller(0).call(address, &program.id, &call).await;
    assert!(response.result.is_err());
    assert_eq!(crashes(&cluster), 1);
    cluster.platform.set_latency_ms(LATENCY_MS);
    let response = cluster.caller(0).call(address, &program.id, &call).await;
    assert!(response.result.is_err());
    cluster.platform.set_latency_ms(0);
    let rejections = [
        Kind::UpstreamFailed,
        Kind::UpstreamUnavailable,
        Kind::Overloaded,
        Kind::StoreUnavailable,
        Kind::Interrupted,
    ];
    send_through_rejections(&cluster, address, &program.id, &call, &rejections).await;
    assert_eq!(crashes(&cluster), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_survives_a_restart_of_all_instances() {
    let mut cluster = start_deployment(3).await;
    let program = create(&cluster, "p").await;
    let address = crate::support::any_address(&cluster);
    let call = caller::call_request("r", 0, name::MODEL, POISON);
    send_until_quarantined(&cluster, address, &program.id, &call).await;
    assert_eq!(crashes(&cluster), 2);
    for index in 0..3 {
        cluster.kill(index).expect("the process is killed");
    }
    for index in 0..3 {
        cluster
            .start_process(index)
            .await
            .expect("the instance starts");
    }
    cluster
        .wait_until_ready()
        .await
        .expect("the instances become ready");
    let address = crate::support::any_address(&cluster);
    let response = call_until_settled(&cluster, address, &program.id, &call).await;
    assert_rejected(&response, Kind::Quarantined, Executed::No);
    assert_eq!(crashes(&cluster), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_without_a_crash_records_no_suspect() {
    let cluster = start_deployment(2).await;
    for engine in &cluster.engines {
        engine.fault_next(engine::Fault::BreakStream);
    }
    let program = create(&cluster, "p").await;
    let address = crate::support::any_address(&cluster);
    let call = caller::call_request("r", 0, name::MODEL, "which grit comes first?");
    let response = cluster.caller(0).call(address, &program.id, &call).await;
    let response = match response.result {
        Ok(_) => response,
        Err(_) => cluster.caller(0).call(address, &program.id, &call).await,
    };
    assert!(response.result.is_ok(), "{:?}", response.result);
    assert!(cluster.platform.rows("suspect").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_copies_of_a_poison_request_crash_a_bounded_number_of_engines() {
    /// Copies of one request that each instance sends concurrently until one of them completes.
    const COPIES: u64 = 2;
    const INSTANCES: u64 = 3;
    const CALLERS: usize = 30;
    let cluster = start_deployment(12).await;
    let mut programs = Vec::new();
    for number in 0..CALLERS {
        programs.push(create(&cluster, &format!("p{number}")).await);
    }
    let mut calls = Vec::new();
    for (number, program) in programs.iter().enumerate() {
        let address = cluster
            .caller_address(number % 3)
            .expect("the instance is running");
        let call = caller::call_request("r", 0, name::MODEL, POISON);
        let caller = cluster.caller(0);
        calls.push(async move { caller.call(address, &program.id, &call).await });
    }
    let responses = futures_util::future::join_all(calls).await;
    assert!(responses.iter().all(|response| response.result.is_err()));
    let crashes = crashes(&cluster);
    assert!(crashes >= 2, "only {crashes} crashes");
    // The first crash, the crash of the trial, and those of the other copies in flight at the
    // first crash.
    let bound = 2 + COPIES * INSTANCES - 1;
    assert!(
        crashes <= bound,
        "{crashes} crashes, at most {bound} are allowed"
    );
}
