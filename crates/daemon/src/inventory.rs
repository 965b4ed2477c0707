//! Lists upstreams for operators, from the platform's endpoint list and the digests of all homes.

use std::collections::BTreeMap;

use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role};
use basilramp_wire::frame::{Body, Reply, UpstreamDigest};
use basilramp_wire::operator::Upstream;
use tokio::task::JoinSet;

use crate::{home, membership, peer_client, upstream};

/// Builds the operators' list of upstreams.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    pub(crate) upstreams: upstream::Handle,
    pub(crate) homes: home::Handle,
    pub(crate) membership: membership::Handle,
    pub(crate) peers: peer_client::Client,
}

impl Handle {
    /// Returns every upstream of the platform's list, ordered by id, with the state that its home
    /// reports.
    pub(crate) async fn list_upstreams(&self) -> Vec<Upstream> {
        let digests = self.fetch_digests().await;
        let listings: Vec<(Listing, bool)> = self.upstreams.query(|view| {
            let listed = view.iter();
            listed
                .map(|listing| (listing.clone(), view.accepts_work(&listing.id)))
                .collect()
        });
        let upstreams = listings.iter().map(|(listing, accepts_work)| {
            let digest = digests.get(listing.id.as_str());
            self.describe(listing, *accepts_work, digest)
        });
        upstreams.collect()
    }

    /// Returns whether an upstream is on the platform's list.
    pub(crate) fn is_listed(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some()
    }

    /// Fetches the digests of all homes from the live instances, by upstream.
    ///
    /// Instances that can't be reached are left out.
    async fn fetch_digests(&self) -> BTreeMap<String, UpstreamDigest> {
        let own = self.membership.own_id();
        let mut queries = JoinSet::new();
        for peer in self.membership.live_instances() {
            if peer.id == own {
                continue;
            }
            let peers = self.peers.clone();
            queries.spawn(async move { peers.request(&peer, Body::Digests).await });
        }
        let mut digests = self.homes.digests();
        while let Some(response) = queries.join_next().await {
            if let Ok(Ok(Reply::Digests(received))) = response {
                digests.extend(received);
            }
        }
        digests
            .into_iter()
            .map(|digest| (digest.upstream.clone(), digest))
            .collect()
    }

    fn describe(
        &self,
        listing: &Listing,
        accepts_work: bool,
        digest: Option<&UpstreamDigest>,
    ) -> Upstream {
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
            state: state_label(accepts_work, digest).to_owned(),
            running: slots.saturating_sub(free),
            slots,
            models: digest.map_or_else(Vec::new, |digest| digest.models.clone()),
        }
    }
}

/// Returns the state shown to operators; an upstream whose home sent no digest is down.
fn state_label(accepts_work: bool, digest: Option<&UpstreamDigest>) -> &'static str {
    match digest {
        None => "down",
        Some(digest) if digest.leaving || !accepts_work => "leaving",
        Some(_) => "ready",
    }
}
