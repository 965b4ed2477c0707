//! Instances that lose their path to all upstreams, while callers, the store and the other instances
//! still reach them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilramp_fakes::relay::{self, Cut, Door, Relay};
use basilramp_fakes::user_platform::{Behaviour, RequestRecord, Store, Upstream, View};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use crate::support::{Instance, Turn, configure, plain_request, send, wait_for};

/// Time after a cut within which its instances have to serve their callers again.
const STABLE: Duration = Duration::from_secs(3);

const FAST_RESPONSE: Behaviour = Behaviour::Respond {
    events: 3,
    interval_ms: 10,
};

/// How the links of an instance fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing passes on open connections, and new ones get no answer.
    Silence,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refusal,
}

const FAILURES: [Failure; 3] = [Failure::Silence, Failure::Reset, Failure::Refusal];

/// Instances that each have links of their own to the upstreams.
pub(crate) struct Site {
    pub(crate) store: Store,
    pub(crate) upstreams: Vec<Upstream>,
    /// Links by instance and upstream.
    links: Vec<Vec<Relay>>,
    pub(crate) views: Vec<View>,
    pub(crate) instances: Vec<Instance>,
}

impl Site {
    pub(crate) async fn spawn(instances: usize) -> Self {
        Self::spawn_with(instances, FAST_RESPONSE).await
    }

    pub(crate) async fn spawn_with(instances: usize, behaviour: Behaviour) -> Self {
        let store = Store::spawn();
        configure(&store, 3);
        let upstreams = (0..6).map(|index| {
            let service = if index < 4 { "engine" } else { "app" };
            Upstream::spawn(&store, &format!("i-{index}"), service, behaviour)
        });
        let mut site = Self {
            upstreams: upstreams.collect(),
            store,
            links: Vec::new(),
            views: Vec::new(),
            instances: Vec::new(),
        };
        for index in 0..instances {
            let links: Vec<_> = site
                .upstreams
                .iter()
                .map(|upstream| relay::spawn(upstream.address()))
                .collect();
            let addresses = site.upstreams.iter().zip(&links);
            let addresses: BTreeMap<_, _> = addresses
                .map(|(upstream, link)| (upstream.address(), link.address()))
                .collect();
            site.views.push(site.store.spawn_view(addresses));
            site.links.push(links);
            let instance = site.spawn_instance(index).await;
            site.instances.push(instance);
        }
        site
    }

    /// Starts an instance with the links at an index.
    async fn spawn_instance(&self, index: usize) -> Instance {
        Instance::spawn_ready_at(self.views[index].address(), &format!("n{index}")).await
    }

    /// Lets the links of an instance to all upstreams fail.
    pub(crate) fn cut(&self, index: usize, failure: Failure) {
        for link in &self.links[index] {
            match failure {
                Failure::Silence => {
                    link.cut(Cut::Both);
                    link.set_door(Door::Silent);
                }
                Failure::Reset => {
                    link.set_door(Door::Refusing);
                    link.reset_connections();
                }
                Failure::Refusal => link.set_door(Door::Refusing),
            }
        }
    }

    /// Sends requests of every kind to an instance until `until`, each once. Returns how many of how
    /// many were served.
    async fn call(&self, index: usize, name: &str, until: Instant) -> (usize, usize) {
        let (mut served, mut sent) = (0, 0);
        while Instant::now() < until {
            sent += 1;
            let attempt = format!("{name}-{index}-{sent}");
            let reply = self.instances[index].send(request(sent, &attempt)).await;
            let is_served =
                reply.is_some_and(|reply| reply.status == StatusCode::OK && reply.is_complete);
            served += usize::from(is_served);
            sleep(Duration::from_millis(20)).await;
        }
        (served, sent)
    }
}

/// Builds a request of the kind at an index.
fn request(index: usize, attempt: &str) -> Request<Full<Bytes>> {
    match index % 4 {
        0 => plain_request("read", attempt),
        1 => plain_request("pay", attempt),
        2 => Turn::first("advice", attempt).request(),
        _ => Turn::first("chat", attempt).request(),
    }
}

