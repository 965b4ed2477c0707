//! The home's slots and queue under random commands.

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

/// What reports lag behind, in milliseconds.
const OBSERVED_LAG_MS: u64 = REPORT_LAG_MS - 500;

fn upstream() -> id::Upstream {
    id::Upstream::new("engine-1")
}

fn ask(number: u32, wait_ms: u64) -> SlotRequest {
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

/// Returns a home that has settled, with no calls under way.
fn settled() -> (Home, Time) {
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
    GiveBack(usize),
    Withdraw(usize),
    Leave(bool),
    Pass(u64),
}

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        6 => (0_u64..4_000).prop_map(|wait_ms| Command::SlotRequest { wait_ms }),
        4 => any::<usize>().prop_map(Command::GiveBack),
        1 => any::<usize>().prop_map(Command::Withdraw),
        1 => any::<bool>().prop_map(Command::Leave),
        4 => (0_u64..3_000).prop_map(Command::Pass),
    ]
}

/// What callers saw of the home.
struct Model {
    home: Home,
    now: Time,
    leaving: bool,
    asked: u32,
    held: Vec<(Ticket, Time)>,
    history: Vec<(Time, u32)>,
    waiting: BTreeSet<Waiter>,
}

impl Model {
    fn new() -> Self {
        let (home, now) = settled();
        Self {
            home,
            now,
            leaving: false,
            asked: 0,
            held: Vec::new(),
            history: vec![(Time::ZERO, 0)],
            waiting: BTreeSet::new(),
        }
    }

    fn run(&mut self, command: &Command) {
        match *command {
            Command::SlotRequest { wait_ms } => self.ask(wait_ms),
            Command::GiveBack(index) if !self.held.is_empty() => {
                let (ticket, _) = self.held.swap_remove(index % self.held.len());
                let effects = self.home.release(self.now, &upstream(), ticket);
                self.note(&effects);
            }
            Command::Withdraw(index) if !self.waiting.is_empty() => {
                let index = index % self.waiting.len();
                let waiter = *self.waiting.iter().nth(index).expect("index in range");
                self.waiting.remove(&waiter);
                assert!(self.home.cancel(&upstream(), waiter));
            }
            Command::GiveBack(_) | Command::Withdraw(_) => {}
            Command::Leave(leaving) => {
                self.leaving = leaving;
                self.report();
            }
            Command::Pass(ms) => {
                self.now = self.now.after(ms);
                self.report();
                let effects = self.home.expire(self.now);
                self.note(&effects);
            }
        }
        self.history.push((self.now, self.held.len() as u32));
        let now = self.now;
        self.held
            .retain(|(_, since)| now.since(*since) < GRANT_TTL_MS);
    }

    fn ask(&mut self, wait_ms: u64) {
        self.asked += 1;
        match self
            .home
            .request_slot(self.now, &upstream(), &ask(self.asked, wait_ms))
        {
            SlotResponse::Granted(ticket) => self.hold(ticket),
            SlotResponse::Queued(waiter) => assert!(self.waiting.insert(waiter)),
            SlotResponse::Rejected(_) => {}
        }
    }

    fn report(&mut self) {
        let seen = |(at, _): &&(Time, u32)| self.now.since(*at) >= OBSERVED_LAG_MS;
        let calls = self
            .history
            .iter()
            .rfind(seen)
            .map_or(0, |(_, calls)| *calls);
        let report = Report {
            draining: self.leaving,
            ..report(calls)
        };
        let effects = self.home.apply_report(self.now, &upstream(), report);
        self.note(&effects);
    }

    fn note(&mut self, effects: &[Effect]) {
        for effect in effects {
            match *effect {
                Effect::Granted(waiter, ticket) => {
                    assert!(self.waiting.remove(&waiter), "granted twice");
                    self.hold(ticket);
                }
                Effect::Rejected(waiter, _) => {
                    assert!(self.waiting.remove(&waiter), "refused twice");
                }
            }
        }
    }

