//! Quotas of client accounts over all instances.

use std::time::{Duration, Instant};

use basilramp_core::dispatch::quota::Rule;
use basilramp_fakes::user_platform::{Mode, Store, Upstream};
use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};

use crate::support::{IMMEDIATE_RESPONSE, Instance, configure_accounts, plain_request, wait_for};

/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(5);

/// Requests that may reach an upstream a little later than their permits are checked.
const DELAYED: usize = 3;

fn request(key: &str) -> Request<Full<Bytes>> {
    let mut request = plain_request("read", &format!("t{}", rand::random::<u64>()));
    let headers = request.headers_mut();
    headers.insert("credential", key.parse().unwrap());
    request
}

fn accounts(rate: f64, burst: f64) -> Value {
    json!([
        {"name": "small", "api_keys": ["key-small"], "rate_per_s": rate, "burst": burst},
        {"name": "free", "api_keys": ["key-free", "key-free-2"]},
    ])
}

fn start_site(rate: f64, burst: f64) -> (Store, Upstream) {
    let store = Store::spawn();
    configure_accounts(&store, 3, &accounts(rate, burst));
    let upstream = Upstream::spawn(&store, "i-1", "app", IMMEDIATE_RESPONSE);
    (store, upstream)
}

async fn spawn(store: &Store, name: &str) -> Instance {
    let rule = json!({"window_s": 5, "excess": 0.1, "tolerance": 20});
    Instance::spawn_with_quota(store, name, rule).await
}

/// Returns the largest number of requests in a window.
fn busiest_window(arrivals: &[Instant]) -> usize {
    let count = |first: usize| {
        let within = arrivals[first..].iter();
        within
            .take_while(|at| **at < arrivals[first] + WINDOW)
            .count()
    };
    (0..arrivals.len()).map(count).max().unwrap_or_default()
}

