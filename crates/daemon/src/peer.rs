//! QUIC with mutual TLS between instances.

use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{Body, Reply};
use tokio::sync::mpsc;

use crate::membership::Peer;

/// Sends requests to other instances.
#[derive(Clone, Debug)]
pub(crate) struct Client;

impl Client {
    /// Asks a peer and returns its one reply.
    ///
    /// `OwnerUnavailable` says that nothing was sent; `Interrupted`, that the peer may have acted.
    pub(crate) async fn ask(&self, _peer: &Peer, _body: Body) -> Result<Reply, Error> {
        Err(Error::new(Kind::OwnerUnavailable, "not built yet"))
    }

    /// Asks a peer and returns its replies as they come. Dropping the receiver cancels the request.
    pub(crate) async fn stream(
        &self,
        _peer: &Peer,
        _body: Body,
    ) -> Result<mpsc::Receiver<Reply>, Error> {
        Err(Error::new(Kind::OwnerUnavailable, "not built yet"))
    }
}
