//! Slots at upstreams: asks the homes, on behalf of calls of the programs owned here.
//!
//! A model's candidates are the engines that report it loaded, under the name
//! `model@version` or `model@version+adapter`. A plain service's candidates
//! are the listed services whose group is the first segment of the configured
//! path, or the service's own name.

mod digest;
mod request;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use basilramp_core::clock::Time;
use basilramp_core::id;
use basilramp_core::placement::{Board, Call, Capacity, Choice};
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::api::Usage;
use basilramp_wire::config::Target;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame;
use tokio::time::sleep;

use crate::clock::Source;
use crate::{config, home, membership, peer, upstream};

/// What a call needs.
#[derive(Clone, Debug)]
pub(crate) struct SlotRequest {
    /// The program.
    pub(crate) program: id::Program,
    /// Its account.
    pub(crate) account: id::Account,
    /// The service called.
    pub(crate) service: id::Service,
    /// Tokens of service that the program has had.
    pub(crate) attained: u64,
    /// Prompt tokens of the call, at most.
    pub(crate) prompt: u64,
    /// Output tokens of the call, at most.
    pub(crate) output: u64,
    /// Milliseconds that the call may wait.
    pub(crate) wait_ms: u64,
    /// Upstreams that must not be chosen.
    pub(crate) avoid: Vec<id::Upstream>,
}

/// A slot at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// The program that it was granted for.
    pub(crate) program: id::Program,
    /// The upstream.
    pub(crate) upstream: id::Upstream,
    /// Where it takes calls.
    pub(crate) address: SocketAddr,
    /// Names the grant at the upstream's home.
    pub(crate) ticket: u64,
    /// The engine's epoch as its home last read it.
    pub(crate) epoch: Option<u64>,
    /// Who granted it.
    pub(crate) granter: Granter,
}

/// Who granted a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Granter {
    /// This instance.
    Local,
    /// The home, another instance.
    Home(membership::Peer),
    /// The standby, another instance, since the home was out of reach.
    Standby(membership::Peer),
}

/// How a call ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// It was answered whole.
    Completed(Usage),
    /// It was never sent, or cancelled by this side.
    Cancelled,
    /// The upstream failed.
    Failed,
}

/// Upstreams that are asked for a free slot before the call waits at the best.
const MAX_FREE_SLOT_REQUESTS: usize = 3;

/// Milliseconds that a call waits at one upstream before it looks for a better one.
const MAX_WAIT_PER_UPSTREAM_MS: u64 = 2_000;

/// Time after which a call looks again where there is no upstream.
const RERANK_DELAY: Duration = Duration::from_millis(100);

/// Milliseconds for which a call waits for an upstream to appear.
const NO_UPSTREAM_TIMEOUT_MS: u64 = 2_000;

/// Milliseconds within which the upstreams of a lost instance have a new home.
const HOME_FAILOVER_TIMEOUT_MS: u64 = 10_000;

/// Milliseconds after which a call that found no upstream is worth sending again.
const RETRY_AFTER_MS: u64 = 1_000;

/// Asks for slots and gives them back.
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
    peers: peer::Client,
    clock: Source,
}

#[derive(Debug)]
struct PlacementState {
    board: Board,
    last_calls: BTreeMap<id::Account, BTreeMap<id::Service, Time>>,
    next_peer: usize,
}

