//! A relay forwards data, buffers bytes and drops datagrams while it is cut, and forwards again
//! once it is healed.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_fakes::relay::{self, Cut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Time for which nothing may pass a cut relay.
const SILENCE_MS: u64 = 50;

/// Starts a server that sends back every byte.
async fn spawn_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    address
}

async fn ping(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    let mut response = [0; 4];
    stream.write_all(b"ping").await?;
    stream.read_exact(&mut response).await?;
    Ok(response)
}

async fn times_out(operation: impl Future) -> bool {
    let limit = Duration::from_millis(SILENCE_MS);
    tokio::time::timeout(limit, operation).await.is_err()
}

#[tokio::test]
async fn cut_relay_buffers_bytes_until_it_is_healed() {
    for cut in [Cut::Both, Cut::ToTarget, Cut::FromTarget] {
        let relay = relay::spawn(spawn_echo_server().await);
        let mut stream = TcpStream::connect(relay.address())
            .await
            .expect("a connection");
        assert_eq!(&ping(&mut stream).await.expect("an echo"), b"ping");
        relay.cut(cut);
        assert!(times_out(ping(&mut stream)).await);
        relay.heal();
        let mut response = [0; 4];
        stream.read_exact(&mut response).await.expect("an echo");
        assert_eq!(&response, b"ping");
        relay.reset_connections();
        assert!(ping(&mut stream).await.is_err());
        let mut stream = TcpStream::connect(relay.address())
            .await
            .expect("a connection");
        assert_eq!(&ping(&mut stream).await.expect("an echo"), b"ping");
    }
}

#[tokio::test]
async fn cut_relay_drops_datagrams() {
    let remote = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let relay = relay::spawn_udp(remote.local_addr().expect("an address"));
    let local = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    local.connect(relay.address()).await.expect("a socket");
    let mut buffer = [0; 16];
    local.send(b"one").await.expect("sent");
    let (_, sender) = remote.recv_from(&mut buffer).await.expect("received");
    remote.send_to(b"back", sender).await.expect("sent");
    assert_eq!(local.recv(&mut buffer).await.expect("received"), 4);
    relay.cut(Cut::FromTarget);
    local.send(b"two").await.expect("sent");
    assert_eq!(remote.recv_from(&mut buffer).await.expect("received").0, 3);
    remote.send_to(b"lost", sender).await.expect("sent");
    assert!(times_out(local.recv(&mut buffer)).await);
    relay.cut(Cut::ToTarget);
    local.send(b"lost").await.expect("sent");
    assert!(times_out(remote.recv_from(&mut buffer)).await);
    relay.heal();
    local.send(b"three").await.expect("sent");
    let (count, _) = remote.recv_from(&mut buffer).await.expect("received");
    assert_eq!(&buffer[..count], b"three");
}
