//! Callers with the keys of accounts: who is served, what upstreams learn, and what an account sees of
//! another one's data.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basilramp_core::dispatch::account::Account;
use basilramp_fakes::user_platform::{Behaviour, Mode, RequestRecord, Store, Upstream};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

use crate::lost_path::{Failure, Site};
use crate::support::{
    IMMEDIATE_RESPONSE, Instance, Reply, Turn, configure_accounts, plain_request, start_site,
    to_public_host, wait_for, with_key,
};

const ALPHA_KEY: &str = "sk-alpha-7f3a9c";
const ALPHA_SPARE_KEY: &str = "sk-alpha-spare-20be";
const BETA_KEY: &str = "sk-beta-51d0e4";
const NEW_KEY: &str = "sk-new-9a77c2";

/// Time after the store's acknowledgement within which a version is in force on small deployments.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time after which a feed has noticed that the store does not respond, and has read its table again.
const LONG_POLL: Duration = Duration::from_millis(1_500);

/// Version of the first configuration with accounts.
const VERSION: u64 = 4;

fn accounts() -> Value {
    json!([
        {"name": "alpha", "api_keys": [ALPHA_KEY, ALPHA_SPARE_KEY], "priority": 0},
        {"name": "beta", "api_keys": [BETA_KEY]},
    ])
}

/// The accounts after a change of keys: one is revoked, and one is added.
fn changed_accounts() -> Value {
    json!([
        {"name": "alpha", "api_keys": [ALPHA_SPARE_KEY, NEW_KEY]},
        {"name": "beta", "api_keys": [BETA_KEY]},
    ])
}

fn start<const N: usize>(service: &str, behaviours: [Behaviour; N]) -> (Store, [Upstream; N]) {
    let (store, upstreams) = start_site(service, behaviours);
    configure_accounts(&store, VERSION, &accounts());
    (store, upstreams)
}

async fn send(instance: &Instance, request: Request<Full<Bytes>>) -> Reply {
    instance.send(request).await.unwrap()
}