/// Opens the asking side, which reads the homes' digests periodically.
///
/// `cache_weight` is what a millisecond of wasted prefill counts against one of waiting.
pub(crate) fn spawn(
    homes: home::Handle,
    upstreams: upstream::Handle,
    members: membership::Handle,
    config: config::Handle,
    peers: peer::Client,
    clock: Source,
    cache_weight: f64,
) -> Handle {
    let state = PlacementState {
        board: Board::new(cache_weight),
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
    /// Waits for a slot at the best upstream for the call.
    ///
    /// # Errors
    ///
    /// Nothing is sent to an upstream; every error says that the call was not run.
    pub(crate) async fn acquire(&self, request: &SlotRequest) -> Result<Grant, Error> {
        let selector = self.upstream_selector(&request.service)?;
        self.record_call(request);
        let start = Instant::now();
        let mut without_choice_since = None;
        let mut retry_after_ms = None;
        loop {
            let waited_ms = start.elapsed().as_millis() as u64;
            let left_ms = request.wait_ms.saturating_sub(waited_ms);
            let choices = self.rank_upstreams(request, &selector.names);
            if choices.is_empty() {
                let since = *without_choice_since.get_or_insert(waited_ms);
                if waited_ms - since >= self.no_choice_timeout_ms(request, &selector) {
                    return Err(no_upstream_ready(&request.service));
                }
            } else {
                without_choice_since = None;
            }
            match self.request_best(request, &choices, waited_ms).await {
                Ok(grant) => return Ok(grant),
                Err(rejection) => retry_after_ms = rejection.retry_after_ms.or(retry_after_ms),
            }
            if left_ms == 0 {
                let error = Error::new(Kind::Overloaded, "no slot in time");
                return Err(error.retry_after(retry_after_ms.unwrap_or(RETRY_AFTER_MS)));
            }
            sleep(RERANK_DELAY).await;
        }
    }

    /// Returns how long a call without any choice waits: longer if an upstream that may serve it
    /// is listed, but has no home that tells of it, as after the loss of an instance.
    fn no_choice_timeout_ms(&self, request: &SlotRequest, selector: &UpstreamSelector) -> u64 {
        let may_serve = |listing: &Listing| {
            let offered = listing.role == Role::Engine || selector.names.contains(&listing.group);
            listing.role == selector.role && offered
        };
        let listed: Vec<id::Upstream> = self.shared.upstreams.read(|view| {
            let open = view.open().filter(|listing| may_serve(listing));
            open.map(|listing| listing.id.clone()).collect()
        });
        let state = self.state();
        let without_home = listed
            .iter()
            .any(|upstream| state.board.state(upstream).is_none());
        let limit = if without_home {
            HOME_FAILOVER_TIMEOUT_MS
        } else {
            NO_UPSTREAM_TIMEOUT_MS
        };
        limit.min(request.wait_ms)
    }

    /// Gives a slot back.
    pub(crate) fn release(&self, grant: Grant, outcome: CallOutcome) {
        let usage = match outcome {
            CallOutcome::Completed(usage) => Some(usage),
            CallOutcome::Cancelled | CallOutcome::Failed => None,
        };
        if let Some(usage) = usage {
            let tokens = usage.prompt + usage.output;
            let mut state = self.state();
            state
                .board
                .note_served(grant.program, &grant.upstream, tokens);
        }
        let returned = frame::Return {
            upstream: grant.upstream.to_string(),
            ticket: grant.ticket,
            usage,
            failed: outcome == CallOutcome::Failed,
        };
        self.return_slot(&grant, returned);
    }

    /// Returns the capacity that is ready for a service.
    pub(crate) fn capacity(&self, service: &id::Service) -> Capacity {
        let Ok(selector) = self.upstream_selector(service) else {
            return Capacity::default();
        };
        let state = self.state();
        let capacity = selector
            .names
            .iter()
            .map(|offer| state.board.capacity(offer));
        capacity
            .max_by_key(|capacity| capacity.slots)
            .unwrap_or_default()
    }

    /// Returns how many upstreams have a model ready.
    pub(crate) fn ready_upstreams(&self, model: &str) -> u32 {
        self.state().board.capacity(model).upstreams
    }

    /// Returns the services that an account called since a point in time.
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

    /// Returns how upstreams may offer a service.
    fn upstream_selector(&self, service: &id::Service) -> Result<UpstreamSelector, Error> {
        let config = self.shared.config.current();
        let known = config.services.get(service);
        let known = known.ok_or_else(|| Error::new(Kind::NotFound, "no such service"))?;
        Ok(selector_for_target(service, &known.target))
    }

    fn rank_upstreams(&self, request: &SlotRequest, offers: &[Arc<str>]) -> Vec<Choice> {
        let state = self.state();
        let ranked = offers.iter().flat_map(|offer| {
            let call = Call {
                program: request.program,
                offer,
                prompt: request.prompt,
                avoid: &request.avoid,
            };
            state.board.rank(&call)
        });
        let open = |choice: &Choice| {
            let view = &self.shared.upstreams;
            view.read(|view| view.is_open(&choice.upstream))
        };
        ranked.filter(open).collect()
    }

    /// Asks the best upstreams for a free slot, then waits at the one that is free first.
    async fn request_best(
        &self,
        request: &SlotRequest,
        choices: &[Choice],
        waited_ms: u64,
    ) -> Result<Grant, Error> {
        let left_ms = request.wait_ms.saturating_sub(waited_ms);
        let mut best: Option<(u64, &Choice)> = None;
        for choice in choices.iter().take(MAX_FREE_SLOT_REQUESTS) {
            let wait_ms = choice.saved_ms.min(left_ms);
            let rejection = match self.request_slot(request, choice, wait_ms, waited_ms).await {
                Ok(grant) => return Ok(grant),
                Err(rejection) => rejection,
            };
            let Some(queue_ms) = rejection.retry_after_ms else {
                continue;
            };
            if best.is_none_or(|(ms, _)| queue_ms < ms) {
                best = Some((queue_ms, choice));
            }
        }
        let Some((_, choice)) = best else {
            return Err(no_upstream_ready(&request.service));
        };
        let wait_ms = left_ms.min(MAX_WAIT_PER_UPSTREAM_MS);
        self.request_slot(request, choice, wait_ms, waited_ms).await
    }
}

/// How upstreams may offer a service.
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

/// Returns the name of a service's model as engines know it, if it has one.
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
