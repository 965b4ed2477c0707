//! Simulated instances that share the row of one account in a simulated store.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::quota::{
    AccountPermits, Calendar, Permit, ProgramShapes, Purpose, Reservation, RowWrite, StoreClock,
    StoreTime, Terms,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time for which a program in progress waits for a permit.
const MAX_WAIT_MS: u64 = 300;

/// Timeout of a store call.
const CALL_TIMEOUT_MS: u64 = 500;

/// Time that the store spends on a transaction: it commits 150 a second.
const TRANSACTION_MS: u64 = 7;

/// Interval at which permits beyond what is expected are returned.
const SWEEP_INTERVAL_MS: u64 = 250;

/// Number of rows that are tried for waiting requests.
const MAX_ROWS_TRIED: u32 = 3;

/// Number of writes of a reservation.
const MAX_WRITES: u32 = 3;

/// Faults of the calls, in thousandths of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) lost: u32,
    pub(crate) late: u32,
    pub(crate) duplicated: u32,
}

/// Programs of an account at one instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Programs {
    pub(crate) requests: (u32, u32),
    /// Mean interval between the requests of a program.
    pub(crate) interval_ms: (u64, u64),
}

#[derive(Clone, Debug)]
struct Program {
    instance: usize,
    requests: u32,
    interval_ms: u64,
    sent: u32,
}

#[derive(Clone, Debug)]
enum Call {
    Read(u32),
    Write(RowWrite),
}

#[derive(Clone, Debug)]
enum Event {
    /// A program sends its next request.
    Request { program: u64 },
    /// A waiting request tries again, or is rejected.
    Retry { instance: usize, waiter: Waiter },
    /// Permits beyond what is expected are returned.
    Sweep { instance: usize },
    /// The store executes a call.
    Execute {
        call: u64,
        instance: usize,
        epoch: u32,
        kind: Call,
        is_lost: bool,
        sent_ms: u64,
    },
    /// The response to a call arrives; the row and the store's time.
    Response {
        call: u64,
        instance: usize,
        epoch: u32,
        is_done: bool,
        number: u32,
        row: Option<(Calendar, u64)>,
        version: u64,
        now_ms: u64,
        sent_ms: u64,
    },
    /// No response has arrived.
    Timeout {
        call: u64,
        instance: usize,
        epoch: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    program: u64,
    is_start: bool,
    since_ms: u64,
    epoch: u32,
}

/// How far a reservation got.
#[derive(Clone, Copy, Debug, Default)]
struct Steps {
    writes: u32,
    moves: u32,
}

/// A reservation whose call is in flight.
#[derive(Clone, Debug)]
struct InFlight {
    call: u64,
    reservation: Option<Reservation>,
    write: Option<RowWrite>,
    steps: Steps,
}

#[derive(Default)]
struct Instance {
    permits: AccountPermits,
    shapes: ProgramShapes,
    clock: StoreClock,
    /// Offset of the boot-time clock, and its drift in parts per million.
    offset_ms: u64,
    drift_ppm: i64,
    epoch: u32,
    suspended_until_ms: u64,
    waiters: Vec<Waiter>,
    in_flight: Option<InFlight>,
    terms: Option<Terms>,
}

/// What happened to the requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) sent: u64,
    pub(crate) rejected_programs: u64,
    pub(crate) rejected_requests: u64,
    pub(crate) finished_programs: u64,
    pub(crate) broken_programs: u64,
    pub(crate) begun_programs: u64,
    pub(crate) calls: u64,
    pub(crate) conflicts: u64,
    pub(crate) writes: u64,
    pub(crate) waited_ms: Vec<u64>,
}

/// All instances and the store.
pub(crate) struct Site {
    pub(crate) now_ms: u64,
    pub(crate) counts: Counts,
    /// Store time of each request that was sent.
    pub(crate) sent_at: Vec<u64>,
    pub(crate) faults: Faults,
    instances: Vec<Instance>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    by_number: BTreeMap<u64, Event>,
    next_number: u64,
    programs: BTreeMap<u64, Program>,
    next_program: u64,
    rows: BTreeMap<u32, (Calendar, u64)>,
    busy_until: BTreeMap<u32, u64>,
    rng: StdRng,
    route: Arc<str>,
}

