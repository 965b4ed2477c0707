//! Tests of slot grants and queues at the home, including a model test with random commands.

use std::collections::{BTreeMap, BTreeSet};

use assert_matches::assert_matches;
use basilramp_core::clock::Time;
use basilramp_core::home::{
    Authority, Effect, GRANT_TTL_MS, Home, LOST_GRANT_MS, REPORT_LAG_MS, Rejection, Report,
    STANDBY_SHARE_DIVISOR, SlotRequest, SlotResponse, Ticket, Waiter,
};
use basilramp_core::id;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SLOTS: u32 = 4;

/// Age at which the model's reports include a call, in milliseconds.
const OBSERVED_LAG_MS: u64 = REPORT_LAG_MS - 500;

fn upstream() -> id::Upstream {
    id::Upstream::new("engine-1")
}

fn slot_request(number: u32, wait_ms: u64) -> SlotRequest {
    let account = id::Account::new(format!("account-{}", number % 3));
    let request = id::Request::new(number.to_string());
    SlotRequest {
        program: id::Program::root(&account, &request),
        account,
        attained: u64::from(number) * 700,
        cached: number.is_multiple_of(2),
        wait_ms,
        waited_ms: 0,
    }
}

const fn report(calls: u32) -> Report {
    Report {
        slots: SLOTS,
        calls: Some(calls),
        draining: false,
    }
}

/// Returns a home past the report lag, without running calls.
fn settled_home() -> (Home, Time) {
    let mut home = Home::new(0);
    home.set_authority(Time::ZERO, &upstream(), Authority::Home);
    home.apply_report(Time::ZERO, &upstream(), report(0));
    let now = Time::from_ms(REPORT_LAG_MS);
    home.apply_report(now, &upstream(), report(0));
    (home, now)
}

#[derive(Clone, Debug)]
enum Command {
    SlotRequest { wait_ms: u64 },
    Release(usize),
    Cancel(usize),
    SetDraining(bool),
    Advance(u64),
}

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        6 => (0_u64..4_000).prop_map(|wait_ms| Command::SlotRequest { wait_ms }),
        4 => any::<usize>().prop_map(Command::Release),
        1 => any::<usize>().prop_map(Command::Cancel),
        1 => any::<bool>().prop_map(Command::SetDraining),
        4 => (0_u64..3_000).prop_map(Command::Advance),
    ]
}

/// The state of a home as its callers see it.
struct Model {
    home: Home,
    now: Time,
    draining: bool,
    requests: u32,
    grants: Vec<(Ticket, Time)>,
    history: Vec<(Time, u32)>,
    waiting: BTreeSet<Waiter>,
}

impl Model {
    fn new() -> Self {
        let (home, now) = settled_home();
        Self {
            home,
            now,
            draining: false,
            requests: 0,
            grants: Vec::new(),
            history: vec![(Time::ZERO, 0)],
            waiting: BTreeSet::new(),
        }
    }

    fn run(&mut self, command: &Command) {
        match *command {
            Command::SlotRequest { wait_ms } => self.send_request(wait_ms),
            Command::Release(index) if !self.grants.is_empty() => {
                let (ticket, _) = self.grants.swap_remove(index % self.grants.len());
                let effects = self.home.release(self.now, &upstream(), ticket);
                self.apply_effects(&effects);
            }
            Command::Cancel(index) if !self.waiting.is_empty() => {
                let index = index % self.waiting.len();
                let waiter = *self.waiting.iter().nth(index).expect("index in range");
                self.waiting.remove(&waiter);
                assert!(self.home.cancel(&upstream(), waiter));
            }
            Command::Release(_) | Command::Cancel(_) => {}
            Command::SetDraining(draining) => {
                self.draining = draining;
                self.report();
            }
            Command::Advance(ms) => {
                self.now = self.now.after(ms);
                self.report();
                let effects = self.home.expire(self.now);
                self.apply_effects(&effects);
            }
        }
        self.history.push((self.now, self.grants.len() as u32));
        let now = self.now;
        self.grants
            .retain(|(_, since)| now.since(*since) < GRANT_TTL_MS);
    }

