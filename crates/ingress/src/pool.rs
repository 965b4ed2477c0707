//! Pool of connections to upstreams. It never sends a request twice.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;

use basilramp_adapter::connection::{self, Sender};
use basilramp_adapter::upstream::ConnectionReuse;
use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::UpstreamKey;

use crate::state::lock;

/// Connect timeout. Upstreams accept within a few milliseconds, and one whose machine is down never
/// does.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Maximum idle time of a connection for a request that must run at most once. If the request
/// crosses the upstream's close, nothing tells whether it ran.
const NON_IDEMPOTENT_IDLE_MS: u64 = 2_000;

/// Maximum idle time of a connection if the upstream does not state its keep-alive timeout.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// How long before the stated keep-alive timeout a connection is no longer used.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Maximum number of idle connections per upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Opens a connection to an upstream within `limit_ms` milliseconds.
///
/// # Errors
///
/// Fails if the upstream does not accept a connection in time.
pub(crate) async fn connect(address: SocketAddr, limit_ms: u64) -> io::Result<Sender> {
    connection::connect(address, limit_ms.min(CONNECT_TIMEOUT_MS)).await
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<UpstreamKey, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Time,
    limit_ms: u64,
}

impl Pool {
    /// Stores a connection for reuse after a complete response, unless the upstream closes it.
    pub(crate) fn release(
        &self,
        key: UpstreamKey,
        sender: Sender,
        reuse: ConnectionReuse,
        now: Time,
    ) {
        let limit_ms = match reuse {
            ConnectionReuse::Close => return,
            ConnectionReuse::IdleMs(ms) => ms.saturating_sub(IDLE_MARGIN_MS).max(ms / 2),
            ConnectionReuse::Unspecified => DEFAULT_IDLE_MS,
        };
        if sender.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection {
                sender,
                since: now,
                limit_ms,
            });
        }
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        lock(&self.idle).clear();
    }

    /// Closes connections that have been idle too long, and all connections of upstreams that are
    /// no longer known.
    pub(crate) fn expire(&self, is_known: impl Fn(UpstreamKey) -> bool, now: Time) {
        let mut idle = lock(&self.idle);
        idle.retain(|key, connections| {
            connections
                .retain(|idle| now.since(idle.since) < idle.limit_ms && !idle.sender.is_closed());
            !connections.is_empty() && is_known(*key)
        });
    }

    /// Returns an idle connection to an upstream.
    pub(crate) fn take_idle(
        &self,
        key: UpstreamKey,
        is_idempotent: bool,
        now: Time,
    ) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&key)?;
        while let Some(idle) = connections.pop() {
            let limit_ms = if is_idempotent {
                idle.limit_ms
            } else {
                idle.limit_ms.min(NON_IDEMPOTENT_IDLE_MS)
            };
            if now.since(idle.since) < limit_ms && !idle.sender.is_closed() {
                return Some(idle.sender);
            }
        }
        None
    }
}
