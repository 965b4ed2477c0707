//! Acquires slots at upstreams from their homes, for calls of the programs owned here.
//!
//! For a model, the candidates are the engines that report it as loaded, under
//! the name `model@version` or `model@version+adapter`. For a plain service, the
//! candidates are the listed services whose group is the first segment of the
//! configured path, or the service's own name.

mod digest;
mod request;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_core::placement::{Candidate, Capacity, PlacementRequest, Placer};
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::api::Usage;
use basilramp_wire::config::Target;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::{config, home, membership, peer_client, upstream};

/// A request for a slot, made for one call.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    /// The calling program.
    pub(crate) program: id::Program,
    /// The program's account.
    pub(crate) account: id::Account,
    /// The called service.
    pub(crate) service: id::Service,
    /// Tokens of service that the program has received so far.
    pub(crate) attained: u64,
    /// Maximum prompt tokens of the call.
    pub(crate) prompt: u64,
    /// Maximum output tokens of the call.
    pub(crate) output: u64,
    /// Maximum time that the call may wait for a slot, in milliseconds.
    pub(crate) wait_ms: u64,
    /// Upstreams that must not be chosen.
    pub(crate) avoid: Vec<id::Upstream>,
}

/// A slot granted at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// The program that the slot was granted to.
    pub(crate) program: id::Program,
    /// The upstream.
    pub(crate) upstream: id::Upstream,
    /// The address to which calls are sent.
    pub(crate) address: SocketAddr,
    /// Identifies the grant at the instance that made it.
    pub(crate) ticket: u64,
    /// The engine's epoch as last polled by its home; `None` for plain services and engines that
    /// did not respond.
    pub(crate) epoch: Option<u64>,
    /// The instance that granted the slot.
    pub(crate) granter: Granter,
}

/// The instance that granted a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Granter {
    /// This instance.
    Local,
    /// The upstream's home, which is another instance.
    Home(membership::Peer),
    /// The upstream's standby, which is another instance, because the home was unavailable.
    Standby(membership::Peer),
}

/// The outcome of a call at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The response was received in full.
    Completed(Usage),
    /// The call was never sent, or was cancelled by this instance.
    Cancelled,
    /// The upstream failed.
    Failed,
}

/// Upstreams that are tried for a free slot before the call queues at the one with the shortest
/// wait.
const MAX_FREE_SLOT_REQUESTS: usize = 3;

/// Milliseconds that a call queues at one upstream before the upstreams are ranked again.
const MAX_WAIT_PER_UPSTREAM_MS: u64 = 2_000;

/// Delay before a call without a slot ranks the upstreams again.
const RERANK_DELAY: Duration = Duration::from_millis(100);

/// Milliseconds that a call waits for an upstream to become available.
const NO_UPSTREAM_TIMEOUT_MS: u64 = 2_000;

/// Milliseconds that a call waits if a listed upstream has no home, which covers the time until
/// the upstreams of a lost instance get a new one.
const HOME_FAILOVER_TIMEOUT_MS: u64 = 10_000;

/// Retry delay sent to callers when no upstream is ready, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Acquires and releases slots.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<PlacementState>,
    homes: home::Handle,
    upstreams: upstream::Handle,
    members: membership::Handle,
    config: config::Handle,
    peers: peer_client::Client,
    clock: Clock,
}

#[derive(Debug)]
struct PlacementState {
    placer: Placer,
    /// When each account last called each service.
    last_calls: BTreeMap<id::Account, BTreeMap<id::Service, Time>>,
    /// The index of the first peer whose digests are read next.
    next_peer: usize,
}

/// Opens the handle and starts the tasks that read the homes' digests periodically.
///
/// `cache_weight` is the cost of a millisecond of repeated prefill relative to a millisecond of
/// waiting.
pub(crate) fn spawn(
    homes: home::Handle,
    upstreams: upstream::Handle,
    members: membership::Handle,
    config: config::Handle,
    peers: peer_client::Client,
    clock: Clock,
    cache_weight: f64,
) -> Handle {
    let state = PlacementState {
        placer: Placer::new(cache_weight),
        last_calls: BTreeMap::new(),
        next_peer: 0,
    };
    let shared = Shared {
        state: Mutex::new(state),
        homes,
        upstreams,
        members,
        config,
        peers,
        clock,
    };
    let handle = Handle {
        shared: Arc::new(shared),
    };
    tokio::spawn(digest::run_local_refresh(handle.clone()));
    tokio::spawn(digest::run_peer_refresh(handle.clone()));
    handle
}

