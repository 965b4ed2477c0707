//! Upstreams that start, recover or differ in speed, before 12 and 300 instances.

mod limit;
mod replay;

use std::ops::Range;

use replay::{Action, Report, SLOTS, Setup, run};

/// Instances and upstreams.
const SIZES: [(usize, usize); 2] = [(12, 18), (300, 44)];

const SEEDS: Range<u64> = 1..3;

/// Upstreams that start or recover, each in another failure domain.
const TARGETS: [usize; 3] = [0, 1, 2];

/// Longest time for which an upstream may be loaded beyond its slots while another has room.
const MAX_OVERLOAD_MS: u64 = 1_000;

/// Largest share of a recovered upstream that may be idle, and the demand after which it holds.
const MAX_IDLE_SHARE: f64 = 0.1;
const DEMAND_MS: u64 = 3_000;

/// Time in which the idle share is measured. Some hundred programs begin in it.
const WINDOW_MS: u64 = 8_000;

/// Longest ejection of an upstream.
const MAX_EJECTION_MS: u64 = 3_000;

const START_MS: u64 = 6_000;

fn setup(size: (usize, usize), seed: u64) -> Setup {
    Setup {
        instances: size.0,
        upstreams: size.1,
        speeds: vec![1.0],
        has_speeds_by_domain: false,
        utilisation: 0.5,
        shares_prompts: false,
        duration_ms: START_MS + DEMAND_MS + WINDOW_MS,
        actions: Vec::new(),
        absent: Vec::new(),
        measured_from_ms: 3_000,
        seed,
    }
}

/// Returns an action at each target.
fn at_targets(at: u64, action: Action) -> impl Iterator<Item = (u64, usize, Action)> {
    TARGETS.into_iter().map(move |target| (at, target, action))
}

fn starting(size: (usize, usize), seed: u64) -> Setup {
    Setup {
        absent: TARGETS.to_vec(),
        actions: at_targets(START_MS, Action::Join).collect(),
        ..setup(size, seed)
    }
}

/// Figures of several replays.
#[derive(Debug, Default)]
struct Summary {
    idle_share: f64,
    /// Longest overload of a target, and of any upstream.
    target_overload_ms: u64,
    overload_ms: u64,
    failed: u32,
    turns: u32,
    failed_attempts: u32,
    ejections: u32,
    p95_ms: u64,
    p99_ms: u64,
}

/// Replays a setup with all seeds. The idle share is that of the targets from `from_ms` on.
fn replay(
    name: &str,
    size: (usize, usize),
    from_ms: Option<u64>,
    setup: impl Fn((usize, usize), u64) -> Setup,
) -> (Summary, Vec<Report>) {
    let mut summary = Summary::default();
    let mut reports = Vec::new();
    for seed in SEEDS {
        let report = run(&setup(size, seed));
        if let Some(from_ms) = from_ms {
            let idle_share = report.idle_share(&TARGETS, &(from_ms..from_ms + WINDOW_MS));
            summary.idle_share += idle_share / SEEDS.count() as f64;
        }
        let targets = TARGETS.iter().map(|target| report.overload_ms[*target]);
        let target_overload_ms = targets.max().unwrap_or_default();
        summary.target_overload_ms = summary.target_overload_ms.max(target_overload_ms);
        summary.overload_ms = summary.overload_ms.max(report.max_overload_ms());
        summary.failed += report.failed;
        summary.turns += report.turns;
        summary.failed_attempts += report.failed_attempts;
        summary.ejections += report.ejections;
        summary.p95_ms = summary.p95_ms.max(report.quantile_ms(0.95));
        summary.p99_ms = summary.p99_ms.max(report.quantile_ms(0.99));
        reports.push(report);
    }
    println!("FIGURES {name} {size:?}: {summary:?}");
    (summary, reports)
}

