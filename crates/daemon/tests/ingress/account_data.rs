//! What an account sees of another one's turns, budgets, streams and crashes.

use basilramp_core::dispatch::account::Account;
use basilramp_fakes::user_platform::Upstream;
use http::StatusCode;
use http_body_util::Full;
use xxhash_rust::xxh3::xxh3_64;

use crate::accounts::{ALPHA_KEY, ALPHA_SPARE_KEY, BETA_KEY, runs, send, start};
use crate::support::{
    IMMEDIATE_RESPONSE, Instance, Turn, plain_request, to_public_host, wait_for, with_key,
};

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
