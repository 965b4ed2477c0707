//! A TCP proxy on the way from one machine to one runner, which can be cut.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// How the way is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Sound.
    Open,
    /// Connections hang, and new ones are refused.
    Hangs,
    /// Connections hang, new ones too: nothing answers them.
    Silent,
    /// Connections are reset, and new ones are refused.
    Reset,
    /// Connections live on, and new ones are refused.
    LivesOn,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    pub address: SocketAddr,
    way: watch::Sender<Way>,
}

impl Proxy {
    /// Starts a proxy to a runner.
    pub async fn start(runner: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("proxy");
        let address = listener.local_addr().expect("address");
        let (way, state) = watch::channel(Way::Open);
        tokio::spawn(serve(listener, address, runner, state));
        Self { address, way }
    }

    /// Changes the way.
    pub fn set(&self, way: Way) {
        let _ = self.way.send(way);
    }
}

async fn serve(
    listener: TcpListener,
    address: SocketAddr,
    runner: SocketAddr,
    mut way: watch::Receiver<Way>,
) {
    let mut open = Some(listener);
    loop {
        if *way.borrow() == Way::Open && open.is_none() {
            let socket = TcpSocket::new_v4().expect("socket");
            let _ = socket.set_reuseaddr(true);
            open = socket
                .bind(address)
                .ok()
                .and_then(|()| socket.listen(1_024).ok());
        }
        let Some(listener) = &open else {
            let _ = tokio::time::timeout(Duration::from_millis(20), way.changed()).await;
            continue;
        };
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(pass(stream, runner, way.clone()));
            },
            changed = way.changed() => {
                if changed.is_err() {
                    return;
                }
                if *way.borrow() != Way::Open {
                    open = None;
                }
                if *way.borrow() == Way::Silent {
                    fall_silent(address, &mut way).await;
                }
            }
        }
    }
}

/// Listens with a full queue, so that the system drops what asks for a connection.
async fn fall_silent(address: SocketAddr, way: &mut watch::Receiver<Way>) {
    let socket = TcpSocket::new_v4().expect("socket");
    let _ = socket.set_reuseaddr(true);
    let Some(_full) = socket
        .bind(address)
        .ok()
        .and_then(|()| socket.listen(0).ok())
    else {
        return;
    };
    let mut fillers = Vec::new();
    for _ in 0..2 {
        let filler = TcpStream::connect(address);
        fillers.push(tokio::time::timeout(Duration::from_millis(50), filler).await);
    }
    while *way.borrow() == Way::Silent && way.changed().await.is_ok() {}
}

async fn pass(machine: TcpStream, runner: SocketAddr, mut way: watch::Receiver<Way>) {
    let Ok(upstream) = TcpStream::connect(runner).await else {
        return;
    };
    let _ = (machine.set_nodelay(true), upstream.set_nodelay(true));
    let (mut from_machine, mut to_machine) = machine.into_split();
    let (mut from_runner, mut to_runner) = upstream.into_split();
    let (mut there, mut back) = (vec![0; 16_384], vec![0; 16_384]);
    loop {
        let is_hanging = matches!(*way.borrow(), Way::Hangs | Way::Silent);
        tokio::select! {
            changed = way.changed() => {
                if changed.is_err() || *way.borrow() == Way::Reset {
                    return;
                }
            }
            read = from_machine.read(&mut there), if !is_hanging => match read {
                Ok(count) if count > 0 => if to_runner.write_all(&there[..count]).await.is_err() {
                    return;
                },
                _ => return,
            },
            read = from_runner.read(&mut back), if !is_hanging => match read {
                Ok(count) if count > 0 => if to_machine.write_all(&back[..count]).await.is_err() {
                    return;
                },
                _ => return,
            },
        }
    }
}
