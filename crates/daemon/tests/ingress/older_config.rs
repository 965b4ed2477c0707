//! An instance that may have an older configuration than others says nothing for certain that a newer one
//! could contradict.

use std::collections::BTreeMap;
use std::time::Duration;

use basilramp_fakes::relay::{self, Cut, Door, Relay};
use basilramp_fakes::user_platform::{Behaviour, Mode, Store, Upstream, View};
use futures_util::future::join_all;
use http::StatusCode;
use tokio::time::sleep;

use crate::support::{
    IMMEDIATE_RESPONSE, Instance, PlainRoute, Reply, Turn, configure, configure_accounts,
    configure_plain, configure_prefix, configure_public, plain_request, send, wait_for,
};

/// How the store fails for an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// It rejects the calls, which the instance has noticed.
    Rejects,
    /// It has just fallen silent.
    Silent,
    /// The instance is suspended meanwhile. Its store is sound.
    Suspends,
}

/// An instance with a path of its own to the store, which can fail.
struct Older {
    instance: Instance,
    view: View,
    link: Relay,
}

impl Older {
    async fn spawn(store: &Store) -> Self {
        let view = store.spawn_view(BTreeMap::new());
        let link = relay::spawn(view.address());
        let instance = Instance::spawn_ready_at(link.address(), "b").await;
        Self {
            instance,
            view,
            link,
        }
    }

    async fn begin(&self, failure: Failure) {
        match failure {
            Failure::Rejects => {
                self.view.set_rejecting(true);
                self.instance.wait_for_event("E0711").await;
            }
            Failure::Silent => {
                self.link.cut(Cut::Both);
                self.link.set_door(Door::Silent);
            }
            Failure::Suspends => self.instance.signal("STOP"),
        }
    }

    fn end(&self) {
        self.view.set_rejecting(false);
        self.link.heal();
    }
}

/// Time after which a configuration has to be in force everywhere.
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Time after the start of two instances within which they know of each other.
const MEETING_TIME: Duration = Duration::from_millis(1_600);

/// Time of a request that is longer than that after which it goes to another upstream if it may be
/// repeated, in milliseconds.
const SLOW_MS: u64 = 600;

const SHOP: PlainRoute = PlainRoute {
    prefix: "/shop/",
    kind: "safe",
    service: "app",
    is_retained: false,
};

/// Starts three upstreams that take [`SLOW_MS`] for a request.
fn start_shop(store: &Store) -> [Upstream; 3] {
    let slow = Behaviour::Respond {
        events: 1,
        interval_ms: SLOW_MS,
    };
    ["i-1", "i-2", "i-3"].map(|id| Upstream::spawn(store, id, "app", slow))
}

/// Sends 12 requests at the same time.
async fn send_orders(instance: &Instance, route: &str) -> Vec<(String, Option<Reply>)> {
    let attempts = (0..12).map(|number| format!("order-{number}"));
    let orders = attempts.map(|attempt| async {
        let reply = instance.send(plain_request(route, &attempt)).await;
        (attempt, reply)
    });
    join_all(orders).await
}

fn count_runs(upstreams: &[Upstream], attempt: &str) -> usize {
    let runs = upstreams.iter().flat_map(Upstream::requests);
    runs.filter(|run| run.attempt_id == attempt).count()
}

fn is_ok(reply: Option<&Reply>) -> bool {
    reply.is_some_and(|reply| reply.status == StatusCode::OK && reply.is_complete)
}