impl Handle {
    /// Waits for a slot at the best upstream for the call, up to `wait_ms` of the request.
    ///
    /// # Errors
    ///
    /// `NotFound` if the service does not exist, `UpstreamUnavailable` if no upstream is ready for
    /// it, `Overloaded` if no slot became free in time. Nothing has been sent to an upstream, so the
    /// call was not run.
    pub(crate) async fn acquire(&self, request: &SlotRequest) -> Result<Grant, Error> {
        let selector = self.upstream_selector(&request.service)?;
        self.record_call(request);
        let start = Instant::now();
        let mut without_candidate_since = None;
        let mut retry_after_ms = None;
        loop {
            let waited_ms = start.elapsed().as_millis() as u64;
            let left_ms = request.wait_ms.saturating_sub(waited_ms);
            let candidates = self.rank_candidates(request, &selector.names);
            if candidates.is_empty() {
                let since = *without_candidate_since.get_or_insert(waited_ms);
                if waited_ms - since >= self.no_candidate_timeout_ms(request, &selector) {
                    return Err(no_upstream_ready(&request.service));
                }
            } else {
                without_candidate_since = None;
            }
            match self.request_best(request, &candidates, waited_ms).await {
                Ok(grant) => return Ok(grant),
                Err(rejection) => retry_after_ms = rejection.retry_after_ms.or(retry_after_ms),
            }
            if left_ms == 0 {
                let error = Error::new(Kind::Overloaded, "no slot became free in time");
                return Err(error.retry_after(retry_after_ms.unwrap_or(RETRY_AFTER_MS)));
            }
            sleep(RERANK_DELAY).await;
        }
    }

    /// Returns how long a call waits while no upstream can be chosen, in milliseconds.
    ///
    /// The limit is longer if a suitable upstream is listed but no home reports its state, as
    /// happens after the loss of an instance.
    fn no_candidate_timeout_ms(&self, request: &SlotRequest, selector: &UpstreamSelector) -> u64 {
        let may_serve = |listing: &Listing| {
            let offered = listing.role == Role::Engine || selector.names.contains(&listing.group);
            listing.role == selector.role && offered
        };
        let listed: Vec<id::Upstream> = self.shared.upstreams.query(|view| {
            let open = view.accepting_work().filter(|listing| may_serve(listing));
            open.map(|listing| listing.id.clone()).collect()
        });
        let state = self.state();
        let without_home = listed
            .iter()
            .any(|upstream| state.placer.state(upstream).is_none());
        let limit = if without_home {
            HOME_FAILOVER_TIMEOUT_MS
        } else {
            NO_UPSTREAM_TIMEOUT_MS
        };
        limit.min(request.wait_ms)
    }

    /// Releases a slot and reports the usage of the call to the upstream's home.
    pub(crate) fn release(&self, grant: Grant, outcome: CallOutcome) {
        let usage = match outcome {
            CallOutcome::Completed(usage) => Some(usage),
            CallOutcome::Cancelled | CallOutcome::Failed => None,
        };
        if let Some(usage) = usage {
            let tokens = usage.prompt + usage.output;
            let mut state = self.state();
            state
                .placer
                .record_served(grant.program, &grant.upstream, tokens);
        }
        let returned = frame::SlotReturn {
            upstream: grant.upstream.to_string(),
            ticket: grant.ticket,
            usage,
            failed: outcome == CallOutcome::Failed,
        };
        self.return_slot(&grant, returned);
    }

    /// Returns the ready capacity for a service: the largest among the names under which upstreams
    /// may offer it.
    pub(crate) fn capacity(&self, service: &id::Service) -> Capacity {
        let Ok(selector) = self.upstream_selector(service) else {
            return Capacity::default();
        };
        let state = self.state();
        let capacity = selector
            .names
            .iter()
            .map(|offer| state.placer.capacity(offer));
        capacity
            .max_by_key(|capacity| capacity.slots)
            .unwrap_or_default()
    }

    /// Returns the number of upstreams on which a model is ready.
    pub(crate) fn ready_upstreams(&self, model: &str) -> u32 {
        self.state().placer.capacity(model).upstreams
    }