/// Requests at instances that lose all upstreams in each way, most of the instances at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_instances_without_a_path_to_upstreams_are_served() {
    for failure in FAILURES {
        let site = Site::spawn(3).await;
        let start = Instant::now() + Duration::from_millis(500);
        tokio::join!(
            site.call(0, "before", start),
            site.call(1, "before", start),
            site.call(2, "before", start)
        );
        site.cut(0, failure);
        site.cut(1, failure);
        let cut_at = Instant::now();
        tokio::join!(
            site.call(0, "first", cut_at + STABLE),
            site.call(1, "first", cut_at + STABLE)
        );
        let until = cut_at + STABLE + Duration::from_secs(2);
        let (first, second, other) = tokio::join!(
            site.call(0, "cut", until),
            site.call(1, "cut", until),
            site.call(2, "sound", until)
        );
        for (served, sent) in [first, second] {
            // At least two thirds as often as elsewhere.
            assert!(
                served * other.1 * 3 >= other.0 * sent * 2,
                "{failure:?}: {served} of {sent}, elsewhere {} of {}",
                other.0,
                other.1
            );
        }
    }
}

/// A turn may have run before the path was lost. The other instance finds its budget spent, and the
/// caller must not be told that it did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_that_may_have_run_is_not_rejected_as_not_run() {
    let slow = Behaviour::Respond {
        events: 3,
        interval_ms: 700,
    };
    let site = Site::spawn_with(2, slow).await;
    let turn = Turn {
        budget: 100,
        ..Turn::first("advice", "t1")
    };
    let cut = async {
        wait_for("the turn runs", || async {
            let runs = site
                .upstreams
                .iter()
                .map(|upstream| upstream.requests().len());
            (runs.sum::<usize>() == 1).then_some(())
        })
        .await;
        sleep(Duration::from_millis(100)).await;
        site.cut(0, Failure::Silence);
    };
    let (reply, ()) = tokio::join!(site.instances[0].send(turn.request()), cut);
    let reply = reply.unwrap();
    let may_be_ran = [
        StatusCode::OK,
        StatusCode::BAD_GATEWAY,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    assert!(may_be_ran.contains(&reply.status), "{reply:?}");
}

impl Site {
    pub(crate) fn heal(&self, index: usize) {
        self.links[index].iter().for_each(Relay::heal);
    }

    /// Waits until the links of an instance accept no connections any more.
    async fn wait_until_closed(&self, index: usize) {
        for link in &self.links[index] {
            wait_for("the link is closed", || async {
                let connect = tokio::net::TcpStream::connect(link.address());
                let connected = timeout(Duration::from_millis(50), connect).await;
                (!matches!(connected, Ok(Ok(_)))).then_some(())
            })
            .await;
        }
    }

    /// Cuts an instance and waits until it has noticed.
    pub(crate) async fn cut_and_wait(&self, index: usize, failure: Failure) {
        let instance = &self.instances[index];
        let known = instance.events("E0761").len();
        self.cut(index, failure);
        wait_for("the loss is noticed", || async {
            // Several at once need new connections; kept ones may live on.
            let requests = (0..6).map(|number| {
                let attempt = format!("probe-{index}-{known}-{number}");
                instance.send(plain_request("read", &attempt))
            });
            futures_util::future::join_all(requests).await;
            (instance.events("E0761").len() > known).then_some(())
        })
        .await;
    }

    /// Returns the runs of an attempt at all upstreams.
    pub(crate) fn runs(&self, attempt: &str) -> Vec<RequestRecord> {
        let runs = self.upstreams.iter().flat_map(Upstream::requests);
        runs.filter(|run| run.attempt_id == attempt).collect()
    }
}

