//! Requests that crash the upstreams which begin to run them, sent again and again at any instance.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use basilramp_fakes::user_platform::{Behaviour, Mode, Store, Upstream};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::sleep;

use crate::support::{Instance, Reply, Turn, configure, plain_request, send_from, wait_for};

/// Upstreams that a request may crash before every instance has to reject it.
const MAX_CRASHES: usize = 3;

/// Time after the last of these crashes within which all instances have to know of them.
const STABLE: Duration = Duration::from_secs(3);

/// Attempts that may reach upstreams after that.
const MAX_LATER_ATTEMPTS: usize = 3;

/// Time after which a crashed upstream is started again.
const RESTART_DELAY: Duration = Duration::from_millis(700);

/// Interval at which a crashing request is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// Address of the caller whose requests crash upstreams.
const FAULTY_CALLER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// An upstream that takes long enough that a crash meets other requests there.
const SLOW_RESPONSE: Behaviour = Behaviour::Respond {
    events: 3,
    interval_ms: 60,
};

/// Upstreams that are started again after a crash.
struct Site {
    store: Store,
    upstreams: Vec<Upstream>,
    instances: Vec<Instance>,
}

impl Site {
    async fn spawn(service: &str, upstreams: usize, instances: usize) -> Self {
        let store = Store::spawn();
        configure(&store, 3);
        let upstreams = (0..upstreams)
            .map(|index| Upstream::spawn(&store, &format!("i-{index}"), service, SLOW_RESPONSE));
        let upstreams = upstreams.collect();
        let mut running = Vec::new();
        for index in 0..instances {
            running.push(Instance::spawn(&store, &format!("n{index}")).await);
        }
        Self {
            store,
            upstreams,
            instances: running,
        }
    }

