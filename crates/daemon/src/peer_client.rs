//! QUIC client for requests to other instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use basilramp_core::id;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::{Body, Reply, Request};
use quinn::{ClientConfig, Connection, Endpoint, RecvStream, VarInt};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::membership::Peer;
use crate::peer_stream;
use crate::trace;

/// A peer that accepts no connection within this time is considered unreachable.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Maximum number of replies buffered for a slow receiver.
const REPLY_BUFFER: usize = 32;

/// QUIC error code of a reply stream that this side cancels.
const CANCELLED_CODE: VarInt = VarInt::from_u32(1);

/// Key of a connection: the peer's id and address.
type ConnectionKey = (id::Instance, SocketAddr);

/// Sends requests to other instances, over one cached connection to each.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    endpoint: Endpoint,
    config: ClientConfig,
    connections: Mutex<BTreeMap<ConnectionKey, Connection>>,
}

impl Client {
    /// Creates a client that shares the server's UDP socket.
    pub(crate) fn new(endpoint: Endpoint, config: ClientConfig) -> Self {
        let inner = Inner {
            endpoint,
            config,
            connections: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Sends a request to a peer and returns its single reply.
    ///
    /// # Errors
    ///
    /// `OwnerUnavailable` if nothing was sent; `Interrupted` if the connection was lost after the
    /// peer may have executed the request. An error in the peer's reply is returned unchanged.
    pub(crate) async fn request(&self, peer: &Peer, body: Body) -> Result<Reply, Error> {
        let mut stream = self.open_request(peer, body).await?;
        match peer_stream::receive(&mut stream).await {
            Ok(Reply::Error(error)) => Err(error),
            Ok(reply) => Ok(reply),
            Err(_) => Err(interrupted_error(peer)),
        }
    }

    /// Sends a request to a peer and streams its replies.
    ///
    /// Dropping the receiver cancels the request.
    ///
    /// # Errors
    ///
    /// As for [`Client::request`], until the request is sent. If the connection is lost later, the
    /// last reply is an `Interrupted` error.
    pub(crate) async fn request_stream(
        &self,
        peer: &Peer,
        body: Body,
    ) -> Result<mpsc::Receiver<Reply>, Error> {
        let stream = self.open_request(peer, body).await?;
        let (sender, receiver) = mpsc::channel(REPLY_BUFFER);
        let forwarding = forward_replies(stream, sender, interrupted_error(peer));
        tokio::spawn(trace::in_current_span(forwarding));
        Ok(receiver)
    }

    /// Sends the request on a new stream and returns the stream of replies.
    async fn open_request(&self, peer: &Peer, body: Body) -> Result<RecvStream, Error> {
        let connection = self.connect(peer).await?;
        let opened = connection.open_bi().await;
        let (mut sending, receiving) = opened.map_err(|_| unreachable_error(peer))?;
        let request = Request {
            traceparent: trace::current_traceparent(),
            body,
        };
        peer_stream::send(&mut sending, &request)
            .await
            .map_err(|_| interrupted_error(peer))?;
        // Fails only if the peer already stopped the stream; it needs no more of the request then.
        let _ = sending.finish();
        Ok(receiving)
    }

    /// Returns the cached connection to a peer, or opens one.
    async fn connect(&self, peer: &Peer) -> Result<Connection, Error> {
        let key = (peer.id.clone(), peer.address);
        if let Some(connection) = self.cached_connection(&key) {
            return Ok(connection);
        }
        let connecting = self
            .inner
            .endpoint
            .connect_with(self.inner.config.clone(), peer.address, peer.id.as_str())
            .map_err(|_| unreachable_error(peer))?;
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connection = timeout(limit, connecting)
            .await
            .map_err(|_| unreachable_error(peer))?
            .map_err(|_| unreachable_error(peer))?;
        self.connections().insert(key, connection.clone());
        Ok(connection)
    }

    /// Returns the cached connection if it is open, and removes it otherwise.
    fn cached_connection(&self, key: &ConnectionKey) -> Option<Connection> {
        let mut connections = self.connections();
        let connection = connections.get(key)?;
        if connection.close_reason().is_none() {
            return Some(connection.clone());
        }
        connections.remove(key);
        None
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, BTreeMap<ConnectionKey, Connection>> {
        self.inner
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn forward_replies(mut stream: RecvStream, sender: mpsc::Sender<Reply>, broken: Error) {
    loop {
        let reply = tokio::select! {
            reply = peer_stream::receive(&mut stream) => reply,
            () = sender.closed() => break,
        };
        let reply = reply.unwrap_or_else(|_| Reply::Error(broken.clone()));
        let is_last = reply.is_last();
        if sender.send(reply).await.is_err() || is_last {
            break;
        }
    }
    // Cancels the request at the peer; this has no effect after the last reply.
    let _ = stream.stop(CANCELLED_CODE);
}

fn unreachable_error(peer: &Peer) -> Error {
    Error::new(
        Kind::OwnerUnavailable,
        format!("instance {} is not reachable", peer.id),
    )
}

fn interrupted_error(peer: &Peer) -> Error {
    Error::new(
        Kind::Interrupted,
        format!("the connection to instance {} was lost", peer.id),
    )
}
