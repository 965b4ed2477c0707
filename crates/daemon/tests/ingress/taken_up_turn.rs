//! Turns whose streams callers take up again: the next turn contains the whole response, whichever
//! instances sent its parts.

use std::net::SocketAddr;
use std::time::Duration;

use basilramp_fakes::user_platform::{Behaviour, Mode, Store, Upstream};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::support::{Instance, Reply, Turn, start_site, wait_for};

const EVENTS: usize = 12;

const SLOW: Behaviour = Behaviour::Respond {
    events: EVENTS as u64,
    interval_ms: 60,
};

fn turn<'a>(attempt: &'a str, previous: Option<&'a str>, input: &'a str) -> Turn<'a> {
    Turn::chained("varied", attempt, previous, input)
}

/// Returns the request with which a caller takes up the first turn, of which it has some events.
fn resumption(attempt: &str, begun_by: &str, events: usize) -> Request<Full<Bytes>> {
    let mut request = turn(attempt, None, "one,").request();
    let headers = request.headers_mut();
    headers.insert("resumes", begun_by.parse().unwrap());
    headers.insert("last-event-id", events.into());
    request
}

/// Returns the data of the events in a body.
fn data(body: &str) -> Vec<String> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.map(str::to_owned).collect()
}

/// Sends a request and ends its instance after some events. Returns the data of the events received.
async fn send_until_killed(
    instance: Instance,
    request: Request<Full<Bytes>>,
    events: u32,
) -> Vec<String> {
    let (reply, ()) = tokio::join!(instance.send(request), async {
        tokio::time::sleep(Duration::from_millis(60) * events + Duration::from_millis(90)).await;
        instance.signal("KILL");
    });
    let reply = reply.unwrap();
    assert!(!reply.is_complete);
    data(&reply.body)
}

/// Sends a turn after the taken-up one `previous`. Returns the body that an upstream received.
async fn next_turn_body(
    store: &Store,
    upstreams: &[Upstream],
    previous: &str,
    name: &str,
) -> (StatusCode, Option<String>) {
    let instance = Instance::spawn(store, name).await;
    let attempt = format!("after-{previous}");
    let request = turn(&attempt, Some(previous), "two,").request();
    let reply = instance.send(request).await.unwrap();
    let mut runs = upstreams.iter().flat_map(Upstream::requests);
    let run = runs.find(|run| run.attempt_id == attempt);
    let body = run.map(|run| String::from_utf8_lossy(&run.body).into_owned());
    (reply.status, body)
}

fn expected_body(events: &[String]) -> String {
    format!("one,{}\ntwo,", events.join("\n"))
}

/// Each try of the caller gets a part of the response, and only the instance of the last one lives.
#[tokio::test]
async fn the_next_turn_contains_the_events_of_all_tries() {
    let (store, upstreams) = start_site("engine", [SLOW, SLOW]);
    let first = Instance::spawn(&store, "a").await;
    let mut events = send_until_killed(first, turn("t1", None, "one,").request(), 2).await;
    assert!(!events.is_empty());
    let second = Instance::spawn(&store, "b").await;
    let request = resumption("t1-b", "t1", events.len());
    events.extend(send_until_killed(second, request, 2).await);
    let third = Instance::spawn(&store, "c").await;
    let reply = third.send(resumption("t1-c", "t1", events.len())).await;
    let reply = reply.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.is_complete);
    events.extend(data(&reply.body));
    assert_eq!(events.len(), EVENTS);
    let (status, body) = next_turn_body(&store, &upstreams, "t1-c", "d").await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(body.unwrap(), expected_body(&events));
}

/// The caller's connection breaks, with events on their way to it. It does not have them, so they are no
/// part of the turn.
#[tokio::test]
async fn events_that_the_caller_does_not_have_are_no_part_of_its_turn() {
    let (store, upstreams) = start_site("engine", [SLOW, SLOW]);
    let first = Instance::spawn(&store, "a").await;
    let second = Instance::spawn(&store, "b").await;
    let all = read_some(first.callers, turn("t1", None, "one,").request(), 4).await;
    // It has received two of them when it gives up.
    let mut events = all[..2].to_vec();
    let reply = second.send(resumption("t1-b", "t1", 2)).await.unwrap();
    assert!(reply.is_complete);
    events.extend(data(&reply.body));
    assert_eq!(events.len(), EVENTS);
    assert!(events[2].ends_with("t1-b"));
    let (status, body) = next_turn_body(&store, &upstreams, "t1-b", "c").await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(body.unwrap(), expected_body(&events));
}

/// Reads some events of a response, then closes the connection.
async fn read_some(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    events: usize,
) -> Vec<String> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .unwrap();
    let driver = tokio::spawn(connection);
    let mut body = sender.send_request(request).await.unwrap().into_body();
    let mut text = String::new();
    while data(&text).len() < events {
        let frame = body.frame().await.unwrap().unwrap();
        text.push_str(&String::from_utf8_lossy(frame.data_ref().unwrap()));
    }
    driver.abort();
    data(&text)
}

/// Without the store, events are sent that no other instance knows. Their turn can't be stored as a
/// whole, so it is not continued, and the caller sends it again from its start.
#[tokio::test]
async fn a_turn_of_unknown_events_is_rejected_at_once() {
    let (store, upstreams) = start_site("engine", [SLOW, SLOW]);
    let first = Instance::spawn(&store, "a").await;
    let begun = turn("t0", None, "zero,").request();
    // The tokens for the next turn are granted with this one.
    assert!(first.send(begun).await.unwrap().is_complete);
    let second = Instance::spawn(&store, "b").await;
    let (events, ()) = tokio::join!(
        send_until_killed(first, turn("t1", None, "one,").request(), 5),
        async {
            tokio::time::sleep(Duration::from_millis(190)).await;
            store.set_mode(Mode::Unavailable);
        }
    );
    store.set_mode(Mode::Up);
    wait_for("the store is available", || async {
        let reply = second.send(turn("t2", None, "two,").request()).await;
        (reply?.status == StatusCode::OK).then_some(())
    })
    .await;
    assert!(events.len() > 3, "{events:?}");
    let request = resumption("t1-b", "t1", events.len());
    let reply: Reply = second.send(request).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(second.wait_for_event("E0756").await["begun_by"], "t1");
    let ran = |upstream: &Upstream| {
        upstream
            .requests()
            .iter()
            .any(|run| run.attempt_id == "t1-b")
    };
    assert!(!upstreams.iter().any(ran));
}
