//! Relays between two processes that can be cut, one way or both, and healed.
//!
//! A cut drops datagrams. It holds back the bytes of a stream until the relay is healed, as a
//! network does whose lost packets are sent again.

mod datagram;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a relay does with each direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LinkState {
    target: SocketAddr,
    to_target_cut: bool,
    from_target_cut: bool,
    delay_ms: u64,
    resets: u64,
}

/// Which direction is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Both directions.
    Both,
    /// Nothing reaches the target.
    ToTarget,
    /// Nothing comes back from the target.
    FromTarget,
}

/// A direction of a relay, as one of its tasks sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl LinkState {
    const fn connected(target: SocketAddr) -> Self {
        Self {
            target,
            to_target_cut: false,
            from_target_cut: false,
            delay_ms: 0,
            resets: 0,
        }
    }

    const fn is_cut(self, direction: Direction) -> bool {
        match direction {
            Direction::ToTarget => self.to_target_cut,
            Direction::FromTarget => self.from_target_cut,
        }
    }

    const fn delay(self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    link: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

/// Starts a relay for TCP connections.
///
/// # Panics
///
/// Panics outside a tokio runtime, or if no port is free.
#[must_use]
pub fn spawn(target: SocketAddr) -> Relay {
    let link = Arc::new(watch::Sender::new(LinkState::connected(target)));
    let (address, listener) = stream::bind();
    let task = tokio::spawn(stream::run(listener, link.subscribe()));
    Relay {
        address,
        link,
        task,
    }
}

/// Starts a relay for UDP datagrams.
///
/// # Panics
///
/// Panics outside a tokio runtime, or if no port is free.
#[must_use]
pub fn spawn_udp(target: SocketAddr) -> Relay {
    let link = Arc::new(watch::Sender::new(LinkState::connected(target)));
    let (address, socket) = datagram::bind();
    let task = tokio::spawn(datagram::run(socket, link.subscribe()));
    Relay {
        address,
        link,
        task,
    }
}

impl Relay {
    /// Returns the address that stands for the target.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leads what comes from now on to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.link.send_modify(|link| link.target = target);
    }

    /// Cuts one or both directions.
    pub fn cut(&self, cut: Cut) {
        self.link.send_modify(|link| {
            link.to_target_cut = cut != Cut::FromTarget;
            link.from_target_cut = cut != Cut::ToTarget;
        });
    }

    /// Ends every cut and delay.
    pub fn heal(&self) {
        self.link.send_modify(|link| {
            link.to_target_cut = false;
            link.from_target_cut = false;
            link.delay_ms = 0;
        });
    }

    /// Makes every piece of data come `ms` milliseconds later.
    pub fn set_delay_ms(&self, ms: u64) {
        self.link.send_modify(|link| link.delay_ms = ms);
    }

    /// Breaks all connections.
    pub fn reset_connections(&self) {
        self.link.send_modify(|link| link.resets += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
        self.link.send_modify(|link| link.resets += 1);
    }
}
