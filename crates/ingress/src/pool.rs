//! Connections to upstreams. Nothing here ever sends a request twice.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;

use basilramp_adapter::connection::{self, Sender};
use basilramp_adapter::upstream::Reuse;
use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::UpstreamKey;

use crate::state::lock;

/// The longest wait for a connection: upstreams take one within a few milliseconds, and one
/// whose machine is down never does.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// IdleConnection time after which a connection is not used for a request that may run only once; a
/// request that meets the upstream's close may have run, as far as anyone can tell.
const NON_IDEMPOTENT_IDLE_MS: u64 = 2_000;

/// IdleConnection time of a connection of an upstream that does not state one.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// How long before the stated time a connection is no longer used.
const IDLE_MARGIN_MS: u64 = 1_000;

/// IdleConnection connections connections for each upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// IdleConnection connections, by upstream.
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
    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the upstream takes no connection in time.
    pub(crate) async fn acquire(
        &self,
        key: UpstreamKey,
        address: SocketAddr,
        is_idempotent: bool,
        limit_ms: u64,
        now: Time,
    ) -> io::Result<Sender> {
        if let Some(sender) = self.take_idle(key, is_idempotent, now) {
            return Ok(sender);
        }
        connection::open(address, limit_ms.min(CONNECT_TIMEOUT_MS)).await
    }

    /// Keeps a connection whose answer was whole.
    pub(crate) fn release(&self, key: UpstreamKey, sender: Sender, reuse: Reuse, now: Time) {
        let limit_ms = match reuse {
            Reuse::Close => return,
            Reuse::IdleMs(ms) => ms.saturating_sub(IDLE_MARGIN_MS).max(ms / 2),
            Reuse::Unstated => DEFAULT_IDLE_MS,
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

    /// Closes connections that are too old, and all those of upstreams that left.
    pub(crate) fn expire(&self, is_known: impl Fn(UpstreamKey) -> bool, now: Time) {
        let mut idle = lock(&self.idle);
        idle.retain(|key, connections| {
            connections
                .retain(|idle| now.since(idle.since) < idle.limit_ms && !idle.sender.is_closed());
            !connections.is_empty() && is_known(*key)
        });
    }

    fn take_idle(&self, key: UpstreamKey, is_idempotent: bool, now: Time) -> Option<Sender> {
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
