//! Upstreams that say in their answers that they leave get no further requests, whatever the store says.

use std::collections::BTreeMap;
use std::time::Duration;

use basilramp_fakes::user_platform::{Behaviour, Store, Upstream, View};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::support::{IMMEDIATE_RESPONSE, Instance, Turn, configure, plain_request, wait_for};

fn request(route: &str, attempt: &str) -> Request<Full<Bytes>> {
    match route {
        "advice" => {
            let mut request = Turn::first(route, attempt).request();
            request.headers_mut().remove("token-budget");
            // No upstream has a part of the prompt in its cache.
            let prefix = format!("{:x}:900", rand::random::<u32>());
            let headers = request.headers_mut();
            headers.insert("prompt-prefix", prefix.parse().unwrap());
            request
        }
        _ => plain_request(route, attempt),
    }
}

/// A leaving upstream, another one, and an instance with its own view of the store.
struct Site {
    store: Store,
    view: View,
    leaving: Upstream,
    staying: Upstream,
    instance: Instance,
}

impl Site {
    async fn spawn(service: &str, behaviour: Behaviour) -> Self {
        let store = Store::spawn();
        configure(&store, 3);
        let leaving = Upstream::spawn(&store, "i-1", service, behaviour);
        let staying = Upstream::spawn(&store, "i-2", service, IMMEDIATE_RESPONSE);
        let view = store.spawn_view(BTreeMap::new());
        let instance = Instance::spawn_ready_at(view.address(), "a").await;
        Self {
            store,
            view,
            leaving,
            staying,
            instance,
        }
    }

    /// Sends requests until the upstream that leaves has said so.
    async fn hear_of_leaving(&self, route: &str) {
        self.leaving.set_leaving(true);
        let arrived = self.leaving.arrivals().len();
        wait_for("the upstream answers", || async {
            let attempt = format!("first-{}", rand::random::<u32>());
            self.instance.send(request(route, &attempt)).await;
            (self.leaving.arrivals().len() > arrived).then_some(())
        })
        .await;
    }

    /// Returns how many of some requests arrive at the upstream that leaves.
    async fn count_arrivals(&self, route: &str) -> usize {
        let arrived = self.leaving.arrivals().len();
        for _ in 0..16 {
            let attempt = format!("later-{}", rand::random::<u32>());
            let reply = self.instance.send(request(route, &attempt)).await.unwrap();
            assert_eq!(reply.status, StatusCode::OK);
        }
        self.leaving.arrivals().len() - arrived
    }
}

/// The instance does not reach the store, where the upstream reports nothing either. Answers of every
/// kind carry the news.
#[tokio::test]
async fn an_upstream_that_says_that_it_leaves_gets_no_further_requests() {
    let cases = [
        ("app", "pay", IMMEDIATE_RESPONSE),
        ("app", "read", Behaviour::Full),
        ("app", "pay", Behaviour::ServerError),
        ("engine", "advice", IMMEDIATE_RESPONSE),
        ("engine", "advice", Behaviour::BreaksOff(1)),
    ];
    for (service, route, behaviour) in cases {
        let site = Site::spawn(service, behaviour).await;
        if service == "engine" {
            // Streams begin without the store if their versions are known.
            site.instance.wait_for_event("E0771").await;
        }
        site.view.set_rejecting(true);
        site.hear_of_leaving(route).await;
        assert_eq!(site.count_arrivals(route).await, 0, "{route} {behaviour:?}");
        assert!(!site.staying.requests().is_empty());
        let line = site.instance.wait_for_event("E0732").await;
        assert_eq!(line["cause"], "answer");
    }
}

/// An entry of the same incarnation is older than the answer, also if it was removed meanwhile. Another
/// incarnation is not barred, at the same address or under the same id.
#[tokio::test]
async fn the_word_of_an_upstream_holds_for_its_incarnation() {
    let site = Site::spawn("app", IMMEDIATE_RESPONSE).await;
    site.hear_of_leaving("pay").await;
    site.leaving.register(&site.store, "ready");
    assert_eq!(site.count_arrivals("pay").await, 0);
    site.store.remove("servers", "i-1");
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    site.leaving.register(&site.store, "ready");
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(site.count_arrivals("pay").await, 0);
    for id in ["i-3", "i-3"] {
        site.leaving.set_leaving(false);
        site.leaving.restart(&site.store, id);
        wait_for("the new incarnation gets requests", || async {
            (site.count_arrivals("pay").await > 0).then_some(())
        })
        .await;
        site.hear_of_leaving("pay").await;
        assert_eq!(site.count_arrivals("pay").await, 0);
    }
}

/// The last upstream that an instance without the store knows has left. Another instance knows others.
#[tokio::test]
async fn requests_without_a_known_upstream_are_relayed() {
    let store = Store::spawn();
    configure(&store, 3);
    let old = Upstream::spawn(&store, "i-1", "app", IMMEDIATE_RESPONSE);
    let view = store.spawn_view(BTreeMap::new());
    let other = Instance::spawn(&store, "b").await;
    let cut_off = Instance::spawn_ready_at(view.address(), "a").await;
    wait_for("the instances know each other", || async {
        (store.row_count("instance") == 2).then_some(())
    })
    .await;
    // The rows are read up to fifteen seconds after the start.
    tokio::time::sleep(Duration::from_secs(16)).await;
    view.set_rejecting(true);
    cut_off.wait_for_event("E0711").await;
    let new = Upstream::spawn(&store, "i-2", "app", IMMEDIATE_RESPONSE);
    other.wait_for_event("E0731").await;
    old.set_leaving(true);
    for number in 0..4 {
        let reply = cut_off
            .send(plain_request("pay", &format!("t{number}")))
            .await;
        assert_eq!(reply.unwrap().status, StatusCode::OK, "{number}");
    }
    // Each instance has sent it one at most.
    assert!(old.requests().len() <= 2);
    assert!(new.requests().len() >= 2);
}
