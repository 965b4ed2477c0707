//! A relay passes data, holds or drops it while it is cut, and passes it again once healed.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_fakes::relay::{self, Cut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Milliseconds for which nothing must come through a cut relay.
const SILENCE_MS: u64 = 50;

/// Starts a server that sends back every byte.
async fn echo() -> SocketAddr {
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
    let mut answer = [0; 4];
    stream.write_all(b"ping").await?;
    stream.read_exact(&mut answer).await?;
    Ok(answer)
}

async fn is_silent(work: impl Future) -> bool {
    let limit = Duration::from_millis(SILENCE_MS);
    tokio::time::timeout(limit, work).await.is_err()
}

#[tokio::test]
async fn cut_holds_bytes_back_until_it_is_healed() {
    for cut in [Cut::Both, Cut::ToTarget, Cut::FromTarget] {
        let relay = relay::spawn(echo().await);
        let mut stream = TcpStream::connect(relay.address())
            .await
            .expect("a connection");
        assert_eq!(&ping(&mut stream).await.expect("an echo"), b"ping");
        relay.cut(cut);
        assert!(is_silent(ping(&mut stream)).await);
        relay.heal();
        let mut answer = [0; 4];
        stream.read_exact(&mut answer).await.expect("an echo");
        assert_eq!(&answer, b"ping");
        relay.reset_connections();
        assert!(ping(&mut stream).await.is_err());
        let mut stream = TcpStream::connect(relay.address())
            .await
            .expect("a connection");
        assert_eq!(&ping(&mut stream).await.expect("an echo"), b"ping");
    }
}

#[tokio::test]
async fn cut_drops_datagrams() {
    let far = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let relay = relay::spawn_udp(far.local_addr().expect("an address"));
    let near = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    near.connect(relay.address()).await.expect("a socket");
    let mut buffer = [0; 16];
    near.send(b"one").await.expect("sent");
    let (_, sender) = far.recv_from(&mut buffer).await.expect("received");
    far.send_to(b"back", sender).await.expect("sent");
    assert_eq!(near.recv(&mut buffer).await.expect("received"), 4);
    relay.cut(Cut::FromTarget);
    near.send(b"two").await.expect("sent");
    assert_eq!(far.recv_from(&mut buffer).await.expect("received").0, 3);
    far.send_to(b"lost", sender).await.expect("sent");
    assert!(is_silent(near.recv(&mut buffer)).await);
    relay.cut(Cut::ToTarget);
    near.send(b"lost").await.expect("sent");
    assert!(is_silent(far.recv_from(&mut buffer)).await);
    relay.heal();
    near.send(b"three").await.expect("sent");
    let (count, _) = far.recv_from(&mut buffer).await.expect("received");
    assert_eq!(&buffer[..count], b"three");
}
