//! Shutdown, signals, logs, metrics and settings of the process.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Behaviour, Store, Upstream};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    IMMEDIATE_RESPONSE, Instance, Reply, Turn, configure_timeout, plain_request, start_site,
    wait_for,
};

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

/// Routes of all kinds, with requests that may last longer than a shutdown.
fn long_request(route: &str, attempt: &str, deadline_ms: u64) -> Request<Full<Bytes>> {
    let mut request = match route {
        "read" | "pay" => plain_request(route, attempt),
        _ => Turn::first(route, attempt).request(),
    };
    let headers = request.headers_mut();
    headers.insert("deadline-ms", deadline_ms.into());
    request
}

/// A store with routes of a long timeout, and an upstream of each service that responds late.
fn start_slow_site(response_ms: u64) -> (Store, [Upstream; 2]) {
    let store = Store::spawn();
    configure_timeout(&store, 3, 20_000);
    let slow = Behaviour::Respond {
        events: 1,
        interval_ms: response_ms,
    };
    let upstreams = [("i-1", "app"), ("i-2", "engine")]
        .map(|(id, service)| Upstream::spawn(&store, id, service, slow));
    (store, upstreams)
}

fn has_run(upstreams: &[Upstream], attempt: &str) -> bool {
    let mut runs = upstreams.iter().flat_map(Upstream::requests);
    runs.any(|run| run.attempt_id == attempt)
}

/// The end of a shutdown would cut off a request that can't be repeated, and its caller would not know
/// whether it has run. One that can't end in time is not sent; the others get a response.
#[tokio::test]
async fn no_unrepeatable_request_is_cut_off_by_the_end_of_a_shutdown() {
    let (store, upstreams) = start_slow_site(9_000);
    let instance = Instance::spawn(&store, "a").await;
    instance.signal("TERM");
    let send = async |at_ms: u64, route: &str, deadline_ms: u64| {
        tokio::time::sleep(Duration::from_millis(at_ms)).await;
        let attempt = format!("{route}-{at_ms}");
        let request = long_request(route, &attempt, deadline_ms);
        let reply: Option<Reply> = instance.send(request).await;
        (attempt, reply)
    };
    let (pay, chat, late_pay, late_chat, read, short) = tokio::join!(
        send(900, "pay", 12_000),
        send(900, "chat", 12_000),
        send(2_700, "pay", 5_000),
        send(2_700, "chat", 5_000),
        send(1_000, "read", 12_000),
        send(1_100, "pay", 3_000),
    );
    for (attempt, reply) in [pay, chat, late_pay, late_chat] {
        let reply = reply.unwrap_or_else(|| panic!("{attempt} was cut off"));
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{attempt}");
        assert!(!has_run(&upstreams, &attempt), "{attempt}");
    }
    // What may run again is taken and has a response before the end, and so has what ends in time.
    for (attempt, reply) in [read, short] {
        let reply = reply.unwrap_or_else(|| panic!("{attempt} was cut off"));
        assert!(reply.is_complete && reply.status.is_server_error());
        assert!(has_run(&upstreams, &attempt), "{attempt}");
    }
}

/// Requests that were sent before the stop signal, and last longer than the shutdown.
#[tokio::test]
async fn requests_that_outlast_a_shutdown_get_an_error_before_its_end() {
    let (store, upstreams) = start_slow_site(12_000);
    let instance = Instance::spawn(&store, "a").await;
    let stop = async {
        wait_for("the requests run", || async {
            let has_run = |attempt| has_run(&upstreams, attempt);
            (has_run("pay") && has_run("read") && has_run("chat")).then_some(())
        })
        .await;
        instance.signal("TERM");
    };
    let send = async |route: &str| instance.send(long_request(route, route, 15_000)).await;
    let (pay, read, chat, ()) = tokio::join!(send("pay"), send("read"), send("chat"), stop);
    for reply in [pay, read, chat] {
        let reply = reply.expect("the request was cut off");
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
        assert!(reply.is_complete);
    }
}

/// The body of a request arrives late in the shutdown, after its head was read early.
#[tokio::test]
async fn a_request_whose_body_arrives_late_in_a_shutdown_is_answered() {
    let (store, _upstreams) = start_slow_site(700);
    let instance = Instance::spawn(&store, "a").await;
    instance.signal("TERM");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut connections = Vec::new();
    for (number, deadline_ms) in [(0, 6_000), (1, 9_000)] {
        let mut connection = TcpStream::connect(instance.callers).await.unwrap();
        let head = format!(
            "POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: t{number}\r\n\
             deadline-ms: {deadline_ms}\r\ncontent-length: 2\r\n\r\n"
        );
        connection.write_all(head.as_bytes()).await.unwrap();
        connections.push(connection);
    }
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    for (number, mut connection) in connections.into_iter().enumerate() {
        // The second one is rejected already.
        let _ = connection.write_all(b"hi").await;
        let reply = read_reply(&mut connection).await;
        let expected = ["HTTP/1.1 200", "HTTP/1.1 503"][number];
        assert!(reply.starts_with(expected), "{number}: {reply:?}");
    }
}

/// The platform allows less time than its load balancer takes to notice.
#[tokio::test]
async fn a_short_shutdown_cuts_nothing_off() {
    let (store, upstreams) = start_slow_site(1_000);
    let instance = Instance::spawn_with_stop(&store, "a", 3.0).await;
    instance.signal("TERM");
    let sent = (0..30).map(|number| {
        let (instance, upstreams) = (&instance, &upstreams);
        async move {
            tokio::time::sleep(Duration::from_millis(100 * number)).await;
            let attempt = format!("t{number}");
            let reply = instance.send(long_request("pay", &attempt, 1_600)).await;
            let status = reply.map(|reply| reply.status);
            if has_run(upstreams, &attempt) {
                assert_eq!(status, Some(StatusCode::OK), "{attempt}");
            }
            status
        }
    });
    let statuses = futures_util::future::join_all(sent).await;
    assert!(statuses.contains(&Some(StatusCode::OK)));
    assert!(statuses.contains(&Some(StatusCode::SERVICE_UNAVAILABLE)));
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
