//! Pacing of store calls: replays instances that make more calls than the store accepts.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::call_pace::CallPace;

/// Instances, and the calls per second that the store accepts from all of them.
const INSTANCES: usize = 86;
const ACCEPTED_PER_S: u64 = 1_500;

/// One instance, with calls that wait and repetitions of rejected ones.
#[derive(Clone, Default)]
struct Instance {
    pace: CallPace,
    waiting: Vec<u64>,
}

/// Plays `seconds` of `demand` new calls per second and instance. Each rejected call is repeated after
/// 50 ms. Returns the calls made and those accepted.
fn play(instances: &mut [Instance], demand: f64, seconds: u64, is_paced: bool) -> (u64, u64) {
    let (mut made, mut accepted) = (0, 0);
    let mut budget = 0.0;
    // Arrivals are spread evenly from the start.
    let mut due: Vec<f64> = (0..instances.len())
        .map(|index| index as f64 * 0.618 % 1.0)
        .collect();
    for ms in 1_000..1_000 + seconds * 1_000 {
        let now = Time::from_ms(ms);
        budget = (budget + ACCEPTED_PER_S as f64 / 1_000.0).min(20.0);
        for (index, instance) in instances.iter_mut().enumerate() {
            // Some instances have four times the load of others.
            due[index] += demand * [0.4, 1.0, 1.6][index % 3] / 1_000.0;
            while due[index] >= 1.0 {
                due[index] -= 1.0;
                let delay = if is_paced { instance.pace.book(now) } else { 0 };
                instance.waiting.push(ms + delay);
            }
            let (ready, later): (Vec<_>, Vec<_>) =
                instance.waiting.iter().partition(|at| **at <= ms);
            instance.waiting = later;
            for _ in ready {
                made += 1;
                if budget >= 1.0 {
                    budget -= 1.0;
                    accepted += 1;
                    instance.pace.record_acceptance(now);
                } else {
                    instance.pace.record_rejection(now);
                    let again = Time::from_ms(ms + 50);
                    let delay = if is_paced {
                        instance.pace.book(again)
                    } else {
                        0
                    };
                    instance.waiting.push(ms + 50 + delay);
                }
            }
        }
    }
    (made, accepted)
}

#[test]
fn a_store_with_too_many_calls_rejects_few_of_them() {
    // Guards against calls that are mostly repetitions: demand is 1.4 times what the store accepts.
    let demand = 1.4 * ACCEPTED_PER_S as f64 / INSTANCES as f64;
    let mut unpaced = vec![Instance::default(); INSTANCES];
    let (made, accepted) = play(&mut unpaced, demand, 6, false);
    assert!(made > 3 * accepted, "unpaced: {made} for {accepted}");
    let mut paced = vec![Instance::default(); INSTANCES];
    let (made, accepted) = play(&mut paced, demand, 6, true);
    assert!(made < accepted * 3 / 2, "paced: {made} for {accepted}");
    assert!(
        accepted * 10 >= ACCEPTED_PER_S * 6 * 9,
        "the store is used less than nine tenths: {accepted}"
    );
}

#[test]
fn a_store_that_accepts_all_calls_is_not_paced() {
    // Guards against delays in the steady state.
    let mut instances = vec![Instance::default(); INSTANCES];
    let demand = 0.8 * ACCEPTED_PER_S as f64 / INSTANCES as f64;
    play(&mut instances, demand, 4, true);
    let limited = instances.iter().filter(|one| one.pace.limit().is_some());
    assert_eq!(limited.count(), 0);
}

#[test]
fn an_instance_that_was_turned_away_is_at_its_rate_again_within_seconds() {
    // Guards against an instance that stays slow after an outage that rejected all of its calls.
    let mut pace = CallPace::default();
    let mut now = Time::from_ms(1_000);
    for _ in 0..200 {
        now = now.after(50);
        pace.book(now);
        pace.record_rejection(now);
    }
    let since = now;
    while pace.limit().is_some_and(|limit| limit < 17.0) {
        now = now.after(pace.book(now).max(10));
        pace.record_acceptance(now);
        assert!(now.since(since) < 8_000, "limit {:?}", pace.limit());
    }
}
