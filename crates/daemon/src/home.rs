//! Homes of upstreams: grants and queues, loads and caches, for those homed here.

pub(crate) mod authority;
mod poll;
mod table;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use basilramp_core::home::{
    Authority, GRANT_TTL_MS, Rejection, SlotRequest, SlotResponse, Ticket, Waiter,
};
use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::engine::Load;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame;
use tokio::sync::oneshot;

use crate::clock::Source;
use crate::control::Client;
use crate::{log, membership, release, upstream};
use table::{Outcome, Table};

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

/// Starts the homes of this instance, which poll their engines every `poll_ms` milliseconds.
pub(crate) fn spawn(
    upstreams: upstream::Handle,
    members: membership::Handle,
    poll_ms: u64,
    clock: Source,
    log: log::Handle,
) -> Handle {
    let shared = Shared {
        table: Mutex::new(Table::new(rand::random::<u64>() >> 1)),
        upstreams,
        members,
        client: Client::open(),
        clock,
        log,
    };
    let handle = Handle {
        shared: Arc::new(shared),
    };
    tokio::spawn(poll::run(handle.clone(), poll_ms));
    tokio::spawn(poll::expire(handle.clone()));
    handle
}

impl Handle {
    /// Grants a slot, or waits for one as long as the asker does.
    ///
    /// A grant whose asker goes away while it waits is taken back.
    pub(crate) async fn grant(&self, grant: frame::Grant) -> Result<frame::Reply, Error> {
        let program = grant.program.parse();
        let program = program.map_err(|_| Error::new(Kind::BadRequest, "not a program id"))?;
        let upstream = id::Upstream::new(grant.upstream);
        let ask = SlotRequest {
            program,
            account: id::Account::new(grant.account),
            attained: grant.attained,
            cached: false,
            wait_ms: grant.wait_ms,
            waited_ms: grant.waited_ms,
        };
        let waiting = match self.ask(&upstream, ask) {
            Pending::Granted(ticket) => return Ok(self.granted(&upstream, ticket)),
            Pending::Refused(refusal) => return Err(refused(refusal)),
            Pending::Queued(waiter, receiver) => Waiting {
                handle: self,
                upstream: upstream.clone(),
                waiter,
                receiver,
            },
        };
        let ticket = waiting.outcome().await.map_err(refused)?;
        Ok(self.granted(&upstream, ticket))
    }

    fn granted(&self, upstream: &id::Upstream, ticket: Ticket) -> frame::Reply {
        frame::Reply::Granted {
            ticket: ticket.0,
            valid_ms: GRANT_TTL_MS,
            epoch: self.load(upstream).map(|load| load.epoch),
        }
    }

    /// Takes a slot back.
    pub(crate) fn take_back(&self, back: frame::Return) {
        let upstream = id::Upstream::new(back.upstream);
        self.give_back(&upstream, Ticket(back.ticket));
    }

    /// Returns what is known of the upstreams homed here.
    pub(crate) fn digests(&self) -> Vec<frame::Digest> {
        self.table().digests()
    }

    /// Returns the engines homed here.
    pub(crate) fn engines(&self) -> Vec<Listing> {
        let homed: Vec<_> = {
            let table = self.table();
            let homed = table.home.upstreams();
            let homed = homed.filter(|(_, authority)| *authority == Authority::Home);
            homed.map(|(upstream, _)| upstream.clone()).collect()
        };
        let listings = homed.iter().filter_map(|id| self.shared.upstreams.get(id));
        listings
            .filter(|listing| listing.role == Role::Engine)
            .collect()
    }

    /// Returns what an engine homed here reported last, if it answers.
    pub(crate) fn load(&self, upstream: &id::Upstream) -> Option<Load> {
        self.table().load(upstream).cloned()
    }

    /// Has an upstream let go of what it holds for a program, with retries.
    pub(crate) fn release(&self, upstream: &str, program: &str) {
        let Some(listing) = self.shared.upstreams.get(&id::Upstream::new(upstream)) else {
            return;
        };
        let client = self.shared.client.clone();
        let log = self.shared.log.clone();
        tokio::spawn(release::run(client, listing, program.to_owned(), log));
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        let table = self.shared.table.lock();
        table.unwrap_or_else(PoisonError::into_inner)
    }

    fn ask(&self, upstream: &id::Upstream, ask: SlotRequest) -> Pending {
        if !self
            .shared
            .upstreams
            .read(|view| view.accepts_work(upstream))
        {
            return Pending::Refused(Rejection::Closed);
        }
        let now = self.shared.clock.now();
        let mut table = self.table();
        let cached = table.holds(now, upstream, ask.program);
        match table
            .home
            .request_slot(now, upstream, &SlotRequest { cached, ..ask })
        {
            SlotResponse::Granted(ticket) => Pending::Granted(ticket),
            SlotResponse::Rejected(refusal) => Pending::Refused(refusal),
            SlotResponse::Queued(waiter) => Pending::Queued(waiter, table.expect(waiter)),
        }
    }

    fn give_back(&self, upstream: &id::Upstream, ticket: Ticket) {
        let now = self.shared.clock.now();
        let mut table = self.table();
        let effects = table.home.release(now, upstream, ticket);
        table.tell(effects);
    }
}

/// What became of a request so far.
enum Pending {
    Granted(Ticket),
    Refused(Rejection),
    Queued(Waiter, oneshot::Receiver<Outcome>),
}

/// A request that waits; dropped, it is withdrawn and what it was granted is taken back.
struct Waiting<'a> {
    handle: &'a Handle,
    upstream: id::Upstream,
    waiter: Waiter,
    receiver: oneshot::Receiver<Outcome>,
}

impl Waiting<'_> {
    async fn outcome(mut self) -> Outcome {
        let outcome = (&mut self.receiver).await;
        outcome.unwrap_or(Err(Rejection::Closed))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.handle.table().withdraw(&self.upstream, self.waiter);
        if let Ok(Ok(ticket)) = self.receiver.try_recv() {
            self.handle.give_back(&self.upstream, ticket);
        }
    }
}

fn refused(refusal: Rejection) -> Error {
    match refusal {
        Rejection::Closed => {
            Error::new(Kind::UpstreamUnavailable, "the upstream takes no new work")
        }
        Rejection::Busy(ms) => {
            Error::new(Kind::Overloaded, "no slot comes free in time").retry_after(ms)
        }
    }
}
