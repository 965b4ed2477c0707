//! An instance without a path to the upstreams relays requests to another one, while one of them has an
//! older configuration than the other.

use std::collections::BTreeMap;
use std::time::Duration;

use basilramp_fakes::relay::{self, Cut, Door, Relay};
use basilramp_fakes::user_platform::{Behaviour, Store, Upstream, View};
use http::StatusCode;
use tokio::time::sleep;

use crate::support::{Instance, PlainRoute, Reply, configure_plain, plain_request, wait_for};

const FAST: Behaviour = Behaviour::Respond {
    events: 1,
    interval_ms: 5,
};

/// Time of an order that is longer than that after which a request goes to another upstream if it may be
/// repeated, in milliseconds.
const SLOW_MS: u64 = 700;

/// Time of an order that is longer than that after which a request goes to another instance if it may be
/// repeated, in milliseconds.
const VERY_SLOW_MS: u64 = 2_000;

const SHOP: PlainRoute = PlainRoute {
    prefix: "/shop/",
    kind: "safe",
    service: "app",
    is_retained: false,
};

/// An instance that relays to two others.
struct Site {
    store: Store,
    /// Upstreams of the services `app` and `other`.
    upstreams: [Vec<Upstream>; 2],
    /// The first instance's links to the upstreams.
    links: Vec<Relay>,
    _view: View,
    /// Links of the instances to the store.
    store_links: [Relay; 2],
    relaying: Instance,
    helping: Instance,
    _third: Instance,
}

impl Site {
    /// Starts the instances with version 3 of the configuration, and cuts the first one off from the
    /// upstreams.
    async fn spawn() -> Self {
        let store = Store::spawn();
        configure_plain(&store, 3, &[SHOP]);
        let upstreams = ["app", "other"].map(|service| {
            let ids = (0..3).map(|index| format!("i-{service}-{index}"));
            ids.map(|id| Upstream::spawn(&store, &id, service, FAST))
                .collect::<Vec<_>>()
        });
        let targets: Vec<_> = upstreams.iter().flatten().map(Upstream::address).collect();
        let links: Vec<_> = targets.iter().map(|target| relay::spawn(*target)).collect();
        let addresses = targets.into_iter().zip(links.iter().map(Relay::address));
        let view = store.spawn_view(addresses.collect::<BTreeMap<_, _>>());
        let store_links = [view.address(), store.address()].map(relay::spawn);
        let relaying = Instance::spawn_ready_at(store_links[0].address(), "a").await;
        let helping = Instance::spawn_ready_at(store_links[1].address(), "b").await;
        let third = Instance::spawn(&store, "c").await;
        for link in &links {
            link.set_door(Door::Refusing);
            link.reset_connections();
        }
        let site = Self {
            store,
            upstreams,
            links,
            _view: view,
            store_links,
            relaying,
            helping,
            _third: third,
        };
        wait_for("requests are relayed", || async {
            let attempts = (0..6).map(|number| format!("probe-{number}"));
            let attempts: Vec<_> = attempts.collect();
            let replies = attempts.iter().map(|attempt| site.send(attempt));
            futures_util::future::join_all(replies).await;
            (!site.relaying.events("E0763").is_empty()).then_some(())
        })
        .await;
        site
    }

    /// Sends a request to the first instance.
    async fn send(&self, attempt: &str) -> Reply {
        let request = plain_request("shop/order", attempt);
        self.relaying.send(request).await.unwrap()
    }

    /// Lets the store be silent to the instance at an index.
    fn silence(&self, index: usize) {
        self.store_links[index].cut(Cut::Both);
        self.store_links[index].set_door(Door::Silent);
    }

    /// Returns at how many upstreams of the services `app` and `other` an attempt ran.
    fn runs(&self, attempt: &str) -> [usize; 2] {
        [0, 1].map(|service: usize| {
            let runs = self.upstreams[service].iter().flat_map(Upstream::requests);
            runs.filter(|run| run.attempt_id == attempt).count()
        })
    }

