//! Instances that lose their path to all upstreams, while callers, the store and the other instances
//! still reach them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilramp_fakes::relay::{self, Cut, Door, Relay};
use basilramp_fakes::user_platform::{Behaviour, Store, Upstream, View};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::sleep;

use crate::support::{Instance, Turn, configure, plain_request};

/// Time after a cut within which its instances have to serve their callers again.
const STABLE: Duration = Duration::from_secs(3);

const FAST_RESPONSE: Behaviour = Behaviour::Respond {
    events: 3,
    interval_ms: 10,
};

/// How the links of an instance fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// Nothing passes on open connections, and new ones get no answer.
    Silence,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    Refusal,
}

const FAILURES: [Failure; 3] = [Failure::Silence, Failure::Reset, Failure::Refusal];

/// Instances that each have links of their own to the upstreams.
struct Site {
    store: Store,
    upstreams: Vec<Upstream>,
    /// Links by instance and upstream.
    links: Vec<Vec<Relay>>,
    views: Vec<View>,
    instances: Vec<Instance>,
}

impl Site {
    async fn spawn(instances: usize) -> Self {
        Self::spawn_with(instances, FAST_RESPONSE).await
    }

    async fn spawn_with(instances: usize, behaviour: Behaviour) -> Self {
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
    fn cut(&self, index: usize, failure: Failure) {
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
