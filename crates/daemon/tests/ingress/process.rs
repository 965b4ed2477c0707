//! Shutdown, signals, logs, metrics and settings of the process.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::Behaviour;
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{IMMEDIATE_RESPONSE, Instance, plain_request, start_site, wait_for};

#[tokio::test]
async fn shutdown_completes_running_requests() {
    let slow = Behaviour::Respond {
        events: 1,
        interval_ms: 600,
    };
    let (store, [upstream]) = start_site("app", [slow]);
    let mut instance = Instance::spawn(&store, "a").await;
    let stop = async {
        wait_for("the request runs", || async {
            (!upstream.requests().is_empty()).then_some(())
        })
        .await;
        instance.signal("TERM");
        Instant::now()
    };
    let (reply, signalled) = tokio::join!(instance.send(plain_request("pay", "t1")), stop);
    assert_eq!(reply.unwrap().status, StatusCode::OK);
    assert!(!instance.is_ready().await);
    // The load balancer still opens new connections for a while.
    let late = instance.send(plain_request("pay", "t2")).await.unwrap();
    assert_eq!(late.header("connection"), Some("close"));
    // From three seconds after the signal on, the instance rejects new requests.
    let is_early = signalled.elapsed() < Duration::from_millis(3_000);
    assert!(
        is_early,
        "the machine is too slow for this test: the request ended {:?} after the signal",
        signalled.elapsed()
    );
    assert_eq!(late.status, StatusCode::OK);
    assert!(instance.wait_for_exit().await);
}

/// Requests have arrived on open connections when the stop signal does. The instance was paused, so
/// that it finds all of them and the signal at the same time.
#[tokio::test]
async fn requests_that_arrive_with_the_stop_signal_are_answered() {
    const CONNECTIONS: usize = 60;
    let (store, [upstream]) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        let mut connection = TcpStream::connect(instance.callers).await.unwrap();
        let reply = exchange(&mut connection, &format!("first-{number}")).await;
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
        connections.push(connection);
    }
    instance.signal("STOP");
    for (number, connection) in connections.iter_mut().enumerate() {
        let request = raw_request(&format!("second-{number}"));
        connection.write_all(request.as_bytes()).await.unwrap();
    }
    instance.signal("TERM");
    instance.signal("CONT");
    for (number, connection) in connections.iter_mut().enumerate() {
        let reply = read_reply(connection).await;
        assert!(reply.starts_with("HTTP/1.1 200"), "{number}: {reply:?}");
        assert!(read_reply(connection).await.is_empty(), "{number}: open");
    }
    assert_eq!(upstream.requests().len(), 2 * CONNECTIONS);
}

fn raw_request(attempt: &str) -> String {
    format!(
        "POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: {attempt}\r\n\
         deadline-ms: 3000\r\ncontent-length: 2\r\n\r\nhi"
    )
}

async fn exchange(connection: &mut TcpStream, attempt: &str) -> String {
    let request = raw_request(attempt);
    connection.write_all(request.as_bytes()).await.unwrap();
    read_reply(connection).await
}

/// Reads what arrives at once, which is a whole response of the fake upstream, or nothing if the
/// connection was closed.
async fn read_reply(connection: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4_096];
    let len = connection.read(&mut bytes).await.unwrap_or(0);
    String::from_utf8_lossy(&bytes[..len]).into_owned()
}

/// When all instances of a zone stop one after the other, the load balancer still sends callers to
/// each of them late in its shutdown. A request accepted then would be cut off by the exit of the
/// process.
#[tokio::test]
async fn requests_late_in_a_shutdown_are_rejected() {
    let slow = Behaviour::Respond {
        events: 1,
        interval_ms: 3_700,
    };
    let (store, [upstream]) = start_site("app", [slow]);
    let instance = Instance::spawn(&store, "a").await;
    instance.signal("TERM");
    let late = async {
        tokio::time::sleep(Duration::from_millis(3_300)).await;
        instance.send(plain_request("pay", "late")).await
    };
    let running = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut request = plain_request("pay", "running");
        request
            .headers_mut()
            .insert("deadline-ms", "4000".parse().unwrap());
        instance.send(request).await
    };
    let (running, late) = tokio::join!(running, late);
    assert_eq!(running.unwrap().status, StatusCode::OK);
    let late = late.unwrap();
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(late.retry_after().is_some());
    assert_eq!(upstream.requests().len(), 1);
}

