//! Slots at upstreams: asks the homes, on behalf of calls of the programs owned here.
//!
//! A model's candidates are the engines that report it loaded, under the name
//! `model@version` or `model@version+adapter`. A plain service's candidates
//! are the listed services whose group is the first segment of the configured
//! path, or the service's own name.

mod ask;
mod digest;

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

use crate::clock::Source;
use crate::{config, home, membership, peer, upstream};

/// What a call needs.
#[derive(Clone, Debug)]
pub(crate) struct Want {
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
    pub(crate) from: From,
}

/// Who granted a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum From {
    /// This instance.
    Here,
    /// The home, another instance.
    Home(membership::Peer),
    /// The standby, another instance, since the home was out of reach.
    Standby(membership::Peer),
}

/// How a call ended at its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It was answered whole.
    Done(Usage),
    /// It was never sent, or cancelled by this side.
    Cancelled,
    /// The upstream failed.
    Failed,
}

/// Upstreams that are asked for a free slot before the call waits at the best.
const FREE_TRIES: usize = 3;

/// Milliseconds that a call waits at one upstream before it looks for a better one.
const STAY_MS: u64 = 2_000;

/// Time after which a call looks again where there is no upstream.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// Milliseconds for which a call waits for an upstream to appear.
const APPEAR_MS: u64 = 2_000;

/// Milliseconds within which the upstreams of a lost instance have a new home.
const HOME_MOVE_MS: u64 = 10_000;

/// Milliseconds after which a call that found no upstream is worth sending again.
const RETRY_MS: u64 = 1_000;

/// Asks for slots and gives them back.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    homes: home::Handle,
    upstreams: upstream::Handle,
    members: membership::Handle,
    config: config::Handle,
    peers: peer::Client,
    clock: Source,
}

#[derive(Debug)]
struct Table {
    board: Placer,
    uses: BTreeMap<id::Account, BTreeMap<id::Service, Time>>,
    turn: usize,
}

