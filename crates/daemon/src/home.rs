//! Homes of upstreams: grants, queues, loads and releases for those homed here.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use basilramp_core::home::{Answer, Ask, Effect, GRANT_MS, Home, Refusal, Report, Ticket, Waiter};
use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::engine::Load;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::clock::Source;
use crate::control::Client;
use crate::log;
use crate::log::{Event, event};
use crate::{membership, upstream};

/// Slots of a plain service, which reports none.
const SERVICE_SLOTS: u32 = 64;

/// Engines that are polled at once.
const POLLS_AT_ONCE: usize = 32;

/// Consecutive polls without an answer after which an engine is given no new work.
const MISSED_POLLS: u32 = 3;

/// Time between two tries of a release.
const RELEASE_PAUSE: Duration = Duration::from_millis(500);

/// Tries of a release; what still fails is left to the sweep.
const RELEASE_TRIES: u32 = 6;

/// Answers other instances about the upstreams homed here.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    upstreams: upstream::Handle,
    members: membership::Handle,
    client: Client,
    clock: Source,
    log: log::Handle,
}

#[derive(Debug, Default)]
struct Table {
    home: Home,
    loads: BTreeMap<id::Upstream, Polled>,
    waiters: BTreeMap<Waiter, oneshot::Sender<Result<Ticket, Refusal>>>,
}

#[derive(Clone, Debug, Default)]
struct Polled {
    load: Load,
    missed: u32,
}

/// Starts the homes of this instance, which poll their engines every `poll_ms` milliseconds.
pub(crate) fn spawn(
    upstreams: upstream::Handle,
    members: membership::Handle,
    poll_ms: u64,
    clock: Source,
    log: log::Handle,
) -> Handle {
    let shared = Shared {
        table: Mutex::default(),
        upstreams,
        members,
        client: Client::open(),
        clock,
        log,
    };
    let handle = Handle {
        shared: Arc::new(shared),
    };
    tokio::spawn(poll(handle.clone(), poll_ms));
    handle
}