#[tokio::test]
async fn shutdown_ends_within_its_timeout() {
    let (store, _upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    let mut instance = Instance::spawn(&store, "a").await;
    let started_at = Instant::now();
    instance.signal("TERM");
    assert!(instance.wait_for_exit().await);
    assert!(started_at.elapsed() < Duration::from_secs(8));
}

#[tokio::test]
async fn sighup_is_logged_and_requests_are_still_served() {
    let (store, _upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    instance.signal("HUP");
    wait_for("the signal is logged", || async {
        (!instance.events("E0705").is_empty()).then_some(())
    })
    .await;
    let reply = instance.send(plain_request("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

#[tokio::test]
async fn logs_and_metrics_report_request_outcomes() {
    let (store, _upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    instance.send(plain_request("pay", "t1")).await.unwrap();
    instance.send(plain_request("nowhere", "t2")).await.unwrap();
    let line = wait_for("the response is logged", || async {
        instance
            .events("E0741")
            .into_iter()
            .find(|line| line["request"] == "t1")
    })
    .await;
    assert_eq!(line["upstream"], "i-1");
    assert_eq!(line["status"], 200);
    let line = wait_for("the rejection is logged", || async {
        instance
            .events("E0742")
            .into_iter()
            .find(|line| line["request"] == "t2")
    })
    .await;
    assert_eq!(line["refusal"], "NoRoute");
    let metrics = instance.metrics().await;
    let assert_contains = |text: &str| assert!(metrics.contains(text), "{text} in {metrics}");
    assert_contains("outcome=\"answered\"");
    assert_contains("outcome=\"no_route\"");
    assert_contains("basilramp_request_time");
}

#[tokio::test]
async fn log_lines_of_one_event_are_rate_limited_and_counted() {
    let (store, _upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let names: Vec<_> = (0..600).map(|index| format!("t{index}")).collect();
    for chunk in names.chunks(50) {
        let sent = chunk
            .iter()
            .map(|name| instance.send(plain_request("nowhere", name)));
        futures_util::future::join_all(sent).await;
    }
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    instance
        .send(plain_request("nowhere", "last"))
        .await
        .unwrap();
    let suppressed = wait_for("the suppressed lines are counted", || async {
        let lines = instance.events("E0707");
        let counts = lines.iter().filter_map(|line| line["lines"].as_u64());
        let total: u64 = counts.sum();
        (total as usize + instance.events("E0742").len() == names.len() + 1).then_some(total)
    })
    .await;
    assert!(suppressed > 0);
}

/// The platform states durations in seconds, some with a fraction.
#[test]
fn stop_s_accepts_fractional_seconds() {
    let settings = |stop: &str| {
        let text = format!(
            r#"{{"instance": {{"id": "a", "failure_domain": "z"}},
                "ingress": {{"callers": "127.0.0.1:1", "ready": "127.0.0.1:2",
                    "metrics": "127.0.0.1:3", "store": "127.0.0.1:4", "memory_mb": 88,
                    "stop_s": {stop}}}}}"#
        );
        basilramp_ingress::Settings::parse(&text).map(|settings| settings.stop_ms)
    };
    assert_eq!(settings("7.5").ok(), Some(7_500));
    assert_eq!(settings("8").ok(), Some(8_000));
    for invalid in ["0", "-1", "1e9", "\"8\""] {
        let faults = settings(invalid).unwrap_err().to_string();
        assert!(
            faults.contains("ingress.stop_s: has to be seconds"),
            "{faults}"
        );
    }
}
