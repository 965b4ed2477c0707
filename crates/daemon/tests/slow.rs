//! A caller that reads slowly holds back its own upstream stream, and nobody else's.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use basilramp_fakes::cluster::{Cluster, Options, model_service, name, set_item};
use basilramp_fakes::platform::{Entry, Role, State};
use basilramp_fakes::{Launcher, caller};
use basilramp_wire::engine::{Choice, Chunk, Delta, LoadReport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Bytes of text in one chunk.
const CHUNK_BYTES: usize = 64 * 1024;

/// Chunks that the engine would send to a caller that reads: far more than all buffers hold.
const CHUNKS: u64 = 1_024;

/// Time between two looks at what the engine has sent.
const LOOK: Duration = Duration::from_millis(500);

/// Looks in a row without progress after which the stream counts as held back.
const STILL_LOOKS: u32 = 4;

/// The most looks.
const MAX_LOOKS: u32 = 100;

/// An engine whose one model answers with far more than fits into buffers.
#[derive(Clone, Debug, Default)]
struct Flood {
    sent: Arc<AtomicU64>,
    broken: Arc<AtomicBool>,
}

impl Flood {
    async fn spawn(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let flood = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(flood.clone().serve(stream));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut head = vec![0; 64 * 1024];
        let Ok(read) = stream.read(&mut head).await else {
            return;
        };
        let head = String::from_utf8_lossy(&head[..read]).into_owned();
        if head.starts_with("POST /v1/chat/completions") {
            self.stream(&mut stream).await;
            return;
        }
        let load = LoadReport {
            epoch: 1,
            slots: 8,
            cache_tokens: 1_000,
            models: vec!["flood@1".to_owned()],
            ..LoadReport::default()
        };
        let body = match head.starts_with("GET /load") {
            true => serde_json::to_string(&load).unwrap(),
            false => "{}".to_owned(),
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let _ = stream.write_all(answer.as_bytes()).await;
    }

    async fn stream(&self, stream: &mut TcpStream) {
        let head =
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        let chunk = Chunk {
            id: "flood".to_owned(),
            choices: vec![Choice {
                delta: Delta {
                    content: Some("x".repeat(CHUNK_BYTES)),
                },
                finish_reason: None,
            }],
            usage: None,
        };
        let event = format!("data: {}\n\n", serde_json::to_string(&chunk).unwrap());
        for _ in 0..CHUNKS {
            if stream.write_all(event.as_bytes()).await.is_err() {
                self.broken.store(true, Ordering::Relaxed);
                return;
            }
            self.sent.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until nothing more is sent, and returns how much was.
    async fn held_back(&self) -> u64 {
        let mut before = 0;
        let mut still = 0;
        for _ in 0..MAX_LOOKS {
            sleep(LOOK).await;
            let sent = self.sent.load(Ordering::Relaxed);
            still = if sent > 0 && sent == before {
                still + 1
            } else {
                0
            };
            before = sent;
            if still == STILL_LOOKS {
                return before;
            }
        }
        panic!("the stream does not come to rest: {before} chunks");
    }
}

/// Sends a call and returns its connection, of which nothing is read.
async fn call_without_reading(at: SocketAddr, program: &str) -> TcpStream {
    let mut call = caller::call_request("c0", 0, "flood", "go on");
    call.max_tokens = 1_000_000;
    let body = serde_json::to_string(&call).unwrap();
    let request = format!(
        "POST /v1/programs/{program}/calls HTTP/1.1\r\nhost: basilramp\r\n\
         authorization: Bearer key-trust\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_caller_holds_back_its_own_stream_alone() {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    let mut options = Options::new(launcher, 2);
    options
        .edits
        .push(set_item("flood", model_service("flood", "1", 600_000)));
    let cluster = Cluster::start(options).await.unwrap();
    let flood = Flood::default();
    cluster.platform.put_endpoint(Entry {
        name: "flood".to_owned(),
        role: Role::Engine,
        address: flood.spawn().await,
        failure_domain: "a".to_owned(),
        place: "place-a".to_owned(),
        group: String::new(),
        state: State::Ready,
    });
    let trust = cluster.caller(0);
    let at = cluster.caller_address(0).unwrap();
    let budget = caller::program_budget(10_000_000);
    let slow = trust.create_root(at, "slow", budget).await.unwrap();
    let quick = trust.create_root(at, "quick", budget).await.unwrap();

    let connection = call_without_reading(at, &slow.id).await;
    let sent = flood.held_back().await;
    assert!(sent > 0, "the stream never began");
    assert!(sent < CHUNKS, "the whole answer was taken from the engine");

    let call = caller::call_request("c0", 0, name::MODEL, "which grit next?");
    let answer = trust.call(at, &quick.id, &call).await;
    assert!(answer.result.is_ok(), "{:?}", answer.result);

    assert!(!flood.broken.load(Ordering::Relaxed));
    drop(connection);
    for _ in 0..MAX_LOOKS {
        if flood.broken.load(Ordering::Relaxed) {
            return;
        }
        sleep(LOOK).await;
    }
    panic!("the stream goes on though its caller went away");
}
