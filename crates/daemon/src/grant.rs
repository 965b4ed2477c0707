//! Slots at upstreams: asks the homes, on behalf of calls of the programs owned here.
//!
//! A model's candidates are the engines that report it loaded, under the name
//! `model@version` or `model@version+adapter`. A plain service's candidates
//! are the listed services whose group is the first segment of the configured
//! path, or the service's own name.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::api::Usage;
use basilramp_wire::config::Target;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{self, Body, Reply};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

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
    /// The upstream.
    pub(crate) upstream: id::Upstream,
    /// Where it takes calls.
    pub(crate) address: SocketAddr,
    /// Names the grant at the upstream's home.
    pub(crate) ticket: u64,
    /// The home that granted it; nothing if that is this instance.
    pub(crate) home: Option<membership::Peer>,
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

/// Time between two reads of the other homes' digests.
const DIGEST_PERIOD: Duration = Duration::from_millis(500);

/// Peers whose digests are read in one period.
const DIGEST_PEERS: usize = 16;

/// Candidates that are asked for a slot at once before the call waits at the best.
const FIRST_TRIES: usize = 3;

/// Milliseconds that a call waits for the upstream that served its program last, before others
/// are asked.
const STICKY_WAIT_MS: u64 = 200;

/// The longest that a call waits for an upstream that can take it to show.
const CANDIDATE_WAIT_MS: u64 = 2_000;

/// Time between two looks for such an upstream.
const CANDIDATE_POLL_MS: u64 = 50;

/// Milliseconds after which a call that found no upstream is worth sending again.
const RETRY_MS: u64 = 1_000;

/// Asks for slots and gives them back.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    board: Mutex<Board>,
    homes: home::Handle,
    upstreams: upstream::Handle,
    members: membership::Handle,
    config: config::Handle,
    peers: peer::Client,
}

#[derive(Debug, Default)]
struct Board {
    digests: BTreeMap<id::Upstream, frame::Digest>,
    last: BTreeMap<id::Program, id::Upstream>,
    turn: usize,
}

/// Opens the asking side, which reads the other homes' digests periodically.
pub(crate) fn open(
    homes: home::Handle,
    upstreams: upstream::Handle,
    members: membership::Handle,
    config: config::Handle,
    peers: peer::Client,
) -> Handle {
    let shared = Shared {
        board: Mutex::default(),
        homes,
        upstreams,
        members,
        config,
        peers,
    };
    let handle = Handle {
        shared: Arc::new(shared),
    };
    tokio::spawn(read_digests(handle.clone()));
    handle
}

async fn read_digests(handle: Handle) {
    let mut ticks = interval(DIGEST_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        handle.read_digests().await;
    }
}

impl Handle {
    /// Waits for a slot at the best upstream for the call.
    ///
    /// Nothing is sent to an upstream; every error says that the call was not run.
    pub(crate) async fn acquire(&self, want: &Want) -> Result<Grant, Error> {
        let mut candidates = self.await_candidates(want).await?;
        let deadline = Instant::now() + Duration::from_millis(want.wait_ms);
        let mut least = None;
        for candidate in candidates.iter_mut().take(FIRST_TRIES) {
            let wait_ms = if candidate.last { STICKY_WAIT_MS } else { 0 };
            let wait_ms = wait_ms.min(want.wait_ms);
            match self.ask(want, candidate, wait_ms).await {
                Ok(grant) => return Ok(grant),
                Err(refusal) => candidate.wait_ms = refusal.retry_after_ms,
            }
        }
        candidates.retain(|candidate| candidate.wait_ms.is_some());
        candidates.sort_by_key(|candidate| candidate.wait_ms);
        for candidate in &candidates {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.ask(want, candidate, left.as_millis() as u64).await {
                Ok(grant) => return Ok(grant),
                Err(refusal) => least = least.or(refusal.retry_after_ms),
            }
        }
        match least {
            Some(ms) => Err(Error::new(Kind::Overloaded, "no slot in time").retry_after(ms)),
            None => Err(unavailable(&want.service)),
        }
    }

