//! Updates the placement state from the homes' digests of their upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use basilramp_core::id;
use basilramp_core::placement::UpstreamState;
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::frame::{self, Body, Reply};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use super::Handle;

/// Time between two reads of the digests of this instance's homes.
const LOCAL_REFRESH_PERIOD: Duration = Duration::from_millis(100);

/// Time between two reads of the peers' digests.
const PEER_REFRESH_PERIOD: Duration = Duration::from_millis(500);

/// Maximum number of peers whose digests are read in one period. Successive periods rotate through
/// the peers.
const MAX_PEERS_PER_PERIOD: usize = 16;

/// Reads the digests of this instance's homes periodically.
pub(super) async fn run_local_refresh(handle: Handle) {
    let mut ticks = interval(LOCAL_REFRESH_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        handle.refresh_local();
    }
}

/// Reads the digests of the other instances periodically.
pub(super) async fn run_peer_refresh(handle: Handle) {
    let mut ticks = interval(PEER_REFRESH_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        handle.refresh_peers().await;
    }
}

impl Handle {
    /// Removes upstreams that are not open from the placement state, and updates those whose home
    /// is this instance.
    fn refresh_local(&self) {
        let own = self.shared.homes.digests();
        let own: BTreeMap<_, _> = own.into_iter().map(with_upstream_id).collect();
        let open: Vec<Listing> = self
            .shared
            .upstreams
            .query(|view| view.accepting_work().cloned().collect());
        let mut state = self.state();
        let open: BTreeMap<_, _> = open
            .into_iter()
            .map(|listing| (listing.id.clone(), listing))
            .collect();
        state.placer.retain(|upstream| open.contains_key(upstream));
        for (upstream, listing) in &open {
            match own.get(upstream) {
                Some(digest) if digest.leaving => state.placer.remove(upstream),
                Some(digest) => state.placer.set(upstream, upstream_state(listing, digest)),
                None => {}
            }
        }
    }

    async fn refresh_peers(&self) {
        let own = self.shared.members.own_id();
        let mut others = self.shared.members.live_instances();
        others.retain(|peer| peer.id != own);
        if others.is_empty() {
            return;
        }
        let count = others.len().min(MAX_PEERS_PER_PERIOD);
        let offset = self.next_peer_offset(count, others.len());
        let mut requests = JoinSet::new();
        for peer in others.iter().cycle().skip(offset).take(count) {
            let peers = self.shared.peers.clone();
            let peer = peer.clone();
            requests.spawn(async move { peers.request(&peer, Body::Digests).await });
        }
        while let Some(reply) = requests.join_next().await {
            if let Ok(Ok(Reply::Digests(digests))) = reply {
                self.record_digests(digests);
            }
        }
    }

    fn next_peer_offset(&self, count: usize, others: usize) -> usize {
        let mut state = self.state();
        let offset = state.next_peer % others;
        state.next_peer = (offset + count) % others;
        offset
    }

    fn record_digests(&self, digests: Vec<frame::UpstreamDigest>) {
        for (upstream, digest) in digests.into_iter().map(with_upstream_id) {
            self.shared
                .upstreams
                .set_draining(&upstream, digest.leaving);
            let open = self
                .shared
                .upstreams
                .query(|view| view.accepts_work(&upstream));
            let Some(listing) = self.shared.upstreams.get(&upstream).filter(|_| open) else {
                continue;
            };
            self.state()
                .placer
                .set(&upstream, upstream_state(&listing, &digest));
        }
    }
}

fn with_upstream_id(digest: frame::UpstreamDigest) -> (id::Upstream, frame::UpstreamDigest) {
    (id::Upstream::new(digest.upstream.as_str()), digest)
}

fn upstream_state(listing: &Listing, digest: &frame::UpstreamDigest) -> UpstreamState {
    let offers = match listing.role {
        Role::Engine => digest
            .models
            .iter()
            .map(|model| Arc::from(model.as_str()))
            .collect(),
        Role::Service => vec![Arc::clone(&listing.group)],
    };
    UpstreamState {
        offers,
        slots: digest.slots,
        free: digest.free,
        wait_ms: digest.wait_ms,
        cached_tokens: digest.cached_tokens,
        cache_tokens: digest.cache_tokens,
    }
}
