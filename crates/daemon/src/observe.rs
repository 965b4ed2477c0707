//! Watches the parts from outside, and logs what changed in them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilramp_core::id;
use basilramp_wire::operator::Instance;
use tokio::time::{MissedTickBehavior, interval};

use crate::log::{self, Event, event};
use crate::{commit, config, membership, upstream};

/// Milliseconds between looks.
const LOOK_MS: u64 = 1_000;

/// What is watched.
#[derive(Debug)]
pub(crate) struct Parts {
    pub(crate) commit: commit::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) config: config::Handle,
    pub(crate) upstreams: upstream::Handle,
    pub(crate) log: log::Handle,
}

/// What was seen at the last look.
#[derive(Debug, Default)]
struct Seen {
    is_valid: bool,
    partitions: usize,
    version: u64,
    peers: BTreeMap<String, (u64, String)>,
    upstreams: BTreeMap<id::Upstream, bool>,
    store: Store,
}

/// What was seen of the table service.
#[derive(Debug, Default)]
struct Store {
    transactions: u64,
    retries: u64,
    unknown: u64,
    conflicts: u64,
    down_since: Option<Instant>,
}

/// Watches until the process ends.
pub(crate) async fn run(parts: Parts) {
    let mut seen = Seen::default();
    let mut ticks = interval(Duration::from_millis(LOOK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        seen.look_at_lease(&parts);
        seen.look_at_peers(&parts);
        seen.look_at_config(&parts);
        seen.look_at_upstreams(&parts);
        seen.store.look(&parts);
    }
}

impl Seen {
    fn look_at_lease(&mut self, parts: &Parts) {
        let is_valid = parts.membership.is_valid();
        if is_valid && !self.is_valid {
            let incarnation = parts.membership.incarnation().unwrap_or_default();
            event!(parts.log, Event::LeaseAcquired, "incarnation" => incarnation.0);
        }
        if !is_valid && self.is_valid {
            event!(parts.log, Event::LeaseLapsed);
        }
        self.is_valid = is_valid;
        let partitions = parts.membership.owned_count();
        if partitions != self.partitions {
            event!(parts.log, Event::PartitionsChanged,
                "before" => self.partitions, "now" => partitions);
        }
        self.partitions = partitions;
    }

    fn look_at_peers(&mut self, parts: &Parts) {
        let own = parts.membership.own_id();
        let instances = parts.membership.instances();
        for instance in instances.iter().filter(|one| one.id != own.as_str()) {
            let now = (instance.incarnation, instance.state.clone());
            let before = self.peers.insert(instance.id.clone(), now.clone());
            if before.as_ref() != Some(&now) {
                log_peer(&parts.log, before.map(|before| before.0), instance);
            }
        }
    }

    fn look_at_config(&mut self, parts: &Parts) {
        let version = parts.config.current().version;
        if version != self.version {
            event!(parts.log, Event::ConfigInForce, "version" => version);
        }
        self.version = version;
    }

    /// An upstream that has left the list has been leaving for a while, or is gone with its place.
    fn look_at_upstreams(&mut self, parts: &Parts) {
        let now: BTreeMap<id::Upstream, bool> = parts.upstreams.read(|view| {
            let listed = view.iter();
            let open = listed.map(|listing| (listing.id.clone(), view.accepts_work(&listing.id)));
            open.collect()
        });
        for (upstream, is_open) in &now {
            let was_open = self.upstreams.get(upstream).copied().unwrap_or(false);
            if *is_open && !was_open {
                event!(parts.log, Event::UpstreamReady, "upstream" => %upstream);
            }
        }
        for (upstream, was_open) in &self.upstreams {
            let is_open = now.get(upstream).copied().unwrap_or(false);
            if *was_open && !is_open {
                event!(parts.log, Event::UpstreamLeaving, "upstream" => %upstream);
            }
        }
        self.upstreams = now;
    }
}

fn log_peer(log: &log::Handle, incarnation: Option<u64>, peer: &Instance) {
    let event = match peer.state.as_str() {
        "live" if incarnation != Some(peer.incarnation) => Event::PeerJoined,
        "leaving" => Event::PeerLeaving,
        "fenced" => Event::PeerFenced,
        _ => return,
    };
    event!(log, event, "peer" => peer.id.as_str(), "incarnation" => peer.incarnation,
        "failure_domain" => peer.failure_domain.as_str());
}

impl Store {
    fn look(&mut self, parts: &Parts) {
        let stats = parts.commit.stats();
        if stats.transactions > self.transactions {
            if let Some(since) = self.down_since.take() {
                let ms = since.elapsed().as_millis() as u64;
                event!(parts.log, Event::StoreUp, "ms" => ms);
            }
        } else if stats.retries > self.retries && self.down_since.is_none() {
            self.down_since = Some(Instant::now());
            event!(parts.log, Event::StoreDown, "queued" => stats.queued);
        }
        if stats.unknown > self.unknown {
            event!(parts.log, Event::CommitUnknown, "attempts" => stats.unknown - self.unknown);
        }
        if stats.conflicts > self.conflicts {
            let submissions = stats.conflicts - self.conflicts;
            event!(parts.log, Event::CommitConflict, "submissions" => submissions);
        }
        self.transactions = stats.transactions;
        self.retries = stats.retries;
        self.unknown = stats.unknown;
        self.conflicts = stats.conflicts;
    }
}
