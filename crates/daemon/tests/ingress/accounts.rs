//! Callers with the keys of accounts: who is served, and what upstreams and logs learn.

use std::collections::BTreeMap;
use std::time::Duration;

use basilramp_fakes::user_platform::{Behaviour, Mode, RequestRecord, Store, Upstream};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    IMMEDIATE_RESPONSE, Instance, Reply, Turn, configure_accounts, plain_request, start_site,
    to_public_host, wait_for, with_key,
};

pub(crate) const ALPHA_KEY: &str = "sk-alpha-7f3a9c";
pub(crate) const ALPHA_SPARE_KEY: &str = "sk-alpha-spare-20be";
pub(crate) const BETA_KEY: &str = "sk-beta-51d0e4";
pub(crate) const NEW_KEY: &str = "sk-new-9a77c2";

/// Time after the store's acknowledgement within which a version is in force on small deployments.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time after which a feed has noticed that the store does not respond, and has read its table again.
const LONG_POLL: Duration = Duration::from_millis(1_500);

/// Version of the first configuration with accounts.
pub(crate) const VERSION: u64 = 4;

pub(crate) fn accounts() -> Value {
    json!([
        {"name": "alpha", "api_keys": [ALPHA_KEY, ALPHA_SPARE_KEY], "priority": 0},
        {"name": "beta", "api_keys": [BETA_KEY]},
    ])
}

/// The accounts after a change of keys: one is revoked, and one is added.
pub(crate) fn changed_accounts() -> Value {
    json!([
        {"name": "alpha", "api_keys": [ALPHA_SPARE_KEY, NEW_KEY]},
        {"name": "beta", "api_keys": [BETA_KEY]},
    ])
}

pub(crate) fn start<const N: usize>(
    service: &str,
    behaviours: [Behaviour; N],
) -> (Store, [Upstream; N]) {
    let (store, upstreams) = start_site(service, behaviours);
    configure_accounts(&store, VERSION, &accounts());
    (store, upstreams)
}

pub(crate) async fn send(instance: &Instance, request: Request<Full<Bytes>>) -> Reply {
    instance.send(request).await.unwrap()
}

pub(crate) fn runs<const N: usize>(upstreams: &[Upstream; N]) -> Vec<RequestRecord> {
    upstreams.iter().flat_map(Upstream::requests).collect()
}

