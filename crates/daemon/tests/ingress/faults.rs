//! Callers that leave, and bytes that are no request.

use std::time::Duration;

use basilramp_fakes::user_platform::Behaviour;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{ANSWERS, Instance, plain, site, until};

#[tokio::test]
async fn a_caller_that_leaves_ends_its_run() {
    let slow = Behaviour::Respond {
        events: 500,
        interval_ms: 20,
    };
    let (store, [upstream]) = site("engine", [slow]);
    let instance = Instance::spawn(&store, "a").await;
    let mut stream = TcpStream::connect(instance.callers).await.unwrap();
    let head = "POST /advice/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: t1\r\n\
                token-usage: 900,100\r\ndeadline-ms: 4000\r\ncontent-length: 2\r\n\r\nhi";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut start = [0; 64];
    assert!(stream.read(&mut start).await.unwrap() > 0);
    drop(stream);
    // The stand-in goes on making events until its own connection ends.
    let steady = || async {
        let before = instance.events("E0745").len() + instance.events("E0744").len();
        tokio::time::sleep(Duration::from_millis(10)).await;
        (before > 0).then_some(())
    };
    until("the instance notices that the caller left", steady).await;
    assert!(!upstream.requests()[0].completed);
}

/// Sends bytes, and returns all that comes back within a second.
async fn raw(instance: &Instance, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(instance.callers).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(1), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn a_request_in_the_body_of_another_is_not_run() {
    let (store, [upstream]) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    let inner = "POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: smuggled\r\n\
                 content-length: 0\r\n\r\n";
    let outer = format!(
        "POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: outer\r\n\
         content-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
        inner.len() + 5
    );
    raw(&instance, outer.as_bytes()).await;
    let attempts: Vec<_> = upstream
        .requests()
        .into_iter()
        .map(|run| run.attempt_id)
        .collect();
    assert!(!attempts.contains(&"smuggled".to_owned()), "{attempts:?}");
}

#[tokio::test]
async fn bytes_that_are_no_request_harm_nobody() {
    let (store, [upstream]) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    let faulty: [&[u8]; 4] = [
        b"\0\0\0\0\r\n\r\n",
        b"POST /pay/x HTTP/1.1\r\ncontent-length: -4\r\n\r\n",
        b"POST /pay/x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        b"POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: t0\r\ncontent-length: 9\r\n\r\nshort",
    ];
    for bytes in faulty {
        let answer = raw(&instance, bytes).await;
        assert!(!answer.contains("200 OK"), "{answer}");
    }
    assert!(upstream.requests().is_empty());
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}