    fn hold(&mut self, ticket: Ticket) {
        assert!(!self.leaving, "granted by an upstream that leaves");
        self.held.push((ticket, self.now));
        assert!(self.held.len() <= SLOTS as usize, "more grants than slots");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn slots_are_respected_and_every_request_is_settled(
        commands in prop::collection::vec(command(), 1..120),
    ) {
        let mut model = Model::new();
        for command in &commands {
            model.run(command);
        }
        model.run(&Command::Pass(4_000));
        prop_assert!(model.waiting.is_empty(), "requests without an outcome");
    }
}

#[test]
fn a_new_home_grants_nothing_until_former_grants_had_time_to_show() {
    let mut home = Home::new(0);
    home.set_authority(Time::ZERO, &upstream(), Authority::Home);
    home.apply_report(Time::ZERO, &upstream(), report(0));
    let early = home.request_slot(Time::from_ms(10), &upstream(), &ask(1, 0));
    assert_matches!(early, SlotResponse::Rejected(Rejection::Busy(_)));
    home.apply_report(Time::from_ms(REPORT_LAG_MS - 1), &upstream(), report(SLOTS));
    let late = home.request_slot(Time::from_ms(REPORT_LAG_MS), &upstream(), &ask(2, 0));
    assert_matches!(late, SlotResponse::Rejected(Rejection::Busy(_)));
}

#[test]
fn a_former_home_s_grant_is_freed_by_its_return() {
    let mut home = Home::new(1_000);
    home.set_authority(Time::ZERO, &upstream(), Authority::Home);
    home.apply_report(Time::ZERO, &upstream(), report(SLOTS));
    let now = Time::from_ms(REPORT_LAG_MS);
    home.apply_report(now, &upstream(), report(SLOTS));
    assert_matches!(
        home.request_slot(now, &upstream(), &ask(1, 0)),
        SlotResponse::Rejected(_)
    );
    home.release(now, &upstream(), Ticket(7));
    assert_matches!(
        home.request_slot(now, &upstream(), &ask(1, 0)),
        SlotResponse::Granted(_)
    );
    assert_matches!(
        home.request_slot(now, &upstream(), &ask(2, 0)),
        SlotResponse::Rejected(_)
    );
}

#[test]
fn a_standby_and_the_home_together_grant_no_more_than_the_slots() {
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
            let answer = home.request_slot(now, &upstream(), &ask(number, 0));
            granted += u32::from(matches!(answer, SlotResponse::Granted(_)));
        }
    }
    assert_eq!(granted, slots);
}

#[test]
fn grants_of_a_dead_holder_are_freed() {
    let (mut home, start) = settled();
    for number in 0..SLOTS {
        assert_matches!(
            home.request_slot(start, &upstream(), &ask(number, 0)),
            SlotResponse::Granted(_)
        );
    }
    let mut now = start;
    while now.since(start) < REPORT_LAG_MS + LOST_GRANT_MS {
        assert_matches!(
            home.request_slot(now, &upstream(), &ask(9, 0)),
            SlotResponse::Rejected(_)
        );
        now = now.after(500);
        home.apply_report(now, &upstream(), report(0));
    }
    assert_matches!(
        home.request_slot(now, &upstream(), &ask(9, 0)),
        SlotResponse::Granted(_)
    );
}

#[test]
fn a_leaving_upstream_refuses_those_who_wait() {
    let (mut home, now) = settled();
    for number in 0..SLOTS {
        home.request_slot(now, &upstream(), &ask(number, 0));
    }
    let answer = home.request_slot(now, &upstream(), &ask(9, 10_000));
    let SlotResponse::Queued(waiter) = answer else {
        panic!("not queued: {answer:?}");
    };
    let leaving = Report {
        draining: true,
        ..report(SLOTS)
    };
    let effects = home.apply_report(now, &upstream(), leaving);
    assert_eq!(effects, [Effect::Rejected(waiter, Rejection::Closed)]);
    let answer = home.request_slot(now, &upstream(), &ask(10, 10_000));
    assert_eq!(answer, SlotResponse::Rejected(Rejection::Closed));
}

#[test]
fn a_flooding_account_does_not_hold_up_another() {
    let (mut home, now) = settled();
    let mut held = Vec::new();
    for number in 0..SLOTS {
        let answer = home.request_slot(now, &upstream(), &ask(number, 0));
        let SlotResponse::Granted(ticket) = answer else {
            panic!("not granted: {answer:?}");
        };
        held.push(ticket);
    }
    let mut owners = BTreeMap::new();
    for number in 0..40 {
        let flood = SlotRequest {
            account: id::Account::new("flood"),
            attained: 0,
            cached: false,
            ..ask(number, 60_000)
        };
        if let SlotResponse::Queued(waiter) = home.request_slot(now, &upstream(), &flood) {
            owners.insert(waiter, "flood");
        }
    }
    let other = SlotRequest {
        account: id::Account::new("other"),
        attained: 0,
        cached: false,
        ..ask(99, 60_000)
    };
    if let SlotResponse::Queued(waiter) = home.request_slot(now.after(1), &upstream(), &other) {
        owners.insert(waiter, "other");
    }
    let mut order = Vec::new();
    while let Some(ticket) = held.pop() {
        for effect in home.release(now.after(2), &upstream(), ticket) {
            if let Effect::Granted(waiter, ticket) = effect {
                order.push(owners[&waiter]);
                held.push(ticket);
            }
        }
    }
    let place = order.iter().position(|owner| *owner == "other");
    assert_eq!(place, Some(1), "{order:?}");
}

#[test]
fn a_request_that_waited_elsewhere_keeps_its_age() {
    let (mut home, now) = settled();
    let SlotResponse::Granted(ticket) = home.request_slot(now, &upstream(), &ask(0, 0)) else {
        panic!("not granted");
    };
    for number in 1..SLOTS {
        home.request_slot(now, &upstream(), &ask(number, 0));
    }
    let waiting = |waited_ms| SlotRequest {
        attained: 0,
        cached: false,
        waited_ms,
        ..ask(1, 60_000)
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
