//! Polls the state of the components and logs its changes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilramp_core::id;
use basilramp_wire::operator::Instance;
use tokio::time::{MissedTickBehavior, interval};

use crate::log::{self, Event, event};
use crate::{commit, config, membership, upstream};

const POLL_INTERVAL_MS: u64 = 1_000;

/// The components whose state is polled.
#[derive(Debug)]
pub(crate) struct Sources {
    pub(crate) commit: commit::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) config: config::Handle,
    pub(crate) upstreams: upstream::Handle,
    pub(crate) log: log::Handle,
}

/// State at the last poll.
#[derive(Debug, Default)]
struct LastState {
    is_valid: bool,
    partitions: usize,
    version: u64,
    /// Incarnation and state by instance id.
    peers: BTreeMap<String, (u64, String)>,
    /// Whether each listed upstream accepts work.
    upstreams: BTreeMap<id::Upstream, bool>,
    store: StoreState,
}

/// Commit statistics at the last poll, and the start of an outage of the table service.
#[derive(Debug, Default)]
struct StoreState {
    transactions: u64,
    retries: u64,
    unknown: u64,
    conflicts: u64,
    down_since: Option<Instant>,
}

/// Polls and logs until the process exits.
pub(crate) async fn run(sources: Sources) {
    let mut last = LastState::default();
    let mut ticks = interval(Duration::from_millis(POLL_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        last.log_lease_changes(&sources);
        last.log_peer_changes(&sources);
        last.log_config_changes(&sources);
        last.log_upstream_changes(&sources);
        last.store.log_changes(&sources);
    }
}

impl LastState {
    fn log_lease_changes(&mut self, sources: &Sources) {
        let is_valid = sources.membership.is_valid();
        if is_valid && !self.is_valid {
            let incarnation = sources.membership.incarnation().unwrap_or_default();
            event!(sources.log, Event::LeaseAcquired, "incarnation" => incarnation.0);
        }
        if !is_valid && self.is_valid {
            event!(sources.log, Event::LeaseLapsed);
        }
        self.is_valid = is_valid;
        let partitions = sources.membership.owned_count();
        if partitions != self.partitions {
            event!(sources.log, Event::PartitionsChanged,
                "before" => self.partitions, "now" => partitions);
        }
        self.partitions = partitions;
    }

    fn log_peer_changes(&mut self, sources: &Sources) {
        let own = sources.membership.own_id();
        let instances = sources.membership.instances();
        for instance in instances
            .iter()
            .filter(|instance| instance.id != own.as_str())
        {
            let now = (instance.incarnation, instance.state.clone());
            let before = self.peers.insert(instance.id.clone(), now.clone());
            if before.as_ref() != Some(&now) {
                log_peer(&sources.log, before.map(|before| before.0), instance);
            }
        }
    }

    fn log_config_changes(&mut self, sources: &Sources) {
        let version = sources.config.current().version;
        if version != self.version {
            event!(sources.log, Event::ConfigInForce, "version" => version);
        }
        self.version = version;
    }

    /// Logs upstreams that started or stopped accepting work.
    ///
    /// One that is removed from the list has stopped as well: it drained first, or its whole place
    /// was removed.
    fn log_upstream_changes(&mut self, sources: &Sources) {
        let now: BTreeMap<id::Upstream, bool> = sources.upstreams.query(|view| {
            let listed = view.iter();
            let open = listed.map(|listing| (listing.id.clone(), view.accepts_work(&listing.id)));
            open.collect()
        });
        for (upstream, is_open) in &now {
            let was_open = self.upstreams.get(upstream).copied().unwrap_or(false);
            if *is_open && !was_open {
                event!(sources.log, Event::UpstreamReady, "upstream" => %upstream);
            }
        }
        for (upstream, was_open) in &self.upstreams {
            let is_open = now.get(upstream).copied().unwrap_or(false);
            if *was_open && !is_open {
                event!(sources.log, Event::UpstreamLeaving, "upstream" => %upstream);
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

impl StoreState {
    /// Logs outages of the table service, unknown outcomes and conflicts.
    ///
    /// An outage starts with a retry while no transaction succeeds and ends with the next success.
    fn log_changes(&mut self, sources: &Sources) {
        let stats = sources.commit.stats();
        if stats.transactions > self.transactions {
            if let Some(since) = self.down_since.take() {
                let ms = since.elapsed().as_millis() as u64;
                event!(sources.log, Event::StoreUp, "ms" => ms);
            }
        } else if stats.retries > self.retries && self.down_since.is_none() {
            self.down_since = Some(Instant::now());
            event!(sources.log, Event::StoreDown, "queued" => stats.queued);
        }
        if stats.unknown > self.unknown {
            event!(sources.log, Event::CommitUnknown, "attempts" => stats.unknown - self.unknown);
        }
        if stats.conflicts > self.conflicts {
            let submissions = stats.conflicts - self.conflicts;
            event!(sources.log, Event::CommitConflict, "submissions" => submissions);
        }
        self.transactions = stats.transactions;
        self.retries = stats.retries;
        self.unknown = stats.unknown;
        self.conflicts = stats.conflicts;
    }
}
