//! What one decision costs, by programs under way and upstreams known.

use std::hint::black_box;
use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::home::{Authority, Home, Report, SlotRequest, SlotResponse, Ticket};
use basilramp_core::id;
use basilramp_core::placement::{PlacementRequest, Placer, UpstreamState};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Programs under way and upstreams known, from today's sizes to the aim's.
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

fn ask(number: u32) -> SlotRequest {
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

/// Everything that a decision touches.
struct World {
    board: Placer,
    home: Home,
    now: Time,
    upstreams: Vec<id::Upstream>,
    asks: Vec<SlotRequest>,
}

impl World {
    fn new(programs: u32, upstreams: u32) -> Self {
        let mut world = Self {
            board: Placer::new(0.5),
            home: Home::new(0),
            now: Time::from_ms(1_000_000),
            upstreams: (0..upstreams).map(upstream).collect(),
            asks: (0..programs).map(ask).collect(),
        };
        let report = Report {
            slots: SLOTS,
            calls: None,
            draining: false,
        };
        for (number, upstream) in world.upstreams.iter().enumerate() {
            world.board.set(upstream, state(number as u32));
            world
                .home
                .set_authority(Time::ZERO, upstream, Authority::Home);
            world.home.apply_report(world.now, upstream, report);
        }
        for (number, ask) in world.asks.iter().enumerate() {
            let upstream = &world.upstreams[number * 7 % world.upstreams.len()];
            world.board.record_served(ask.program, upstream, 6_000);
        }
        world
    }

    /// Places a call, takes a slot, and gives it back.
    fn place(&mut self, number: usize) {
        let ask = &self.asks[number % self.asks.len()];
        let call = PlacementRequest {
            program: ask.program,
            offer: MODEL,
            prompt: 7_000,
            excluded: &[],
        };
        let choices = self.board.rank(&call);
        let chosen = &choices[0].upstream;
        let SlotResponse::Granted(ticket) = self.home.request_slot(self.now, chosen, ask) else {
            panic!("no free slot");
        };
        self.board.record_served(ask.program, chosen, 7_000);
        black_box(self.home.release(self.now, chosen, ticket));
    }

    /// Lets all programs ask one upstream, so that those beyond its slots wait.
    fn fill(&mut self) -> Vec<Ticket> {
        let mut held = Vec::new();
        for ask in &self.asks {
            let answer = self.home.request_slot(self.now, &self.upstreams[0], ask);
            if let SlotResponse::Granted(ticket) = answer {
                held.push(ticket);
            }
        }
        held
    }

    /// Gives a slot back, which serves the next in the queue, and queues another.
    fn turn(&mut self, held: &mut Vec<Ticket>, number: usize) {
        self.now = self.now.after(1);
        let ticket = held.pop().expect("a held ticket");
        let effects = self.home.release(self.now, &self.upstreams[0], ticket);
        for effect in effects {
            if let basilramp_core::home::Effect::Granted(_, ticket) = effect {
                held.push(ticket);
            }
        }
        let ask = &self.asks[number % self.asks.len()];
        if let SlotResponse::Granted(ticket) =
            self.home.request_slot(self.now, &self.upstreams[0], ask)
        {
            held.push(ticket);
        }
    }
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for (programs, upstreams) in SIZES {
        let mut world = World::new(programs, upstreams);
        let mut number = 0;
        let id = BenchmarkId::from_parameter(format!("{programs}x{upstreams}"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                number += 1;
                world.place(number);
            });
        });
    }
    group.finish();
}

fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    for (programs, upstreams) in SIZES {
        let mut world = World::new(programs, upstreams);
        let mut held = world.fill();
        let mut number = 0;
        let id = BenchmarkId::from_parameter(format!("{programs}x{upstreams}"));
        group.bench_function(id, |bencher| {
            bencher.iter(|| {
                number += 1;
                world.turn(&mut held, number);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, place, queue);
criterion_main!(benches);