    /// Gives a slot back.
    pub(crate) fn give_back(&self, grant: Grant, end: End) {
        let back = frame::Return {
            upstream: grant.upstream.to_string(),
            ticket: grant.ticket,
            usage: match end {
                End::Done(usage) => Some(usage),
                End::Cancelled | End::Failed => None,
            },
            failed: end == End::Failed,
        };
        let Some(home) = grant.home else {
            self.shared.homes.take_back(back);
            return;
        };
        let peers = self.shared.peers.clone();
        tokio::spawn(async move {
            // A home that can't be told voids the grant in time.
            let _ = peers.ask(&home, Body::Return(back)).await;
        });
    }

    /// Forgets where a program was served.
    pub(crate) fn forget(&self, program: id::Program) {
        self.board().last.remove(&program);
    }

    fn board(&self) -> MutexGuard<'_, Board> {
        let board = self.shared.board.lock();
        board.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the upstreams that can take the call, and waits a little for the first to show.
    ///
    /// An instance that has just started does not know any yet.
    async fn await_candidates(&self, want: &Want) -> Result<Vec<Candidate>, Error> {
        let wait_ms = want.wait_ms.min(CANDIDATE_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            match self.candidates(want) {
                Err(error) if error.kind == Kind::UpstreamUnavailable => {
                    if Instant::now() >= deadline {
                        return Err(error);
                    }
                }
                settled => return settled,
            }
            sleep(Duration::from_millis(CANDIDATE_POLL_MS)).await;
        }
    }

    /// Returns the upstreams that can take the call, best first.
    fn candidates(&self, want: &Want) -> Result<Vec<Candidate>, Error> {
        let config = self.shared.config.current();
        let service = config.services.get(&want.service);
        let service = service.ok_or_else(|| Error::new(Kind::NotFound, "no such service"))?;
        let wanted = Wanted::new(&want.service, &service.target);
        let listings: Vec<_> = self.shared.upstreams.read(|view| {
            let open = view.open().filter(|listing| wanted.role() == listing.role);
            open.filter(|listing| !want.avoid.contains(&listing.id))
                .cloned()
                .collect()
        });
        let own: BTreeMap<_, _> = self
            .shared
            .homes
            .digests()
            .into_iter()
            .map(|digest| (id::Upstream::new(digest.upstream.as_str()), digest))
            .collect();
        let board = self.board();
        let last = board.last.get(&want.program);
        let mut candidates: Vec<_> = listings
            .into_iter()
            .filter_map(|listing| {
                let digest = own
                    .get(&listing.id)
                    .or_else(|| board.digests.get(&listing.id));
                if !wanted.fits(&listing, digest) {
                    return None;
                }
                let candidate = Candidate {
                    last: Some(&listing.id) == last,
                    wait_ms: Some(digest.map_or(0, |digest| digest.wait_ms)),
                    free: digest.map_or(0, |digest| digest.free),
                    spread: spread(want.program, &listing.id),
                    upstream: listing.id,
                    address: listing.address,
                };
                Some(candidate)
            })
            .collect();
        if candidates.is_empty() {
            return Err(unavailable(&want.service));
        }
        candidates.sort_by_key(|candidate| {
            (
                !candidate.last,
                candidate.wait_ms,
                Reverse(candidate.free),
                candidate.spread,
            )
        });
        Ok(candidates)
    }

    /// Asks the home of a candidate for a slot.
    ///
    /// A slot that is granted after the asker went away is given back.
    async fn ask(&self, want: &Want, candidate: &Candidate, wait_ms: u64) -> Result<Grant, Error> {
        let home = self.shared.members.home(&candidate.upstream);
        let home = home.ok_or_else(|| unavailable(&want.service))?;
        let body = frame::Grant {
            upstream: candidate.upstream.to_string(),
            program: want.program.to_string(),
            account: want.account.to_string(),
            attained: want.attained,
            prompt: want.prompt,
            output: want.output,
            wait_ms,
        };
        let ticket = if home.id == self.shared.members.own() {
            let reply = self.shared.homes.grant(body).await?;
            (ticket(reply)?, None)
        } else {
            (self.ask_peer(&home, candidate, body).await?, Some(home))
        };
        self.board()
            .last
            .insert(want.program, candidate.upstream.clone());
        Ok(Grant {
            upstream: candidate.upstream.clone(),
            address: candidate.address,
            ticket: ticket.0,
            home: ticket.1,
        })
    }

