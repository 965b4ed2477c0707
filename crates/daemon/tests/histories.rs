//! Concurrent programs against real instances with injected faults; the recorded histories are
//! checked against the guarantees of the scheduler.
//!
//! `cargo run --release --example histories -- --seed 1 --rounds 3` injects every kind of fault.

use basilramp_fakes::Launcher;
use basilramp_fakes::trial::{self, Fault, Options};
use tokio::sync::Semaphore;

/// The seed of every random choice of callers, operators and faults.
const SEED: u64 = 1;

/// Limits the number of trials that run at the same time.
static TRIAL_PERMITS: Semaphore = Semaphore::const_new(2);

/// Runs a trial; panics if a guarantee is violated or a fault was never injected.
async fn run_trial(faults: &[Fault]) {
    let _permit = TRIAL_PERMITS.acquire().await.unwrap();
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
async fn guarantees_hold_when_an_instance_is_killed() {
    run_trial(&[Fault::Kill]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_a_lease_expires_and_its_holder_resumes() {
    run_trial(&[Fault::Freeze]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_store_responses_are_lost_and_service_connections_break() {
    run_trial(&[Fault::StoreLoses, Fault::ServiceCloseAfter]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_every_instance_is_stopped_in_turn() {
    run_trial(&[Fault::RollingStop]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_the_store_is_down_while_an_engine_drains() {
    run_trial(&[Fault::StoreDown, Fault::Leaving]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_crashes_at_most_two() {
    run_trial(&[Fault::Poison]).await;
}
