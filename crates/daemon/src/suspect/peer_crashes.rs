//! Asks the other instances for crashes that they could not store yet.

use std::time::Duration;

use basilramp_core::history::Digest;
use basilramp_wire::frame::{Body, Reply};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::timeout;

use crate::{membership, peer_client};

/// Time within which an instance has to answer. One that does not is taken to have no crash: it may
/// have died, and then its crash is lost in any case.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Queries the crashes of other instances.
#[derive(Clone, Debug)]
pub(crate) struct PeerCrashes {
    membership: membership::Handle,
    peers: peer_client::Client,
}

impl PeerCrashes {
    pub(crate) fn new(membership: membership::Handle, peers: peer_client::Client) -> Self {
        Self { membership, peers }
    }

    /// Returns whether another instance has seen the request crash an upstream and has not stored
    /// the crash yet. Fenced instances are asked as well: an instance whose writes the store delays
    /// is fenced.
    pub(super) async fn any_unrecorded(&self, fingerprint: Digest) -> bool {
        let known = self.membership.known_peers().into_iter();
        let mut answers: FuturesUnordered<_> = known
            .map(|peer| {
                let fingerprint = fingerprint.to_string();
                async move {
                    let body = Body::UnrecordedCrash { fingerprint };
                    let request = self.peers.request(&peer, body);
                    matches!(
                        timeout(ANSWER_TIMEOUT, request).await,
                        Ok(Ok(Reply::UnrecordedCrash(true)))
                    )
                }
            })
            .collect();
        while let Some(is_unrecorded) = answers.next().await {
            if is_unrecorded {
                return true;
            }
        }
        false
    }
}
