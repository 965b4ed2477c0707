//! Asks one home or standby for a slot, and tells them when it is given back.

use basilramp_core::id;
use basilramp_core::placement::Candidate;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{self, Body, Reply};
use tokio::sync::oneshot;

use super::{End, From, Grant, Handle, Want, unavailable};
use crate::home::authority;
use crate::membership::Peer;

/// Tells whether a home gave no answer. What it may have granted lapses by itself.
fn is_unreachable(error: &Error) -> bool {
    matches!(error.kind, Kind::OwnerUnavailable | Kind::Interrupted)
}

/// Milliseconds added to the wait that a home was asked for, to let another call go first.
const REFUSED_MS: u64 = 50;

impl Handle {
    /// Asks the home of an upstream for a slot, or the standby if the home is out of reach.
    pub(super) async fn ask(
        &self,
        want: &Want,
        choice: &Candidate,
        wait_ms: u64,
        waited_ms: u64,
    ) -> Result<Grant, Error> {
        let body = frame::Grant {
            upstream: choice.upstream.to_string(),
            program: want.program.to_string(),
            account: want.account.to_string(),
            attained: want.attained,
            prompt: want.prompt,
            output: want.output,
            wait_ms,
            waited_ms,
        };
        let members = &self.shared.members;
        let home = members.home(&choice.upstream);
        let home = home.ok_or_else(|| unavailable(&want.service))?;
        let own = members.own();
        let outcome = if home.id == own {
            self.ask_here(want.program, &choice.upstream, body).await
        } else {
            let outcome = self
                .ask_peer(want.program, &choice.upstream, From::Home(home), &body)
                .await;
            match outcome {
                Err(error) if is_unreachable(&error) => {
                    self.ask_standby(want.program, &choice.upstream, body).await
                }
                outcome => outcome,
            }
        };
        self.note_outcome(want, &choice.upstream, &outcome);
        outcome
    }

    async fn ask_here(
        &self,
        program: id::Program,
        upstream: &id::Upstream,
        body: frame::Grant,
    ) -> Result<Grant, Error> {
        let reply = self.shared.homes.grant(body).await?;
        self.granted(program, upstream, From::Here, reply)
    }

    async fn ask_standby(
        &self,
        program: id::Program,
        upstream: &id::Upstream,
        body: frame::Grant,
    ) -> Result<Grant, Error> {
        let standby = authority::standby(&self.shared.members, upstream);
        let standby = standby.ok_or_else(unreached)?;
        if standby.id == self.shared.members.own() {
            return self.ask_here(program, upstream, body).await;
        }
        self.ask_peer(program, upstream, From::Standby(standby), &body)
            .await
    }

    /// Asks a peer. A slot that is granted after the asker went away is given back.
    async fn ask_peer(
        &self,
        program: id::Program,
        upstream: &id::Upstream,
        from: From,
        body: &frame::Grant,
    ) -> Result<Grant, Error> {
        let (From::Home(peer) | From::Standby(peer)) = &from else {
            return Err(unreached());
        };
        let (handle, peer, body) = (self.clone(), peer.clone(), body.clone());
        let (upstream, from) = (upstream.clone(), from.clone());
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let reply = handle.shared.peers.ask(&peer, Body::Grant(body)).await;
            let outcome = reply.and_then(|reply| handle.granted(program, &upstream, from, reply));
            if let Err(Ok(grant)) = sender.send(outcome) {
                handle.give_back(grant, End::Cancelled);
            }
        });
        receiver.await.unwrap_or_else(|_| Err(unreached()))
    }

    fn granted(
        &self,
        program: id::Program,
        upstream: &id::Upstream,
        from: From,
        reply: Reply,
    ) -> Result<Grant, Error> {
        let (ticket, epoch) = match reply {
            Reply::Granted { ticket, epoch, .. } => (ticket, epoch),
            Reply::Error(error) => return Err(error),
            _ => return Err(unreached()),
        };
        let listing = self.shared.upstreams.get(upstream);
        let address = listing.map(|listing| listing.address);
        Ok(Grant {
            program,
            upstream: upstream.clone(),
            address: address.ok_or_else(unreached)?,
            ticket,
            epoch,
            from,
        })
    }

    /// Takes note of an answer until the home's next digest.
    fn note_outcome(&self, want: &Want, upstream: &id::Upstream, outcome: &Result<Grant, Error>) {
        let mut table = self.table();
        match outcome {
            Ok(_) => {
                let state = table.board.state(upstream);
                let free = state.map_or(0, |state| state.free.saturating_sub(1));
                let wait_ms = state.map_or(0, |state| state.wait_ms);
                table.board.observe_wait(upstream, free, wait_ms);
                let tokens = want.prompt + want.output;
                table.board.record_served(want.program, upstream, tokens);
            }
            Err(error) => match error.retry_after_ms {
                Some(ms) if error.kind == Kind::Overloaded => {
                    table.board.observe_wait(upstream, 0, ms + REFUSED_MS);
                }
                _ => table.board.remove(upstream),
            },
        }
    }

    /// Tells whoever granted a slot that it is free again, and the home if that has moved.
    pub(super) fn send_back(&self, grant: &Grant, back: frame::Return) {
        let own = self.shared.members.own();
        let home = self.shared.members.home(&grant.upstream);
        let granter = match &grant.from {
            From::Here => None,
            From::Home(peer) | From::Standby(peer) => Some(peer.clone()),
        };
        let granter_id = granter.as_ref().map_or(&own, |peer| &peer.id);
        let by_standby = matches!(grant.from, From::Standby(_));
        let moved = home.filter(|home| home.id != *granter_id && !by_standby);
        for peer in granter.iter().chain(moved.iter()) {
            if peer.id != own {
                self.tell(peer.clone(), back.clone());
            }
        }
        if granter.is_none() || moved.is_some_and(|home| home.id == own) {
            self.shared.homes.take_back(back);
        }
    }

    /// Tells a peer; one that can't be told voids the grant in time.
    fn tell(&self, peer: Peer, back: frame::Return) {
        let peers = self.shared.peers.clone();
        tokio::spawn(async move {
            let _ = peers.ask(&peer, Body::Return(back)).await;
        });
    }
}

fn unreached() -> Error {
    Error::new(
        Kind::UpstreamUnavailable,
        "no home of the upstream was reached",
    )
}