    async fn ask_peer(
        &self,
        home: &membership::Peer,
        candidate: &Candidate,
        body: frame::Grant,
    ) -> Result<u64, Error> {
        let handle = self.clone();
        let home = home.clone();
        let upstream = candidate.upstream.clone();
        let address = candidate.address;
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let reply = handle.shared.peers.ask(&home, Body::Grant(body)).await;
            let outcome = reply.and_then(ticket);
            let Err(Ok(ticket)) = sender.send(outcome) else {
                return;
            };
            let grant = Grant {
                upstream,
                address,
                ticket,
                home: Some(home),
            };
            handle.give_back(grant, End::Cancelled);
        });
        receiver
            .await
            .unwrap_or_else(|_| Err(Error::new(Kind::UpstreamUnavailable, "no answer")))
    }

    /// Reads the digests of the next few peers.
    async fn read_digests(&self) {
        let own = self.shared.members.own();
        let mut others = self.shared.members.live();
        others.retain(|peer| peer.id != own);
        if others.is_empty() {
            return;
        }
        let turn = self.board().turn;
        let count = others.len().min(DIGEST_PEERS);
        self.board().turn = (turn + count) % others.len();
        let mut asks = JoinSet::new();
        for peer in others.iter().cycle().skip(turn % others.len()).take(count) {
            let peer = peer.clone();
            let peers = self.shared.peers.clone();
            asks.spawn(async move { peers.ask(&peer, Body::Digests).await });
        }
        while let Some(answer) = asks.join_next().await {
            if let Ok(Ok(Reply::Digests(digests))) = answer {
                self.note(digests);
            }
        }
    }

    fn note(&self, digests: Vec<frame::Digest>) {
        for digest in digests {
            let upstream = id::Upstream::new(digest.upstream.as_str());
            self.shared.upstreams.report(&upstream, digest.leaving);
            self.board().digests.insert(upstream, digest);
        }
    }
}

/// An upstream that can take a call.
#[derive(Clone, Debug)]
struct Candidate {
    upstream: id::Upstream,
    address: SocketAddr,
    last: bool,
    wait_ms: Option<u64>,
    free: u32,
    spread: u64,
}

/// What an upstream must offer.
enum Wanted {
    Model(String),
    Group(String, String),
}

impl Wanted {
    fn new(service: &id::Service, target: &Target) -> Self {
        match target {
            Target::Model {
                model,
                adapter,
                version,
            } => Self::Model(model_name(model, version, adapter.as_deref())),
            Target::Plain { path, .. } => {
                let path = path.trim_start_matches('/');
                let first = path.split('/').next().unwrap_or("");
                Self::Group(first.to_owned(), service.to_string())
            }
        }
    }

    const fn role(&self) -> Role {
        match self {
            Self::Model(_) => Role::Engine,
            Self::Group(..) => Role::Service,
        }
    }

    fn fits(&self, listing: &Listing, digest: Option<&frame::Digest>) -> bool {
        match self {
            Self::Model(name) => digest.is_some_and(|digest| digest.models.contains(name)),
            Self::Group(first, service) => *first == *listing.group || *service == *listing.group,
        }
    }
}

/// Returns a model's name as engines know it.
pub(crate) fn model_name(model: &str, version: &str, adapter: Option<&str>) -> String {
    match adapter {
        Some(adapter) => format!("{model}@{version}+{adapter}"),
        None => format!("{model}@{version}"),
    }
}

fn ticket(reply: Reply) -> Result<u64, Error> {
    match reply {
        Reply::Granted { ticket, .. } => Ok(ticket),
        Reply::Error(error) => Err(error),
        _ => Err(Error::new(Kind::UpstreamUnavailable, "unexpected reply")),
    }
}

fn unavailable(service: &id::Service) -> Error {
    let message = format!("no upstream is ready for {service}");
    Error::new(Kind::UpstreamUnavailable, message).retry_after(RETRY_MS)
}

/// Spreads programs over equal candidates, the same way at every instance.
fn spread(program: id::Program, upstream: &id::Upstream) -> u64 {
    let mut hash = DefaultHasher::new();
    program.hash(&mut hash);
    upstream.hash(&mut hash);
    hash.finish()
}