/// A version makes orders unsafe, by a route below a safe one (`is_below`) or by a change of that route.
/// Then orders arrive at an instance without that version.
async fn check_orders_run_once(failure: Failure, is_below: bool) {
    let store = Store::spawn();
    configure_plain(&store, 3, &[SHOP]);
    let upstreams = start_shop(&store);
    let informed = Instance::spawn(&store, "a").await;
    let older = Older::spawn(&store).await;
    older.begin(failure).await;
    let order = PlainRoute {
        prefix: if is_below {
            "/shop/order/"
        } else {
            SHOP.prefix
        },
        kind: "unsafe",
        ..SHOP
    };
    let routes = if is_below {
        vec![SHOP, order]
    } else {
        vec![order]
    };
    configure_plain(&store, 5, &routes);
    informed.wait_for_config(5).await;
    sleep(CONFIG_APPLY_TIME).await;
    let (orders, ()) = tokio::join!(send_orders(&older.instance, "shop/order"), async {
        if failure == Failure::Suspends {
            // The orders wait in its sockets.
            sleep(Duration::from_millis(50)).await;
            older.instance.signal("CONT");
        }
    });
    sleep(Duration::from_millis(SLOW_MS)).await;
    let context = format!("{failure:?}, below: {is_below}");
    for (attempt, reply) in &orders {
        let runs = count_runs(&upstreams, attempt);
        assert!(runs <= 1, "{context}, {attempt}: {runs} runs, {reply:?}");
    }
    let served = orders.iter().filter(|(_, reply)| is_ok(reply.as_ref()));
    assert_eq!(served.count(), orders.len(), "{context}");
}

/// Guards against orders that run twice, as an older route allows.
#[tokio::test]
async fn an_order_of_a_route_that_is_not_known_yet_runs_once() {
    tokio::join!(
        check_orders_run_once(Failure::Rejects, true),
        check_orders_run_once(Failure::Silent, true),
        check_orders_run_once(Failure::Suspends, true),
        check_orders_run_once(Failure::Rejects, false),
        check_orders_run_once(Failure::Suspends, false),
    );
}

/// A version adds a route whose turns are retained, below the prefix of another route (`is_below`) or
/// beside all others. A turn that continues one from there arrives at an instance without that version.
async fn check_continued_turn(failure: Failure, is_below: bool) {
    let store = Store::spawn();
    configure(&store, 3);
    let upstream = Upstream::spawn(&store, "i-1", "engine", IMMEDIATE_RESPONSE);
    let informed = Instance::spawn(&store, "a").await;
    let older = Older::spawn(&store).await;
    older.begin(failure).await;
    let route = if is_below { "advice/chat" } else { "talk" };
    configure_prefix(&store, 5, "chat", &format!("/{route}/"));
    informed.wait_for_config(5).await;
    let first = Turn::first(route, "t1").request();
    assert_eq!(informed.send(first).await.unwrap().status, StatusCode::OK);
    let next = || Turn::chained(route, "t2", Some("t1"), "more").request();
    let reply = older.instance.send(next()).await.unwrap();
    let context = format!("{failure:?}, below: {is_below}");
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{context}");
    assert!(reply.retry_after().is_some(), "{context}");
    let runs = upstream.requests();
    assert!(runs.iter().all(|run| run.attempt_id != "t2"), "{context}");
    older.end();
    wait_for("the turn goes on", || async {
        let reply = older.instance.send(next()).await?;
        (reply.status == StatusCode::OK).then_some(())
    })
    .await;
    let runs = upstream.requests();
    let run = runs.iter().find(|run| run.attempt_id == "t2").unwrap();
    let body = String::from_utf8_lossy(&run.body);
    assert!(body.ends_with("t1\nt2\nt3\nmore"), "{context}: {body}");
}

/// Guards against a turn that runs without the turns before it.
#[tokio::test]
async fn a_turn_of_a_route_that_is_not_known_yet_does_not_run_alone() {
    tokio::join!(
        check_continued_turn(Failure::Rejects, true),
        check_continued_turn(Failure::Silent, true)
    );
}

/// Guards against 404 for a turn that continues an answered one.
#[tokio::test]
async fn a_turn_of_a_route_that_is_not_known_yet_is_not_denied() {
    tokio::join!(
        check_continued_turn(Failure::Rejects, false),
        check_continued_turn(Failure::Silent, false)
    );
}

