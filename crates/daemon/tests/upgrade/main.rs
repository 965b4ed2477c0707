//! Instances of the build that users run now and of this one side by side, as during an upgrade or a
//! return to the earlier build. The earlier one is built from the repository's history.

// The helpers of the ingress tests have more callers there.
#[allow(dead_code)]
#[path = "../ingress/scripted_upstream.rs"]
mod scripted_upstream;
#[allow(dead_code)]
#[path = "../ingress/support.rs"]
mod support;

mod earlier_build;

use std::collections::BTreeMap;
use std::time::Duration;

use basilramp_fakes::relay::{self, Cut, Door, Relay};
use basilramp_fakes::user_platform::{Behaviour, RequestRecord, Store, Upstream, View};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;

use crate::support::{
    EVENT_TOKENS, IMMEDIATE_RESPONSE, Instance, PlainRoute, Turn, configure, configure_accounts,
    configure_plain, plain_request, start_site, to_public_host, wait_for, with_key,
};

const SLOW: Behaviour = Behaviour::Respond {
    events: 8,
    interval_ms: 60,
};

async fn earlier(store: &Store, name: &str) -> Instance {
    Instance::spawn_build(earlier_build::program(), store.address(), name).await
}

/// Turns of a program come through both builds in turn, of which each request is made by `caller`. Each finds
/// the turns and the budget that the other one stored.
async fn check_turns_and_budgets(
    store: Store,
    upstream: Upstream,
    caller: impl Fn(Request<Full<Bytes>>) -> Request<Full<Bytes>>,
) {
    const MAX_OUTPUT: u64 = 20;
    const BUDGET: u64 = 200;
    let instances = [
        earlier(&store, "a").await,
        Instance::spawn(&store, "b").await,
    ];
    let (mut previous, mut expected, mut tokens) = (None, String::new(), 0);
    for number in 0..40 {
        let (attempt, input) = (format!("t{number}"), format!("in{number},"));
        let turn = Turn {
            route: "chat",
            attempt: &attempt,
            program: "p1",
            previous: previous.as_deref(),
            budget: BUDGET,
            max_output: MAX_OUTPUT,
            input: &input,
        };
        // Two turns at one build, then two at the other.
        let reply = instances[number / 2 % 2].send(caller(turn.request())).await;
        let reply = reply.unwrap();
        if reply.status == StatusCode::PAYMENT_REQUIRED {
            break;
        }
        assert_eq!(reply.status, StatusCode::OK, "{attempt}");
        tokens += reply.body.matches("data:").count() as u64 * EVENT_TOKENS;
        expected.push_str(&input);
        let run = upstream.requests().pop().unwrap();
        assert_eq!(String::from_utf8_lossy(&run.body), expected);
        expected.push_str("t1\nt2\nt3\n");
        previous = Some(attempt);
    }
    assert!(tokens <= BUDGET + MAX_OUTPUT, "{tokens}");
    assert!(tokens >= BUDGET / 2, "{tokens}");
}

#[tokio::test]
async fn turns_and_budgets_go_on_between_builds() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    check_turns_and_budgets(store, upstream, |request| request).await;
}

/// Guards against ids of public callers that the earlier build does not know.
#[tokio::test]
async fn turns_and_budgets_of_public_routes_go_on_between_builds() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let accounts = json!([{"name": "alpha", "api_keys": ["sk-alpha"]}]);
    configure_accounts(&store, 4, &accounts);
    check_turns_and_budgets(store, upstream, to_public_host).await;
}

fn resumption(attempt: &str, begun_by: &str) -> Request<Full<Bytes>> {
    let mut request = Turn::first("advice", attempt).request();
    let headers = request.headers_mut();
    headers.insert("resumes", begun_by.parse().unwrap());
    headers.insert("last-event-id", 2.into());
    request
}

