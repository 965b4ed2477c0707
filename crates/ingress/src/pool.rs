//! Connections to upstreams. Nothing here ever sends a request twice.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;

use basilramp_adapter::connection::{self, Sender};
use basilramp_adapter::upstream::ConnectionReuse;
use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::Key;

use crate::state::lock;

/// The longest wait for a connection: upstreams take one within a few milliseconds, and one
/// whose machine is down never does.
const CONNECT_MS: u64 = 300;

/// Idle time after which a connection is not used for a request that may run only once; a
/// request that meets the upstream's close may have run, as far as anyone can tell.
const UNSAFE_IDLE_MS: u64 = 2_000;

/// Idle time of a connection of an upstream that does not state one.
const UNSTATED_IDLE_MS: u64 = 4_000;

/// How long before the stated time a connection is no longer used.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Idle connections kept for each upstream.
const KEPT: usize = 16;

/// Idle connections, by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<BTreeMap<Key, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
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
    pub(crate) async fn get(
        &self,
        key: Key,
        address: SocketAddr,
        may_repeat: bool,
        limit_ms: u64,
        now: Time,
    ) -> io::Result<Sender> {
        if let Some(sender) = self.take(key, may_repeat, now) {
            return Ok(sender);
        }
        connection::connect(address, limit_ms.min(CONNECT_MS)).await
    }

    /// Keeps a connection whose answer was whole.
    pub(crate) fn put(&self, key: Key, sender: Sender, reuse: ConnectionReuse, now: Time) {
        let limit_ms = match reuse {
            ConnectionReuse::Close => return,
            ConnectionReuse::IdleMs(ms) => ms.saturating_sub(IDLE_MARGIN_MS).max(ms / 2),
            ConnectionReuse::Unspecified => UNSTATED_IDLE_MS,
        };
        if sender.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let kept = idle.entry(key).or_default();
        if kept.len() < KEPT {
            kept.push(Idle {
                sender,
                since: now,
                limit_ms,
            });
        }
    }

    /// Closes connections that are too old, and all those of upstreams that left.
    pub(crate) fn expire(&self, is_known: impl Fn(Key) -> bool, now: Time) {
        let mut idle = lock(&self.idle);
        idle.retain(|key, kept| {
            kept.retain(|idle| now.since(idle.since) < idle.limit_ms && !idle.sender.is_closed());
            !kept.is_empty() && is_known(*key)
        });
    }

    fn take(&self, key: Key, may_repeat: bool, now: Time) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(&key)?;
        while let Some(idle) = kept.pop() {
            let limit_ms = if may_repeat {
                idle.limit_ms
            } else {
                idle.limit_ms.min(UNSAFE_IDLE_MS)
            };
            if now.since(idle.since) < limit_ms && !idle.sender.is_closed() {
                return Some(idle.sender);
            }
        }
        None
    }
}