fn runs<const N: usize>(upstreams: &[Upstream; N]) -> Vec<RequestRecord> {
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
fn forge(mut request: Request<Full<Bytes>>) -> Request<Full<Bytes>> {
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

fn assert_account(runs: &[RequestRecord], account: Option<&str>) {
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

/// Returns the id under which the rows of an account are stored, which callers can compute.
fn scoped(account: &str, id: &str) -> String {
    Account::new(account.into(), None, None)
        .scoped(id)
        .to_string()
}

/// Guards against an account, or a caller without one, that continues the turn of another account.
#[tokio::test]
async fn a_turn_of_another_account_does_not_exist() {
    let (store, upstreams) = start("engine", [IMMEDIATE_RESPONSE]);
    let instances = [
        Instance::spawn(&store, "a").await,
        Instance::spawn(&store, "b").await,
    ];
    let first = Turn::chained("chat", "t1", None, "secret").request();
    let reply = send(&instances[0], with_key(first, ALPHA_KEY)).await;
    assert_eq!(reply.status, StatusCode::OK);
    let public = to_public_host(Turn::chained("chat", "open", None, "public").request());
    assert_eq!(send(&instances[0], public).await.status, StatusCode::OK);
    let stored = scoped("alpha", "t1");
    let guess = |previous: &'static str| Turn::chained("chat", "guess", Some(previous), "more");
    for instance in &instances {
        let guess_stored = Turn::chained("chat", "guess", Some(&stored), "more");
        let others = [
            with_key(guess("t1").request(), BETA_KEY),
            with_key(guess_stored.request(), BETA_KEY),
            with_key(guess_stored.request(), ALPHA_KEY),
            to_public_host(guess("t1").request()),
            to_public_host(guess_stored.request()),
            with_key(guess("open").request(), ALPHA_KEY),
            with_key(guess("open~").request(), ALPHA_KEY),
        ];
        for (number, request) in others.into_iter().enumerate() {
            let reply = send(instance, request).await;
            assert_eq!(reply.status, StatusCode::NOT_FOUND, "{number}: {reply:?}");
        }
    }
    assert_eq!(runs(&upstreams).len(), 2);
    let attempts = ["own-a", "own-b"];
    for (instance, attempt) in instances.iter().zip(attempts) {
        let own = Turn::chained("chat", attempt, Some("t1"), "more").request();
        let reply = send(instance, with_key(own, ALPHA_SPARE_KEY)).await;
        assert_eq!(reply.status, StatusCode::OK);
        let public = Turn::chained("chat", "public", Some("open"), "more").request();
        let reply = send(instance, to_public_host(public)).await;
        assert_eq!(reply.status, StatusCode::OK);
    }
}

/// Attempt ids of another account that sort between the rows of a stored turn must not make the turn
/// unreadable.
#[tokio::test]
async fn a_turn_is_read_without_rows_of_other_ids() {
    let (store, _upstreams) = start("engine", [IMMEDIATE_RESPONSE]);
    let writer = Instance::spawn(&store, "a").await;
    let first = Turn::chained("chat", "t1", None, "input").request();
    send(&writer, with_key(first, ALPHA_KEY)).await;
    let stored = scoped("alpha", "t1");
    let partition = |id: &str| xxh3_64(id.as_bytes()) % 256;
    let attempts = (0..).map(|number| format!("{stored}/000{number}"));
    let is_beside = |attempt: &String| partition(&scoped("beta", attempt)) == partition(&stored);
    for attempt in attempts.filter(is_beside).take(2) {
        let turn = Turn::chained("chat", &attempt, None, "injected").request();
        let reply = send(&writer, with_key(turn, BETA_KEY)).await;
        assert_eq!(reply.status, StatusCode::OK);
    }
    let reader = Instance::spawn(&store, "b").await;
    let second = Turn::chained("chat", "t2", Some("t1"), "more").request();
    let reply = send(&reader, with_key(second, ALPHA_KEY)).await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
}

/// Guards against an account that spends the budget of another one's program.
#[tokio::test]
async fn programs_of_two_accounts_with_the_same_id_have_separate_budgets() {
    let (store, _upstreams) = start("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    let turn = |attempt: &str, program: &str| {
        let turn = Turn {
            program,
            budget: 60,
            max_output: 20,
            ..Turn::first("advice", attempt)
        };
        turn.request()
    };
    let stored = scoped("alpha", "p1");
    for number in 0..10 {
        let attempt = format!("public-{number}");
        send(&instance, to_public_host(turn(&attempt, &stored))).await;
        let attempt = format!("beta-{number}");
        send(&instance, with_key(turn(&attempt, "p1"), BETA_KEY)).await;
    }
    let last = send(&instance, with_key(turn("beta-last", "p1"), BETA_KEY)).await;
    assert_eq!(last.status, StatusCode::PAYMENT_REQUIRED);
    let own = send(&instance, with_key(turn("alpha-1", "p1"), ALPHA_KEY)).await;
    assert_eq!(own.status, StatusCode::OK);
}

/// The version of a stream is stored under its attempt id. Guards against an account whose attempt has
/// the id of another one's stream: it must neither fail that stream nor learn its version.
#[tokio::test]
async fn streams_of_two_accounts_with_the_same_id_are_separate() {
    let (store, _upstreams) = start("engine", [IMMEDIATE_RESPONSE]);
    let _other = Upstream::spawn_version(&store, "i-9", "engine", "v2", IMMEDIATE_RESPONSE);
    let instance = Instance::spawn(&store, "a").await;
    for number in 0..12 {
        let attempt = format!("t{number}");
        for key in [BETA_KEY, ALPHA_KEY] {
            let turn = Turn::first("advice", &attempt).request();
            let reply = send(&instance, with_key(turn, key)).await;
            assert_eq!(reply.status, StatusCode::OK, "{attempt}: {reply:?}");
        }
    }
    let begun = Turn::first("advice", "own").request();
    send(&instance, with_key(begun, ALPHA_KEY)).await;
    let take_up = |attempt: &str| {
        let mut request = Turn::first("advice", attempt).request();
        request
            .headers_mut()
            .insert("resumes", "own".parse().unwrap());
        request.headers_mut().insert("last-event-id", 1.into());
        request
    };
    let reply = send(&instance, with_key(take_up("beta"), BETA_KEY)).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{reply:?}");
    let reply = send(&instance, with_key(take_up("alpha"), ALPHA_KEY)).await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
}

/// Guards against a crash of another account's request that keeps an equal request from running.
#[tokio::test]
async fn crashes_by_one_account_do_not_quarantine_requests_of_another() {
    let (store, upstreams) = start("app", [IMMEDIATE_RESPONSE; 6]);
    let instance = Instance::spawn(&store, "a").await;
    let request = |attempt: &str| plain_request("read", attempt).map(|_| Full::from("CRASH"));
    wait_for("the request is quarantined", || async {
        let attempt = format!("t{}", rand::random::<u32>());
        instance.send(with_key(request(&attempt), ALPHA_KEY)).await;
        (!instance.events("E0752").is_empty()).then_some(())
    })
    .await;
    instance.send(with_key(request("other"), BETA_KEY)).await;
    let runs = runs(&upstreams);
    assert!(runs.iter().any(|run| run.attempt_id == "other"));
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

/// An instance that has lost its path and does not reach the store has an older configuration than the
/// one that it relays to. Guards against a key that is accepted there though it was revoked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_request_with_a_revoked_key_is_rejected() {
    let site = Site::spawn(2).await;
    site.cut_and_wait(0, Failure::Refusal).await;
    configure_accounts(&site.store, VERSION, &accounts());
    for instance in &site.instances {
        instance.wait_for_config(VERSION).await;
    }
    let relaying = &site.instances[0];
    let request =
        |attempt: &str, key: &str| forge(with_key(Turn::first("chat", attempt).request(), key));
    for (attempt, key, account) in [("t1", ALPHA_KEY, "alpha"), ("t2", BETA_KEY, "beta")] {
        let reply = send(relaying, request(attempt, key)).await;
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        let runs = site.runs(attempt);
        assert_eq!(runs.len(), 1);
        assert_account(&runs, Some(account));
    }
    let public = to_public_host(request("open", ALPHA_KEY));
    assert_eq!(send(relaying, public).await.status, StatusCode::OK);
    assert_account(&site.runs("open"), None);
    // The turn is stored for its account alone.
    let next = |attempt: &str, key: &str| {
        with_key(
            Turn::chained("chat", attempt, Some("t1"), "more").request(),
            key,
        )
    };
    let reply = send(&site.instances[1], next("n1", BETA_KEY)).await;
    assert_eq!(reply.status, StatusCode::NOT_FOUND);
    let reply = send(&site.instances[1], next("n2", ALPHA_KEY)).await;
    assert_eq!(reply.status, StatusCode::OK);

    site.views[0].set_rejecting(true);
    relaying.wait_for_event("E0711").await;
    configure_accounts(&site.store, VERSION + 1, &changed_accounts());
    site.instances[1].wait_for_config(VERSION + 1).await;
    let reply = send(relaying, request("revoked", ALPHA_KEY)).await;
    assert_eq!(reply.status, StatusCode::UNAUTHORIZED, "{reply:?}");
    assert!(site.runs("revoked").is_empty());
    let reply = send(relaying, request("kept", ALPHA_SPARE_KEY)).await;
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    assert_account(&site.runs("kept"), Some("alpha"));
    let reply = send(relaying, request("added", NEW_KEY)).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE, "{reply:?}");
    for instance in &site.instances {
        let log = instance.log_text();
        for key in [ALPHA_KEY, ALPHA_SPARE_KEY, BETA_KEY, NEW_KEY] {
            assert!(!log.contains(key));
        }
    }
}

/// A turn ran before its instance lost the path, and its key was revoked meanwhile. The response of the
/// other instance, which did not run it, must not tell the caller that nothing ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_turn_that_may_have_run_is_not_rejected_as_unauthorized() {
    let slow = Behaviour::Respond {
        events: 3,
        interval_ms: 1_200,
    };
    let site = Site::spawn_with(2, slow).await;
    configure_accounts(&site.store, VERSION, &accounts());
    for instance in &site.instances {
        instance.wait_for_config(VERSION).await;
    }
    let cut = async {
        wait_for("the turn runs", || async {
            (!site.runs("t1").is_empty()).then_some(())
        })
        .await;
        configure_accounts(&site.store, VERSION + 1, &changed_accounts());
        site.instances[1].wait_for_config(VERSION + 1).await;
        site.cut(0, Failure::Silence);
    };
    let request = with_key(Turn::first("advice", "t1").request(), ALPHA_KEY);
    let (reply, ()) = tokio::join!(site.instances[0].send(request), cut);
    let reply = reply.unwrap();
    let may_have_run = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
    assert!(may_have_run.contains(&reply.status), "{reply:?}");
}

/// A stream that the relaying instance began itself goes on through another instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_goes_on_through_another_instance_keeps_its_account() {
    let slow = Behaviour::Respond {
        events: 3,
        interval_ms: 300,
    };
    let site = Site::spawn_with(2, slow).await;
    configure_accounts(&site.store, VERSION, &accounts());
    for instance in &site.instances {
        instance.wait_for_config(VERSION).await;
    }
    let request = with_key(forge(Turn::first("advice", "t1").request()), ALPHA_KEY);
    let cut = async {
        wait_for("the stream begins", || async {
            (!site.runs("t1").is_empty()).then_some(())
        })
        .await;
        tokio::time::sleep(Duration::from_millis(450)).await;
        site.cut(0, Failure::Reset);
    };
    let started_at = Instant::now();
    let (reply, ()) = tokio::join!(site.instances[0].send(request), cut);
    let reply = reply.unwrap();
    assert!(
        reply.is_complete,
        "{reply:?} after {:?}",
        started_at.elapsed()
    );
    let runs = site.runs("t1");
    assert!(runs.len() > 1, "{runs:?}");
    assert_account(&runs, Some("alpha"));
}