/// Opens the asking side, which reads the homes' digests periodically.
///
/// `cache_weight` is what a millisecond of wasted prefill counts against one of waiting.
pub(crate) fn open(
    homes: home::Handle,
    upstreams: upstream::Handle,
    members: membership::Handle,
    config: config::Handle,
    peers: peer::Client,
    clock: Source,
    cache_weight: f64,
) -> Handle {
    let table = Table {
        board: Placer::new(cache_weight),
        uses: BTreeMap::new(),
        turn: 0,
    };
    let shared = Shared {
        table: Mutex::new(table),
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
    tokio::spawn(digest::read_own(handle.clone()));
    tokio::spawn(digest::read_peers(handle.clone()));
    handle
}

impl Handle {
    /// Waits for a slot at the best upstream for the call.
    ///
    /// # Errors
    ///
    /// Nothing is sent to an upstream; every error says that the call was not run.
    pub(crate) async fn acquire(&self, want: &Want) -> Result<Grant, Error> {
        let offers = self.offers(&want.service)?;
        self.note_use(want);
        let start = Instant::now();
        let mut without_choice = None;
        let mut busy = None;
        loop {
            let waited_ms = start.elapsed().as_millis() as u64;
            let left_ms = want.wait_ms.saturating_sub(waited_ms);
            let choices = self.rank(want, &offers.names);
            if choices.is_empty() {
                let since = *without_choice.get_or_insert(waited_ms);
                if waited_ms - since >= self.appear_ms(want, &offers) {
                    return Err(unavailable(&want.service));
                }
            } else {
                without_choice = None;
            }
            match self.try_choices(want, &choices, waited_ms).await {
                Ok(grant) => return Ok(grant),
                Err(refusal) => busy = refusal.retry_after_ms.or(busy),
            }
            if left_ms == 0 {
                let error = Error::new(Kind::Overloaded, "no slot in time");
                return Err(error.retry_after(busy.unwrap_or(RETRY_MS)));
            }
            sleep(LOOK_AGAIN).await;
        }
    }

    /// Returns how long a call without any choice waits: longer if an upstream that may serve it
    /// is listed, but has no home that tells of it, as after the loss of an instance.
    fn appear_ms(&self, want: &Want, offers: &Offers) -> u64 {
        let may_serve = |listing: &Listing| {
            let offered = listing.role == Role::Engine || offers.names.contains(&listing.group);
            listing.role == offers.role && offered
        };
        let listed: Vec<id::Upstream> = self.shared.upstreams.read(|view| {
            let open = view.accepting_work().filter(|listing| may_serve(listing));
            open.map(|listing| listing.id.clone()).collect()
        });
        let table = self.table();
        let untold = listed
            .iter()
            .any(|upstream| table.board.state(upstream).is_none());
        let limit = if untold { HOME_MOVE_MS } else { APPEAR_MS };
        limit.min(want.wait_ms)
    }

    /// Gives a slot back.
    pub(crate) fn give_back(&self, grant: Grant, end: End) {
        let usage = match end {
            End::Done(usage) => Some(usage),
            End::Cancelled | End::Failed => None,
        };
        if let Some(usage) = usage {
            let tokens = usage.prompt + usage.output;
            let mut table = self.table();
            table
                .board
                .record_served(grant.program, &grant.upstream, tokens);
        }
        let back = frame::Return {
            upstream: grant.upstream.to_string(),
            ticket: grant.ticket,
            usage,
            failed: end == End::Failed,
        };
        self.send_back(&grant, back);
    }

    /// Returns the capacity that is ready for a service.
    pub(crate) fn capacity(&self, service: &id::Service) -> Capacity {
        let Ok(offers) = self.offers(service) else {
            return Capacity::default();
        };
        let table = self.table();
        let capacity = offers.names.iter().map(|offer| table.board.capacity(offer));
        capacity
            .max_by_key(|capacity| capacity.slots)
            .unwrap_or_default()
    }

    /// Returns how many upstreams have a model ready.
    pub(crate) fn ready(&self, model: &str) -> u32 {
        self.table().board.capacity(model).upstreams
    }

    /// Returns the services that an account called since a point in time.
    pub(crate) fn services(&self, account: &id::Account, since: Time) -> Vec<id::Service> {
        let mut table = self.table();
        let Some(uses) = table.uses.get_mut(account) else {
            return Vec::new();
        };
        uses.retain(|_, at| *at >= since);
        uses.keys().cloned().collect()
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        let table = self.shared.table.lock();
        table.unwrap_or_else(PoisonError::into_inner)
    }

    fn note_use(&self, want: &Want) {
        let now = self.shared.clock.now();
        let mut table = self.table();
        let uses = table.uses.entry(want.account.clone()).or_default();
        uses.insert(want.service.clone(), now);
    }

    /// Returns how upstreams may offer a service.
    fn offers(&self, service: &id::Service) -> Result<Offers, Error> {
        let config = self.shared.config.current();
        let known = config.services.get(service);
        let known = known.ok_or_else(|| Error::new(Kind::NotFound, "no such service"))?;
        Ok(offers(service, &known.target))
    }

    fn rank(&self, want: &Want, offers: &[Arc<str>]) -> Vec<Candidate> {
        let table = self.table();
        let ranked = offers.iter().flat_map(|offer| {
            let call = PlacementRequest {
                program: want.program,
                offer,
                prompt: want.prompt,
                excluded: &want.avoid,
            };
            table.board.rank(&call)
        });
        let open = |choice: &Candidate| {
            let view = &self.shared.upstreams;
            view.read(|view| view.accepts_work(&choice.upstream))
        };
        ranked.filter(open).collect()
    }

    /// Asks the best upstreams for a free slot, then waits at the one that is free first.
    async fn try_choices(
        &self,
        want: &Want,
        choices: &[Candidate],
        waited_ms: u64,
    ) -> Result<Grant, Error> {
        let left_ms = want.wait_ms.saturating_sub(waited_ms);
        let mut best: Option<(u64, &Candidate)> = None;
        for choice in choices.iter().take(FREE_TRIES) {
            let wait_ms = choice.cached_prefill_ms.min(left_ms);
            let refusal = match self.ask(want, choice, wait_ms, waited_ms).await {
                Ok(grant) => return Ok(grant),
                Err(refusal) => refusal,
            };
            let Some(busy_ms) = refusal.retry_after_ms else {
                continue;
            };
            if best.is_none_or(|(ms, _)| busy_ms < ms) {
                best = Some((busy_ms, choice));
            }
        }
        let Some((_, choice)) = best else {
            return Err(unavailable(&want.service));
        };
        let wait_ms = left_ms.min(STAY_MS);
        self.ask(want, choice, wait_ms, waited_ms).await
    }
}

/// How upstreams may offer a service.
struct Offers {
    role: Role,
    names: Vec<Arc<str>>,
}

fn offers(service: &id::Service, target: &Target) -> Offers {
    if let Target::Plain { path, .. } = target {
        let path = path.trim_start_matches('/');
        let group = path.split('/').next().unwrap_or("");
        let own = Some(service.as_str()).filter(|own| *own != group);
        let names = std::iter::once(group).chain(own);
        return Offers {
            role: Role::Service,
            names: names.map(Arc::from).collect(),
        };
    }
    let model = model_of(target).map(Arc::from);
    Offers {
        role: Role::Engine,
        names: model.into_iter().collect(),
    }
}

/// Returns the name of a service's model as engines know it, if it has one.
pub(crate) fn model_of(target: &Target) -> Option<String> {
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

fn unavailable(service: &id::Service) -> Error {
    let message = format!("no upstream is ready for {service}");
    Error::new(Kind::UpstreamUnavailable, message).retry_after(RETRY_MS)
}
