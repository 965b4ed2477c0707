//! Concurrent runs against real instances keep the promises while faults strike.
//!
//! `cargo run --release --example histories -- --seed 1 --rounds 3` tries every fault.

use basilramp_fakes::Launcher;
use basilramp_fakes::trial::{self, Fault, Options};
use tokio::sync::Semaphore;

/// Decides every choice of callers, operators and faults.
const SEED: u64 = 1;

/// Trials that run at the same time.
static PLACES: Semaphore = Semaphore::const_new(2);

/// Runs a trial, and fails if a promise broke or a fault never hit.
async fn check(faults: &[Fault]) {
    let _place = PLACES.acquire().await.unwrap();
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    let options = Options::new(launcher, SEED, faults.to_vec());
    let report = trial::run(options).await.unwrap();
    println!("{report}");
    for line in &report.logs {
        println!("{line}");
    }
    assert!(
        report.is_success(),
        "faults {faults:?}, see the report above"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_an_instance_is_killed() {
    check(&[Fault::Kill]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_a_lease_lapses_and_its_holder_wakes() {
    check(&[Fault::Freeze]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_the_store_loses_answers_and_services_break() {
    check(&[Fault::StoreLoses, Fault::ServiceCloseAfter]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_every_instance_is_stopped_in_turn() {
    check(&[Fault::RollingStop]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_when_the_store_is_down_while_an_engine_leaves() {
    check(&[Fault::StoreDown, Fault::Leaving]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_crashes_two_at_most() {
    check(&[Fault::Poison]).await;
}
