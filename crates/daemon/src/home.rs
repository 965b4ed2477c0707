//! Homes of upstreams: grants slots, and tracks the load and cache, for the upstreams whose home or
//! standby is this instance.

pub(crate) mod authority;
mod poll;
mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use basilramp_core::home::{
    Authority, GRANT_TTL_MS, Rejection, SlotRequest, SlotResponse, Ticket, Waiter,
};
use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::engine::LoadReport;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::engine_control::Client;
use crate::{cache_release, log, membership, upstream};
use state::{HomeState, Outcome};

/// Grants slots at the upstreams homed here, and reports their state.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<HomeState>,
    upstreams: upstream::Handle,
    members: membership::Handle,
    client: Client,
    clock: Clock,
    log: log::Handle,
}

/// Starts the homes of this instance and polls their engines every `poll_ms` milliseconds.
pub(crate) fn spawn(
    upstreams: upstream::Handle,
    members: membership::Handle,
    poll_ms: u64,
    clock: Clock,
    log: log::Handle,
) -> Handle {
    let shared = Shared {
        state: Mutex::new(HomeState::new(rand::random::<u64>() >> 1)),
        upstreams,
        members,
        client: Client::new(),
        clock,
        log,
    };
    let handle = Handle {
        shared: Arc::new(shared),
    };
    tokio::spawn(poll::run(handle.clone(), poll_ms));
    tokio::spawn(poll::run_expiry(handle.clone()));
    handle
}

impl Handle {
    /// Grants a slot, queueing up to the request's `wait_ms` milliseconds.
    ///
    /// If the future is dropped while queued, the request is cancelled and a slot that was granted
    /// meanwhile is released.
    ///
    /// # Errors
    ///
    /// `BadRequest` for a malformed program id, `UpstreamUnavailable` if the upstream takes no new
    /// work, `Overloaded` if no slot becomes free in time.
    pub(crate) async fn grant(&self, grant: frame::SlotRequest) -> Result<frame::Reply, Error> {
        let program = grant.program.parse();
        let program = program.map_err(|_| Error::new(Kind::BadRequest, "not a program id"))?;
        let upstream = id::Upstream::new(grant.upstream);
        let request = SlotRequest {
            program,
            account: id::Account::new(grant.account),
            attained: grant.attained,
            cached: false,
            wait_ms: grant.wait_ms,
            waited_ms: grant.waited_ms,
        };
        let queued = match self.request_slot(&upstream, request) {
            RequestStatus::Granted(ticket) => return Ok(self.granted_reply(&upstream, ticket)),
            RequestStatus::Rejected(rejection) => return Err(rejection_error(rejection)),
            RequestStatus::Queued(waiter, receiver) => QueuedRequest {
                handle: self,
                upstream: upstream.clone(),
                waiter,
                receiver,
            },
        };
        let ticket = queued.outcome().await.map_err(rejection_error)?;
        Ok(self.granted_reply(&upstream, ticket))
    }

    fn granted_reply(&self, upstream: &id::Upstream, ticket: Ticket) -> frame::Reply {
        frame::Reply::Granted {
            ticket: ticket.0,
            valid_ms: GRANT_TTL_MS,
            epoch: self.last_load(upstream).map(|load| load.epoch),
        }
    }

    /// Releases a slot that the caller returned.
    pub(crate) fn release_slot(&self, returned: frame::SlotReturn) {
        let upstream = id::Upstream::new(returned.upstream);
        self.release(&upstream, Ticket(returned.ticket));
    }

    /// Returns a digest of each upstream homed here.
    pub(crate) fn digests(&self) -> Vec<frame::UpstreamDigest> {
        self.state().digests()
    }

    /// Returns the engines homed here.
    pub(crate) fn engines(&self) -> Vec<Listing> {
        let homed: Vec<_> = {
            let state = self.state();
            let homed = state.home.upstreams();
            let homed = homed.filter(|(_, authority)| *authority == Authority::Home);
            homed.map(|(upstream, _)| upstream.clone()).collect()
        };
        let listings = homed.iter().filter_map(|id| self.shared.upstreams.get(id));
        listings
            .filter(|listing| listing.role == Role::Engine)
            .collect()
    }

    /// Returns the last load report of an engine homed here, unless the last poll failed.
    pub(crate) fn last_load(&self, upstream: &id::Upstream) -> Option<LoadReport> {
        self.state().last_load(upstream).cloned()
    }

    /// Requests an upstream to release what it holds for a program, with retries in the background.
    pub(crate) fn release_program(&self, upstream: &str, program: &str) {
        let Some(listing) = self.shared.upstreams.get(&id::Upstream::new(upstream)) else {
            return;
        };
        let client = self.shared.client.clone();
        let log = self.shared.log.clone();
        tokio::spawn(cache_release::release_with_retries(
            client,
            listing,
            program.to_owned(),
            log,
        ));
    }

    fn state(&self) -> MutexGuard<'_, HomeState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn request_slot(&self, upstream: &id::Upstream, request: SlotRequest) -> RequestStatus {
        if !self
            .shared
            .upstreams
            .query(|view| view.accepts_work(upstream))
        {
            return RequestStatus::Rejected(Rejection::Closed);
        }
        let now = self.shared.clock.now();
        let mut state = self.state();
        let cached = state.is_cached(now, upstream, request.program);
        match state
            .home
            .request_slot(now, upstream, &SlotRequest { cached, ..request })
        {
            SlotResponse::Granted(ticket) => RequestStatus::Granted(ticket),
            SlotResponse::Rejected(rejection) => RequestStatus::Rejected(rejection),
            SlotResponse::Queued(waiter) => {
                RequestStatus::Queued(waiter, state.register_waiter(waiter))
            }
        }
    }

    fn release(&self, upstream: &id::Upstream, ticket: Ticket) {
        let now = self.shared.clock.now();
        let mut state = self.state();
        let effects = state.home.release(now, upstream, ticket);
        state.notify_waiters(effects);
    }
}

/// The immediate result of a slot request.
enum RequestStatus {
    Granted(Ticket),
    Rejected(Rejection),
    Queued(Waiter, oneshot::Receiver<Outcome>),
}

/// A queued slot request. Dropping it cancels the request and releases a slot granted to it.
struct QueuedRequest<'a> {
    handle: &'a Handle,
    upstream: id::Upstream,
    waiter: Waiter,
    receiver: oneshot::Receiver<Outcome>,
}

impl QueuedRequest<'_> {
    async fn outcome(mut self) -> Outcome {
        let outcome = (&mut self.receiver).await;
        outcome.unwrap_or(Err(Rejection::Closed))
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.handle
            .state()
            .cancel_waiter(&self.upstream, self.waiter);
        if let Ok(Ok(ticket)) = self.receiver.try_recv() {
            self.handle.release(&self.upstream, ticket);
        }
    }
}

fn rejection_error(rejection: Rejection) -> Error {
    match rejection {
        Rejection::Closed => {
            Error::new(Kind::UpstreamUnavailable, "the upstream takes no new work")
        }
        Rejection::Busy(ms) => {
            Error::new(Kind::Overloaded, "no slot becomes free in time").retry_after(ms)
        }
    }
}