    /// Sends 12 requests that take `interval_ms`, and checks that none of them ran twice. Returns how
    /// many were served.
    async fn check_orders_run_once(&self, interval_ms: u64) -> usize {
        for upstream in self.upstreams.iter().flatten() {
            upstream.set_behaviour(Behaviour::Respond {
                events: 1,
                interval_ms,
            });
        }
        let attempts: Vec<_> = (0..12).map(|number| format!("order-{number}")).collect();
        let replies = attempts.iter().map(|attempt| self.send(attempt));
        let replies = futures_util::future::join_all(replies).await;
        // A run that was not waited for may begin late.
        sleep(Duration::from_millis(500)).await;
        for (attempt, reply) in attempts.iter().zip(&replies) {
            let runs: usize = self.runs(attempt).iter().sum();
            assert!(runs <= 1, "{attempt}: {runs} runs, {reply:?}");
            if reply.status == StatusCode::SERVICE_UNAVAILABLE {
                assert_eq!(runs, 0, "{attempt}");
            }
        }
        let served = replies
            .iter()
            .filter(|reply| reply.status == StatusCode::OK);
        served.count()
    }
}

/// Versions after which the orders of version 3 must not be repeated.
fn versions_with_unsafe_orders() -> [Vec<PlainRoute>; 2] {
    let orders = PlainRoute {
        prefix: "/shop/order/",
        kind: "unsafe",
        ..SHOP
    };
    let all = PlainRoute {
        kind: "unsafe",
        ..SHOP
    };
    [vec![SHOP, orders], vec![all]]
}

/// The store is silent to the helping instance, whose configuration says that orders may be repeated.
#[tokio::test]
async fn an_order_relayed_to_an_instance_with_an_older_configuration_runs_once() {
    for routes in versions_with_unsafe_orders() {
        let site = Site::spawn().await;
        site.silence(1);
        configure_plain(&site.store, 5, &routes);
        site.relaying.wait_for_config(5).await;
        assert_eq!(site.check_orders_run_once(SLOW_MS).await, 12);
    }
}

/// The store is silent to the relaying instance, whose configuration says that orders may be repeated.
#[tokio::test]
async fn an_order_relayed_by_an_instance_with_an_older_configuration_runs_once() {
    for routes in versions_with_unsafe_orders() {
        let site = Site::spawn().await;
        site.silence(0);
        configure_plain(&site.store, 5, &routes);
        site.helping.wait_for_config(5).await;
        site.check_orders_run_once(VERY_SLOW_MS).await;
        // The relaying instance has the newer configuration by now.
        assert_eq!(site.send("later").await.status, StatusCode::OK);
    }
}

/// A route moves to another service, and the store is silent to one of the instances. After the first
/// request at the other service, none runs at the earlier one.
#[tokio::test]
async fn requests_do_not_go_back_to_an_older_configuration() {
    let moved = PlainRoute {
        service: "other",
        ..SHOP
    };
    for silent in [0, 1] {
        let site = Site::spawn().await;
        site.silence(silent);
        configure_plain(&site.store, 5, &[moved]);
        let informed = [&site.helping, &site.relaying][silent];
        informed.wait_for_config(5).await;
        for number in 0..30 {
            let attempt = format!("t{number}");
            assert_eq!(site.send(&attempt).await.status, StatusCode::OK);
            assert_eq!(site.runs(&attempt), [0, 1], "{attempt}, silent: {silent}");
        }
        // Its own path is back, and the store is not.
        site.links.iter().for_each(Relay::heal);
        site.relaying.wait_for_event("E0762").await;
        for number in 0..10 {
            let attempt = format!("u{number}");
            assert_eq!(site.send(&attempt).await.status, StatusCode::OK);
            assert_eq!(site.runs(&attempt), [0, 1], "{attempt}, silent: {silent}");
        }
    }
}

/// Versions come while requests are relayed. Guards against requests that are rejected whenever one of
/// the instances learns of a version a moment later than the other.
#[tokio::test]
async fn requests_are_relayed_while_versions_come() {
    let site = Site::spawn().await;
    let versions = async {
        for version in 4..24 {
            sleep(Duration::from_millis(100)).await;
            configure_plain(&site.store, version, &[SHOP]);
        }
    };
    let mut sent = 0;
    let requests = async {
        loop {
            sent += 1;
            let reply = site.send(&format!("t{sent}")).await;
            assert_eq!(reply.status, StatusCode::OK, "request {sent}");
        }
    };
    tokio::select! {
        () = versions => {}
        () = requests => {}
    }
    assert!(sent > 100, "{sent}");
}
