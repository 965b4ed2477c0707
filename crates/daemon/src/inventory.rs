//! The upstreams as operators see them: the platform's list and what each home knows.

use std::collections::BTreeMap;

use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::frame::{Body, Reply, UpstreamDigest};
use basilramp_wire::operator::Upstream;
use tokio::task::JoinSet;

use crate::{home, membership, peer, upstream};

/// Lists upstreams.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    pub(crate) view: upstream::Handle,
    pub(crate) homes: home::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) peers: peer::Client,
}

impl Handle {
    /// Returns every upstream on the list, by id, with what its home knows now.
    pub(crate) async fn upstreams(&self) -> Vec<Upstream> {
        let digests = self.digests().await;
        let listings: Vec<(Listing, bool)> = self.view.read(|view| {
            let all = view.iter();
            all.map(|listing| (listing.clone(), view.accepts_work(&listing.id)))
                .collect()
        });
        let described = listings.iter().map(|(listing, open)| {
            let digest = digests.get(listing.id.as_str());
            self.describe(listing, *open, digest)
        });
        described.collect()
    }

    /// Tells whether an upstream is on the list.
    pub(crate) fn is_listed(&self, upstream: &id::Upstream) -> bool {
        self.view.get(upstream).is_some()
    }

    /// Asks every live instance for the digests of its homes.
    async fn digests(&self) -> BTreeMap<String, UpstreamDigest> {
        let own = self.membership.own_id();
        let mut asks = JoinSet::new();
        for peer in self.membership.live_instances() {
            if peer.id == own {
                continue;
            }
            let peers = self.peers.clone();
            asks.spawn(async move { peers.ask(&peer, Body::Digests).await });
        }
        let mut digests = self.homes.digests();
        while let Some(answer) = asks.join_next().await {
            if let Ok(Ok(Reply::Digests(more))) = answer {
                digests.extend(more);
            }
        }
        digests
            .into_iter()
            .map(|digest| (digest.upstream.clone(), digest))
            .collect()
    }

    fn describe(&self, listing: &Listing, open: bool, digest: Option<&UpstreamDigest>) -> Upstream {
        let home = self.membership.home(&listing.id);
        let slots = digest.map_or(0, |digest| digest.slots);
        let free = digest.map_or(0, |digest| digest.free);
        Upstream {
            id: listing.id.to_string(),
            role: match listing.role {
                Role::Engine => "engine".to_owned(),
                Role::Service => "service".to_owned(),
            },
            place: listing.place.to_string(),
            address: listing.address.to_string(),
            home: home.map_or_else(String::new, |home| home.id.to_string()),
            state: state(open, digest).to_owned(),
            running: slots.saturating_sub(free),
            slots,
            models: digest.map_or_else(Vec::new, |digest| digest.models.clone()),
        }
    }
}

fn state(open: bool, digest: Option<&UpstreamDigest>) -> &'static str {
    match digest {
        None => "down",
        Some(digest) if digest.leaving || !open => "leaving",
        Some(_) => "ready",
    }
}