    fn send_request(&mut self, wait_ms: u64) {
        self.requests += 1;
        match self
            .home
            .request_slot(self.now, &upstream(), &slot_request(self.requests, wait_ms))
        {
            SlotResponse::Granted(ticket) => self.record_grant(ticket),
            SlotResponse::Queued(waiter) => assert!(self.waiting.insert(waiter)),
            SlotResponse::Rejected(_) => {}
        }
    }

    fn report(&mut self) {
        let reported = |(at, _): &&(Time, u32)| self.now.since(*at) >= OBSERVED_LAG_MS;
        let calls = self
            .history
            .iter()
            .rfind(reported)
            .map_or(0, |(_, calls)| *calls);
        let report = Report {
            draining: self.draining,
            ..report(calls)
        };
        let effects = self.home.apply_report(self.now, &upstream(), report);
        self.apply_effects(&effects);
    }

    fn apply_effects(&mut self, effects: &[Effect]) {
        for effect in effects {
            match *effect {
                Effect::Granted(waiter, ticket) => {
                    assert!(
                        self.waiting.remove(&waiter),
                        "granted a request that was not queued"
                    );
                    self.record_grant(ticket);
                }
                Effect::Rejected(waiter, _) => {
                    assert!(
                        self.waiting.remove(&waiter),
                        "rejected a request that was not queued"
                    );
                }
            }
        }
    }