/// With a store that answers, what no configuration allows is denied at once.
#[tokio::test]
async fn a_request_without_a_route_is_denied() {
    let store = Store::spawn();
    configure(&store, 3);
    let _upstream = Upstream::spawn(&store, "i-1", "engine", IMMEDIATE_RESPONSE);
    let instance = Instance::spawn(&store, "a").await;
    for previous in [None, Some("t1")] {
        let request = Turn::chained("talk", "t2", previous, "more").request();
        let began = std::time::Instant::now();
        let reply = instance.send(request).await.unwrap();
        assert_eq!(reply.status, StatusCode::NOT_FOUND);
        assert!(began.elapsed() < Duration::from_millis(500));
    }
}

/// What other instances an instance with an older configuration can ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Others {
    /// One that has the newer one.
    Informed,
    /// None that it knows of runs any more.
    Gone,
}

const ADVICE: PlainRoute = PlainRoute {
    prefix: "/advice/",
    kind: "stream",
    service: "engine",
    is_retained: false,
};

/// A version adds a route whose turns are retained below one that retains none. A program that has tokens
/// at an instance without that version begins a line of turns there.
async fn check_first_turns(failure: Failure, others: Others) {
    let store = Store::spawn();
    configure_plain(&store, 3, &[ADVICE]);
    let upstream = Upstream::spawn(&store, "i-1", "engine", IMMEDIATE_RESPONSE);
    let early = Instance::spawn(&store, "a").await;
    let older = Older::spawn(&store).await;
    let turn = |attempt: &'static str, previous| {
        let turn = Turn {
            max_output: 20,
            ..Turn::chained("advice/chat", attempt, previous, "input")
        };
        turn.request()
    };
    // It leaves tokens for later turns.
    let earlier = Turn::chained("advice", "t0", None, "input").request();
    assert!(is_ok(older.instance.send(earlier).await.as_ref()));
    sleep(MEETING_TIME).await;
    let informed = match others {
        Others::Informed => early,
        Others::Gone => {
            drop(early);
            Instance::spawn(&store, "c").await
        }
    };
    older.begin(failure).await;
    let chat = PlainRoute {
        prefix: "/advice/chat/",
        is_retained: true,
        ..ADVICE
    };
    configure_plain(&store, 5, &[ADVICE, chat]);
    informed.wait_for_config(5).await;
    sleep(CONFIG_APPLY_TIME).await;
    let (first, ()) = tokio::join!(older.instance.send(turn("t1", None)), async {
        if failure == Failure::Suspends {
            sleep(Duration::from_millis(50)).await;
            older.instance.signal("CONT");
        }
    });
    let context = format!("{failure:?}, {others:?}: {first:?}");
    if is_ok(first.as_ref()) {
        let next = turn("t2", Some("t1"));
        let reply = informed.send(next).await;
        assert!(is_ok(reply.as_ref()), "{context}, then {reply:?}");
        let runs = upstream.requests();
        let run = runs.iter().find(|run| run.attempt_id == "t2").unwrap();
        let body = String::from_utf8_lossy(&run.body);
        assert_eq!(body, "inputt1\nt2\nt3\ninput", "{context}");
    } else if others == Others::Gone {
        let reply = first.unwrap();
        assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{context}");
        let runs = upstream.requests();
        assert!(runs.iter().all(|run| run.attempt_id != "t1"), "{context}");
    }
    older.end();
    wait_for("a line of turns begins", || async {
        let reply = older.instance.send(turn("t3", None)).await;
        is_ok(reply.as_ref()).then_some(())
    })
    .await;
}

/// Guards against a turn that is answered whole and of which nothing is kept.
#[tokio::test]
async fn a_first_turn_of_a_route_that_is_not_known_yet_is_kept_or_not_answered() {
    tokio::join!(
        check_first_turns(Failure::Rejects, Others::Informed),
        check_first_turns(Failure::Silent, Others::Informed),
        check_first_turns(Failure::Suspends, Others::Informed),
        check_first_turns(Failure::Rejects, Others::Gone),
        check_first_turns(Failure::Suspends, Others::Gone),
    );
}