    /// Returns the services that an account has called since a point in time, and discards older
    /// calls.
    pub(crate) fn services_called_since(
        &self,
        account: &id::Account,
        since: Time,
    ) -> Vec<id::Service> {
        let mut state = self.state();
        let Some(last_calls) = state.last_calls.get_mut(account) else {
            return Vec::new();
        };
        last_calls.retain(|_, at| *at >= since);
        last_calls.keys().cloned().collect()
    }

    fn state(&self) -> MutexGuard<'_, PlacementState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn record_call(&self, request: &SlotRequest) {
        let now = self.shared.clock.now();
        let mut state = self.state();
        let last_calls = state.last_calls.entry(request.account.clone()).or_default();
        last_calls.insert(request.service.clone(), now);
    }

    /// Returns the selector of the upstreams that may serve a service.
    fn upstream_selector(&self, service: &id::Service) -> Result<UpstreamSelector, Error> {
        let config = self.shared.config.current();
        let configured = config.services.get(service);
        let configured = configured.ok_or_else(|| Error::new(Kind::NotFound, "no such service"))?;
        Ok(selector_for_target(service, &configured.target))
    }

    fn rank_candidates(&self, request: &SlotRequest, offers: &[Arc<str>]) -> Vec<Candidate> {
        let state = self.state();
        let ranked = offers.iter().flat_map(|offer| {
            let call = PlacementRequest {
                program: request.program,
                offer,
                prompt: request.prompt,
                excluded: &request.avoid,
            };
            state.placer.rank(&call)
        });
        let open = |candidate: &Candidate| {
            let view = &self.shared.upstreams;
            view.query(|view| view.accepts_work(&candidate.upstream))
        };
        ranked.filter(open).collect()
    }

    /// Requests a free slot from the best upstreams, then queues at the one with the shortest wait.
    ///
    /// Each of the first requests waits no longer than the prefill time that the upstream's cached
    /// prefix saves.
    async fn request_best(
        &self,
        request: &SlotRequest,
        candidates: &[Candidate],
        waited_ms: u64,
    ) -> Result<Grant, Error> {
        let left_ms = request.wait_ms.saturating_sub(waited_ms);
        let mut best: Option<(u64, &Candidate)> = None;
        for candidate in candidates.iter().take(MAX_FREE_SLOT_REQUESTS) {
            let wait_ms = candidate.cached_prefill_ms.min(left_ms);
            let rejection = match self
                .request_slot(request, candidate, wait_ms, waited_ms)
                .await
            {
                Ok(grant) => return Ok(grant),
                Err(rejection) => rejection,
            };
            let Some(queue_ms) = rejection.retry_after_ms else {
                continue;
            };
            if best.is_none_or(|(ms, _)| queue_ms < ms) {
                best = Some((queue_ms, candidate));
            }
        }
        let Some((_, candidate)) = best else {
            return Err(no_upstream_ready(&request.service));
        };
        let wait_ms = left_ms.min(MAX_WAIT_PER_UPSTREAM_MS);
        self.request_slot(request, candidate, wait_ms, waited_ms)
            .await
    }
}

/// Selects the upstreams that may serve a service, by role and by any of the names.
struct UpstreamSelector {
    role: Role,
    names: Vec<Arc<str>>,
}

fn selector_for_target(service: &id::Service, target: &Target) -> UpstreamSelector {
    if let Target::Plain { path, .. } = target {
        let path = path.trim_start_matches('/');
        let group = path.split('/').next().unwrap_or("");
        let own = Some(service.as_str()).filter(|own| *own != group);
        let names = std::iter::once(group).chain(own);
        return UpstreamSelector {
            role: Role::Service,
            names: names.map(Arc::from).collect(),
        };
    }
    let model = engine_model_name(target).map(Arc::from);
    UpstreamSelector {
        role: Role::Engine,
        names: model.into_iter().collect(),
    }
}

/// Returns the model name that engines report for a service's model, or `None` for a plain service.
pub(crate) fn engine_model_name(target: &Target) -> Option<String> {
    let Target::Model {
        model,
        adapter,
        version,
    } = target
    else {
        return None;
    };
    Some(match adapter {
        Some(adapter) => format!("{model}@{version}+{adapter}"),
        None => format!("{model}@{version}"),
    })
}

fn no_upstream_ready(service: &id::Service) -> Error {
    let message = format!("no upstream is ready for {service}");
    Error::new(Kind::UpstreamUnavailable, message).retry_after(RETRY_AFTER_MS)
}
