//! Relays UDP datagrams.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Direction, LinkState};

/// Buffer size, at least the maximum length of a UDP datagram.
const BUFFER_BYTES: usize = 64 * 1024;

/// Binds a UDP socket on a free port of 127.0.0.1.
pub(super) fn bind() -> (SocketAddr, UdpSocket) {
    let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("no port is free");
    socket
        .set_nonblocking(true)
        .expect("cannot configure the socket");
    let socket = UdpSocket::from_std(socket).expect("not within a tokio runtime");
    let address = socket.local_addr().expect("cannot read the bound address");
    (address, socket)
}

/// Relays datagrams. Each pair of sender and target has its own socket, so that replies can be
/// returned to their sender.
pub(super) async fn run(listen_socket: UdpSocket, link: watch::Receiver<LinkState>) {
    let listen_socket = Arc::new(listen_socket);
    let mut target_sockets = BTreeMap::new();
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((count, sender)) = listen_socket.recv_from(&mut buffer).await else {
            continue;
        };
        let state = *link.borrow();
        let existing: Option<&Arc<UdpSocket>> = target_sockets.get(&(sender, state.target));
        let target_socket = match existing.cloned() {
            Some(target_socket) => target_socket,
            None => {
                let Some(target_socket) = connect(state.target).await else {
                    continue;
                };
                target_sockets.insert((sender, state.target), Arc::clone(&target_socket));
                let replies = relay_replies(
                    Arc::clone(&target_socket),
                    Arc::clone(&listen_socket),
                    sender,
                    link.clone(),
                );
                tasks.spawn(replies);
                target_socket
            }
        };
        if !state.is_cut(Direction::ToTarget) {
            let data = buffer[..count].to_vec();
            tasks.spawn(async move {
                tokio::time::sleep(state.delay()).await;
                // A send error only loses the datagram, which UDP allows.
                let _ = target_socket.send(&data).await;
            });
        }
    }
}

/// Returns a UDP socket connected to the target.
async fn connect(target: SocketAddr) -> Option<Arc<UdpSocket>> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.ok()?;
    socket.connect(target).await.ok()?;
    Some(Arc::new(socket))
}

/// Relays the target's datagrams to a sender.
async fn relay_replies(
    target_socket: Arc<UdpSocket>,
    listen_socket: Arc<UdpSocket>,
    sender: SocketAddr,
    link: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = target_socket.recv(&mut buffer).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let state = *link.borrow();
        if !state.is_cut(Direction::FromTarget) {
            tokio::time::sleep(state.delay()).await;
            // A send error only loses the datagram, which UDP allows.
            let _ = listen_socket.send_to(&buffer[..count], sender).await;
        }
    }
}