/// Guards against 401, which ends a program, for a caller of a route that needs no key any more, at an instance
/// that can't know.
#[tokio::test]
async fn a_caller_without_a_key_is_not_denied_by_an_older_configuration() {
    let store = Store::spawn();
    let accounts = serde_json::json!([{"name": "alpha", "api_keys": ["sk-alpha"]}]);
    configure_accounts(&store, 3, &accounts);
    let _upstream = Upstream::spawn(&store, "i-1", "app", IMMEDIATE_RESPONSE);
    let early = Instance::spawn(&store, "a").await;
    let older = Older::spawn(&store).await;
    sleep(MEETING_TIME).await;
    let order = || plain_request("pay", "t1");
    let reply = older.instance.send(order()).await.unwrap();
    assert_eq!(reply.status, StatusCode::UNAUTHORIZED);
    drop(early);
    older.begin(Failure::Rejects).await;
    configure_public(&store, 5, &accounts);
    sleep(CONFIG_APPLY_TIME).await;
    let reply = older.instance.send(order()).await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{reply:?}");
    older.end();
    older.instance.wait_for_config(5).await;
    let reply = older.instance.send(order()).await;
    assert!(is_ok(reply.as_ref()), "{reply:?}");
}

const READ: PlainRoute = PlainRoute {
    prefix: "/read/",
    ..SHOP
};

const PAY: PlainRoute = PlainRoute {
    prefix: "/pay/",
    kind: "unsafe",
    ..SHOP
};

/// An outage of the store for one instance or for all, in which nothing is configured.
async fn check_known_routes(is_whole: bool) {
    let store = Store::spawn();
    configure_plain(&store, 3, &[READ, PAY, ADVICE]);
    let services = ["app", "engine"];
    let _upstreams = services.map(|service| {
        let ids = ["1", "2"].map(|number| format!("{service}-{number}"));
        ids.map(|id| Upstream::spawn(&store, &id, service, IMMEDIATE_RESPONSE))
    });
    let informed = Instance::spawn(&store, "a").await;
    let older = Older::spawn(&store).await;
    // A program that has tokens at each instance goes on without the store.
    for (instance, program) in [(&informed, "pa"), (&older.instance, "pb")] {
        let first = Turn::first("advice", program).request();
        assert!(is_ok(instance.send(first).await.as_ref()));
    }
    sleep(MEETING_TIME).await;
    older.begin(Failure::Rejects).await;
    if is_whole {
        store.set_mode(Mode::Unavailable);
        informed.wait_for_event("E0711").await;
    }
    sleep(CONFIG_APPLY_TIME).await;
    let instances = if is_whole {
        vec![(&informed, "pa"), (&older.instance, "pb")]
    } else {
        vec![(&older.instance, "pb")]
    };
    for (instance, program) in instances {
        for route in ["read", "pay"] {
            for (attempt, reply) in send_orders(instance, route).await {
                let context = format!("{route} {attempt}, whole outage: {is_whole}: {reply:?}");
                assert!(is_ok(reply.as_ref()), "{context}");
            }
        }
        for number in 0..6 {
            let attempt = format!("{program}-{number}");
            let turn = Turn {
                program,
                max_output: 20,
                ..Turn::first("advice", &attempt)
            };
            let reply = send(instance.callers, turn.request()).await;
            let context = format!("turn {attempt}, whole outage: {is_whole}: {reply:?}");
            assert!(is_ok(reply.as_ref()), "{context}");
        }
    }
}

/// Guards against sound work that is turned away in an outage without a newer configuration.
#[tokio::test]
async fn known_routes_are_served_in_an_outage() {
    tokio::join!(check_known_routes(false), check_known_routes(true));
}
