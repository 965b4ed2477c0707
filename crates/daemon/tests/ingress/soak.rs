//! A soak: instances as processes, callers without end, and faults from outside, drawn from a
//! seed. What callers and upstreams saw is held against the promises.
//!
//! `BASILRAMP_SOAK_SEEDS=1..50 cargo test -p basilramp-daemon --test ingress soak -- --nocapture`
//! runs more seeds. A seed that ever failed is kept in [`REGRESSION_SEEDS`].

mod caller;
mod check;
mod environment;
mod fault;

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use self::caller::Caller;
use self::environment::Environment;
use self::fault::Fault;

/// Seeds that failed once, with what they found. None so far.
const REGRESSION_SEEDS: [u64; 0] = [];

/// How long faults strike.
const FAULT_DURATION: Duration = Duration::from_secs(6);

/// The longest until every kind of request is served again at each instance.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Callers at the same time.
const CALLERS: u64 = 8;

/// Series of faults that overlap.
const CONCURRENT_FAULTS: u64 = 2;

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("BASILRAMP_SOAK_SEEDS") else {
        return REGRESSION_SEEDS.into_iter().chain([1, 2]).collect();
    };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn guarantees_hold_under_random_faults() {
    let seeds = seeds();
    let mut coverage = check::Coverage::default();
    for seed in &seeds {
        let violations = run(*seed, &mut coverage).await;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
    eprintln!("{coverage}");
    if seeds.len() >= 20 {
        let missing = Fault::NAMES
            .iter()
            .find(|name| !coverage.faults.contains_key(*name));
        assert_eq!(missing, None, "a fault that never struck");
    }
}

/// Plays a seed; returns what broke a promise.
async fn run(seed: u64, coverage: &mut check::Coverage) -> Vec<String> {
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
    for name in futures_util::future::join_all(fault_tasks)
        .await
        .into_iter()
        .flatten()
    {
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
    coverage.record(&records);
    violations
}
