//! Soak test: instances run as processes under continuous calls, while faults drawn from a seed are
//! injected. The records of callers and upstreams are checked against the guarantees.
//!
//! `BASILRAMP_SOAK_SEEDS=1..50 cargo test -p basilramp-daemon --test ingress soak -- --nocapture`
//! runs more seeds. Seeds that failed once are listed in [`REGRESSION_SEEDS`] and always run.

mod caller;
mod check;
mod environment;
mod fault;
mod keys;

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use self::caller::Caller;
use self::environment::Environment;
use self::fault::Fault;

/// Seeds that failed once: trials of suspects that were never ended kept other copies waiting.
const REGRESSION_SEEDS: [u64; 2] = [22, 45];

/// Time for which faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(6);

/// Time after the last fault within which each instance has to serve every kind of request.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time for which crashed upstreams are still started again after the last fault.
const RESTART_MARGIN: Duration = Duration::from_secs(3);

/// Number of concurrent callers.
const CALLERS: u64 = 8;

/// Number of tasks that inject faults concurrently.
const CONCURRENT_FAULTS: u64 = 2;

fn parse_seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("BASILRAMP_SOAK_SEEDS") else {
        return REGRESSION_SEEDS.into_iter().chain([1, 2]).collect();
    };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn guarantees_hold_under_random_faults() {
    let seeds = parse_seeds();
    let mut coverage = check::Coverage::default();
    for seed in &seeds {
        let violations = run_seed(*seed, &mut coverage).await;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
    eprintln!("{coverage}");
    if seeds.len() >= 20 {
        let missing = Fault::NAMES
            .iter()
            .find(|name| !coverage.faults.contains_key(*name));
        assert_eq!(missing, None, "a fault was never injected");
    }
}

/// Runs one seed. Returns the violations of guarantees.
async fn run_seed(seed: u64, coverage: &mut check::Coverage) -> Vec<String> {
    let environment = Environment::spawn().await;
    let deadline = Instant::now() + FAULT_DURATION;
    let callers = (0..CALLERS).map(|index| {
        let random = ChaCha8Rng::seed_from_u64(seed * 1_000 + index);
        tokio::spawn(Caller::new(&environment, index, random).run(deadline))
    });
    let callers: Vec<_> = callers.collect();
    let fault_tasks = (0..CONCURRENT_FAULTS).map(|index| {
        let random = ChaCha8Rng::seed_from_u64(seed * 1_000 + 500 + index);
        fault::inject_faults(&environment, random, deadline)
    });
    let (faults, (), ()) = tokio::join!(
        futures_util::future::join_all(fault_tasks),
        caller::send_crashing_request(&environment, deadline),
        environment.keep_upstreams_running(deadline + RESTART_MARGIN)
    );
    for name in faults.into_iter().flatten() {
        *coverage.faults.entry(name).or_default() += 1;
    }
    environment.heal().await;
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.unwrap());
    }
    let recovered = caller::wait_for_recovery(&environment, RECOVERY_TIMEOUT).await;
    let mut violations = check::find_violations(&records, &environment.runs());
    violations.extend(recovered.err());
    violations.extend(caller::check_keys(&environment).await);
    let (stopped, ()) = tokio::join!(
        caller::check_crashing_request(&environment),
        environment.keep_upstreams_running(Instant::now() + RECOVERY_TIMEOUT / 2)
    );
    violations.extend(stopped.err());
    coverage.record(&records);
    violations
}
