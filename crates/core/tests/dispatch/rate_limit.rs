//! Rate limits of upstreams: what instances know of them, and how they share them.

use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::rate_limit::{
    Announcement, Rate, RateLimits, RequestClass, Schedule,
};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NONE: Announcement = Announcement::Unlimited;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn rate(per_s: u64) -> Rate {
    Rate::from_milli_per_s(per_s * 1_000)
}

fn limited(per_s: u64) -> Announcement {
    Announcement::Limited(rate(per_s))
}

#[test]
fn a_limit_holds_while_responses_name_it() {
    let upstream: Arc<str> = "u1".into();
    let mut limits = RateLimits::default();
    assert!(!limits.observe(&upstream, NONE, at(0), at(10)));
    assert!(limits.observe(&upstream, limited(4), at(20), at(30)));
    assert!(!limits.observe(&upstream, limited(4), at(40), at(50)));
    assert!(limits.observe(&upstream, limited(9), at(60), at(70)));
    assert_eq!(limits.rate("u1"), Some(rate(9)));
    assert!(limits.observe(&upstream, NONE, at(80), at(90)));
    assert_eq!(limits.rate("u1"), None);
    assert!(limits.observe(&upstream, limited(2), at(100), at(110)));
    assert_eq!(limits.rate("u1"), Some(rate(2)));
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let upstream: Arc<str> = "u1".into();
    let mut limits = RateLimits::default();
    assert!(!limits.observe(&upstream, Announcement::Unreadable, at(0), at(1)));
    assert_eq!(limits.rate("u1"), None);
    limits.observe(&upstream, limited(4), at(2), at(3));
    assert!(!limits.observe(&upstream, Announcement::Unreadable, at(4), at(5)));
    assert_eq!(limits.rate("u1"), Some(rate(4)));
}

/// An instance may be suspended between a response and its processing.
#[test]
fn a_late_response_does_not_loosen_a_limit() {
    let upstream: Arc<str> = "u1".into();
    let mut limits = RateLimits::default();
    limits.observe(&upstream, limited(4), at(100), at(110));
    for late in [NONE, limited(9)] {
        assert!(!limits.observe(&upstream, late, at(90), at(5_000)));
        assert_eq!(limits.rate("u1"), Some(rate(4)));
    }
    assert!(limits.observe(&upstream, limited(1), at(90), at(5_000)));
    assert_eq!(limits.rate("u1"), Some(rate(1)));
}

#[test]
fn a_change_is_shared_once_until_it_is_stored() {
    let upstream: Arc<str> = "u1".into();
    let mut limits = RateLimits::default();
    limits.observe(&upstream, limited(4), at(0), at(10));
    let change = limits.unshared_change("u1", at(10)).unwrap();
    assert_eq!((change.rate, change.version), (Some(rate(4)), 0));
    assert_eq!(limits.unshared_change("u1", at(11)), None);
    // The write failed, so it is tried again later.
    assert!(limits.unshared_change("u1", at(1_000)).is_some());
    assert!(!limits.record_row(&upstream, Some(rate(4)), 7, at(1_010)));
    assert_eq!(limits.unshared_change("u1", at(9_000)), None);
    limits.observe(&upstream, NONE, at(9_000), at(9_010));
    let change = limits.unshared_change("u1", at(9_010)).unwrap();
    assert_eq!((change.rate, change.version), (None, 7));
}

#[test]
fn a_limit_beyond_all_bounds_is_shared() {
    let upstream: Arc<str> = "u1".into();
    let mut limits = RateLimits::default();
    limits.record_row(&upstream, Some(rate(4)), 7, at(0));
    let huge = Announcement::Limited(Rate::from_milli_per_s(u64::MAX));
    limits.observe(&upstream, huge, at(10), at(20));
    assert!(limits.unshared_change("u1", at(20)).is_some());
}

#[test]
fn older_versions_of_a_row_are_ignored() {
    let upstream: Arc<str> = "u1".into();
    let mut limits = RateLimits::default();
    assert!(limits.record_row(&upstream, Some(rate(4)), 7, at(0)));
    assert!(!limits.record_row(&upstream, None, 6, at(1)));
    assert_eq!(limits.rate("u1"), Some(rate(4)));
    assert!(limits.missing_rows(&[], 6).is_empty());
    assert_eq!(limits.missing_rows(&[], 8), [upstream]);
}

#[test]
fn rejected_callers_return_one_after_the_other() {
    let service: Arc<str> = "engine".into();
    let mut limits = RateLimits::default();
    for number in 0..100 {
        limits.record_grant(&service, at(number * 40), at(number * 40));
    }
    let delays: Vec<_> = (0..4)
        .map(|_| limits.book_return(&service, 200, at(4_000)))
        .collect();
    assert_eq!(delays[0], 200);
    assert!(
        delays
            .windows(2)
            .all(|pair| (35..=60).contains(&(pair[1] - pair[0])))
    );
}