/// Sends a request to every instance at intervals, until `duration` is over. Returns the statuses.
async fn send_requests(instances: &[Instance], duration: Duration) -> Vec<StatusCode> {
    let started_at = Instant::now();
    let mut statuses = Vec::new();
    while started_at.elapsed() < duration {
        let sent = instances.iter().map(|one| one.send(request("key-small")));
        for reply in join_all(sent).await {
            let reply = reply.unwrap();
            if reply.status != StatusCode::OK {
                assert_eq!(
                    reply.status,
                    StatusCode::TOO_MANY_REQUESTS,
                    "{}",
                    reply.body
                );
                assert!(reply.retry_after().is_some());
            }
            statuses.push(reply.status);
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    statuses
}

/// The platform leaves out a section of the template whose value it does not have.
#[test]
fn the_template_holds_the_rule_where_the_platform_states_it() {
    const TEMPLATE: &str = include_str!("../../../../deploy/ingress.jsonc");
    let bounds = [
        ("bounds.quota_window_s", "4.5"),
        ("bounds.quota_excess", "0.2"),
        ("bounds.quota_tolerance", "7"),
    ];
    let rule = |bounds: &[(&str, &str)]| {
        let settings = basilramp_ingress::Settings::parse(&render(TEMPLATE, bounds));
        settings.unwrap().quota
    };
    let rule_of = |window_ms, excess, tolerance| Rule {
        window_ms,
        excess,
        tolerance,
    };
    assert_eq!(rule(&bounds), rule_of(4_500, 0.2, 7));
    assert_eq!(rule(&bounds[..1]), rule_of(4_500, 0.0, 0));
    assert_eq!(rule(&[]), Rule::default());
}

/// Fills in a template as the platform does.
fn render(template: &str, bounds: &[(&str, &str)]) -> String {
    let mut text = template.to_owned();
    for name in [
        "bounds.quota_tolerance",
        "bounds.quota_excess",
        "bounds.quota_window_s",
    ] {
        let (opening, closing) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let Some((before, rest)) = text.split_once(&opening) else {
            continue;
        };
        let (section, after) = rest.split_once(&closing).unwrap();
        let value = bounds.iter().find(|bound| bound.0 == name);
        let section = value.map_or(String::new(), |(_, value)| {
            section.replace(&format!("{{{{{name}}}}}"), value)
        });
        text = format!("{before}{section}{after}");
    }
    let fields = [
        ("{{node_name}}", "a"),
        ("{{zone}}", "z"),
        ("{{ip}}:{{port_range.0}}", "127.0.0.1:3"),
        ("{{ip}}:{{port_range.1}}", "127.0.0.1:5"),
        ("{{listen.front}}", "127.0.0.1:1"),
        ("{{listen.ready}}", "127.0.0.1:2"),
        ("{{platform.address}}", "127.0.0.1:4"),
        ("{{limits.memory_mb}}", "88"),
        ("{{bounds.grace_s}}", "8"),
    ];
    let fill = |text: String, (field, value): &(&str, &str)| text.replace(field, value);
    fields.iter().fold(text, fill)
}

/// Each instance alone could keep the quota and still the sum of all would exceed it, also when one of
/// them is killed with permits.
#[tokio::test(flavor = "multi_thread")]
async fn instances_together_keep_the_quota_of_an_account() {
    let (store, upstream) = start_site(6.0, 6.0);
    let mut instances = Vec::new();
    for name in ["a", "b", "c"] {
        instances.push(spawn(&store, name).await);
    }
    let mut statuses = send_requests(&instances, Duration::from_secs(4)).await;
    drop(instances.pop());
    let began = Instant::now();
    statuses.extend(send_requests(&instances, 2 * WINDOW).await);
    let accepted = ((6.0 * 5.0 + 6.0) * 1.1) as usize;
    let arrivals = upstream.arrivals();
    let busiest = busiest_window(&arrivals);
    assert!(
        busiest <= accepted + DELAYED,
        "{busiest} requests in a window"
    );
    let served = arrivals.iter().filter(|at| **at >= began).count();
    assert!(
        served >= 48,
        "{served} of 60 requests within the quota served"
    );
    let answered = statuses.iter().filter(|status| **status == StatusCode::OK);
    assert_eq!(answered.count(), arrivals.len());
}

/// Requests within the quota are not rejected, and operators see its use but no key.
#[tokio::test(flavor = "multi_thread")]
async fn requests_within_the_quota_are_served() {
    let (store, upstream) = start_site(50.0, 50.0);
    let instances = [spawn(&store, "a").await, spawn(&store, "b").await];
    let statuses = send_requests(&instances, Duration::from_secs(3)).await;
    assert!(statuses.iter().all(|status| *status == StatusCode::OK));
    assert_eq!(upstream.arrivals().len(), statuses.len());
    let reply = instances[0].operator("GET", "/accounts").await;
    assert!(!reply.body.contains("key-"), "{}", reply.body);
    let listed: Value = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(listed[0]["name"], "free");
    assert_eq!(listed[0]["keys"], 2);
    assert_eq!(listed[0]["rate_per_s"], Value::Null);
    assert_eq!(listed[1]["rate_per_s"], 50.0);
    assert_eq!(listed[1]["burst"], 50);
    assert_eq!(listed[1]["requests"], statuses.len() / 2);
    assert_eq!(listed[1]["rejected"], 0);
}

/// An account without a quota must not wait for the store.
#[tokio::test(flavor = "multi_thread")]
async fn an_account_without_a_quota_needs_no_permit() {
    let (store, upstream) = start_site(1.0, 1.0);
    let instance = spawn(&store, "a").await;
    for _ in 0..30 {
        let reply = instance.send(request("key-free")).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert_eq!(upstream.arrivals().len(), 30);
    assert_eq!(store.row_count("quota"), 0);
}

/// Without the store, an instance can't know whether the quota is used up elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_the_store_uses_only_the_permits_that_it_has() {
    let (store, upstream) = start_site(20.0, 20.0);
    let instance = spawn(&store, "a").await;
    for _ in 0..10 {
        instance.send(request("key-small")).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    store.set_mode(Mode::Unavailable);
    let rejected = wait_for("a rejection", || async {
        let reply = instance.send(request("key-small")).await.unwrap();
        (reply.status != StatusCode::OK).then_some(reply)
    });
    let rejected = rejected.await;
    assert_eq!(rejected.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(rejected.retry_after().is_some());
    let accepted = ((20.0 * 5.0 + 20.0) * 1.1) as usize;
    let busiest = busiest_window(&upstream.arrivals());
    assert!(
        busiest <= accepted + DELAYED,
        "{busiest} requests in a window"
    );
    store.set_mode(Mode::Up);
    wait_for("the account is served again", || async {
        let reply = instance.send(request("key-small")).await.unwrap();
        (reply.status == StatusCode::OK).then_some(())
    })
    .await;
}
