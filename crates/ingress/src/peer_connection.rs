//! Connections to other instances, over mutual TLS.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use basilramp_adapter::connection::{self, Sender};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::membership::Member;
use crate::peer_tls;
use crate::state::{State, lock};

/// Time limit for a connection to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle time after which a connection to another instance is discarded.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of idle connections to an instance.
const MAX_IDLE_PER_INSTANCE: usize = 8;

/// Idle connections to other instances.
#[derive(Debug, Default)]
pub(crate) struct Connections(Mutex<BTreeMap<Arc<str>, Vec<IdleConnection>>>);

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    /// Whom the connection was opened to; an instance may start again at another address.
    member: Member,
    since: Instant,
}

impl Connections {
    fn take(&self, id: &str, member: &Member) -> Option<Sender> {
        let mut idle = lock(&self.0);
        let connections = idle.get_mut(id)?;
        while let Some(idle) = connections.pop() {
            let is_usable = idle.since.elapsed() < IDLE_TIMEOUT && !idle.sender.is_closed();
            if is_usable && idle.member == *member {
                return Some(idle.sender);
            }
        }
        None
    }

    fn release(&self, id: &Arc<str>, member: Member, sender: Sender) {
        let mut idle = lock(&self.0);
        idle.retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < IDLE_TIMEOUT);
            !connections.is_empty()
        });
        let connections = idle.entry(Arc::clone(id)).or_default();
        if connections.len() < MAX_IDLE_PER_INSTANCE && !sender.is_closed() {
            connections.push(IdleConnection {
                sender,
                member,
                since: Instant::now(),
            });
        }
    }
}

/// A connection in use, with what its reuse needs.
pub(crate) struct Connection {
    pub(crate) sender: Sender,
    /// Whether it was opened just now, so that the other instance runs.
    pub(crate) is_new: bool,
    member: Member,
}

impl Connection {
    /// Keeps the connection after a completely read response.
    pub(crate) fn release(self, state: &State, instance: &Arc<str>) {
        state
            .connections
            .release(instance, self.member, self.sender);
    }

    /// Sends a request of this instance itself. Returns a response of at most `max_bytes` bytes.
    pub(crate) async fn exchange(
        mut self,
        state: &State,
        instance: &Arc<str>,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Option<Response<Bytes>> {
        let response = self.sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, max_bytes);
        let body = body.collect().await.ok()?.to_bytes();
        self.release(state, instance);
        Some(Response::from_parts(head, body))
    }
}

/// Returns a connection to an instance that is ready for a request.
///
/// # Errors
///
/// Fails with a text if the instance is unknown or accepts no connection in time.
pub(crate) async fn open(state: &State, instance: &Arc<str>) -> Result<Connection, String> {
    let unknown = || "the instance is gone".to_owned();
    let member = state.membership.get(instance).ok_or_else(unknown)?;
    let idle = state.connections.take(instance, &member);
    let is_new = idle.is_none();
    let mut sender = match idle {
        Some(sender) => sender,
        None => tokio::time::timeout(CONNECT_TIMEOUT, connect(state, &member))
            .await
            .map_err(|_| "timed out".to_owned())?
            .map_err(|error| format!("{error:#}"))?,
    };
    // The body of an earlier request may still be being written.
    tokio::time::timeout(CONNECT_TIMEOUT, sender.ready())
        .await
        .map_err(|_| "the connection is busy".to_owned())?
        .map_err(|error| error.to_string())?;
    Ok(Connection {
        sender,
        is_new,
        member,
    })
}

/// Sends a request of this instance itself to another one. Returns the body of a response with status 200
/// and at most `max_bytes` bytes.
pub(crate) async fn call(
    state: &State,
    instance: &Arc<str>,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Option<Bytes> {
    let connection = open(state, instance).await.ok()?;
    let exchange = connection.exchange(state, instance, request, max_bytes);
    let response = exchange.await?;
    (response.status() == StatusCode::OK).then(|| response.into_body())
}

async fn connect(state: &State, member: &Member) -> eyre::Result<Sender> {
    let stream = TcpStream::connect(member.address).await?;
    connection::set_socket_options(&stream)?;
    let connector = state.identity.connector(member.certificate)?;
    let stream = connector.connect(peer_tls::server_name()?, stream).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Connection errors are also returned to the pending request, so they are ignored here.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}