/// The schedule's row in the store.
#[derive(Clone, Copy, Default)]
struct Row {
    schedule: Schedule,
    version: u64,
}

/// Many instances with one limited upstream, each under its share of the load.
struct Simulation {
    limits: Vec<RateLimits>,
    row: Row,
    random: StdRng,
    arrivals: Vec<u64>,
}

impl Simulation {
    fn new(instances: usize, limit: Rate, seed: u64) -> Self {
        let mut limits = Vec::new();
        for _ in 0..instances {
            let mut own = RateLimits::default();
            own.record_row(&"u1".into(), Some(limit), 1, Time::ZERO);
            limits.push(own);
        }
        Self {
            limits,
            row: Row::default(),
            random: StdRng::seed_from_u64(seed),
            arrivals: Vec::new(),
        }
    }

    /// An instance gets a request at `now`. It reads the row, takes a permit if another instance
    /// does not do so before it, and sends the request some time later.
    fn request(&mut self, instance: usize, class: RequestClass, now: u64) {
        let service: Arc<str> = "engine".into();
        let draw = self.random.random();
        // The estimate of the store's clock is never early.
        let store_ms = 1_000_000 + now - self.random.random_range(0..60).min(now);
        let loses_race = self.random.random_bool(0.2);
        let limits = &mut self.limits[instance];
        if limits.blocked_ms("u1", class, at(now)) > 0 {
            return;
        }
        let Some((limit, _, _)) = limits.schedule("u1") else {
            return;
        };
        // The row is read, or a conflict returns it.
        let row = self.row;
        limits.record_schedule("u1", row.schedule, row.version, at(now));
        let wait_ms = match self.row.schedule.take(limit, class, store_ms) {
            Err(wait_ms) => wait_ms,
            Ok(_) if loses_race => {
                // Another instance has moved the schedule.
                limits.record_schedule("u1", row.schedule, row.version + 1, at(now));
                0
            }
            Ok(schedule) => {
                self.row = Row {
                    schedule,
                    version: self.row.version + 1,
                };
                limits.record_permit("u1", schedule, self.row.version, at(now));
                limits.record_grant(&service, at(now), at(now));
                let delay_ms = self.random.random_range(5..400);
                self.arrivals.push(now + delay_ms);
                return;
            }
        };
        limits.record_denial("u1", &service, class, wait_ms, draw, at(now));
    }

    /// Sends `per_s` requests per second from random instances for `duration_ms`.
    fn run(&mut self, per_s: f64, duration_ms: u64) {
        for now in 0..duration_ms {
            if self.random.random_bool((per_s / 1_000.0).min(1.0)) {
                let instance = self.random.random_range(0..self.limits.len());
                let classes = [
                    RequestClass::Resident,
                    RequestClass::Moved,
                    RequestClass::Start,
                ];
                let class = classes[self.random.random_range(0..3)];
                self.request(instance, class, now);
            }
        }
        self.arrivals.sort_unstable();
    }

    /// Returns the largest number of arrivals in 4 s.
    fn busiest_window(&self) -> usize {
        let windows = self.arrivals.iter().enumerate().map(|(index, first)| {
            let later = self.arrivals[index..].iter();
            later.take_while(|at| **at < first + 4_000).count()
        });
        windows.max().unwrap_or_default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// A fair share may be far below one request per window.
    #[test]
    fn the_sum_of_all_instances_keeps_the_limit(
        instances in 1_usize..400,
        milli_per_s in 0_u64..20_000,
        load in 0.2_f64..40.0,
        seed in 0_u64..1_000,
    ) {
        let limit = Rate::from_milli_per_s(milli_per_s);
        let mut simulation = Simulation::new(instances, limit, seed);
        simulation.run(load * limit.per_s().max(0.5), 30_000);
        let allowed = 1.5 * 4.0 * limit.per_s() + 5.0;
        let busiest = simulation.busiest_window();
        prop_assert!(busiest as f64 <= allowed, "{busiest} of {allowed}");
    }

    /// Instances that compete for permits do not keep each other from taking them.
    #[test]
    fn competing_instances_use_most_of_the_limit(
        instances in 1_usize..400,
        milli_per_s in 1_000_u64..20_000,
        load in 4.0_f64..20.0,
        seed in 0_u64..1_000,
    ) {
        let limit = Rate::from_milli_per_s(milli_per_s);
        let mut simulation = Simulation::new(instances, limit, seed);
        simulation.run(load * limit.per_s(), 40_000);
        let used = simulation.arrivals.len() as f64 / 40.0;
        prop_assert!(used >= 0.5 * limit.per_s(), "{used} of {}", limit.per_s());
    }
}
