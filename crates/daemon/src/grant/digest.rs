//! Keeps the board up to date from the homes' digests.

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

/// Time between two reads of the own homes' digests.
const OWN_PERIOD: Duration = Duration::from_millis(100);

/// Time between two reads of peers' digests.
const PEER_PERIOD: Duration = Duration::from_millis(500);

/// Peers whose digests are read in one period; the next period goes on with others.
const PEERS_AT_ONCE: usize = 16;

/// Reads the digests of the homes at this instance, again and again.
pub(super) async fn read_own(handle: Handle) {
    let mut ticks = interval(OWN_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        handle.refresh();
    }
}

/// Reads the digests of other instances, again and again.
pub(super) async fn read_peers(handle: Handle) {
    let mut ticks = interval(PEER_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        handle.read_peers().await;
    }
}

impl Handle {
    /// Brings the board in line with the list and with all digests.
    fn refresh(&self) {
        let own = self.shared.homes.digests();
        let own: BTreeMap<_, _> = own.into_iter().map(by_upstream).collect();
        let open: Vec<Listing> = self
            .shared
            .upstreams
            .read(|view| view.accepting_work().cloned().collect());
        let mut table = self.table();
        let open: BTreeMap<_, _> = open
            .into_iter()
            .map(|listing| (listing.id.clone(), listing))
            .collect();
        table.board.retain(|upstream| open.contains_key(upstream));
        for (upstream, listing) in &open {
            match own.get(upstream) {
                Some(digest) if digest.leaving => table.board.remove(upstream),
                Some(digest) => table.board.set(upstream, state(listing, digest)),
                None => {}
            }
        }
    }

    async fn read_peers(&self) {
        let own = self.shared.members.own();
        let mut others = self.shared.members.live();
        others.retain(|peer| peer.id != own);
        if others.is_empty() {
            return;
        }
        let count = others.len().min(PEERS_AT_ONCE);
        let turn = self.next_turn(count, others.len());
        let mut asks = JoinSet::new();
        for peer in others.iter().cycle().skip(turn).take(count) {
            let peers = self.shared.peers.clone();
            let peer = peer.clone();
            asks.spawn(async move { peers.ask(&peer, Body::Digests).await });
        }
        while let Some(answer) = asks.join_next().await {
            if let Ok(Ok(Reply::Digests(digests))) = answer {
                self.note(digests);
            }
        }
    }

    fn next_turn(&self, count: usize, others: usize) -> usize {
        let mut table = self.table();
        let turn = table.turn % others;
        table.turn = (turn + count) % others;
        turn
    }

    fn note(&self, digests: Vec<frame::Digest>) {
        for (upstream, digest) in digests.into_iter().map(by_upstream) {
            self.shared.upstreams.report(&upstream, digest.leaving);
            let open = self
                .shared
                .upstreams
                .read(|view| view.accepts_work(&upstream));
            let Some(listing) = self.shared.upstreams.get(&upstream).filter(|_| open) else {
                continue;
            };
            self.table().board.set(&upstream, state(&listing, &digest));
        }
    }
}

fn by_upstream(digest: frame::Digest) -> (id::Upstream, frame::Digest) {
    (id::Upstream::new(digest.upstream.as_str()), digest)
}

fn state(listing: &Listing, digest: &frame::Digest) -> UpstreamState {
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