/// Guards against a request without a valid key that reaches an upstream.
#[tokio::test]
async fn requests_without_a_valid_key_are_not_run() {
    let (store, upstreams) = start("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let two_keys = format!("{ALPHA_KEY}, {BETA_KEY}");
    let cases: [&[&str]; 9] = [
        &[],
        &[""],
        &["sk-unknown"],
        &[&ALPHA_KEY[..ALPHA_KEY.len() - 1]],
        &["SK-ALPHA-7F3A9C"],
        &["Bearer sk-alpha-7f3a9c"],
        &[&two_keys],
        &[ALPHA_KEY, ALPHA_KEY],
        &[ALPHA_KEY, "sk-unknown"],
    ];
    for (number, keys) in cases.into_iter().enumerate() {
        let request = plain_request("pay", &format!("t{number}"));
        let request = keys
            .iter()
            .fold(request, |request, key| with_key(request, key));
        let reply = send(&instance, request).await;
        assert_eq!(reply.status, StatusCode::UNAUTHORIZED, "{keys:?}");
    }
    assert_eq!(runs(&upstreams), []);
    let metrics = instance.metrics().await;
    assert!(metrics.contains("outcome=\"unauthorized\""), "{metrics}");
    for key in [ALPHA_KEY, ALPHA_SPARE_KEY, BETA_KEY] {
        let reply = send(&instance, with_key(plain_request("pay", key), key)).await;
        assert_eq!(reply.status, StatusCode::OK);
    }
}

/// Adds headers by which a caller pretends to be another account.
pub(crate) fn forge(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let headers = request.headers_mut();
    for (name, value) in [
        ("tenant", "beta"),
        ("tenant", "gamma"),
        ("relay-account", "beta"),
        ("relay-key", "00"),
        ("relay-version", "99"),
    ] {
        headers.append(name, value.parse().unwrap());
    }
    request
}

/// Like [`forge`], and names the headers in `Connection`.
fn forge_connection(request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let mut request = forge(request);
    let names = "tenant, credential, relay-account, relay-key, relay-version";
    let headers = request.headers_mut();
    headers.insert("connection", names.parse().unwrap());
    request
}

pub(crate) fn assert_account(runs: &[RequestRecord], account: Option<&str>) {
    for run in runs {
        assert_eq!(run.account.as_deref(), account, "{run:?}");
        assert!(!run.has_key, "{run:?}");
        assert_eq!(run.forged_headers, Vec::<String>::new(), "{run:?}");
    }
}

/// Guards against a key, or an account named by the caller, that is sent to an upstream, on the first
/// send, on a retry, and where another upstream continues a stream.
#[tokio::test]
async fn upstreams_learn_the_account_of_the_key_and_never_the_key() {
    const ATTEMPTS: usize = 6;
    for (service, route, first) in [
        ("app", "read", Behaviour::LosesResponse),
        ("app", "pay", IMMEDIATE_RESPONSE),
        ("engine", "advice", Behaviour::BreaksOff(1)),
        ("engine", "varied", Behaviour::BreaksOff(2)),
        ("engine", "chat", IMMEDIATE_RESPONSE),
    ] {
        let (store, upstreams) = start(service, [first, first]);
        let instance = Instance::spawn(&store, "a").await;
        let request = |attempt: &str| match service {
            "app" => plain_request(route, attempt),
            _ => Turn::first(route, attempt).request(),
        };
        for number in 0..ATTEMPTS {
            let attempt = format!("t{number}");
            let request = with_key(request(&attempt), ALPHA_KEY);
            let forged = [
                forge(request.clone()),
                forge_connection(request.clone()),
                request,
            ];
            send(&instance, forged[number % forged.len()].clone()).await;
        }
        let private = runs(&upstreams);
        assert!(private.len() >= ATTEMPTS, "{route}: {private:?}");
        if first != IMMEDIATE_RESPONSE {
            assert!(private.len() > ATTEMPTS, "{route}: nothing was sent again");
        }
        assert_account(&private, Some("alpha"));
        let public = to_public_host(with_key(request("open"), ALPHA_KEY));
        send(&instance, forge(public)).await;
        send(&instance, to_public_host(request("bare"))).await;
        let all = runs(&upstreams);
        let public = all
            .iter()
            .filter(|run| ["open", "bare"].contains(&&*run.attempt_id));
        let public: Vec<_> = public.cloned().collect();
        assert!(public.len() >= 2);
        assert_account(&public, None);
    }
}

/// Guards against the route's priority taking precedence.
#[tokio::test]
async fn log_lines_name_the_account_and_its_priority() {
    let (store, _upstreams) = start("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    for (key, account, rank) in [(ALPHA_KEY, "alpha", 0), (BETA_KEY, "beta", 1)] {
        send(&instance, with_key(plain_request("pay", account), key)).await;
        let line = wait_for("the response is logged", || async {
            let lines = instance.events("E0741");
            lines.into_iter().find(|line| line["request"] == account)
        })
        .await;
        assert_eq!(
            (&line["account"], &line["rank"]),
            (&json!(account), &json!(rank))
        );
    }
    // A turn that does not exist is refused after the key is known.
    let turn = Turn::chained("chat", "t1", Some("none"), "input");
    send(&instance, with_key(turn.request(), BETA_KEY)).await;
    let line = instance.wait_for_event("E0742").await;
    assert_eq!(line["account"], "beta");
}

/// Guards against keys in log lines, metrics and error responses, also of rejected requests and
/// configurations.
#[tokio::test]
async fn keys_are_in_no_log_line_and_no_metric() {
    let (store, _upstreams) = start("app", [IMMEDIATE_RESPONSE, Behaviour::LosesResponse]);
    let instance = Instance::spawn(&store, "a").await;
    let unknown = "sk-unknown-33aa";
    let mut bodies = String::new();
    for number in 0..4 {
        for key in [ALPHA_KEY, BETA_KEY, unknown] {
            for route in ["read", "pay", "advice", "nowhere"] {
                let attempt = format!("{}-{number}-{route}", key.len());
                let request = with_key(plain_request(route, &attempt), key);
                let reply = send(&instance, request).await;
                bodies.push_str(&format!("{:?}{}", reply.headers, reply.body));
            }
        }
    }
    let invalid = [
        json!([{"name": "alpha", "api_keys": NEW_KEY}]),
        json!([{"name": "alpha", "api_keys": [ALPHA_KEY], "rate_per_s": NEW_KEY}]),
        json!([{"name": {"key": NEW_KEY}, "api_keys": [ALPHA_KEY]}]),
        json!({NEW_KEY: "alpha"}),
        json!(NEW_KEY),
        json!([NEW_KEY]),
        json!([{"name": "a", "api_keys": [NEW_KEY]}, {"name": "b", "api_keys": [NEW_KEY]}]),
    ];
    for (number, accounts) in invalid.iter().enumerate() {
        configure_accounts(&store, VERSION + 1 + number as u64, accounts);
        wait_for("the configuration is rejected", || async {
            (instance.events("E0714").len() > number).then_some(())
        })
        .await;
    }
    let log = instance.log_text();
    let metrics = instance.metrics().await;
    let suspects = instance.operator("GET", "/suspects").await.body;
    for key in [ALPHA_KEY, ALPHA_SPARE_KEY, BETA_KEY, NEW_KEY, unknown] {
        for text in [&log, &metrics, &suspects, &bodies] {
            assert!(!text.contains(key), "{key} in {text}");
        }
    }
}

async fn status_with(instance: &Instance, key: &str) -> StatusCode {
    let attempt = format!("t{}", rand::random::<u32>());
    let request = with_key(plain_request("pay", &attempt), key);
    send(instance, request).await.status
}

/// Guards against a revoked key that is still accepted, also after a restart.
#[tokio::test]
async fn a_revoked_key_is_rejected_in_time_and_after_a_restart() {
    let (store, _upstreams) = start("app", [IMMEDIATE_RESPONSE]);
    let mut instances = [
        Instance::spawn(&store, "a").await,
        Instance::spawn(&store, "b").await,
    ];
    for instance in &instances {
        assert_eq!(status_with(instance, ALPHA_KEY).await, StatusCode::OK);
        assert_eq!(
            status_with(instance, NEW_KEY).await,
            StatusCode::UNAUTHORIZED
        );
    }
    configure_accounts(&store, VERSION + 1, &changed_accounts());
    tokio::time::sleep(IN_FORCE).await;
    let restarted = Instance::spawn(&store, "b").await;
    instances[1] = restarted;
    for instance in &instances {
        assert_eq!(
            status_with(instance, ALPHA_KEY).await,
            StatusCode::UNAUTHORIZED
        );
        assert_eq!(status_with(instance, ALPHA_SPARE_KEY).await, StatusCode::OK);
        assert_eq!(status_with(instance, NEW_KEY).await, StatusCode::OK);
    }
    // An older version must not bring the key back.
    configure_accounts(&store, VERSION, &accounts());
    tokio::time::sleep(IN_FORCE).await;
    let status = status_with(&instances[0], ALPHA_KEY).await;
    assert_eq!(status, StatusCode::UNAUTHORIZED);
}

/// The head of a request arrives before its key is revoked, and its body long after.
#[tokio::test]
async fn a_request_whose_key_is_revoked_before_it_is_sent_is_not_run() {
    let (store, upstreams) = start("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let mut connection = TcpStream::connect(instance.callers).await.unwrap();
    let head = format!(
        "POST /pay/x HTTP/1.1\r\nhost: a.example\r\nattempt-id: t1\r\ncredential: {ALPHA_KEY}\r\n\
         deadline-ms: 3900\r\ncontent-length: 2\r\n\r\n"
    );
    connection.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    configure_accounts(&store, VERSION + 1, &changed_accounts());
    instance.wait_for_config(VERSION + 1).await;
    connection.write_all(b"hi").await.unwrap();
    let mut reply = vec![0; 4_096];
    let len = connection.read(&mut reply).await.unwrap();
    let reply = String::from_utf8_lossy(&reply[..len]);
    assert!(reply.starts_with("HTTP/1.1 401"), "{reply}");
    assert_eq!(runs(&upstreams), []);
}

/// A key may have been added while an instance does not reach the store, so that it must not tell the
/// caller that the key is wrong.
#[tokio::test]
async fn an_unknown_key_is_unavailable_while_the_store_is_down() {
    let (store, upstreams) = start("app", [IMMEDIATE_RESPONSE]);
    let view = store.spawn_view(BTreeMap::new());
    let instance = Instance::spawn_ready_at(view.address(), "a").await;
    view.set_rejecting(true);
    instance.wait_for_event("E0711").await;
    configure_accounts(&store, VERSION + 1, &changed_accounts());
    let reply = send(&instance, with_key(plain_request("pay", "t1"), NEW_KEY)).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.retry_after().is_some());
    // Without a key, no configuration could make it valid.
    let reply = send(&instance, plain_request("pay", "t2")).await;
    assert_eq!(reply.status, StatusCode::UNAUTHORIZED);
    assert_eq!(runs(&upstreams), []);
    // A late revocation is better than rejecting all callers.
    assert_eq!(status_with(&instance, ALPHA_KEY).await, StatusCode::OK);
    view.set_rejecting(false);
    instance.wait_for_config(VERSION + 1).await;
    assert_eq!(status_with(&instance, NEW_KEY).await, StatusCode::OK);
    assert_eq!(
        status_with(&instance, ALPHA_KEY).await,
        StatusCode::UNAUTHORIZED
    );
}

/// Guards against a bad configuration that takes effect in part or is logged again and again.
#[tokio::test]
async fn a_bad_configuration_leaves_the_one_in_force_and_logs_one_line() {
    let (store, _upstreams) = start("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let shared_key = json!([
        {"name": "alpha", "api_keys": [NEW_KEY]},
        {"name": "gamma", "api_keys": [NEW_KEY]},
    ]);
    configure_accounts(&store, VERSION + 1, &shared_key);
    let line = instance.wait_for_event("E0714").await;
    let error = line["error"].as_str().unwrap();
    assert!(
        error.contains("alpha") && error.contains("gamma"),
        "{error}"
    );
    // The table is read again, with the same row.
    store.set_mode(Mode::Unavailable);
    instance.wait_for_event("E0711").await;
    tokio::time::sleep(LONG_POLL).await;
    store.set_mode(Mode::Up);
    instance.wait_for_event("E0712").await;
    tokio::time::sleep(LONG_POLL).await;
    assert_eq!(instance.events("E0714").len(), 1);
    assert_eq!(status_with(&instance, ALPHA_KEY).await, StatusCode::OK);
    assert_eq!(
        status_with(&instance, NEW_KEY).await,
        StatusCode::UNAUTHORIZED
    );
    configure_accounts(&store, VERSION + 2, &changed_accounts());
    instance.wait_for_config(VERSION + 2).await;
    assert_eq!(status_with(&instance, NEW_KEY).await, StatusCode::OK);
}

/// Deployments without accounts use these headers for themselves.
#[tokio::test]
async fn without_accounts_all_headers_are_passed_on() {
    let (store, upstreams) = start_site("app", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let mut request = with_key(plain_request("pay", "t1"), ALPHA_KEY);
    request
        .headers_mut()
        .insert("tenant", "any".parse().unwrap());
    assert_eq!(send(&instance, request).await.status, StatusCode::OK);
    let reply = send(&instance, plain_request("pay", "t2")).await;
    assert_eq!(reply.status, StatusCode::OK);
    let runs = runs(&upstreams);
    assert!(runs[0].has_key && !runs[1].has_key);
    assert_eq!(runs[0].account.as_deref(), Some("any"));
    assert_eq!(runs[1].account, None);
}
