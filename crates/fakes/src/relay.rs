//! TCP and UDP relays that inject network faults between two processes.
//!
//! A cut in one or both directions drops datagrams. It delays the bytes of a stream until the
//! relay is healed, as TCP retransmission does in a network that loses packets.

mod datagram;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Target and injected faults of a relay. Increasing `resets` breaks all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LinkState {
    target: SocketAddr,
    to_target_cut: bool,
    from_target_cut: bool,
    delay_ms: u64,
    resets: u64,
    door: Door,
}

/// How a TCP relay treats new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// Accepts them.
    Open,
    /// Refuses them with a reset.
    Refusing,
    /// Does not answer, as if packets were lost.
    Silent,
}

/// The directions to cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Both directions.
    Both,
    /// Only data to the target.
    ToTarget,
    /// Only data from the target.
    FromTarget,
}

/// A direction of the data flow.
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
            door: Door::Open,
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

/// A running relay. Dropping it stops it and breaks its connections.
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
    let task = tokio::spawn(stream::run(listener, address, link.subscribe()));
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
    /// Returns the listen address, which clients use in place of the target's.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections and of later datagrams.
    pub fn set_target(&self, target: SocketAddr) {
        self.link.send_modify(|link| link.target = target);
    }

    /// Cuts one or both directions; a direction that is not named is restored.
    pub fn cut(&self, cut: Cut) {
        self.link.send_modify(|link| {
            link.to_target_cut = cut != Cut::FromTarget;
            link.from_target_cut = cut != Cut::ToTarget;
        });
    }

    /// Sets how new connections of a TCP relay are treated. Open ones are not affected.
    pub fn set_door(&self, door: Door) {
        self.link.send_modify(|link| link.door = door);
    }

    /// Removes all cuts and delays, and accepts connections.
    pub fn heal(&self) {
        self.link.send_modify(|link| {
            link.door = Door::Open;
            link.to_target_cut = false;
            link.from_target_cut = false;
            link.delay_ms = 0;
        });
    }

    /// Delays each datagram and each chunk of a stream by `ms` milliseconds.
    pub fn set_delay_ms(&self, ms: u64) {
        self.link.send_modify(|link| link.delay_ms = ms);
    }

    /// Breaks all connections of a TCP relay.
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