    fn record_grant(&mut self, ticket: Ticket) {
        assert!(!self.draining, "granted a slot of a draining upstream");
        self.grants.push((ticket, self.now));
        assert!(
            self.grants.len() <= SLOTS as usize,
            "more grants than slots"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn grants_never_exceed_slots_and_every_request_completes(
        commands in prop::collection::vec(command(), 1..120),
    ) {
        let mut model = Model::new();
        for command in &commands {
            model.run(command);
        }
        model.run(&Command::Advance(4_000));
        prop_assert!(model.waiting.is_empty(), "some requests have no outcome");
    }
}

#[test]
fn new_home_counts_former_grants_and_grants_nothing_before_the_report_lag() {
    let mut home = Home::new(0);
    home.set_authority(Time::ZERO, &upstream(), Authority::Home);
    home.apply_report(Time::ZERO, &upstream(), report(0));
    let early = home.request_slot(Time::from_ms(10), &upstream(), &slot_request(1, 0));
    assert_matches!(early, SlotResponse::Rejected(Rejection::Busy(_)));
    home.apply_report(Time::from_ms(REPORT_LAG_MS - 1), &upstream(), report(SLOTS));
    let late = home.request_slot(
        Time::from_ms(REPORT_LAG_MS),
        &upstream(),
        &slot_request(2, 0),
    );
    assert_matches!(late, SlotResponse::Rejected(Rejection::Busy(_)));
}

#[test]
fn unknown_ticket_releases_a_former_grant() {
    let mut home = Home::new(1_000);
    home.set_authority(Time::ZERO, &upstream(), Authority::Home);
    home.apply_report(Time::ZERO, &upstream(), report(SLOTS));
    let now = Time::from_ms(REPORT_LAG_MS);
    home.apply_report(now, &upstream(), report(SLOTS));
    assert_matches!(
        home.request_slot(now, &upstream(), &slot_request(1, 0)),
        SlotResponse::Rejected(_)
    );
    home.release(now, &upstream(), Ticket(7));
    assert_matches!(
        home.request_slot(now, &upstream(), &slot_request(1, 0)),
        SlotResponse::Granted(_)
    );
    assert_matches!(
        home.request_slot(now, &upstream(), &slot_request(2, 0)),
        SlotResponse::Rejected(_)
    );
}

#[test]
fn home_and_standby_never_grant_more_than_all_slots() {
    let slots = 2 * STANDBY_SHARE_DIVISOR;
    let report = Report {
        slots,
        calls: Some(0),
        draining: false,
    };
    let mut granted = 0;
    for authority in [Authority::Home, Authority::Standby] {
        let mut home = Home::new(0);
        home.set_authority(Time::ZERO, &upstream(), authority);
        let now = Time::from_ms(REPORT_LAG_MS);
        home.apply_report(now, &upstream(), report);
        for number in 0..slots {
            let response = home.request_slot(now, &upstream(), &slot_request(number, 0));
            granted += u32::from(matches!(response, SlotResponse::Granted(_)));
        }
    }
    assert_eq!(granted, slots);
}

/// A holder that dies does not release its grants, and its calls disappear from the reports.
#[test]
fn unreported_grants_are_freed() {
    let (mut home, start) = settled_home();
    for number in 0..SLOTS {
        assert_matches!(
            home.request_slot(start, &upstream(), &slot_request(number, 0)),
            SlotResponse::Granted(_)
        );
    }
    let mut now = start;
    while now.since(start) < REPORT_LAG_MS + LOST_GRANT_MS {
        assert_matches!(
            home.request_slot(now, &upstream(), &slot_request(9, 0)),
            SlotResponse::Rejected(_)
        );
        now = now.after(500);
        home.apply_report(now, &upstream(), report(0));
    }
    assert_matches!(
        home.request_slot(now, &upstream(), &slot_request(9, 0)),
        SlotResponse::Granted(_)
    );
}

#[test]
fn draining_upstream_rejects_queued_requests() {
    let (mut home, now) = settled_home();
    for number in 0..SLOTS {
        home.request_slot(now, &upstream(), &slot_request(number, 0));
    }
    let response = home.request_slot(now, &upstream(), &slot_request(9, 10_000));
    let SlotResponse::Queued(waiter) = response else {
        panic!("not queued: {response:?}");
    };
    let draining = Report {
        draining: true,
        ..report(SLOTS)
    };
    let effects = home.apply_report(now, &upstream(), draining);
    assert_eq!(effects, [Effect::Rejected(waiter, Rejection::Closed)]);
    let response = home.request_slot(now, &upstream(), &slot_request(10, 10_000));
    assert_eq!(response, SlotResponse::Rejected(Rejection::Closed));
}

#[test]
fn flooding_account_does_not_delay_another() {
    let (mut home, now) = settled_home();
    let mut grants = Vec::new();
    for number in 0..SLOTS {
        let response = home.request_slot(now, &upstream(), &slot_request(number, 0));
        let SlotResponse::Granted(ticket) = response else {
            panic!("not granted: {response:?}");
        };
        grants.push(ticket);
    }
    let mut accounts = BTreeMap::new();
    for number in 0..40 {
        let flood = SlotRequest {
            account: id::Account::new("flood"),
            attained: 0,
            cached: false,
            ..slot_request(number, 60_000)
        };
        if let SlotResponse::Queued(waiter) = home.request_slot(now, &upstream(), &flood) {
            accounts.insert(waiter, "flood");
        }
    }
    let other = SlotRequest {
        account: id::Account::new("other"),
        attained: 0,
        cached: false,
        ..slot_request(99, 60_000)
    };
    if let SlotResponse::Queued(waiter) = home.request_slot(now.after(1), &upstream(), &other) {
        accounts.insert(waiter, "other");
    }
    let mut order = Vec::new();
    while let Some(ticket) = grants.pop() {
        for effect in home.release(now.after(2), &upstream(), ticket) {
            if let Effect::Granted(waiter, ticket) = effect {
                order.push(accounts[&waiter]);
                grants.push(ticket);
            }
        }
    }
    let position = order.iter().position(|account| *account == "other");
    assert_eq!(position, Some(1), "{order:?}");
}

#[test]
fn prior_wait_counts_toward_queue_order() {
    let (mut home, now) = settled_home();
    let SlotResponse::Granted(ticket) = home.request_slot(now, &upstream(), &slot_request(0, 0))
    else {
        panic!("not granted");
    };
    for number in 1..SLOTS {
        home.request_slot(now, &upstream(), &slot_request(number, 0));
    }
    let waiting = |waited_ms| SlotRequest {
        attained: 0,
        cached: false,
        waited_ms,
        ..slot_request(1, 60_000)
    };
    home.request_slot(now, &upstream(), &waiting(0));
    let older = SlotRequest {
        account: id::Account::new("other"),
        ..waiting(500)
    };
    let SlotResponse::Queued(older) = home.request_slot(now, &upstream(), &older) else {
        panic!("not queued");
    };
    let effects = home.release(now, &upstream(), ticket);
    assert_matches!(effects[..], [Effect::Granted(waiter, _)] if waiter == older);
}
