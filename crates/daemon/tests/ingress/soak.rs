//! A soak: instances as processes, callers without end, and faults from outside, drawn from a
//! seed. What callers and upstreams saw is held against the promises.
//!
//! `BASILRAMP_SOAK_SEEDS=1..50 cargo test -p basilramp-daemon --test ingress soak -- --nocapture`
//! runs more seeds. A seed that ever failed is kept in [`KEPT`].

mod caller;
mod check;
mod fault;
mod world;

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use self::caller::Caller;
use self::fault::Fault;
use self::world::World;

/// Seeds that failed once, with what they found. None so far.
const KEPT: [u64; 0] = [];

/// How long faults strike.
const STRIKES: Duration = Duration::from_secs(6);

/// The longest until every kind of request is served again at each instance.
const RECOVERY: Duration = Duration::from_secs(12);

/// Callers at the same time.
const CALLERS: u64 = 8;

/// Series of faults that overlap.
const SERIES: u64 = 2;

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("BASILRAMP_SOAK_SEEDS") else {
        return KEPT.into_iter().chain([1, 2]).collect();
    };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn promises_hold_under_random_faults() {
    let seeds = seeds();
    let mut tried = check::Tried::default();
    for seed in &seeds {
        let broken = run(*seed, &mut tried).await;
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    }
    eprintln!("{tried}");
    if seeds.len() >= 20 {
        let missing = Fault::NAMES
            .iter()
            .find(|name| !tried.faults.contains_key(*name));
        assert_eq!(missing, None, "a fault that never struck");
    }
}

/// Plays a seed; returns what broke a promise.
async fn run(seed: u64, tried: &mut check::Tried) -> Vec<String> {
    let world = World::spawn().await;
    let ends = Instant::now() + STRIKES;
    let callers = (0..CALLERS).map(|index| {
        let random = ChaCha8Rng::seed_from_u64(seed * 1_000 + index);
        tokio::spawn(Caller::new(&world, index, random).run(ends))
    });
    let callers: Vec<_> = callers.collect();
    let series = (0..SERIES).map(|index| {
        let random = ChaCha8Rng::seed_from_u64(seed * 1_000 + 500 + index);
        fault::strike(&world, random, ends)
    });
    for name in futures_util::future::join_all(series)
        .await
        .into_iter()
        .flatten()
    {
        *tried.faults.entry(name).or_default() += 1;
    }
    world.heal().await;
    let mut records = Vec::new();
    for caller in callers {
        records.extend(caller.await.unwrap());
    }
    let recovered = caller::recovers(&world, RECOVERY).await;
    let mut broken = check::check(&records, &world.runs());
    broken.extend(recovered.err());
    tried.note(&records);
    broken
}