impl Site {
    pub(crate) fn new(instances: usize, terms: Terms, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let new = |_| Instance {
            offset_ms: rng.random_range(0..1_000_000),
            drift_ppm: rng.random_range(-400..400),
            terms: Some(terms),
            permits: AccountPermits::new(rng.random()),
            ..Instance::default()
        };
        let mut site = Self {
            now_ms: 10_000,
            counts: Counts::default(),
            sent_at: Vec::new(),
            faults: Faults::default(),
            instances: (0..instances).map(new).collect(),
            events: BinaryHeap::new(),
            by_number: BTreeMap::new(),
            next_number: 0,
            programs: BTreeMap::new(),
            next_program: 0,
            rows: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed + 1),
            route: "chat".into(),
        };
        for instance in 0..instances {
            site.push(site.now_ms + instance as u64, Event::Sweep { instance });
        }
        site
    }

    /// Starts a program at an instance after a delay.
    pub(crate) fn add_program(&mut self, instance: usize, programs: Programs, at_ms: u64) {
        let requests = self
            .rng
            .random_range(programs.requests.0..=programs.requests.1);
        let interval_ms = self
            .rng
            .random_range(programs.interval_ms.0..=programs.interval_ms.1);
        self.next_program += 1;
        let program = Program {
            instance,
            requests,
            interval_ms,
            sent: 0,
        };
        self.programs.insert(self.next_program, program);
        let program = self.next_program;
        self.push(at_ms, Event::Request { program });
    }

    /// Returns the number of permits that expired unused at the instances.
    pub(crate) fn expired(&self) -> u64 {
        let instances = self.instances.iter();
        instances.map(|one| one.permits.permits().expired()).sum()
    }

    /// Starts an instance with empty memory.
    pub(crate) fn kill(&mut self, instance: usize) {
        let old = &self.instances[instance];
        let new = Instance {
            permits: AccountPermits::new(self.rng.random()),
            offset_ms: old.offset_ms,
            drift_ppm: old.drift_ppm,
            epoch: old.epoch + 1,
            terms: old.terms,
            ..Instance::default()
        };
        self.instances[instance] = new;
        self.programs
            .retain(|_, program| program.instance != instance);
    }

    /// Suspends an instance; what happens to it meanwhile, it processes afterwards.
    pub(crate) fn suspend(&mut self, instance: usize, ms: u64) {
        self.instances[instance].suspended_until_ms = self.now_ms + ms;
    }

    /// Sets the terms that an instance has from the configuration.
    pub(crate) fn set_terms(&mut self, instance: usize, terms: Terms) {
        self.instances[instance].terms = Some(terms);
    }

    /// Processes events until a time.
    pub(crate) fn run_until(&mut self, until_ms: u64) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > until_ms {
                break;
            }
            self.events.pop();
            self.now_ms = self.now_ms.max(at);
            let Some(event) = self.by_number.remove(&number) else {
                continue;
            };
            if let Some(instance) = self.instance_of(&event) {
                let resumed_ms = self.instances[instance].suspended_until_ms;
                if resumed_ms > self.now_ms {
                    self.push(resumed_ms, event);
                    continue;
                }
            }
            self.handle(event);
        }
        self.now_ms = until_ms;
    }

    fn instance_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Request { program } => Some(self.programs.get(program)?.instance),
            Event::Retry { instance, .. }
            | Event::Sweep { instance }
            | Event::Response { instance, .. }
            | Event::Timeout { instance, .. } => Some(*instance),
            Event::Execute { .. } => None,
        }
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.next_number += 1;
        self.by_number.insert(self.next_number, event);
        self.events.push(Reverse((at_ms, self.next_number)));
    }

    /// Returns the boot time of an instance.
    fn boot(&self, instance: usize) -> Time {
        let instance = &self.instances[instance];
        let drift = self.now_ms as i64 * instance.drift_ppm / 1_000_000;
        Time::from_ms((instance.offset_ms + self.now_ms).saturating_add_signed(drift))
    }

    fn store_now(&self, instance: usize) -> Option<StoreTime> {
        let now = self.instances[instance].clock.now(self.boot(instance))?;
        assert!(
            now.lower_ms <= self.now_ms && self.now_ms <= now.upper_ms,
            "{now:?} {}",
            self.now_ms
        );
        Some(now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { program } => self.request(program),
            Event::Retry { instance, waiter } => {
                if self.instances[instance].epoch == waiter.epoch {
                    self.acquire(instance, waiter);
                }
            }
            Event::Sweep { instance } => {
                self.push(self.now_ms + SWEEP_INTERVAL_MS, Event::Sweep { instance });
                let now = self.boot(instance);
                let Some(store_now) = self.store_now(instance) else {
                    return;
                };
                let one = &mut self.instances[instance];
                if one.in_flight.is_none()
                    && one.permits.start_return(&mut one.shapes, store_now, now)
                {
                    self.reserve(instance);
                }
            }
            Event::Execute {
                call,
                instance,
                epoch,
                kind,
                is_lost,
                sent_ms,
            } => {
                self.execute(call, (instance, epoch), kind, is_lost, sent_ms);
            }
            Event::Timeout {
                call,
                instance,
                epoch,
            } => {
                if self.is_current(call, instance, epoch) {
                    // The outcome is unknown: nothing is granted.
                    self.instances[instance].in_flight = None;
                    self.wake(instance, None);
                }
            }
            Event::Response {
                call,
                instance,
                epoch,
                is_done,
                number,
                row,
                version,
                now_ms,
                sent_ms,
            } => {
                if self.instances[instance].epoch != epoch {
                    return;
                }
                let received = self.boot(instance);
                let sent = Time::from_ms(sent_ms);
                self.instances[instance]
                    .clock
                    .record(sent, received, now_ms);
                if self.is_current(call, instance, epoch) {
                    self.respond(instance, is_done, (number, row), version);
                }
            }
        }
    }

    fn is_current(&self, call: u64, instance: usize, epoch: u32) -> bool {
        let instance = &self.instances[instance];
        instance.epoch == epoch
            && instance
                .in_flight
                .as_ref()
                .is_some_and(|one| one.call == call)
    }

    fn request(&mut self, id: u64) {
        let Some(program) = self.programs.get(&id).cloned() else {
            return;
        };
        let now = self.boot(program.instance);
        let instance = &mut self.instances[program.instance];
        let is_first = instance
            .permits
            .record(Some(id), &self.route, &mut instance.shapes, now);
        let waiter = Waiter {
            program: id,
            is_start: program.sent == 0 && is_first,
            since_ms: self.now_ms,
            epoch: instance.epoch,
        };
        self.acquire(program.instance, waiter);
    }

    /// Takes a permit, or waits for one.
    fn acquire(&mut self, instance: usize, waiter: Waiter) {
        if let Some(permit) = self.take(instance, waiter) {
            self.send(waiter, permit);
            let now = self.boot(instance);
            let store_now = self.store_now(instance).unwrap();
            let one = &mut self.instances[instance];
            if one.in_flight.is_none() && one.permits.start_refill(&one.shapes, store_now, now) {
                self.reserve(instance);
            }
            return;
        }
        let now = self.boot(instance);
        let store_now = self.store_now(instance);
        let permits = &self.instances[instance].permits;
        let wait_ms = store_now.and_then(|store_now| permits.wait_for_held_ms(store_now, now));
        if let Some(wait_ms) = wait_ms.filter(|_| !waiter.is_start) {
            return self.wait(instance, waiter, wait_ms);
        }
        self.instances[instance].waiters.push(waiter);
        self.reserve(instance);
    }

    /// Takes a permit that is held. A new program needs permits for the rest of it, too.
    fn take(&mut self, instance: usize, waiter: Waiter) -> Option<Permit> {
        let now = self.boot(instance);
        let store_now = self.store_now(instance)?;
        let one = &mut self.instances[instance];
        if waiter.is_start && !one.permits.may_start(&one.shapes, store_now, now) {
            return None;
        }
        one.permits.take(store_now)
    }

    fn send(&mut self, waiter: Waiter, permit: Permit) {
        let store_now = StoreTime {
            lower_ms: self.now_ms,
            upper_ms: self.now_ms,
        };
        assert!(permit.is_valid(store_now), "{permit:?} {}", self.now_ms);
        self.counts.sent += 1;
        self.counts.waited_ms.push(self.now_ms - waiter.since_ms);
        self.sent_at.push(self.now_ms);
        let Some(program) = self.programs.get_mut(&waiter.program) else {
            return;
        };
        if program.sent == 0 {
            self.counts.begun_programs += 1;
        }
        program.sent += 1;
        if program.sent == program.requests {
            self.counts.finished_programs += 1;
            self.programs.remove(&waiter.program);
        } else {
            let jitter = self.rng.random_range(50..150);
            let at_ms = self.now_ms + program.interval_ms * jitter / 100;
            self.push(
                at_ms,
                Event::Request {
                    program: waiter.program,
                },
            );
        }
    }

    fn reject(&mut self, waiter: Waiter) {
        let Some(program) = self.programs.remove(&waiter.program) else {
            return;
        };
        let one = &mut self.instances[program.instance];
        one.permits.cancel(waiter.program, &mut one.shapes);
        self.counts.rejected_requests += 1;
        if program.sent == 0 {
            self.counts.rejected_programs += 1;
        } else {
            self.counts.broken_programs += 1;
        }
    }

    /// Starts a reservation if no call is in flight.
    fn reserve(&mut self, instance: usize) {
        if self.instances[instance].in_flight.is_some() {
            return;
        }
        let now = self.boot(instance);
        let one = &mut self.instances[instance];
        let is_urgent = one.waiters.iter().any(|waiter| !waiter.is_start);
        if is_urgent || one.permits.pause_ms(now) == 0 {
            return self.begin(instance, Steps::default());
        }
        for waiter in std::mem::take(&mut self.instances[instance].waiters) {
            let pause_ms = self.instances[instance].permits.pause_ms(now);
            self.wait(instance, waiter, pause_ms);
        }
    }

    fn plan(&mut self, instance: usize, steps: Steps) {
        let now = self.boot(instance);
        let store_now = self.store_now(instance).unwrap();
        let one = &mut self.instances[instance];
        let starting = one.waiters.iter().filter(|waiter| waiter.is_start).count();
        let waiting = one.waiters.len() - starting;
        let is_start = waiting == 0 && starting > 0;
        let purpose = Purpose {
            waiting: if is_start { starting } else { waiting } as u32,
            program: is_start.then(|| one.shapes.get(&self.route)),
            is_home: false,
        };
        let terms = one.terms.unwrap();
        let reservation = one
            .permits
            .plan(purpose, terms, &mut one.shapes, store_now, now);
        match one.permits.write(&reservation, now) {
            Ok(write) => self.call(
                instance,
                Call::Write(write),
                Some(reservation),
                Steps {
                    writes: steps.writes + 1,
                    ..steps
                },
            ),
            Err(full) => {
                one.permits.abandon(&reservation);
                if !full.is_certain && steps.writes < MAX_WRITES {
                    let row = one.permits.row();
                    return self.call(instance, Call::Read(row), None, steps);
                }
                if terms.rows > 1 {
                    one.permits.change_row(terms, self.rng.random());
                }
                if steps.moves + 1 < terms.rows.min(MAX_ROWS_TRIED) && !one.waiters.is_empty() {
                    let steps = Steps {
                        moves: steps.moves + 1,
                        ..steps
                    };
                    return self.plan(instance, steps);
                }
                self.wake(instance, Some((is_start, full.wait_ms)));
            }
        }
    }

    fn call(
        &mut self,
        instance: usize,
        kind: Call,
        reservation: Option<Reservation>,
        steps: Steps,
    ) {
        self.counts.calls += 1;
        self.next_number += 1;
        let call = self.next_number;
        let epoch = self.instances[instance].epoch;
        let sent_ms = self.boot(instance).as_ms();
        let write = match &kind {
            Call::Read(_) => None,
            Call::Write(write) => Some(write.clone()),
        };
        self.instances[instance].in_flight = Some(InFlight {
            call,
            reservation,
            write,
            steps,
        });
        let draw = self.rng.random_range(0..1_000);
        let late_ms = if draw < self.faults.late {
            self.rng.random_range(500..6_000)
        } else {
            0
        };
        let is_lost = self.rng.random_range(0..1_000) < self.faults.lost;
        let at_ms = self.now_ms + self.rng.random_range(1..3) + late_ms;
        let event = Event::Execute {
            call,
            instance,
            epoch,
            kind,
            is_lost,
            sent_ms,
        };
        if self.rng.random_range(0..1_000) < self.faults.duplicated {
            let again_ms = at_ms + self.rng.random_range(1..4_000);
            self.push(again_ms, event.clone());
        }
        self.push(at_ms, event);
        self.push(
            self.now_ms + CALL_TIMEOUT_MS,
            Event::Timeout {
                call,
                instance,
                epoch,
            },
        );
    }

    fn execute(
        &mut self,
        call: u64,
        (instance, epoch): (usize, u32),
        kind: Call,
        is_lost: bool,
        sent_ms: u64,
    ) {
        let number = match &kind {
            Call::Read(number) => *number,
            Call::Write(write) => write.row,
        };
        let busy_until = self.busy_until.get(&number).copied().unwrap_or_default();
        if let Call::Write(_) = kind
            && busy_until > self.now_ms
        {
            return self.push(
                busy_until,
                Event::Execute {
                    call,
                    instance,
                    epoch,
                    kind,
                    is_lost,
                    sent_ms,
                },
            );
        }
        let mut is_done = true;
        if let Call::Write(write) = kind {
            self.busy_until.insert(number, self.now_ms + TRANSACTION_MS);
            is_done = self.rows.get(&number).map_or(0, |row| row.1) == write.version;
            self.counts.writes += 1;
            self.counts.conflicts += u64::from(!is_done);
            if is_done {
                self.next_number += 1;
                self.rows.insert(number, (write.calendar, self.next_number));
            }
        }
        if is_lost {
            return;
        }
        let row = self.rows.get(&number).cloned();
        let version = row.as_ref().map_or(0, |row| row.1);
        let at_ms = self.now_ms + self.rng.random_range(3..9);
        let now_ms = self.now_ms;
        self.push(
            at_ms,
            Event::Response {
                call,
                instance,
                epoch,
                is_done,
                number,
                row,
                version,
                now_ms,
                sent_ms,
            },
        );
    }

    fn respond(
        &mut self,
        instance: usize,
        is_done: bool,
        (number, row): (u32, Option<(Calendar, u64)>),
        version: u64,
    ) {
        let now = self.boot(instance);
        let Some(in_flight) = self.instances[instance].in_flight.take() else {
            return;
        };
        let permits = &mut self.instances[instance].permits;
        match in_flight.write {
            Some(write) if is_done => {
                permits.confirm(write, version, now);
                let mut starts = in_flight.reservation.map_or(0, |one| one.starts());
                for waiter in &mut self.instances[instance].waiters {
                    if waiter.is_start && starts > 0 {
                        waiter.is_start = false;
                        starts -= 1;
                    }
                }
                self.wake(instance, None);
            }
            _ => {
                permits.record_row(number, row, now);
                if let Some(reservation) = in_flight.reservation {
                    permits.abandon(&reservation);
                    permits.record_conflict(self.rng.random(), now);
                }
                let steps = in_flight.steps;
                if steps.writes >= MAX_WRITES {
                    return self.wake(instance, None);
                }
                self.plan(instance, steps);
            }
        }
    }

    /// Reads the row if it is needed, and writes it.
    fn begin(&mut self, instance: usize, steps: Steps) {
        let now = self.boot(instance);
        let store_now = self.store_now(instance);
        let one = &mut self.instances[instance];
        let should_read = one.permits.start_call(one.terms.unwrap(), now);
        if store_now.is_none() || should_read {
            let row = one.permits.row();
            return self.call(instance, Call::Read(row), None, steps);
        }
        self.plan(instance, steps);
    }

    /// Lets the waiting requests go on after a call. If the calendar is full, those that have to wait
    /// too long are rejected.
    fn wake(&mut self, instance: usize, full: Option<(bool, u64)>) {
        for waiter in std::mem::take(&mut self.instances[instance].waiters) {
            if let Some(permit) = self.take(instance, waiter) {
                self.send(waiter, permit);
                continue;
            }
            let Some((is_start, wait_ms)) = full else {
                let store_now = self.store_now(instance).filter(|_| !waiter.is_start);
                let permits = self.instances[instance].permits.permits();
                let next_ms = store_now.and_then(|now| permits.next_valid_ms(now));
                let wait_ms = next_ms.unwrap_or_else(|| self.rng.random_range(5..50));
                self.wait(instance, waiter, wait_ms);
                continue;
            };
            if waiter.is_start {
                let now = self.boot(instance);
                if is_start {
                    self.instances[instance].permits.record_full(now);
                }
                let wait_ms = if is_start { u64::MAX } else { 20 };
                self.wait(instance, waiter, wait_ms);
                continue;
            }
            let store_now = self.store_now(instance).unwrap();
            let next_ms = self.instances[instance]
                .permits
                .permits()
                .next_valid_ms(store_now);
            self.wait(instance, waiter, wait_ms.min(next_ms.unwrap_or(u64::MAX)));
        }
    }

    fn wait(&mut self, instance: usize, waiter: Waiter, ms: u64) {
        let waited_ms = self.now_ms - waiter.since_ms;
        if waited_ms.saturating_add(ms) > MAX_WAIT_MS {
            return self.reject(waiter);
        }
        self.push(self.now_ms + ms, Event::Retry { instance, waiter });
    }
}