/// The links of an instance fail in each way, one after the other, and heal within a second.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_goes_back_to_its_own_path_soon() {
    let site = Site::spawn(2).await;
    let instance = &site.instances[0];
    for (round, failure) in FAILURES.into_iter().chain(FAILURES).enumerate() {
        site.cut_and_wait(0, failure).await;
        let attempt = format!("cut-{round}");
        let reply = instance.send(plain_request("pay", &attempt)).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{failure:?}");
        wait_for("the relay is logged", || async {
            let relayed = instance.events("E0763");
            let mut relayed = relayed.iter();
            relayed
                .any(|line| line["request"] == *attempt)
                .then_some(())
        })
        .await;
        site.heal(0);
        let healed_at = Instant::now();
        wait_for("the path is restored", || async {
            (instance.events("E0762").len() == round + 1).then_some(())
        })
        .await;
        assert!(healed_at.elapsed() < Duration::from_millis(1_500));
        let attempt = format!("own-{round}");
        let reply = instance.send(plain_request("pay", &attempt)).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{failure:?}");
        let relayed = instance.events("E0763");
        assert!(relayed.iter().all(|line| line["request"] != *attempt));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_starts_without_a_path_serves_its_callers() {
    for failure in [Failure::Silence, Failure::Refusal] {
        let mut site = Site::spawn(2).await;
        site.cut(0, failure);
        site.wait_until_closed(0).await;
        site.instances[0] = site.spawn_instance(0).await;
        let until = Instant::now() + Duration::from_secs(1);
        let (served, sent) = site.call(0, "t", until).await;
        let failed = ["E0742", "E0764", "E0765", "E0766"];
        let failed = failed.iter().flat_map(|code| {
            let instances = site.instances.iter();
            instances.flat_map(|instance| instance.events(code))
        });
        let failed: Vec<_> = failed.collect();
        assert_eq!(served, sent, "{failure:?}: {failed:#?}");
        assert!(sent > 3);
    }
}

/// A relayed request is not relayed again, and what no instance can serve is rejected at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_rejected_at_once_if_no_instance_has_a_path() {
    let site = Site::spawn(3).await;
    for index in 0..3 {
        site.cut_and_wait(index, Failure::Reset).await;
    }
    for number in 0..8 {
        let started_at = Instant::now();
        let attempt = format!("t-{number}");
        let request = request(number, &attempt);
        let reply = site.instances[number % 3].send(request).await.unwrap();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(reply.retry_after().is_some());
        assert!(reply.header("relay-declined").is_none());
        assert!(started_at.elapsed() < Duration::from_millis(400));
    }
    for index in 0..3 {
        site.heal(index);
    }
    let reply = wait_for("the path is back", || async {
        let reply = site.instances[0].send(plain_request("read", "back")).await;
        reply.filter(|reply| reply.status == StatusCode::OK)
    });
    reply.await;
}

/// Other instances can't reach a service that is down either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_that_is_down_is_no_lost_path() {
    let site = Site::spawn(2).await;
    for upstream in &site.upstreams[..4] {
        upstream.crash();
    }
    for number in 0..12 {
        let request = Turn::first("advice", &format!("t-{number}")).request();
        let reply = site.instances[0].send(request).await.unwrap();
        assert!(reply.status.is_server_error());
        let plain = plain_request("pay", &format!("u-{number}"));
        let reply = site.instances[0].send(plain).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK);
    }
    for instance in &site.instances {
        assert!(instance.events("E0761").is_empty());
        assert!(instance.events("E0763").is_empty());
    }
}

/// Most upstreams of each service have crashed; the path to the others is sound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstreams_that_crashed_are_no_lost_path() {
    let site = Site::spawn(1).await;
    for index in [0, 1, 2, 4] {
        for link in site.links.iter().map(|links| &links[index]) {
            link.set_door(Door::Refusing);
        }
    }
    for number in 0..40 {
        let request = request(number, &format!("t-{number}"));
        let reply = site.instances[0].send(request).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{number}");
    }
    assert!(site.instances[0].events("E0761").is_empty());
}

/// The instance that handles requests of another one is killed or paused while they run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_at_a_relay_that_fails_run_at_most_once_and_end_in_time() {
    let slow = Behaviour::Respond {
        events: 3,
        interval_ms: 150,
    };
    for signal in ["KILL", "STOP"] {
        let site = Site::spawn_with(3, slow).await;
        site.cut_and_wait(0, Failure::Reset).await;
        let started_at = Instant::now();
        let requests = (0..16).map(|number| {
            let site = &site;
            async move {
                let attempt = format!("t-{number}");
                let reply = site.instances[0].send(request(number, &attempt)).await;
                (number, attempt, reply)
            }
        });
        let fail = async {
            sleep(Duration::from_millis(200)).await;
            site.instances[1].signal(signal);
        };
        let (replies, ()) = tokio::join!(futures_util::future::join_all(requests), fail);
        // The deadlines of the requests are 3 and 3.5 s.
        assert!(started_at.elapsed() < Duration::from_millis(4_500));
        let mut served = 0;
        for (number, attempt, reply) in replies {
            let reply = reply.unwrap();
            let runs = site.runs(&attempt);
            if number % 4 == 1 || number % 4 == 3 {
                assert!(runs.len() <= 1, "{attempt}: {runs:?}");
            }
            assert!(runs.len() <= 2, "{attempt}: {runs:?}");
            if reply.status == StatusCode::SERVICE_UNAVAILABLE {
                assert!(runs.is_empty(), "{attempt}: {runs:?}");
            }
            served += usize::from(reply.status == StatusCode::OK && reply.is_complete);
        }
        assert!(served > 0);
        site.instances[1].signal("KILL");
        // Later requests go to the instance that is left.
        sleep(Duration::from_millis(500)).await;
        let until = Instant::now() + Duration::from_millis(700);
        let (served, sent) = site.call(0, "later", until).await;
        assert_eq!(served, sent);
    }
}