async fn poll(handle: Handle, poll_ms: u64) {
    let mut ticks = interval(Duration::from_millis(poll_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let homed = handle.adopt();
        handle.poll_loads(homed).await;
        handle.expire();
    }
}

impl Handle {
    /// Grants a slot, or waits for one as long as the asker does.
    ///
    /// A grant whose asker goes away while it waits is taken back.
    pub(crate) async fn grant(&self, grant: frame::Grant) -> Result<frame::Reply, Error> {
        let program = grant.program.parse();
        let program = program.map_err(|_| Error::new(Kind::BadRequest, "not a program id"))?;
        let upstream = id::Upstream::new(grant.upstream);
        let ask = Ask {
            program,
            attained: grant.attained,
            wait_ms: grant.wait_ms,
        };
        let waiting = match self.ask(&upstream, &ask) {
            Ok(ticket) => return Ok(granted(ticket)),
            Err(Pending::Refused(refusal)) => return Err(refused(refusal)),
            Err(Pending::Queued(waiter, receiver)) => Waiting {
                handle: self,
                upstream,
                waiter,
                receiver,
            },
        };
        waiting.outcome().await.map(granted).map_err(refused)
    }

    /// Takes a slot back.
    pub(crate) fn take_back(&self, back: frame::Return) {
        let upstream = id::Upstream::new(back.upstream);
        self.give_back(&upstream, Ticket(back.ticket));
    }

    /// Returns what is known of the upstreams homed here.
    pub(crate) fn digests(&self) -> Vec<frame::Digest> {
        let table = self.table();
        let digest = |upstream: &id::Upstream| {
            let known = table.home.digest(upstream)?;
            let load = table.loads.get(upstream).map(|polled| &polled.load);
            let digest = frame::Digest {
                upstream: upstream.to_string(),
                models: load.map(|load| load.models.clone()).unwrap_or_default(),
                slots: known.slots,
                free: known.slots.saturating_sub(known.taken),
                wait_ms: known.wait_ms,
                cached_tokens: load.map_or(0, |load| load.cached_tokens),
                cache_tokens: load.map_or(0, |load| load.cache_tokens),
                leaving: known.leaving,
            };
            Some(digest)
        };
        table.home.upstreams().filter_map(digest).collect()
    }

    /// Has an upstream let go of what it holds for a program, with retries.
    pub(crate) fn release(&self, upstream: &str, program: &str) {
        let Some(listing) = self.shared.upstreams.get(&id::Upstream::new(upstream)) else {
            return;
        };
        let shared = self.shared.clone();
        let program = program.to_owned();
        tokio::spawn(async move { release(&shared, &listing, &program).await });
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        let table = self.shared.table.lock();
        table.unwrap_or_else(PoisonError::into_inner)
    }

    fn ask(&self, upstream: &id::Upstream, ask: &Ask) -> Result<Ticket, Pending> {
        if !self.shared.upstreams.read(|view| view.is_open(upstream)) {
            return Err(Pending::Refused(Refusal::Closed));
        }
        let now = self.shared.clock.now();
        let mut table = self.table();
        match table.home.ask(now, upstream, ask, false) {
            Answer::Granted(ticket) => Ok(ticket),
            Answer::Refused(refusal) => Err(Pending::Refused(refusal)),
            Answer::Queued(waiter) => {
                let (sender, receiver) = oneshot::channel();
                table.waiters.insert(waiter, sender);
                Err(Pending::Queued(waiter, receiver))
            }
        }
    }

    fn give_back(&self, upstream: &id::Upstream, ticket: Ticket) {
        let now = self.shared.clock.now();
        let mut table = self.table();
        let effects = table.home.give_back(now, upstream, ticket);
        table.tell(effects);
    }

    fn withdraw(&self, upstream: &id::Upstream, waiter: Waiter) {
        let mut table = self.table();
        table.home.withdraw(upstream, waiter);
        table.waiters.remove(&waiter);
    }

    fn expire(&self) {
        let now = self.shared.clock.now();
        let mut table = self.table();
        let effects = table.home.expire(now);
        table.tell(effects);
    }

    /// Takes over the upstreams newly homed here, lets go of the others, and returns those homed.
    fn adopt(&self) -> Vec<Listing> {
        let own = self.shared.members.own();
        let listed = self.shared.upstreams.read(|view| {
            let all = view
                .iter()
                .map(|listing| (listing.clone(), view.is_open(&listing.id)));
            all.collect::<Vec<_>>()
        });
        let here = |listing: &Listing| {
            let home = self.shared.members.home(&listing.id);
            home.is_some_and(|home| home.id == own)
        };
        let homed: Vec<_> = listed
            .into_iter()
            .filter(|(listing, _)| here(listing))
            .collect();
        let now = self.shared.clock.now();
        let mut table = self.table();
        let gone: Vec<_> = table
            .home
            .upstreams()
            .filter(|upstream| !homed.iter().any(|(listing, _)| listing.id == **upstream))
            .cloned()
            .collect();
        for upstream in gone {
            table.loads.remove(&upstream);
            let effects = table.home.abandon(&upstream);
            table.tell(effects);
        }
        for (listing, open) in &homed {
            table.home.adopt(now, &listing.id);
            table.report(now, listing, *open);
        }
        homed.into_iter().map(|(listing, _)| listing).collect()
    }

    async fn poll_loads(&self, homed: Vec<Listing>) {
        let permits = Arc::new(Semaphore::new(POLLS_AT_ONCE));
        let mut polls = tokio::task::JoinSet::new();
        let engines = homed
            .into_iter()
            .filter(|listing| listing.role == Role::Engine);
        for listing in engines {
            let client = self.shared.client.clone();
            let permits = permits.clone();
            polls.spawn(async move {
                let _permit = permits.acquire_owned().await;
                let load = client.load(listing.address).await;
                (listing, load.ok())
            });
        }
        while let Some(polled) = polls.join_next().await {
            if let Ok((listing, load)) = polled {
                self.note(&listing, load);
            }
        }
    }

    fn note(&self, listing: &Listing, load: Option<Load>) {
        if let Some(load) = &load {
            self.shared.upstreams.report(&listing.id, load.leaving);
        }
        let open = self.shared.upstreams.read(|view| view.is_open(&listing.id));
        let now = self.shared.clock.now();
        let mut table = self.table();
        let polled = table.loads.entry(listing.id.clone()).or_default();
        match load {
            Some(load) => *polled = Polled { load, missed: 0 },
            None => polled.missed += 1,
        }
        if polled.missed == MISSED_POLLS {
            event!(self.shared.log, Event::UpstreamDown, "upstream" => %listing.id);
        }
        table.report(now, listing, open);
    }
}

impl Table {
    /// Passes on what is known of an upstream.
    fn report(&mut self, now: basilramp_core::clock::Time, listing: &Listing, open: bool) {
        let report = match (listing.role, self.loads.get(&listing.id)) {
            (Role::Service, _) => Report {
                slots: SERVICE_SLOTS,
                calls: 0,
                leaving: !open,
            },
            (Role::Engine, None) => return,
            (Role::Engine, Some(polled)) => Report {
                slots: polled.load.slots,
                calls: polled.load.running + polled.load.waiting,
                leaving: !open || polled.missed >= MISSED_POLLS,
            },
        };
        let effects = self.home.report(now, &listing.id, report);
        self.tell(effects);
    }

    /// Tells those who waited what became of their requests.
    fn tell(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let (waiter, outcome) = match effect {
                Effect::Granted(waiter, ticket) => (waiter, Ok(ticket)),
                Effect::Refused(waiter, refusal) => (waiter, Err(refusal)),
            };
            if let Some(sender) = self.waiters.remove(&waiter) {
                // A receiver that is gone withdraws its request, and returns its grant, itself.
                let _ = sender.send(outcome);
            }
        }
    }
}

