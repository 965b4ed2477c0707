//! Start, stop and reload of the process.

use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::Behaviour;
use http::StatusCode;

use crate::support::{ANSWERS, Instance, plain, site, until};

#[tokio::test]
async fn a_stop_cuts_off_nothing() {
    let slow = Behaviour::Respond {
        events: 1,
        interval_ms: 600,
    };
    let (store, [upstream]) = site("app", [slow]);
    let mut instance = Instance::spawn(&store, "a").await;
    let stop = async {
        until("the request runs", || async {
            (!upstream.requests().is_empty()).then_some(())
        })
        .await;
        instance.signal("TERM");
        Instant::now()
    };
    let (reply, signalled) = tokio::join!(instance.send(plain("pay", "t1")), stop);
    assert_eq!(reply.unwrap().status, StatusCode::OK);
    assert!(!instance.is_ready().await);
    // The balancer still sends new connections for a while.
    let late = instance.send(plain("pay", "t2")).await.unwrap();
    assert_eq!(late.header("connection"), Some("close"));
    // Three seconds after the signal it would be refused by design.
    let is_early = signalled.elapsed() < Duration::from_millis(3_000);
    assert!(
        is_early,
        "the machine is too busy: {:?}",
        signalled.elapsed()
    );
    assert_eq!(late.status, StatusCode::OK);
    assert!(instance.wait_end().await);
}

/// The load: all instances of a zone stop one after the other, so the balancer still sends
/// callers to each, late in its stop. What is taken then is cut off by the end.
#[tokio::test]
async fn late_in_a_stop_nothing_more_is_taken() {
    let slow = Behaviour::Respond {
        events: 1,
        interval_ms: 3_700,
    };
    let (store, [upstream]) = site("app", [slow]);
    let instance = Instance::spawn(&store, "a").await;
    instance.signal("TERM");
    let late = async {
        tokio::time::sleep(Duration::from_millis(3_300)).await;
        instance.send(plain("pay", "late")).await
    };
    let held = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut request = plain("pay", "held");
        request
            .headers_mut()
            .insert("deadline-ms", "4000".parse().unwrap());
        instance.send(request).await
    };
    let (held, late) = tokio::join!(held, late);
    assert_eq!(held.unwrap().status, StatusCode::OK);
    let late = late.unwrap();
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(late.retry_after().is_some());
    assert_eq!(upstream.requests().len(), 1);
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
    until("the signal is logged", || async {
        (!instance.events("E0705").is_empty()).then_some(())
    })
    .await;
    let reply = instance.send(plain("pay", "t1")).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
}

#[tokio::test]
async fn logs_and_metrics_tell_how_a_request_ended() {
    let (store, _upstreams) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    instance.send(plain("pay", "t1")).await.unwrap();
    instance.send(plain("nowhere", "t2")).await.unwrap();
    let line = until("the answer is logged", || async {
        instance
            .events("E0741")
            .into_iter()
            .find(|line| line["request"] == "t1")
    })
    .await;
    assert_eq!(line["upstream"], "i-1");
    assert_eq!(line["status"], 200);
    let line = until("the refusal is logged", || async {
        instance
            .events("E0742")
            .into_iter()
            .find(|line| line["request"] == "t2")
    })
    .await;
    assert_eq!(line["refusal"], "NoRoute");
    let metrics = instance.metrics().await;
    let has = |text: &str| assert!(metrics.contains(text), "{text} in {metrics}");
    has("outcome=\"answered\"");
    has("outcome=\"no_route\"");
    has("basilramp_request_time");
}

#[tokio::test]
async fn lines_of_a_kind_are_bounded_and_counted() {
    let (store, _upstreams) = site("app", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    let names: Vec<_> = (0..600).map(|index| format!("t{index}")).collect();
    for chunk in names.chunks(50) {
        let sent = chunk
            .iter()
            .map(|name| instance.send(plain("nowhere", name)));
        futures_util::future::join_all(sent).await;
    }
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    instance.send(plain("nowhere", "last")).await.unwrap();
    let left_out = until("the lines left out are counted", || async {
        let lines = instance.events("E0707");
        let counts = lines.iter().filter_map(|line| line["lines"].as_u64());
        let total: u64 = counts.sum();
        (total as usize + instance.events("E0742").len() == names.len() + 1).then_some(total)
    })
    .await;
    assert!(left_out > 0);
}

/// The platform states its times in seconds, some with a fraction.
#[test]
fn the_time_of_a_stop_may_have_a_fraction() {
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
    for faulty in ["0", "-1", "1e9", "\"8\""] {
        let faults = settings(faulty).unwrap_err().to_string();
        assert!(
            faults.contains("ingress.stop_s: has to be seconds"),
            "{faults}"
        );
    }
}