/// The instance that handles requests of another one is stopped: what runs there ends, and later
/// requests go elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_that_stops_completes_what_it_carries() {
    let slow = Behaviour::Respond {
        events: 3,
        interval_ms: 250,
    };
    let mut site = Site::spawn_with(3, slow).await;
    site.cut_and_wait(0, Failure::Reset).await;
    let requests = (0..12).map(|number| {
        let attempt = format!("t-{number}");
        let request = request(number, &attempt);
        site.instances[0].send(request)
    });
    let stop = async {
        sleep(Duration::from_millis(150)).await;
        site.instances[1].signal("TERM");
    };
    let (replies, ()) = tokio::join!(futures_util::future::join_all(requests), stop);
    for reply in replies {
        let reply = reply.unwrap();
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.is_complete);
    }
    let until = Instant::now() + Duration::from_millis(800);
    let (served, sent) = site.call(0, "later", until).await;
    assert_eq!(served, sent);
    assert!(site.instances[1].wait_for_exit().await);
    let until = Instant::now() + Duration::from_millis(800);
    let (served, sent) = site.call(0, "last", until).await;
    assert_eq!(served, sent);
    assert_eq!(site.store.row_count("instance"), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_request_keeps_its_ids_its_deadline_and_its_caller() {
    let site = Site::spawn(2).await;
    site.cut_and_wait(0, Failure::Refusal).await;
    let mut forged = plain_request("pay", "t1");
    let headers = forged.headers_mut();
    headers.insert("relay-caller", "10.0.0.1".parse().unwrap());
    headers.insert("relay-attempts", "9".parse().unwrap());
    let reply = site.instances[0].send(forged).await.unwrap();
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.header("attempt-id"), Some("t1"));
    assert!(reply.header("server-signature").is_some());
    let runs = site.runs("t1");
    assert_eq!(runs.len(), 1);
    assert!(runs[0].deadline_ms.unwrap() <= 3_000);
    assert!(runs[0].forged_headers.is_empty());
    let relayed = wait_for("the relay is logged", || async {
        let lines = site.instances[0].events("E0763");
        lines.into_iter().find(|line| line["request"] == "t1")
    });
    assert_eq!(relayed.await["by"], "n1");
    let handled = wait_for("the response is logged", || async {
        let lines = site.instances[1].events("E0741");
        lines.into_iter().find(|line| line["request"] == "t1")
    });
    assert_eq!(handled.await["relayed_by"], "n0");
    let metrics = site.instances[0].metrics().await;
    for text in [
        "basilramp_relays",
        "outcome=\"relayed\"",
        "basilramp_path_lost",
    ] {
        assert!(metrics.contains(text), "{text} in {metrics}");
    }
    // The upstream's own answers to callers are not mistaken for those between instances.
    let turn = site.instances[0].send(Turn::first("chat", "t2").request());
    assert_eq!(turn.await.unwrap().body.matches("data: ").count(), 3);
}

/// The caller of a relayed stream disconnects, and the upstream does not go on for nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_end_of_a_caller_reaches_the_upstream_through_a_relay() {
    let slow = Behaviour::Respond {
        events: 20,
        interval_ms: 100,
    };
    let site = Site::spawn_with(2, slow).await;
    site.cut_and_wait(0, Failure::Reset).await;
    let request = Turn::first("chat", "t1").request();
    let sent = site.instances[0].send(request);
    let left = timeout(Duration::from_millis(500), sent).await;
    assert!(left.is_err(), "the stream ended too soon");
    let line = wait_for("the instance that runs it notices", || async {
        let lines = site.instances[1].events("E0745");
        lines.into_iter().find(|line| line["request"] == "t1")
    });
    line.await;
    assert!(!site.runs("t1")[0].completed);
}

