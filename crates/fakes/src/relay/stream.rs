//! Relays TCP connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::{Direction, LinkState};

/// Maximum length of the accept queue.
const BACKLOG: u32 = 1024;

/// Maximum number of bytes per read.
const BUFFER_BYTES: usize = 16 * 1024;

/// Binds a listener on a free port of 127.0.0.1.
pub(super) fn bind() -> (SocketAddr, TcpListener) {
    let socket = TcpSocket::new_v4().expect("cannot create a socket");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(address).expect("no port is free");
    let listener = socket
        .listen(BACKLOG)
        .expect("cannot listen on the bound socket");
    let address = listener
        .local_addr()
        .expect("cannot read the bound address");
    (address, listener)
}

/// Accepts connections and relays each one in its own task.
pub(super) async fn run(listener: TcpListener, link: watch::Receiver<LinkState>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay_connection(stream, link.clone()));
        }
    }
}

/// Relays one connection until one side closes it or the relay is reset.
async fn relay_connection(client: TcpStream, link: watch::Receiver<LinkState>) {
    let resets = link.borrow().resets;
    let transfer = async {
        let mut open = link.clone();
        // This fails only if the relay was dropped; the copies below then end at once.
        let _ = open.wait_for(|link| !link.to_target_cut).await;
        let target = link.borrow().target;
        let target_stream = TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        target_stream.set_nodelay(true)?;
        let (client_read, client_write) = client.into_split();
        let (target_stream_read, target_stream_write) = target_stream.into_split();
        let to_target = copy_direction(
            client_read,
            target_stream_write,
            link.clone(),
            Direction::ToTarget,
        );
        let from_target = copy_direction(
            target_stream_read,
            client_write,
            link.clone(),
            Direction::FromTarget,
        );
        tokio::try_join!(to_target, from_target).map(|_| ())
    };
    let mut reset = link.clone();
    tokio::select! {
        _ = transfer => {}
        _ = reset.wait_for(|link| link.resets != resets) => {}
    }
}

/// Copies one direction; waits with the data it has read while the direction is cut.
async fn copy_direction(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut link: watch::Receiver<LinkState>,
    direction: Direction,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = reader.read(&mut buffer).await?;
        let open = link.wait_for(|link| !link.is_cut(direction)).await;
        let delay = open.map_err(io::Error::other)?.delay();
        tokio::time::sleep(delay).await;
        if count == 0 {
            writer.shutdown().await?;
            // The error ends the other direction as well: a close by one side closes both.
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        writer.write_all(&buffer[..count]).await?;
    }
}
