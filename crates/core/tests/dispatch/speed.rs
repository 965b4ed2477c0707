//! Measured speed: estimates and placement follow engines of any speed.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::Fleet;
use basilramp_core::dispatch::placement::{PlacementRequest, Prompt, select_upstream};
use basilramp_core::dispatch::request::PromptPart;
use basilramp_core::dispatch::speed::ServiceSpeed;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet::upstream;

/// Engines as they are deployed: time per prompt token, constant time to the first event, and time
/// from the first event to the last, in milliseconds.
const ENGINES: [(f64, f64, f64); 2] = [(1.0 / 29.4, 0.0, 350.0), (1.0 / 150.0, 35.0, 190.0)];

/// Returns the measured speed of engines that are `factor` times as slow, from turns with other
/// requests in their way.
fn measure(engine: (f64, f64, f64), factor: f64, turns: u32, seed: u64) -> ServiceSpeed {
    let (read_ms, base_ms, streaming_ms) = engine;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut speed = ServiceSpeed::default();
    for _ in 0..turns {
        let tokens: u64 = rng.random_range(200..4_000);
        let other_ms = rng.random_range(0.0..0.3) * 2_000.0 * read_ms;
        let first_ms = (base_ms + tokens as f64 * read_ms + other_ms) * factor;
        let turn_ms = first_ms + streaming_ms * factor;
        speed.record_turn(tokens, first_ms, turn_ms, 1.0);
    }
    speed
}

proptest! {
    #[test]
    fn speed_of_engines_ten_times_as_fast_or_slow_is_measured(
        seed in any::<u64>(),
        engine in prop::sample::select(ENGINES.to_vec()),
        exponent in -1.0_f64..1.0,
    ) {
        let factor = 10_f64.powf(exponent);
        let speed = measure(engine, factor, 300, seed);
        let expected = engine.0 * factor;
        prop_assert!((speed.read_ms() / expected - 1.0).abs() < 0.1, "{} {expected}", speed.read_ms());
        let turn_ms = (engine.1 + engine.2 + 2_400.0 * engine.0) * factor;
        prop_assert!((speed.turn_ms() / turn_ms - 1.0).abs() < 0.2, "{} {turn_ms}", speed.turn_ms());
    }

    /// A session leaves the engine that has its prompt cached once the queue there takes longer to
    /// read than its prompt, however fast the engines are.
    #[test]
    fn session_moves_when_its_prompt_is_shorter_than_the_queue(
        seed in any::<u64>(),
        engine in prop::sample::select(ENGINES.to_vec()),
        exponent in -1.0_f64..1.0,
    ) {
        let mut fleet = Fleet::default();
        for index in 0..6 {
            fleet.observe(upstream(&format!("u{index}"), "z0"), Time::ZERO);
        }
        let speed = measure(engine, 10_f64.powf(exponent), 300, seed);
        *fleet.speed_mut(&"engine".into()) = speed;
        let parts = [PromptPart { id: 1, tokens: 4_000 }];
        let request = PlacementRequest {
            service: "engine",
            prompt: Some(Prompt { tokens: 4_000, parts: &parts }),
            affinity_key: None,
            previous_upstream: Some("u3"),
            failure_domain: "z0",
            version: None,
            tried: &[],
            is_repeatable: true,
            starts_program: false,
            trials: None,
            may_use_limited: true,
        };
        let key = fleet.find_by_id("u3").unwrap();
        fleet.start_attempt(key, &[], 1_000, Time::ZERO);
        prop_assert_eq!(select_upstream(&fleet, &request, Time::ZERO, seed).unwrap().key, key);
        fleet.start_attempt(key, &[], 9_000, Time::ZERO);
        prop_assert_ne!(select_upstream(&fleet, &request, Time::ZERO, seed).unwrap().key, key);
    }
}

#[test]
fn speed_follows_engines_that_become_slower() {
    let mut speed = measure(ENGINES[1], 1.0, 300, 1);
    let before = speed.read_ms();
    for tokens in (200..4_000).cycle().step_by(37).take(1_500) {
        let first_ms = (ENGINES[1].1 + tokens as f64 * ENGINES[1].0) * 5.0;
        speed.record_turn(tokens, first_ms, 2.0 * first_ms, 1.0);
    }
    let ratio = speed.read_ms() / before;
    assert!((4.0..6.0).contains(&ratio), "{ratio}");
}

/// In a flood, turns wait for each other. An estimate that followed them made sessions leave their
/// cached prompts, which cost a tenth of the worth of a day with four times the usual load.
#[test]
fn turns_of_an_overloaded_service_do_not_change_the_estimate() {
    let mut speed = measure(ENGINES[1], 1.0, 300, 1);
    let (read_ms, turn_ms) = (speed.read_ms(), speed.turn_ms());
    for _ in 0..500 {
        speed.record_turn(1_000, 2_000.0, 4_000.0, 2.5);
    }
    assert_eq!((speed.read_ms(), speed.turn_ms()), (read_ms, turn_ms));
}

#[test]
fn few_turns_give_an_estimate_of_the_right_order() {
    let speed = measure(ENGINES[0], 10.0, 3, 1);
    assert!((0.2..2.0).contains(&speed.read_ms()), "{}", speed.read_ms());
    let unknown = ServiceSpeed::default();
    assert!(unknown.read_ms() > 0.0 && unknown.turn_ms() > 0.0 && unknown.plain_ms() > 0.0);
    assert_eq!(unknown.new_tokens(), None);
}
