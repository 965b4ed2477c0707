//! Requests a slot from an upstream's home or standby, and returns it to them.

use basilramp_core::id;
use basilramp_core::placement::Candidate;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{self, Body, Reply};
use tokio::sync::oneshot;

use super::{CallOutcome, Grant, Granter, Handle, SlotRequest, no_upstream_ready};
use crate::home::authority;
use crate::membership::Peer;

/// Returns whether a home sent no reply. A grant that it may have made expires by itself.
fn is_unavailable(error: &Error) -> bool {
    matches!(error.kind, Kind::OwnerUnavailable | Kind::Interrupted)
}

/// Milliseconds added to the wait that a rejection reports, so that another call can go first.
const REJECTED_WAIT_MARGIN_MS: u64 = 50;

impl Handle {
    /// Requests a slot from an upstream's home, or from its standby if the home is unavailable.
    pub(super) async fn request_slot(
        &self,
        request: &SlotRequest,
        candidate: &Candidate,
        wait_ms: u64,
        waited_ms: u64,
    ) -> Result<Grant, Error> {
        let body = frame::SlotRequest {
            upstream: candidate.upstream.to_string(),
            program: request.program.to_string(),
            account: request.account.to_string(),
            attained: request.attained,
            prompt: request.prompt,
            output: request.output,
            wait_ms,
            waited_ms,
        };
        let members = &self.shared.members;
        let home = members.home(&candidate.upstream);
        let home = home.ok_or_else(|| no_upstream_ready(&request.service))?;
        let own = members.own_id();
        let outcome = if home.id == own {
            self.request_locally(request.program, &candidate.upstream, body)
                .await
        } else {
            let outcome = self
                .request_from_peer(
                    request.program,
                    &candidate.upstream,
                    Granter::Home(home),
                    &body,
                )
                .await;
            match outcome {
                Err(error) if is_unavailable(&error) => {
                    self.request_from_standby(request.program, &candidate.upstream, body)
                        .await
                }
                outcome => outcome,
            }
        };
        self.record_outcome(request, &candidate.upstream, &outcome);
        outcome
    }

    async fn request_locally(
        &self,
        program: id::Program,
        upstream: &id::Upstream,
        body: frame::SlotRequest,
    ) -> Result<Grant, Error> {
        let reply = self.shared.homes.grant(body).await?;
        self.grant_from_reply(program, upstream, Granter::Local, reply)
    }

    async fn request_from_standby(
        &self,
        program: id::Program,
        upstream: &id::Upstream,
        body: frame::SlotRequest,
    ) -> Result<Grant, Error> {
        let standby = authority::standby(&self.shared.members, upstream);
        let standby = standby.ok_or_else(no_home_reached)?;
        if standby.id == self.shared.members.own_id() {
            return self.request_locally(program, upstream, body).await;
        }
        self.request_from_peer(program, upstream, Granter::Standby(standby), &body)
            .await
    }

    /// Requests a slot from a peer.
    ///
    /// The request runs in its own task: if the caller is dropped meanwhile, a slot that is granted
    /// later is released.
    async fn request_from_peer(
        &self,
        program: id::Program,
        upstream: &id::Upstream,
        granter: Granter,
        body: &frame::SlotRequest,
    ) -> Result<Grant, Error> {
        let (Granter::Home(peer) | Granter::Standby(peer)) = &granter else {
            return Err(no_home_reached());
        };
        let (handle, peer, body) = (self.clone(), peer.clone(), body.clone());
        let (upstream, granter) = (upstream.clone(), granter.clone());
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let reply = handle.shared.peers.request(&peer, Body::Grant(body)).await;
            let outcome =
                reply.and_then(|reply| handle.grant_from_reply(program, &upstream, granter, reply));
            if let Err(Ok(grant)) = sender.send(outcome) {
                handle.release(grant, CallOutcome::Cancelled);
            }
        });
        receiver.await.unwrap_or_else(|_| Err(no_home_reached()))
    }

    fn grant_from_reply(
        &self,
        program: id::Program,
        upstream: &id::Upstream,
        granter: Granter,
        reply: Reply,
    ) -> Result<Grant, Error> {
        let (ticket, epoch) = match reply {
            Reply::Granted { ticket, epoch, .. } => (ticket, epoch),
            Reply::Error(error) => return Err(error),
            _ => return Err(no_home_reached()),
        };
        let listing = self.shared.upstreams.get(upstream);
        let address = listing.map(|listing| listing.address);
        Ok(Grant {
            program,
            upstream: upstream.clone(),
            address: address.ok_or_else(no_home_reached)?,
            ticket,
            epoch,
            granter,
        })
    }

    /// Updates the placement state from a reply, until the home's next digest replaces it.
    fn record_outcome(
        &self,
        request: &SlotRequest,
        upstream: &id::Upstream,
        outcome: &Result<Grant, Error>,
    ) {
        let mut state = self.state();
        match outcome {
            Ok(_) => {
                let known = state.placer.state(upstream);
                let free = known.map_or(0, |known| known.free.saturating_sub(1));
                let wait_ms = known.map_or(0, |known| known.wait_ms);
                state.placer.observe_wait(upstream, free, wait_ms);
                let tokens = request.prompt + request.output;
                state
                    .placer
                    .record_served(request.program, upstream, tokens);
            }
            Err(error) => match error.retry_after_ms {
                Some(ms) if error.kind == Kind::Overloaded => {
                    state
                        .placer
                        .observe_wait(upstream, 0, ms + REJECTED_WAIT_MARGIN_MS);
                }
                _ => state.placer.remove(upstream),
            },
        }
    }

    /// Returns a slot to the instance that granted it, and also to the upstream's home if the home
    /// has moved since.
    pub(super) fn return_slot(&self, grant: &Grant, returned: frame::SlotReturn) {
        let own = self.shared.members.own_id();
        let home = self.shared.members.home(&grant.upstream);
        let granter = match &grant.granter {
            Granter::Local => None,
            Granter::Home(peer) | Granter::Standby(peer) => Some(peer.clone()),
        };
        let granter_id = granter.as_ref().map_or(&own, |peer| &peer.id);
        let by_standby = matches!(grant.granter, Granter::Standby(_));
        let moved = home.filter(|home| home.id != *granter_id && !by_standby);
        for peer in granter.iter().chain(moved.iter()) {
            if peer.id != own {
                self.send_return(peer.clone(), returned.clone());
            }
        }
        if granter.is_none() || moved.is_some_and(|home| home.id == own) {
            self.shared.homes.release_slot(returned);
        }
    }

    /// Sends the return to a peer. If the peer is unavailable, the grant expires there.
    fn send_return(&self, peer: Peer, returned: frame::SlotReturn) {
        let peers = self.shared.peers.clone();
        tokio::spawn(async move {
            let _ = peers.request(&peer, Body::Return(returned)).await;
        });
    }
}

fn no_home_reached() -> Error {
    Error::new(
        Kind::UpstreamUnavailable,
        "the upstream's home is unavailable",
    )
}