    /// Starts crashed upstreams again, until `until`.
    async fn keep_running(&self, until: Instant) {
        let mut restarts = 0;
        while Instant::now() < until {
            for upstream in &self.upstreams {
                let crashed_at = upstream.crashes().last().map(|crash| crash.at);
                if !upstream.is_running()
                    && crashed_at.is_none_or(|at| at.elapsed() > RESTART_DELAY)
                {
                    restarts += 1;
                    upstream.restart(&self.store, &format!("r-{restarts}"));
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request to the instances in turn, until `until`. Returns the last reply.
    async fn resend(
        &self,
        name: &str,
        until: Instant,
        request: impl Fn(&str) -> Request<Full<Bytes>>,
    ) -> Option<Reply> {
        let mut last = None;
        for number in 0.. {
            if Instant::now() >= until {
                break;
            }
            let instance = &self.instances[number % self.instances.len()];
            let request = request(&format!("{name}-{number}"));
            last = send_from(FAULTY_CALLER, instance.callers, request).await;
            sleep(RESEND_INTERVAL).await;
        }
        last
    }

    /// Returns the number of crashes that requests with a body caused.
    fn crashes(&self, body: &str) -> usize {
        let crashes = self.upstreams.iter().flat_map(Upstream::crashes);
        crashes.filter(|crash| crash.body == body).count()
    }

    /// Returns the number of log lines of an event at all instances.
    fn events(&self, code: &str) -> usize {
        let lines = self.instances.iter().map(|instance| instance.events(code));
        lines.map(|lines| lines.len()).sum()
    }

    /// Returns the number of attempts with a body that reached upstreams later than [`STABLE`] after
    /// the request had crashed [`MAX_CRASHES`] of them, and the number of its crashes.
    fn later_crashes(&self, body: &str) -> (usize, usize) {
        let crashes = self.upstreams.iter().flat_map(Upstream::crashes);
        let mut times: Vec<_> = crashes
            .filter(|crash| crash.body == body)
            .map(|crash| crash.at)
            .collect();
        times.sort();
        let Some(third) = times.get(MAX_CRASHES - 1) else {
            return (0, times.len());
        };
        let later = times.iter().filter(|at| **at > *third + STABLE);
        (later.count(), times.len())
    }
}

fn turn(route: &str, attempt: &str, input: &str) -> Request<Full<Bytes>> {
    Turn {
        input,
        ..Turn::first(route, attempt)
    }
    .request()
}

fn plain(route: &str, attempt: &str, body: &str) -> Request<Full<Bytes>> {
    plain_request(route, attempt).map(|_| Full::from(body.to_owned()))
}

/// The request comes again with other attempt ids, at all instances, of which none sees three
/// crashes at first.
#[tokio::test]
async fn a_request_that_crashes_upstreams_is_stopped_at_all_instances() {
    for (service, route) in [("engine", "advice"), ("engine", "chat"), ("app", "read")] {
        let site = Site::spawn(service, 8, 4).await;
        let until = Instant::now() + Duration::from_secs(7);
        let body = "CRASH now";
        let request = |attempt: &str| {
            if service == "engine" {
                turn(route, attempt, body)
            } else {
                plain(route, attempt, body)
            }
        };
        let (last, ()) = tokio::join!(
            site.resend("t", until, request),
            site.keep_running(until + RESTART_DELAY * 2)
        );
        let (later, crashes) = site.later_crashes(body);
        assert!(
            later <= MAX_LATER_ATTEMPTS,
            "{route}: {later} of {crashes} crashes came later"
        );
        assert!(crashes >= MAX_CRASHES, "{route}: only {crashes} crashes");
        let last = last.expect("the request is rejected");
        assert_eq!(last.status, StatusCode::BAD_GATEWAY, "{route}");
        assert_eq!(last.retry_after(), None, "{route}");
        // An instance that starts now knows it too.
        let late = Instance::spawn(&site.store, "late").await;
        let reply = send_from(FAULTY_CALLER, late.callers, request("late")).await;
        assert_eq!(reply.unwrap().status, StatusCode::BAD_GATEWAY, "{route}");
        assert_eq!(site.crashes(body), crashes, "{route}");
    }
}

/// Engines that end take the requests beside the guilty one with them, some more than once. All of
/// these are served.
#[tokio::test]
async fn requests_beside_a_crashing_one_are_served() {
    let site = Site::spawn("engine", 8, 3).await;
    let until = Instant::now() + Duration::from_secs(6);
    let callers = (0..12).map(|caller| {
        let site = &site;
        async move {
            let (mut served, mut number) = (0, 0);
            while Instant::now() < until {
                number += 1;
                let input = format!("question {caller}-{number}");
                let mut is_served = false;
                for attempt in 0..3 {
                    let instance = &site.instances[(caller + attempt) % 3];
                    let attempt = format!("c{caller}-{number}-{attempt}");
                    let reply = instance.send(turn("advice", &attempt, &input)).await;
                    is_served = reply
                        .is_some_and(|reply| reply.status == StatusCode::OK && reply.is_complete);
                    if is_served {
                        break;
                    }
                    sleep(Duration::from_millis(200)).await;
                }
                assert!(is_served, "caller {caller}, request {number}");
                served += 1;
            }
            served
        }
    });
    let callers = futures_util::future::join_all(callers);
    let (served, _, ()) = tokio::join!(
        callers,
        site.resend("t", until, |attempt| turn("advice", attempt, "CRASH now")),
        site.keep_running(until)
    );
    assert!(served.into_iter().sum::<usize>() > 100);
    let quarantined = site.instances.iter();
    let quarantined = quarantined.flat_map(|instance| instance.events("E0752"));
    for line in quarantined {
        assert!(
            line["request"].as_str().unwrap().starts_with("t-"),
            "{line}"
        );
    }
    assert!(site.crashes("CRASH now") <= MAX_CRASHES + MAX_LATER_ATTEMPTS);
}

/// The caller's address is part of the request: others may send the same target and body.
#[tokio::test]
async fn the_same_request_of_another_caller_is_another_request() {
    let site = Site::spawn("app", 8, 1).await;
    let until = Instant::now() + Duration::from_secs(2);
    let request = |attempt: &str| plain("read", attempt, "CRASH now");
    site.resend("t", until, request).await;
    let crashes = site.crashes("CRASH now");
    assert_eq!(crashes, MAX_CRASHES);
    site.instances[0].send(request("other")).await;
    assert!(site.crashes("CRASH now") > crashes);
}

/// Requests with many bodies for the same target crash upstreams, each of them a few. Guards against one
/// crash after the other although each request is stopped. Requests for other targets are served.
#[tokio::test]
async fn requests_of_a_target_that_crash_upstreams_are_stopped() {
    for (service, route) in [("engine", "advice"), ("engine", "chat"), ("app", "read")] {
        let site = Site::spawn(service, 8, 4).await;
        let until = Instant::now() + Duration::from_secs(8);
        let request = |attempt: &str, body: &str| {
            if service == "engine" {
                turn(route, attempt, body)
            } else {
                plain(route, attempt, body)
            }
        };
        let faulty = site.resend("t", until, |attempt| {
            let number: usize = attempt.rsplit('-').next().unwrap().parse().unwrap();
            request(attempt, &format!("CRASH {}", number % 16))
        });
        let sound = async {
            let (mut served, mut sent) = (0, 0);
            while Instant::now() < until {
                sent += 1;
                let mut request = request(&format!("sound-{sent}"), "question");
                *request.uri_mut() = format!("/{route}/other").parse().unwrap();
                // Its callers try again.
                let instance = &site.instances[sent % 4];
                let reply = instance.send(request).await;
                let is_served = |reply: Reply| reply.status == StatusCode::OK && reply.is_complete;
                served += usize::from(reply.is_some_and(is_served));
                sleep(Duration::from_millis(50)).await;
            }
            (served, sent)
        };
        let (_, (served, sent), ()) =
            tokio::join!(faulty, sound, site.keep_running(until + RESTART_DELAY * 2));
        let crashes = site.upstreams.iter().flat_map(Upstream::crashes);
        let mut times: Vec<_> = crashes.map(|crash| crash.at).collect();
        times.sort();
        let stable = times[MAX_CRASHES - 1] + STABLE;
        let later = times.iter().filter(|at| **at > stable).count();
        assert!(
            later <= MAX_LATER_ATTEMPTS,
            "{route}: {later} of {} crashes came later",
            times.len()
        );
        assert!(served * 10 >= sent * 9, "{route}: {served} of {sent}");
    }
}

/// Requests with different bodies for the target of a crashing one are served, as they complete.
#[tokio::test]
async fn sound_requests_for_the_target_of_a_crashing_one_are_served() {
    let site = Site::spawn("engine", 8, 3).await;
    let until = Instant::now() + Duration::from_secs(5);
    let sound = async {
        let mut sent = 0;
        while Instant::now() < until {
            sent += 1;
            let mut is_served = false;
            for attempt in 0..3 {
                let instance = &site.instances[(sent + attempt) % 3];
                let input = format!("question {sent}");
                let request = turn("advice", &format!("s{sent}-{attempt}"), &input);
                let reply = instance.send(request).await;
                is_served =
                    reply.is_some_and(|reply| reply.status == StatusCode::OK && reply.is_complete);
                if is_served {
                    break;
                }
                sleep(Duration::from_millis(200)).await;
            }
            assert!(is_served, "request {sent}");
        }
    };
    tokio::join!(
        sound,
        site.resend("t", until, |attempt| turn("advice", attempt, "CRASH now")),
        site.keep_running(until)
    );
    assert!(site.crashes("CRASH now") <= MAX_CRASHES + MAX_LATER_ATTEMPTS);
}

/// An instance is killed right after it has seen a crash, and another one starts.
#[tokio::test]
async fn the_evidence_outlives_the_instance_that_saw_the_crash() {
    let site = Site::spawn("app", 8, 1).await;
    let body = "CRASH ".repeat(10_000);
    let request = |attempt: &str| plain("read", attempt, &body);
    // A try may be rejected as not run, while another instance's trial is known too late.
    for round in 0..8 {
        if site.crashes(&body) == MAX_CRASHES {
            break;
        }
        let instance = Instance::spawn(&site.store, &format!("k{round}")).await;
        let attempt = format!("t-{round}");
        send_from(FAULTY_CALLER, instance.callers, request(&attempt)).await;
        // The last crash is stored after the answer; another instance tells when.
        wait_for("the crashes are stored", || async {
            let text = site.instances[0].operator("GET", "/suspects").await.body;
            let listed: serde_json::Value = serde_json::from_str(&text).unwrap();
            let stored = listed[0]["upstreams"].as_array().map_or(0, Vec::len);
            (stored == site.crashes(&body)).then_some(())
        })
        .await;
        instance.signal("KILL");
    }
    assert_eq!(site.crashes(&body), MAX_CRASHES);
    let reply = send_from(FAULTY_CALLER, site.instances[0].callers, request("last")).await;
    assert_eq!(reply.unwrap().status, StatusCode::BAD_GATEWAY);
    assert_eq!(site.crashes(&body), MAX_CRASHES);
}

/// All connections end at once, and no upstream accepts another one: the instance can't tell a crash
/// from a cut of its own links.
#[tokio::test]
async fn an_instance_that_loses_all_upstreams_accuses_nobody() {
    let site = Site::spawn("engine", 4, 1).await;
    let until = Instant::now() + Duration::from_secs(1);
    let requests = (0..8).map(|number| {
        let request = turn(
            "chat",
            &format!("t-{number}"),
            &format!("question {number}"),
        );
        site.instances[0].send(request)
    });
    let requests = futures_util::future::join_all(requests);
    let cut = async {
        sleep(Duration::from_millis(90)).await;
        site.upstreams.iter().for_each(Upstream::crash);
    };
    let (replies, ()) = tokio::join!(requests, cut);
    let broken = replies.iter().flatten().filter(|reply| !reply.is_complete);
    assert!(broken.count() > 0);
    sleep(until.saturating_duration_since(Instant::now())).await;
    assert_eq!(site.events("E0751"), 0);
    let lines = site.instances[0].events("E0755");
    assert!(lines.iter().any(|line| line["finding"] == "unconfirmed"));
    assert_eq!(site.store.row_count("suspect"), 0);
}

/// A planned stop ends the requests in progress, and the upstream is gone afterwards.
#[tokio::test]
async fn an_upstream_that_leaves_is_held_against_no_request() {
    let site = Site::spawn("engine", 3, 1).await;
    let instance = &site.instances[0];
    let stop = async {
        sleep(Duration::from_millis(90)).await;
        for upstream in &site.upstreams[..2] {
            upstream.register(&site.store, "draining");
        }
        instance.wait_for_event("E0732").await;
        site.upstreams[..2].iter().for_each(Upstream::crash);
    };
    let requests = (0..6).map(|number| {
        let request = turn(
            "chat",
            &format!("t-{number}"),
            &format!("question {number}"),
        );
        instance.send(request)
    });
    tokio::join!(futures_util::future::join_all(requests), stop);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(site.events("E0751"), 0);
}

/// An upstream is cut off from the instance and still sends its heartbeats: it did not crash.
#[tokio::test]
async fn the_heartbeats_of_an_upstream_withdraw_its_crash() {
    let site = Site::spawn("engine", 3, 2).await;
    let instance = &site.instances[0];
    let mut attempts = 0;
    while site.events("E0751") == 0 {
        attempts += 1;
        assert!(attempts < 20, "no upstream was cut while it ran a request");
        let request = turn("chat", &format!("t-{attempts}"), "question");
        let cut = async {
            sleep(Duration::from_millis(90)).await;
            site.upstreams[0].crash();
            sleep(Duration::from_millis(300)).await;
        };
        tokio::join!(instance.send(request), cut);
        if site.events("E0751") == 0 {
            site.upstreams[0].restart(&site.store, &format!("again-{attempts}"));
            sleep(Duration::from_millis(500)).await;
        }
    }
    wait_for("the crash is stored", || async {
        (site.store.row_count("suspect") == 1).then_some(())
    })
    .await;
    let heartbeats = async {
        loop {
            site.upstreams[0].register(&site.store, "ready");
            sleep(Duration::from_millis(600)).await;
        }
    };
    tokio::select! {
        () = heartbeats => {}
        _ = instance.wait_for_event("E0753") => {}
    }
    wait_for("the row is removed", || async {
        (site.store.row_count("suspect") == 0).then_some(())
    })
    .await;
}

/// Without the store, an instance keeps what it saw; the others learn of it when the store is back.
#[tokio::test]
async fn crashes_are_stored_when_the_store_is_back() {
    let site = Site::spawn("app", 8, 2).await;
    let request = |attempt: &str| plain("read", attempt, "CRASH now");
    site.store.set_mode(Mode::Unavailable);
    for number in 0..3 {
        let attempt = format!("t-{number}");
        send_from(FAULTY_CALLER, site.instances[0].callers, request(&attempt)).await;
        sleep(Duration::from_millis(100)).await;
    }
    let crashes = site.crashes("CRASH now");
    assert!(crashes <= MAX_CRASHES, "{crashes}");
    assert!(site.events("E0754") > 0);
    site.store.set_mode(Mode::Up);
    wait_for("the crashes are stored", || async {
        (site.store.row_count("suspect") == 1).then_some(())
    })
    .await;
    for number in 0..6 {
        let attempt = format!("u-{number}");
        send_from(FAULTY_CALLER, site.instances[1].callers, request(&attempt)).await;
        sleep(RESEND_INTERVAL).await;
    }
    assert_eq!(site.crashes("CRASH now"), MAX_CRASHES);
}

/// Answers to writes get lost; the crashes count once.
#[tokio::test]
async fn lost_answers_of_the_store_count_no_crash_twice() {
    let site = Site::spawn("app", 8, 1).await;
    site.store.set_mode(Mode::LosesResponses);
    let request = plain("read", "t", "CRASH now");
    send_from(FAULTY_CALLER, site.instances[0].callers, request).await;
    sleep(Duration::from_millis(300)).await;
    site.store.set_mode(Mode::Up);
    sleep(Duration::from_millis(800)).await;
    let text = site.instances[0].operator("GET", "/suspects").await.body;
    let listed: serde_json::Value = serde_json::from_str(&text).unwrap();
    let crashed = listed[0]["upstreams"].as_array().unwrap().len();
    assert_eq!(crashed, site.crashes("CRASH now"));
}

#[tokio::test]
async fn operators_list_and_release_suspects() {
    let site = Site::spawn("app", 8, 2).await;
    let until = Instant::now() + Duration::from_secs(2);
    let request = |attempt: &str| plain("read", attempt, "CRASH now");
    site.resend("t", until, request).await;
    let instance = &site.instances[0];
    let text = instance.operator("GET", "/suspects").await.body;
    let listed: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(listed[0]["verdict"], "quarantined", "{text}");
    assert_eq!(listed[0]["upstreams"].as_array().unwrap().len(), 3);
    let metrics = instance.metrics().await;
    for text in [
        "basilramp_suspects",
        "outcome=\"quarantined\"",
        "finding=\"crashed\"",
    ] {
        assert!(metrics.contains(text), "{text} in {metrics}");
    }
    let fingerprint = listed[0]["fingerprint"].as_str().unwrap();
    let path = format!("/suspects/{fingerprint}");
    let reply = instance.operator("DELETE", &path).await;
    assert_eq!(reply.status, StatusCode::NO_CONTENT);
    for other in &site.instances {
        wait_for("the suspect is released", || async {
            (other.operator("GET", "/suspects").await.body == "[]").then_some(())
        })
        .await;
    }
    let reply = instance.operator("DELETE", &path).await;
    assert_eq!(reply.status, StatusCode::NOT_FOUND);
    let reply = instance.operator("DELETE", "/suspects/x").await;
    assert_eq!(reply.status, StatusCode::BAD_REQUEST);
}
