//! Upstreams that reject a request before they have read its body.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::Store;
use http::StatusCode;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use crate::scripted_upstream::{read_head, register};
use crate::support::{Instance, configure_body_limit, plain_request};

/// An upstream rejects a request before it has read its long body, keeps the connection, and reads on
/// later. Further requests must not wait for that.
#[tokio::test]
async fn requests_do_not_wait_for_a_body_that_an_upstream_rejected_early() {
    let store = Store::spawn();
    configure_body_limit(&store, 3, 5_000_000);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(reject_long_bodies(stream));
        }
    });
    register(&store, "i-1", "app", address);
    let instance = Instance::spawn(&store, "a").await;
    for number in 0..4 {
        let mut long = plain_request("pay", &format!("long-{number}"));
        *long.body_mut() = Full::from(vec![b'x'; 4_000_000]);
        let reply = instance.send(long).await.unwrap();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        let sent_at = Instant::now();
        let short = (0..3).map(|index| {
            let request = plain_request("read", &format!("short-{number}-{index}"));
            instance.send(request)
        });
        for reply in futures_util::future::join_all(short).await {
            assert_eq!(reply.unwrap().status, StatusCode::OK);
        }
        assert!(sent_at.elapsed() < Duration::from_secs(1));
    }
}

/// Answers requests on a connection. One with a long body is rejected at its head, and read on after ten
/// seconds.
async fn reject_long_bodies(stream: TcpStream) {
    let mut stream = BufReader::new(stream);
    while let Some((attempt, length)) = read_head(&mut stream).await {
        let is_long = length > 1_000_000;
        let status = if is_long {
            "503 Service Unavailable\r\nnot-executed: 1"
        } else {
            "200 OK\r\nserver-signature: sig"
        };
        let head =
            format!("HTTP/1.1 {status}\r\nattempt-id: {attempt}\r\ncontent-length: 0\r\n\r\n");
        if stream.get_mut().write_all(head.as_bytes()).await.is_err() {
            return;
        }
        if is_long {
            tokio::time::sleep(Duration::from_secs(10)).await;
        }
        if stream.read_exact(&mut vec![0; length]).await.is_err() {
            return;
        }
    }
}