/// Only instances that have published their certificates are served at the address for them.
#[tokio::test]
async fn strangers_are_not_served_at_the_address_for_instances() {
    let site = Site::spawn(1).await;
    let instance = &site.instances[0];
    let address = instance.events("E0701")[0]["peers"]
        .as_str()
        .unwrap()
        .to_owned();
    let reply = send(address.parse().unwrap(), plain_request("pay", "t1")).await;
    assert!(reply.is_none());
    instance.wait_for_event("E0765").await;
    assert!(site.runs("t1").is_empty());
}

/// A request that crashes upstreams is the same one if it comes through another instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_request_is_recognized_through_a_relay() {
    let mut site = Site::spawn(2).await;
    // Its connections to the upstreams pass through no relay, which would accept them after a crash.
    site.instances[1] = Instance::spawn(&site.store, "n1").await;
    site.cut_and_wait(0, Failure::Reset).await;
    let crashes = || {
        let crashes = site
            .upstreams
            .iter()
            .map(|upstream| upstream.crashes().len());
        crashes.sum::<usize>()
    };
    for number in 0..8 {
        let attempt = format!("t-{number}");
        let turn = Turn {
            input: "CRASH now",
            ..Turn::first("advice", &attempt)
        };
        // Both ways in turn.
        let reply = site.instances[number % 2].send(turn.request()).await;
        assert!(reply.unwrap().status.is_server_error());
        sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(crashes(), 3);
}

/// Streams have begun when the path is lost. Those that may be resumed go on through the other
/// instance, without a missing or repeated event.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_that_have_begun_go_on_through_another_instance() {
    let slow = Behaviour::Respond {
        events: 10,
        interval_ms: 100,
    };
    for failure in [Failure::Silence, Failure::Reset] {
        let site = Site::spawn_with(2, slow).await;
        let attempts: Vec<_> = (0..6).map(|number| format!("t-{number}")).collect();
        let turns = attempts.iter().map(|attempt| {
            let turn = Turn::first("advice", attempt).request();
            site.instances[0].send(turn)
        });
        let cut = async {
            sleep(Duration::from_millis(450)).await;
            site.cut(0, failure);
        };
        let (replies, ()) = tokio::join!(futures_util::future::join_all(turns), cut);
        for (attempt, reply) in attempts.iter().zip(replies) {
            let reply = reply.unwrap();
            assert_eq!(reply.status, StatusCode::OK, "{failure:?}");
            assert!(reply.is_complete, "{failure:?}: {}", reply.body);
            let ids = reply.body.lines();
            let ids = ids.filter_map(|line| line.strip_prefix("id: ")?.parse::<u32>().ok());
            assert_eq!(ids.collect::<Vec<_>>(), (1..=10).collect::<Vec<_>>());
            assert_eq!(site.runs(attempt).len(), 2);
        }
    }
}

/// An answer that came through another instance says that its upstream leaves. Both instances have passed
/// it on, so neither sends to that upstream any more, also when the path is back and the store away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_leaves_is_known_to_both_instances_of_a_relayed_request() {
    let site = Site::spawn(2).await;
    site.cut_and_wait(0, Failure::Refusal).await;
    site.views[0].set_rejecting(true);
    // The upstreams of a service say that they leave, but for one.
    let (leaving, staying) = (&site.upstreams[4], &site.upstreams[5]);
    leaving.set_leaving(true);
    wait_for("the upstream answers", || async {
        let attempt = format!("r{}", rand::random::<u32>());
        let reply = site.instances[0].send(plain_request("pay", &attempt)).await;
        let reply = reply.filter(|reply| reply.header("server-leaving").is_some())?;
        assert!(reply.header("relay-leaving").is_none());
        Some(())
    })
    .await;
    site.heal(0);
    site.instances[0].wait_for_event("E0762").await;
    let (left, stayed) = (leaving.arrivals().len(), staying.arrivals().len());
    for number in 0..24 {
        let attempt = format!("s{number}");
        let reply = site.instances[number % 2]
            .send(plain_request("pay", &attempt))
            .await;
        assert_eq!(reply.unwrap().status, StatusCode::OK);
    }
    assert_eq!(leaving.arrivals().len(), left);
    assert_eq!(staying.arrivals().len(), stayed + 24);
}