enum Pending {
    Refused(Refusal),
    Queued(Waiter, oneshot::Receiver<Result<Ticket, Refusal>>),
}

/// A request that waits; dropped, it is withdrawn and what it was granted is taken back.
struct Waiting<'a> {
    handle: &'a Handle,
    upstream: id::Upstream,
    waiter: Waiter,
    receiver: oneshot::Receiver<Result<Ticket, Refusal>>,
}

impl Waiting<'_> {
    async fn outcome(mut self) -> Result<Ticket, Refusal> {
        let outcome = (&mut self.receiver).await;
        outcome.unwrap_or(Err(Refusal::Closed))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.handle.withdraw(&self.upstream, self.waiter);
        if let Ok(Ok(ticket)) = self.receiver.try_recv() {
            self.handle.give_back(&self.upstream, ticket);
        }
    }
}

fn granted(ticket: Ticket) -> frame::Reply {
    frame::Reply::Granted {
        ticket: ticket.0,
        valid_ms: GRANT_MS,
    }
}

fn refused(refusal: Refusal) -> Error {
    match refusal {
        Refusal::Closed => Error::new(Kind::UpstreamUnavailable, "the upstream takes no new work"),
        Refusal::Busy(ms) => {
            Error::new(Kind::Overloaded, "no slot comes free in time").retry_after(ms)
        }
    }
}

async fn release(shared: &Shared, listing: &Listing, program: &str) {
    if listing.role != Role::Engine {
        return;
    }
    for _ in 0..RELEASE_TRIES {
        if shared
            .client
            .release(listing.address, program)
            .await
            .is_ok()
        {
            return;
        }
        sleep(RELEASE_PAUSE).await;
    }
    event!(shared.log, Event::ReleaseFailed, "upstream" => %listing.id, "program" => program);
}