/// A stream begins at one build, whose instance is killed, and goes on at the other, at the version that
/// began it. The service has one version or two.
#[tokio::test]
async fn streams_go_on_between_builds() {
    for versions in [["v1", "v1", "v1", "v1"], ["v1", "v2", "v1", "v2"]] {
        let store = Store::spawn();
        configure(&store, 3);
        let mut number = 0;
        let upstreams = versions.map(|version| {
            number += 1;
            Upstream::spawn_version(&store, &format!("i-{number}"), "engine", version, SLOW)
        });
        let version_of = |attempt: &str| {
            let mut runs = upstreams.iter().flat_map(Upstream::requests);
            let run = runs.find(|run| run.attempt_id == attempt);
            run.map(|run| run.version)
        };
        for round in 0..4 {
            let (victim, survivor) = if round % 2 == 0 {
                (
                    earlier(&store, "a").await,
                    Instance::spawn(&store, "b").await,
                )
            } else {
                (
                    Instance::spawn(&store, "b").await,
                    earlier(&store, "a").await,
                )
            };
            let attempt = format!("t{round}");
            let (reply, ()) = tokio::join!(
                victim.send(Turn::first("advice", &attempt).request()),
                async {
                    wait_for("the stream begins", || async { version_of(&attempt) }).await;
                    tokio::time::sleep(Duration::from_millis(250)).await;
                    victim.signal("KILL");
                }
            );
            assert!(!reply.unwrap().is_complete);
            let taken_up = format!("u{round}");
            let reply = survivor.send(resumption(&taken_up, &attempt)).await;
            let reply = reply.unwrap();
            assert_eq!(reply.status, StatusCode::OK, "{versions:?} {round}");
            assert!(reply.is_complete);
            assert_eq!(version_of(&attempt), version_of(&taken_up));
        }
    }
}

/// Two instances, one of each build. The first one has lost its path to the upstreams.
struct CutOff {
    store: Store,
    upstreams: [Upstream; 2],
    _links: [Relay; 2],
    _view: View,
    /// Link of the other instance to the store.
    store_link: Relay,
    cut_off: Instance,
    other: Instance,
}

impl CutOff {
    async fn spawn(is_earlier_cut_off: bool) -> Self {
        let store = Store::spawn();
        configure(&store, 3);
        let upstreams = ["app", "engine"].map(|service| {
            let upstream = Upstream::spawn(&store, &format!("i-{service}"), service, SLOW);
            upstream.set_leaving(service == "app");
            upstream
        });
        let links = upstreams
            .each_ref()
            .map(|upstream| relay::spawn(upstream.address()));
        let addresses = upstreams.iter().zip(&links);
        let addresses: BTreeMap<_, _> = addresses
            .map(|(upstream, link)| (upstream.address(), link.address()))
            .collect();
        let view = store.spawn_view(addresses);
        let store_link = relay::spawn(store.address());
        let (cut_off, other) = if is_earlier_cut_off {
            let program = earlier_build::program();
            let cut_off = Instance::spawn_build(program, view.address(), "a").await;
            let other = Instance::spawn_ready_at(store_link.address(), "b").await;
            (cut_off, other)
        } else {
            let cut_off = Instance::spawn_ready_at(view.address(), "a").await;
            let program = earlier_build::program();
            let other = Instance::spawn_build(program, store_link.address(), "b").await;
            (cut_off, other)
        };
        for link in &links {
            link.set_door(Door::Refusing);
        }
        wait_for("the loss is noticed", || async {
            let requests = (0..4).map(|_| {
                let attempt = format!("probe-{}", rand::random::<u32>());
                cut_off.send(plain_request("read", &attempt))
            });
            futures_util::future::join_all(requests).await;
            (!cut_off.events("E0761").is_empty()).then_some(())
        })
        .await;
        Self {
            store,
            upstreams,
            _links: links,
            _view: view,
            store_link,
            cut_off,
            other,
        }
    }
}

/// An instance without a path to the upstreams relays requests to one of the other build, whose
/// upstreams leave.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_relayed_between_builds() {
    for is_earlier_cut_off in [false, true] {
        let site = CutOff::spawn(is_earlier_cut_off).await;
        let turn = Turn::first("chat", "turn").request();
        let reply = site.cut_off.send(turn).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{is_earlier_cut_off}");
        assert!(reply.is_complete);
        let reply = site
            .cut_off
            .send(Turn::first("advice", "stream").request())
            .await;
        assert_eq!(reply.unwrap().status, StatusCode::OK);
    }
}