/// Nothing starts or fails: no upstream is overloaded, and none is ejected.
#[test]
fn equal_upstreams_are_loaded_evenly() {
    for size in SIZES {
        let (summary, _) = replay("steady", size, Some(START_MS), setup);
        assert!(summary.overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
        assert_eq!((summary.failed, summary.ejections), (0, 0));
    }
}

/// New upstreams look idle to every instance. They must neither get the requests of all of them at
/// once nor be left idle.
#[test]
fn new_upstreams_are_neither_overloaded_nor_idle() {
    for size in SIZES {
        let (summary, reports) = replay("start", size, Some(START_MS + DEMAND_MS), starting);
        assert!(summary.overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
        assert!(summary.idle_share < MAX_IDLE_SHARE, "{summary:?}");
        for report in reports {
            // The sum of the instances' first steps is less than the usual load.
            let first = START_MS..START_MS + 1_000;
            assert!(report.idle_share(&TARGETS, &first) > 0.0);
        }
    }
}

/// The programs have prompts in common, which the other upstreams have cached. An estimate by cost
/// alone leaves the new upstreams idle until the others queue.
#[test]
fn new_upstreams_with_cold_caches_get_requests() {
    for size in SIZES {
        let (summary, _) = replay(
            "cold start",
            size,
            Some(START_MS + DEMAND_MS),
            |size, seed| Setup {
                shares_prompts: true,
                ..starting(size, seed)
            },
        );
        assert!(summary.target_overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
        assert!(summary.idle_share < MAX_IDLE_SHARE, "{summary:?}");
    }
}

/// New upstreams are slow for 3 s.
#[test]
fn slow_new_upstreams_are_not_overloaded() {
    for size in SIZES {
        let warm_ms = START_MS + 3_000;
        let (summary, _) = replay(
            "slow start",
            size,
            Some(warm_ms + DEMAND_MS),
            |size, seed| {
                let mut setup = starting(size, seed);
                setup.duration_ms += 3_000;
                setup
                    .actions
                    .extend(at_targets(START_MS, Action::Speed(0.4)));
                setup
                    .actions
                    .extend(at_targets(warm_ms, Action::Speed(1.0)));
                setup
            },
        );
        assert!(summary.overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
        assert!(summary.idle_share < MAX_IDLE_SHARE, "{summary:?}");
        assert_eq!(summary.ejections, 0);
    }
}

/// Upstreams fail for 2 s. The demand is counted from the end of the longest ejection after that.
#[test]
fn recovered_upstreams_are_neither_overloaded_nor_idle() {
    for size in SIZES {
        let from_ms = START_MS + MAX_EJECTION_MS + DEMAND_MS;
        let (summary, _) = replay("recovery", size, Some(from_ms), |size, seed| Setup {
            actions: at_targets(START_MS - 2_000, Action::Fail)
                .chain(at_targets(START_MS, Action::Heal))
                .collect(),
            duration_ms: from_ms + WINDOW_MS,
            ..setup(size, seed)
        });
        assert!(summary.overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
        assert!(summary.idle_share < MAX_IDLE_SHARE, "{summary:?}");
    }
}

/// Upstreams are down and up for 1.4 s each, four times.
#[test]
fn flapping_upstreams_recover() {
    for size in SIZES {
        let healed_ms = 2_800 * 4;
        let from_ms = healed_ms + MAX_EJECTION_MS + DEMAND_MS;
        let (summary, _) = replay("flapping", size, Some(from_ms), |size, seed| {
            let flap = |flap: u64| {
                let at = 2_800 * flap;
                let fails = at_targets(at + 1_400, Action::Fail);
                fails.chain(at_targets(at + 2_800, Action::Heal))
            };
            Setup {
                actions: (0_u64..4).flat_map(flap).collect(),
                duration_ms: from_ms + WINDOW_MS,
                ..setup(size, seed)
            }
        });
        assert!(summary.overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
        assert!(summary.idle_share < MAX_IDLE_SHARE, "{summary:?}");
    }
}

/// Each second, a new upstream joins and an old one drains, until half of the service is replaced.
#[test]
fn release_of_half_a_service_overloads_no_upstream() {
    for size in SIZES {
        let half = size.1 / 2;
        let (summary, _) = replay("release", size, None, |size, seed| {
            let step = |number: usize| {
                let at = START_MS + 1_000 * number as u64;
                [
                    (at, size.1 + number, Action::Join),
                    (at, number, Action::Drain),
                    (at + 3_000, number, Action::Fail),
                ]
            };
            Setup {
                upstreams: size.1 + half,
                utilisation: 0.5 * size.1 as f64 / (size.1 + half) as f64,
                actions: (0..half).flat_map(step).collect(),
                absent: (size.1..size.1 + half).collect(),
                duration_ms: START_MS + 1_000 * half as u64 + 3_000,
                ..setup(size, seed)
            }
        });
        assert!(summary.overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
        assert_eq!(summary.failed, 0);
    }
}

/// All caches are lost at once. No upstream is taken to be slow for that.
#[test]
fn lost_caches_do_not_overload_upstreams() {
    for size in SIZES {
        let (summary, _) = replay("lost caches", size, Some(START_MS), |size, seed| Setup {
            shares_prompts: true,
            actions: (0..size.1)
                .map(|index| (START_MS, index, Action::EmptyCache))
                .collect(),
            ..setup(size, seed)
        });
        assert!(summary.overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
        assert_eq!(summary.ejections, 0);
    }
}

/// Upstreams of one service run at 0.6, 1.0 and 1.6 times the speed. The slow ones get fewer
/// requests, are not ejected, and the fast ones are not flooded.
#[test]
fn uneven_upstreams_get_requests_by_their_speed() {
    for size in SIZES {
        let (summary, reports) = replay("speeds", size, None, |size, seed| Setup {
            speeds: vec![0.6, 1.0, 1.6],
            duration_ms: 40_000,
            measured_from_ms: 20_000,
            ..setup(size, seed)
        });
        for report in &reports {
            let mean = |class: usize, value: &dyn Fn(usize) -> f64| {
                let indices = (0..size.1).filter(|index| index / 3 % 3 == class);
                let values: Vec<_> = indices.map(value).collect();
                values.iter().sum::<f64>() / values.len() as f64
            };
            let busy = |index| report.mean_busy(index, 20_000..40_000);
            let busy = [0, 1, 2].map(|class| mean(class, &busy));
            println!("FIGURES busy slots of {SLOTS} by speed: {busy:.1?}");
            let completed = |index: usize| f64::from(report.completed[index]);
            let completed = [0, 1, 2].map(|class| mean(class, &completed));
            assert!(completed.is_sorted(), "{completed:?}");
        }
        assert_eq!(summary.ejections, 0);
        assert!(summary.overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
    }
}

/// All upstreams of a failure domain are slow. Its instances prefer them, as they are near.
#[test]
fn upstreams_of_a_slow_domain_are_not_overloaded() {
    for size in SIZES {
        let (summary, _) = replay("slow domain", size, None, |size, seed| Setup {
            speeds: vec![0.6, 1.0, 1.6],
            has_speeds_by_domain: true,
            duration_ms: 40_000,
            measured_from_ms: 20_000,
            ..setup(size, seed)
        });
        assert_eq!(summary.ejections, 0);
        assert!(summary.overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
    }
}

fn slowed(size: (usize, usize), seed: u64) -> Setup {
    Setup {
        actions: at_targets(START_MS, Action::Speed(0.4)).collect(),
        duration_ms: 26_000,
        ..setup(size, seed)
    }
}

/// Upstreams are slowed down 2.5 times for 20 s. They get fewer requests than their peers, and are
/// not ejected.
#[test]
fn slowed_upstreams_get_fewer_requests() {
    for size in SIZES {
        let (summary, reports) = replay("slowed", size, None, slowed);
        assert_eq!(summary.ejections, 0);
        for report in &reports {
            let targets = TARGETS.iter().map(|target| report.completed[*target]);
            let targets = f64::from(targets.sum::<u32>()) / TARGETS.len() as f64;
            let mean = f64::from(report.turns) / size.1 as f64;
            assert!(targets < mean, "{targets} {mean}");
        }
    }
}

/// Instances that send an upstream a request in several seconds learn late that it is slow.
#[test]
fn slowed_upstreams_are_not_overloaded() {
    for size in SIZES {
        let (summary, _) = replay("slowed", size, None, slowed);
        assert!(summary.target_overload_ms <= MAX_OVERLOAD_MS, "{summary:?}");
    }
}
