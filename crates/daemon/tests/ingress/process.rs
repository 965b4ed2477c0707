//! Start, stop and reload of the process.

use std::time::{Duration, Instant};

use basilramp_fakes::site::Behaviour;
use http::StatusCode;

use crate::support::{ANSWERS, Instance, plain, site, until};

#[tokio::test]
async fn a_stop_cuts_off_nothing() {
    let slow = Behaviour::Answer {
        events: 1,
        pause_ms: 1_500,
    };
    let (store, _upstreams) = site("app", [slow]);
    let mut instance = Instance::spawn(&store, "a").await;
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        instance.signal("TERM");
    };
    let (reply, ()) = tokio::join!(instance.send(plain("pay", "t1")), stop);
    assert_eq!(reply.unwrap().status, StatusCode::OK);
    assert!(!instance.is_ready().await);
    // The balancer still sends new connections for a while.
    let late = instance.send(plain("pay", "t2")).await.unwrap();
    assert_eq!(late.status, StatusCode::OK);
    assert_eq!(late.header("connection"), Some("close"));
    assert!(instance.wait_end().await);
}

#[tokio::test]
async fn a_stop_ends_within_its_time() {
    let (store, _upstreams) = site("app", [ANSWERS]);
    let mut instance = Instance::spawn(&store, "a").await;
    let began = Instant::now();
    instance.signal("TERM");
    assert!(instance.wait_end().await);
    assert!(began.elapsed() < Duration::from_secs(8));
}

#[tokio::test]
async fn a_hangup_is_logged_and_stops_nothing() {
    let (store, _upstreams) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    instance.signal("HUP");
    until("the reload is logged", || async {
        (!instance.events("E0705").is_empty()).then_some(())
    })
    .await;
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}
