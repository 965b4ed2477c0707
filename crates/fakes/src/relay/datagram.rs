//! Relays UDP datagrams.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Direction, Way};

/// The longest datagram.
const BUFFER_BYTES: usize = 64 * 1024;

/// Binds a socket on a free port.
pub(super) fn bind() -> (SocketAddr, UdpSocket) {
    let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    socket.set_nonblocking(true).expect("a socket");
    let socket = UdpSocket::from_std(socket).expect("a tokio runtime");
    let address = socket.local_addr().expect("a bound socket");
    (address, socket)
}

/// Relays datagrams of every sender through a socket of its own.
pub(super) async fn run(near: UdpSocket, way: watch::Receiver<Way>) {
    let near = Arc::new(near);
    let mut senders = BTreeMap::new();
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((count, sender)) = near.recv_from(&mut buffer).await else {
            continue;
        };
        let now = *way.borrow();
        let known: Option<&Arc<UdpSocket>> = senders.get(&(sender, now.target));
        let far = match known.cloned() {
            Some(far) => far,
            None => {
                let Some(far) = connect(now.target).await else {
                    continue;
                };
                senders.insert((sender, now.target), Arc::clone(&far));
                let back = (Arc::clone(&far), Arc::clone(&near));
                tasks.spawn(send_back(back.0, back.1, sender, way.clone()));
                far
            }
        };
        if !now.is_cut(Direction::ToTarget) {
            let data = buffer[..count].to_vec();
            tasks.spawn(async move {
                tokio::time::sleep(now.delay()).await;
                // A datagram may be lost.
                let _ = far.send(&data).await;
            });
        }
    }
}

async fn connect(target: SocketAddr) -> Option<Arc<UdpSocket>> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?;
    socket.connect(target).await.ok()?;
    Some(Arc::new(socket))
}

/// Relays the target's datagrams back to a sender.
async fn send_back(
    far: Arc<UdpSocket>,
    near: Arc<UdpSocket>,
    sender: SocketAddr,
    way: watch::Receiver<Way>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = far.recv(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let now = *way.borrow();
        if !now.is_cut(Direction::FromTarget) {
            tokio::time::sleep(now.delay()).await;
            // A datagram may be lost.
            let _ = near.send_to(&buffer[..count], sender).await;
        }
    }
}
