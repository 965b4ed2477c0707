//! Relays TCP connections.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::{Direction, Door, LinkState};

/// Maximum length of the accept queue.
const BACKLOG: u32 = 1024;

/// Time without an answer after which the accept queue counts as full.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(30);

/// Maximum number of bytes per read.
const BUFFER_BYTES: usize = 16 * 1024;

/// Binds a listener on a free port of 127.0.0.1.
pub(super) fn bind() -> (SocketAddr, TcpListener) {
    let socket = bind_socket((Ipv4Addr::LOCALHOST, 0).into());
    let address = socket.local_addr();
    let address = address.expect("cannot read the bound address");
    (address, listen(socket, BACKLOG))
}

/// Binds a socket without listening, so that the operating system refuses connections. Another
/// socket may be bound to the same address.
fn bind_socket(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("cannot create a socket");
    let options = socket
        .set_reuseaddr(true)
        .and_then(|()| socket.set_reuseport(true));
    options.expect("cannot share the port");
    socket.bind(address).expect("no port is free");
    socket
}

fn listen(socket: TcpSocket, backlog: u32) -> TcpListener {
    socket
        .listen(backlog)
        .expect("cannot listen on the bound socket")
}

/// Accepts connections while the door is open, and relays each one in its own task.
pub(super) async fn run(
    mut listener: TcpListener,
    address: SocketAddr,
    mut link: watch::Receiver<LinkState>,
) {
    loop {
        let door = link.borrow().door;
        let socket = bind_socket(address);
        match door {
            Door::Open => {
                accept_connections(&listener, &link).await;
                drop(listener);
            }
            Door::Refusing => {
                drop(listener);
                // This fails only if the relay was dropped, which ends this task.
                let _ = link.wait_for(|link| link.door != door).await;
            }
            Door::Silent => {
                drop(listener);
                let full = listen(bind_socket(address), 0);
                let _waiting = fill_queue(address).await;
                let _ = link.wait_for(|link| link.door != door).await;
                drop(full);
            }
        }
        listener = listen(socket, BACKLOG);
    }
}

/// Opens connections until the accept queue is full, so that further ones get no answer.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) = timeout(FULL_QUEUE_TIMEOUT, TcpStream::connect(address)).await {
        waiting.push(stream);
    }
    waiting
}

async fn accept_connections(listener: &TcpListener, link: &watch::Receiver<LinkState>) {
    let mut changes = link.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(relay_connection(stream, link.clone()));
                }
            }
            _ = changes.wait_for(|link| link.door != Door::Open) => return,
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
