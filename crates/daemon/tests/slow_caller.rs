//! Backpressure: a caller that reads slowly stalls its own upstream stream and no other.

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

/// The text of one chunk in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// The chunks of a whole response, far more than all buffers on the way can store.
const MAX_CHUNKS: u64 = 1_024;

/// The time between two samples of the number of chunks sent.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// The consecutive samples without progress after which the stream counts as stalled.
const MIN_STALLED_SAMPLES: u32 = 4;

/// The samples after which a wait fails.
const MAX_SAMPLES: u32 = 100;

/// An engine whose model streams far more than fits into the buffers on the way.
#[derive(Clone, Debug, Default)]
struct FloodEngine {
    /// Chunks written so far.
    sent: Arc<AtomicU64>,
    /// Set once a write to the connection has failed.
    write_failed: Arc<AtomicBool>,
}

impl FloodEngine {
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
        let response = format!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let _ = stream.write_all(response.as_bytes()).await;
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
        for _ in 0..MAX_CHUNKS {
            if stream.write_all(event.as_bytes()).await.is_err() {
                self.write_failed.store(true, Ordering::Relaxed);
                return;
            }
            self.sent.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the stream makes no more progress, and returns the number of chunks sent.
    async fn wait_until_stalled(&self) -> u64 {
        let mut last_sent = 0;
        let mut stalled_samples = 0;
        for _ in 0..MAX_SAMPLES {
            sleep(SAMPLE_INTERVAL).await;
            let sent = self.sent.load(Ordering::Relaxed);
            stalled_samples = if sent > 0 && sent == last_sent {
                stalled_samples + 1
            } else {
                0
            };
            last_sent = sent;
            if stalled_samples == MIN_STALLED_SAMPLES {
                return last_sent;
            }
        }
        panic!("the stream did not stall after {last_sent} chunks");
    }
}

/// Sends a call and returns its connection without reading the response.
async fn call_without_reading(address: SocketAddr, program: &str) -> TcpStream {
    let mut call = caller::call_request("c0", 0, "flood", "go on");
    call.max_tokens = 1_000_000;
    let body = serde_json::to_string(&call).unwrap();
    let request = format!(
        "POST /v1/programs/{program}/calls HTTP/1.1\r\nhost: basilramp\r\n\
         authorization: Bearer key-trust\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_caller_stalls_only_its_own_stream() {
    let launcher = Launcher {
        program: env!("CARGO_BIN_EXE_basilrampd").into(),
        arguments: Vec::new(),
    };
    let mut options = Options::new(launcher, 2);
    options
        .edits
        .push(set_item("flood", model_service("flood", "1", 600_000)));
    let cluster = Cluster::start(options).await.unwrap();
    let flood = FloodEngine::default();
    cluster.platform.put_endpoint(Entry {
        name: "flood".to_owned(),
        role: Role::Engine,
        address: flood.spawn().await,
        failure_domain: "a".to_owned(),
        place: "place-a".to_owned(),
        group: String::new(),
        state: State::Ready,
    });
    let client = cluster.caller(0);
    let address = cluster.caller_address(0).unwrap();
    let budget = caller::program_budget(10_000_000);
    let slow = client.create_root(address, "slow", budget).await.unwrap();
    let quick = client.create_root(address, "quick", budget).await.unwrap();

    let connection = call_without_reading(address, &slow.id).await;
    let sent = flood.wait_until_stalled().await;
    assert!(sent > 0, "the engine sent no chunk");
    assert!(
        sent < MAX_CHUNKS,
        "the engine sent its whole response to a caller that does not read"
    );

    let call = caller::call_request("c0", 0, name::MODEL, "which grit next?");
    let response = client.call(address, &quick.id, &call).await;
    assert!(response.result.is_ok(), "{:?}", response.result);

    assert!(!flood.write_failed.load(Ordering::Relaxed));
    drop(connection);
    for _ in 0..MAX_SAMPLES {
        if flood.write_failed.load(Ordering::Relaxed) {
            return;
        }
        sleep(SAMPLE_INTERVAL).await;
    }
    panic!("the stream continues after its caller has disconnected");
}
