//! Cost of a scheduling decision by number of running programs and known upstreams, and of the lookup of an
//! account by number of keys.

use std::hint::black_box;
use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::account::{Account, Accounts, Entry, KeyDigest};
use basilramp_core::home::{Authority, Home, Report, SlotRequest, SlotResponse, Ticket};
use basilramp_core::id;
use basilramp_core::placement::{PlacementRequest, Placer, UpstreamState};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Running programs and known upstreams, from current deployments to the target size.
const SIZES: [(u32, u32); 5] = [(28, 28), (280, 28), (280, 390), (974, 390), (974, 3_900)];

const SLOTS: u32 = 64;

const MODEL: &str = "base@1";

fn upstream(number: u32) -> id::Upstream {
    id::Upstream::new(format!("engine-{number}"))
}

fn program(number: u32) -> id::Program {
    let request = id::Request::new(number.to_string());
    id::Program::root(&account(number), &request)
}

fn account(number: u32) -> id::Account {
    id::Account::new(format!("account-{}", number % 24))
}

fn slot_request(number: u32) -> SlotRequest {
    SlotRequest {
        program: program(number),
        account: account(number),
        attained: u64::from(number) * 97,
        cached: number.is_multiple_of(3),
        wait_ms: 60_000,
        waited_ms: 0,
    }
}

fn state(number: u32) -> UpstreamState {
    UpstreamState {
        offers: vec![Arc::from(MODEL)],
        slots: SLOTS,
        free: 8 + number % 50,
        wait_ms: 0,
        cached_tokens: u64::from(number % 100) * 2_000,
        cache_tokens: 200_000,
    }
}

/// The state used by the benchmarks.
struct Scenario {
    placer: Placer,
    home: Home,
    now: Time,
    upstreams: Vec<id::Upstream>,
    requests: Vec<SlotRequest>,
}

impl Scenario {
    fn new(programs: u32, upstreams: u32) -> Self {
        let mut scenario = Self {
            placer: Placer::new(0.5),
            home: Home::new(0),
            now: Time::from_ms(1_000_000),
            upstreams: (0..upstreams).map(upstream).collect(),
            requests: (0..programs).map(slot_request).collect(),
        };
        let report = Report {
            slots: SLOTS,
            calls: None,
            draining: false,
        };
        for (number, upstream) in scenario.upstreams.iter().enumerate() {
            scenario.placer.set(upstream, state(number as u32));
            scenario
                .home
                .set_authority(Time::ZERO, upstream, Authority::Home);
            scenario.home.apply_report(scenario.now, upstream, report);
        }
        for (number, request) in scenario.requests.iter().enumerate() {
            let upstream = &scenario.upstreams[number * 7 % scenario.upstreams.len()];
            scenario
                .placer
                .record_served(request.program, upstream, 6_000);
        }
        scenario
    }

    /// Places a call, requests a slot and releases it.
    fn place_call(&mut self, number: usize) {
        let request = &self.requests[number % self.requests.len()];
        let call = PlacementRequest {
            program: request.program,
            offer: MODEL,
            prompt: 7_000,
            excluded: &[],
        };
        let candidates = self.placer.rank(&call);
        let chosen = &candidates[0].upstream;
        let SlotResponse::Granted(ticket) = self.home.request_slot(self.now, chosen, request)
        else {
            panic!("no free slot");
        };
        self.placer.record_served(request.program, chosen, 7_000);
        black_box(self.home.release(self.now, chosen, ticket));
    }

    /// Requests a slot of one upstream for every program, so that requests beyond its slots are
    /// queued.
    fn fill_slots(&mut self) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for request in &self.requests {
            let response = self
                .home
                .request_slot(self.now, &self.upstreams[0], request);
            if let SlotResponse::Granted(ticket) = response {
                tickets.push(ticket);
            }
        }
        tickets
    }

    /// Releases a slot, which grants it to the next queued request, and queues another request.
    fn replace_grant(&mut self, tickets: &mut Vec<Ticket>, number: usize) {
        self.now = self.now.after(1);
        let ticket = tickets.pop().expect("a granted ticket");
        let effects = self.home.release(self.now, &self.upstreams[0], ticket);
        for effect in effects {
            if let basilramp_core::home::Effect::Granted(_, ticket) = effect {
                tickets.push(ticket);
            }
        }
        let request = &self.requests[number % self.requests.len()];
        if let SlotResponse::Granted(ticket) =
            self.home
                .request_slot(self.now, &self.upstreams[0], request)
        {
            tickets.push(ticket);
        }
    }
}

fn bench_place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for (programs, upstreams) in SIZES {
        let mut scenario = Scenario::new(programs, upstreams);
        let mut number = 0;
        let id = BenchmarkId::from_parameter(format!("{programs}x{upstreams}"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                number += 1;
                scenario.place_call(number);
            });
        });
    }
    group.finish();
}

fn bench_queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    for (programs, upstreams) in SIZES {
        let mut scenario = Scenario::new(programs, upstreams);
        let mut tickets = scenario.fill_slots();
        let mut number = 0;
        let id = BenchmarkId::from_parameter(format!("{programs}x{upstreams}"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                number += 1;
                scenario.replace_grant(&mut tickets, number);
            });
        });
    }
    group.finish();
}

/// Numbers of keys, each of an account of its own.
const KEYS: [usize; 3] = [10, 2_500, 10_000];

fn key(number: usize) -> String {
    format!("sk-{number:08}-5c1e07a291bd3f06e5b23fa877d29c41")
}

fn bench_account(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("account");
    for count in KEYS {
        let entries = (0..count).map(|number| Entry {
            account: Account::new(format!("account-{number}").into(), None, None),
            keys: vec![KeyDigest::of(key(number).as_bytes())],
        });
        let accounts = Accounts::new(entries).expect("distinct accounts");
        let valid: Vec<_> = (0..count).map(key).collect();
        // Wrong in the last character and in the first one.
        let nearly_valid: Vec<_> = valid.iter().map(|key| format!("{}0", &key[..43])).collect();
        let invalid: Vec<_> = valid.iter().map(|key| format!("x{}", &key[1..])).collect();
        for (name, keys) in [
            ("valid", valid),
            ("last character wrong", nearly_valid),
            ("first character wrong", invalid),
        ] {
            let mut number = 0;
            group.bench_function(BenchmarkId::new(name, count), |bencher| {
                bencher.iter(|| {
                    number = (number + 7) % count;
                    let digest = KeyDigest::of(black_box(keys[number].as_bytes()));
                    black_box(accounts.find(digest))
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench_place, bench_queue, bench_account);
criterion_main!(benches);
