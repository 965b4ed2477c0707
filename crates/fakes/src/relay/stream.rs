//! Relays TCP connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::{Direction, LinkState};

/// The most connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// The most bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Binds a listener on a free port.
pub(super) fn bind() -> (SocketAddr, TcpListener) {
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(any).expect("a free port");
    let listener = socket.listen(BACKLOG).expect("a listening socket");
    let address = listener.local_addr().expect("a bound socket");
    (address, listener)
}

/// Accepts connections and relays each one.
pub(super) async fn run(listener: TcpListener, link: watch::Receiver<LinkState>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay_connection(stream, link.clone()));
        }
    }
}

/// Relays one connection until one side ends it or the relay breaks it.
async fn relay_connection(client: TcpStream, link: watch::Receiver<LinkState>) {
    let resets = link.borrow().resets;
    let work = async {
        let mut open = link.clone();
        // Without a sender the relay is gone, and the copies below end at once.
        let _ = open.wait_for(|link| !link.to_target_cut).await;
        let target = link.borrow().target;
        let target_socket = TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        target_socket.set_nodelay(true)?;
        let (client_read, client_write) = client.into_split();
        let (target_socket_read, target_socket_write) = target_socket.into_split();
        let there = copy_direction(
            client_read,
            target_socket_write,
            link.clone(),
            Direction::ToTarget,
        );
        let back = copy_direction(
            target_socket_read,
            client_write,
            link.clone(),
            Direction::FromTarget,
        );
        tokio::try_join!(there, back).map(|_| ())
    };
    let mut reset = link.clone();
    tokio::select! {
        _ = work => {}
        _ = reset.wait_for(|link| link.resets != resets) => {}
    }
}

/// Copies one direction; holds data back while it is cut.
async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<LinkState>,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let open = link.wait_for(|link| !link.is_cut(direction)).await;
        let delay = open.map_err(io::Error::other)?.delay();
        tokio::time::sleep(delay).await;
        if count == 0 {
            to.shutdown().await?;
            // The other direction ends with the connection, as a peer's close ends both here.
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        to.write_all(&buffer[..count]).await?;
    }
}