/// An instance of this build relays orders to one of the earlier build, to which the store is silent and
/// whose configuration says that they may be repeated. Guards against an order that runs twice, and against
/// headers at an upstream that the earlier build doesn't know.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_relayed_to_the_earlier_build_run_once() {
    let shop = |kind| PlainRoute {
        prefix: "/shop/",
        kind,
        service: "app",
        is_retained: false,
    };
    let site = CutOff::spawn(false).await;
    configure_plain(&site.store, 4, &[shop("safe")]);
    site.other.wait_for_config(4).await;
    let second = Upstream::spawn(&site.store, "i-second", "app", SLOW);
    site.upstreams[0].set_leaving(false);
    site.other.wait_for_event("E0731").await;
    let upstreams = [&site.upstreams[0], &second];
    for upstream in upstreams {
        upstream.set_behaviour(Behaviour::Respond {
            events: 1,
            interval_ms: 700,
        });
    }
    site.store_link.cut(Cut::Both);
    site.store_link.set_door(Door::Silent);
    configure_plain(&site.store, 5, &[shop("unsafe")]);
    site.cut_off.wait_for_config(5).await;
    let attempts: Vec<_> = (0..8).map(|number| format!("order-{number}")).collect();
    let replies = attempts
        .iter()
        .map(|attempt| site.cut_off.send(plain_request("shop", attempt)));
    let replies = futures_util::future::join_all(replies).await;
    for (attempt, reply) in attempts.iter().zip(replies) {
        let runs = upstreams.into_iter().flat_map(Upstream::requests);
        let runs: Vec<_> = runs.filter(|run| run.attempt_id == *attempt).collect();
        assert!(runs.len() <= 1, "{attempt}: {runs:?}, {reply:?}");
        assert!(runs.iter().all(|run| run.forged_headers.is_empty()));
    }
    let mut runs = upstreams.into_iter().flat_map(Upstream::requests);
    assert!(runs.any(|run| run.attempt_id.starts_with("order")));
}

/// Requests with keys are relayed to an instance of the other build. Guards against a key or its digest at
/// an upstream, and against a caller that names an account in headers which the earlier build passes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accounts_hold_where_requests_are_relayed_between_builds() {
    const KEY: &str = "sk-alpha-7f3a9c";
    for is_earlier_cut_off in [false, true] {
        let site = CutOff::spawn(is_earlier_cut_off).await;
        let accounts = json!([{"name": "alpha", "api_keys": [KEY]}]);
        configure_accounts(&site.store, 4, &accounts);
        site.cut_off.wait_for_config(4).await;
        site.other.wait_for_config(4).await;
        let forged = |attempt: &str| {
            let mut request = Turn::first("chat", attempt).request();
            let names = "relay-account, relay-key, relay-version";
            for (name, value) in [
                ("tenant", "beta"),
                ("relay-account", "alpha"),
                ("relay-key", &*"0".repeat(64)),
                ("relay-version", "99"),
                ("connection", names),
            ] {
                request.headers_mut().insert(name, value.parse().unwrap());
            }
            request
        };
        let mut unnamed = forged("unnamed");
        unnamed.headers_mut().remove("connection");
        for request in [forged("named"), unnamed] {
            let reply = site.cut_off.send(request).await.unwrap();
            assert_eq!(
                reply.status,
                StatusCode::UNAUTHORIZED,
                "{is_earlier_cut_off}"
            );
        }
        for (attempt, request) in [
            ("forged", with_key(forged("forged"), KEY)),
            (
                "plain",
                with_key(Turn::first("chat", "plain").request(), KEY),
            ),
        ] {
            let reply = site.cut_off.send(request).await.unwrap();
            assert_eq!(
                reply.status,
                StatusCode::OK,
                "{is_earlier_cut_off} {reply:?}"
            );
            let runs = site.upstreams.iter().flat_map(Upstream::requests);
            let run = runs.filter(|run| run.attempt_id == attempt).last().unwrap();
            assert_eq!(run.account.as_deref(), Some("alpha"), "{run:?}");
            assert!(!run.has_key && run.forged_headers.is_empty(), "{run:?}");
        }
        let runs = site.upstreams.iter().flat_map(Upstream::requests);
        let rejected = |run: &RequestRecord| run.attempt_id.ends_with("named");
        assert_eq!(runs.filter(rejected).count(), 0);
    }
}
