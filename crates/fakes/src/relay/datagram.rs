//! Relays UDP datagrams.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Direction, LinkState};

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
pub(super) async fn run(client: UdpSocket, link: watch::Receiver<LinkState>) {
    let client = Arc::new(client);
    let mut senders = BTreeMap::new();
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((count, sender)) = client.recv_from(&mut buffer).await else {
            continue;
        };
        let now = *link.borrow();
        let known: Option<&Arc<UdpSocket>> = senders.get(&(sender, now.target));
        let target_socket = match known.cloned() {
            Some(target_socket) => target_socket,
            None => {
                let Some(target_socket) = connect(now.target).await else {
                    continue;
                };
                senders.insert((sender, now.target), Arc::clone(&target_socket));
                let back = (Arc::clone(&target_socket), Arc::clone(&client));
                tasks.spawn(relay_replies(back.0, back.1, sender, link.clone()));
                target_socket
            }
        };
        if !now.is_cut(Direction::ToTarget) {
            let data = buffer[..count].to_vec();
            tasks.spawn(async move {
                tokio::time::sleep(now.delay()).await;
                // A datagram may be lost.
                let _ = target_socket.send(&data).await;
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
async fn relay_replies(
    target_socket: Arc<UdpSocket>,
    client: Arc<UdpSocket>,
    sender: SocketAddr,
    link: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = target_socket.recv(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let now = *link.borrow();
        if !now.is_cut(Direction::FromTarget) {
            tokio::time::sleep(now.delay()).await;
            // A datagram may be lost.
            let _ = client.send_to(&buffer[..count], sender).await;
        }
    }
}
