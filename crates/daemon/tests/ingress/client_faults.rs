//! Callers that disconnect, and malformed requests.

use std::time::Duration;

use basilramp_fakes::user_platform::Behaviour;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{IMMEDIATE_RESPONSE, Instance, plain_request, start_site, wait_for};

#[tokio::test]
async fn a_caller_disconnect_cancels_its_run() {
    let slow = Behaviour::Respond {
        events: 500,
        interval_ms: 20,
    };
    let (store, [upstream]) = start_site("engine", [slow]);
    let instance = Instance::spawn(&store, "a").await;
    let mut stream = TcpStream::connect(instance.callers).await.unwrap();
    let head = "POST /advice/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: t1\r\n\
                token-usage: 900,100\r\ndeadline-ms: 4000\r\ncontent-length: 2\r\n\r\nhi";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut start = [0; 64];
    assert!(stream.read(&mut start).await.unwrap() > 0);
    drop(stream);
    // The fake upstream streams events until its own connection closes.
    let disconnect_logged = || async {
        let before = instance.events("E0745").len() + instance.events("E0744").len();
        tokio::time::sleep(Duration::from_millis(10)).await;
        (before > 0).then_some(())
    };
    wait_for(
        "the instance logs that the caller disconnected",
        disconnect_logged,
    )
    .await;
    assert!(!upstream.requests()[0].completed);
}

/// Idle callers take all connections that the instance has for callers. Probes, the store and
/// upstreams keep theirs, and a caller that is connected is served.
#[tokio::test]
async fn idle_callers_do_not_use_up_the_descriptors() {
    const DESCRIPTORS: u32 = 120;
    let (store, [upstream]) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn_with_descriptors(&store, "a", DESCRIPTORS).await;
    let first = TcpStream::connect(instance.callers).await.unwrap();
    let mut idle = Vec::new();
    for _ in 0..2 * DESCRIPTORS {
        idle.push(TcpStream::connect(instance.callers).await.unwrap());
    }
    wait_for("connections are refused", || async {
        (!instance.events("E0706").is_empty()).then_some(())
    })
    .await;
    for _ in 0..10 {
        assert!(instance.is_ready().await);
    }
    let mut first = first;
    let request = "POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: t1\r\n\
                   deadline-ms: 3000\r\ncontent-length: 2\r\n\r\nhi";
    first.write_all(request.as_bytes()).await.unwrap();
    let mut start = [0; 15];
    first.read_exact(&mut start).await.unwrap();
    assert_eq!(&start, b"HTTP/1.1 200 OK");
    assert_eq!(upstream.requests().len(), 1);
    assert!(instance.events("E0711").is_empty(), "the store is down");
    drop(idle);
    wait_for("new callers are served", || async {
        instance.send(plain_request("pay", "t2")).await
    })
    .await;
}

/// Sends bytes on a new connection. Returns all that is received within a second.
async fn send_raw(instance: &Instance, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(instance.callers).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_secs(1), read).await;
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test]
async fn a_request_smuggled_in_a_body_is_not_run() {
    let (store, [upstream]) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let inner = "POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: smuggled\r\n\
                 content-length: 0\r\n\r\n";
    let outer = format!(
        "POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: outer\r\n\
         content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
        inner.len() + 5
    );
    send_raw(&instance, outer.as_bytes()).await;
    let attempts: Vec<_> = upstream
        .requests()
        .into_iter()
        .map(|run| run.attempt_id)
        .collect();
    assert!(!attempts.contains(&"smuggled".to_owned()), "{attempts:?}");
}

#[tokio::test]
async fn malformed_requests_are_rejected_and_later_ones_served() {
    let (store, [upstream]) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let malformed: [&[u8]; 4] = [
        b"\0\0\0\0\r\n\r\n",
        b"POST /pay/x HTTP/1.1\r\ncontent-length: -4\r\n\r\n",
        b"POST /pay/x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        b"POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: t0\r\ncontent-length: 9\r\n\r\nshort",
    ];
    for bytes in malformed {
        let response = send_raw(&instance, bytes).await;
        assert!(!response.contains("200 OK"), "{response}");
    }
    assert!(upstream.requests().is_empty());
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}
