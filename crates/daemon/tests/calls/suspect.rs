//! A request that crashes engines costs two of them at most, whoever sends it again.

use basilramp_fakes::caller;
use basilramp_fakes::cluster::{Cluster, name};
use basilramp_fakes::engine;
use basilramp_wire::error::{Executed, Kind};

use crate::support::{assert_refused, create, options, refusal, until};

const POISON: &str = "tell me about POISON ivy";

fn crashes(cluster: &Cluster) -> u64 {
    let engines = cluster.engines.iter();
    engines.map(|engine| engine.crashes()).sum()
}

async fn deployment(engines: usize) -> Cluster {
    let mut options = options(3);
    options.engines = vec![engine::Options::default(); engines];
    let cluster = Cluster::start(options).await;
    cluster.expect("the deployment starts")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_costs_two_engines_whoever_sends_it_again() {
    let cluster = deployment(4).await;
    for round in 0..4u32 {
        for index in 0..3 {
            let program = create(&cluster, &format!("p{round} {index}")).await;
            let at = cluster.caller_address(index).expect("it runs");
            let mut call = caller::call_request(&format!("r{round}"), 0, name::MODEL, POISON);
            call.max_tokens = 10 + round;
            let answer = cluster.caller(0).call(at, &program.id, &call).await;
            assert!(answer.result.is_err());
        }
    }
    assert_eq!(crashes(&cluster), 2);
    let program = create(&cluster, "another").await;
    let at = crate::support::any(&cluster);
    let call = caller::call_request("r", 0, name::MODEL, POISON);
    let answer = cluster.caller(0).call(at, &program.id, &call).await;
    assert_refused(&answer, Kind::Quarantined, Executed::No);
    let good = caller::call_request("r", 0, name::MODEL, "tell me about poison ivy");
    let answer = cluster.caller(0).call(at, &program.id, &good).await;
    assert!(answer.result.is_ok(), "{:?}", answer.result);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_outlives_every_instance() {
    let mut cluster = deployment(3).await;
    let program = create(&cluster, "p").await;
    let at = crate::support::any(&cluster);
    let call = caller::call_request("r", 0, name::MODEL, POISON);
    let answer = cluster.caller(0).call(at, &program.id, &call).await;
    assert_eq!(refusal(&answer).kind, Kind::UpstreamFailed);
    until("two engines crash", || crashes(&cluster) == 2).await;
    for index in 0..3 {
        cluster.kill(index).expect("it is killed");
    }
    for index in 0..3 {
        cluster.start_process(index).await.expect("it starts");
    }
    cluster.wait_until_ready().await.expect("they are ready");
    let at = crate::support::any(&cluster);
    let answer = crate::support::call_until_settled(&cluster, at, &program.id, &call).await;
    assert_refused(&answer, Kind::Quarantined, Executed::No);
    assert_eq!(crashes(&cluster), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_makes_no_suspect() {
    let cluster = deployment(2).await;
    for engine in &cluster.engines {
        engine.fault_next(engine::Fault::BreakStream);
    }
    let program = create(&cluster, "p").await;
    let at = crate::support::any(&cluster);
    let call = caller::call_request("r", 0, name::MODEL, "which grit comes first?");
    let answer = cluster.caller(0).call(at, &program.id, &call).await;
    let answer = match answer.result {
        Ok(_) => answer,
        Err(_) => cluster.caller(0).call(at, &program.id, &call).await,
    };
    assert!(answer.result.is_ok(), "{:?}", answer.result);
    assert!(cluster.platform.rows("suspect").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_in_flight_at_the_first_crash_are_few() {
    /// Copies that each instance lets out before one was answered whole.
    const COPIES: u64 = 2;
    const INSTANCES: u64 = 3;
    const CALLERS: usize = 30;
    let cluster = deployment(12).await;
    let mut programs = Vec::new();
    for number in 0..CALLERS {
        programs.push(create(&cluster, &format!("p{number}")).await);
    }
    let mut calls = Vec::new();
    for (number, program) in programs.iter().enumerate() {
        let at = cluster.caller_address(number % 3).expect("it runs");
        let call = caller::call_request("r", 0, name::MODEL, POISON);
        let caller = cluster.caller(0);
        calls.push(async move { caller.call(at, &program.id, &call).await });
    }
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| answer.result.is_err()));
    let crashes = crashes(&cluster);
    assert!(crashes >= 2, "{crashes} crashes");
    // The first crash, the trial's, and those of the copies in flight at the first one.
    let bound = 2 + COPIES * INSTANCES - 1;
    assert!(crashes <= bound, "{crashes} crashes of at most {bound}");
}
