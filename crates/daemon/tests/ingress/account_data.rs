//! What an account sees of another one's turns, budgets, streams and crashes.

use std::collections::BTreeMap;

use basilramp_core::dispatch::account::Account;
use basilramp_fakes::relay::{self, Cut, Door};
use basilramp_fakes::user_platform::Upstream;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::accounts::{ALPHA_KEY, ALPHA_SPARE_KEY, BETA_KEY, VERSION, accounts, runs, send, start};
use crate::support::{
    EVENT_TOKENS, IMMEDIATE_RESPONSE, Instance, Turn, configure_accounts, configure_public,
    plain_request, start_site, to_public_host, wait_for, with_key,
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

/// A turn of a program whose budget holds five turns. It continues the turn before it.
fn numbered_turn<'a>(attempts: &'a [String], number: usize) -> Turn<'a> {
    let previous = number.checked_sub(1).map(|previous| &*attempts[previous]);
    Turn {
        program: "p1",
        budget: 100,
        max_output: 20,
        previous,
        ..Turn::first("chat", &attempts[number])
    }
}

/// Sends the turns of a program one after the other, each to the instance that `instance` returns, and
/// prepared by `caller`. Returns the statuses until one of them is not served.
async fn send_turns<'a>(
    attempts: &[String],
    numbers: std::ops::Range<usize>,
    instance: impl Fn(usize) -> &'a Instance,
    caller: impl Fn(Request<Full<Bytes>>) -> Request<Full<Bytes>>,
) -> Vec<StatusCode> {
    let mut statuses = Vec::new();
    for number in numbers {
        let request = caller(numbered_turn(attempts, number).request());
        let status = send(instance(number), request).await.status;
        statuses.push(status);
        if status != StatusCode::OK {
            break;
        }
    }
    statuses
}

/// Tokens that a turn uses here.
const TURN_TOKENS: usize = 3 * EVENT_TOKENS as usize;

/// Guards against turns that can't be continued (404), and against a second budget, after the first
/// account was configured and after the last one was removed. Callers of a public route need no key at any
/// time.
#[tokio::test]
async fn programs_of_public_routes_go_on_when_accounts_come_and_go() {
    let (store, upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    configure_accounts(&store, VERSION, &json!([]));
    let first = Instance::spawn(&store, "a").await;
    let second = Instance::spawn(&store, "b").await;
    let attempts: Vec<_> = (0..40).map(|number| format!("t{number}")).collect();
    let steps = [(json!([]), 0..2), (accounts(), 2..4), (json!([]), 4..40)];
    let mut served = 0;
    for (index, (list, numbers)) in steps.into_iter().enumerate() {
        let version = VERSION + 1 + index as u64;
        configure_accounts(&store, version, &list);
        // It has known no other version.
        let third = Instance::spawn(&store, "c").await;
        let instances = [&first, &second, &third];
        for instance in instances {
            instance.wait_for_config(version).await;
        }
        let instance = |number: usize| instances[number % instances.len()];
        let ends = numbers.end == attempts.len();
        let statuses = send_turns(&attempts, numbers.clone(), instance, to_public_host).await;
        let ok = statuses.iter().filter(|status| **status == StatusCode::OK);
        served += ok.count();
        let expected = if ends {
            StatusCode::PAYMENT_REQUIRED
        } else {
            StatusCode::OK
        };
        assert_eq!(
            statuses.last(),
            Some(&expected),
            "version {version}: {statuses:?}"
        );
        if index == 1 {
            let theft = Turn::chained("chat", "theft", Some("t1"), "more").request();
            let reply = send(&first, with_key(theft, BETA_KEY)).await;
            assert_eq!(reply.status, StatusCode::NOT_FOUND);
        }
    }
    // One turn may begin with the last tokens.
    assert!(served * TURN_TOKENS <= 120, "{served} turns");
    let runs = runs(&upstreams);
    let last = String::from_utf8_lossy(&runs.last().unwrap().body).into_owned();
    assert_eq!(last.matches("question").count(), served, "{last}");
}

/// Guards against the same where a route becomes public, or where the list of accounts becomes empty,
/// for callers with the key of the account that has begun the program. No other caller reaches its turns.
#[tokio::test]
async fn programs_of_an_account_go_on_where_no_key_is_needed_any_more() {
    for is_list_empty in [false, true] {
        let (store, _upstreams) = start("engine", [IMMEDIATE_RESPONSE]);
        let instances = [
            Instance::spawn(&store, "a").await,
            Instance::spawn(&store, "b").await,
        ];
        let attempts: Vec<_> = (0..40).map(|number| format!("t{number}")).collect();
        let instance = |number: usize| &instances[number % 2];
        let alpha = |request| with_key(request, ALPHA_KEY);
        let begun = send_turns(&attempts, 0..2, instance, alpha).await;
        assert_eq!(begun, [StatusCode::OK; 2]);
        if is_list_empty {
            configure_accounts(&store, VERSION + 1, &json!([]));
        } else {
            configure_public(&store, VERSION + 1, &accounts());
        }
        for instance in &instances {
            instance.wait_for_config(VERSION + 1).await;
        }
        let stored = scoped("alpha", "t1");
        for previous in ["t1", &stored] {
            let theft = Turn::chained("chat", "theft", Some(previous), "more");
            for request in [theft.request(), with_key(theft.request(), BETA_KEY)] {
                let reply = send(&instances[0], request).await;
                let context = format!("{previous}, empty: {is_list_empty}");
                assert_eq!(reply.status, StatusCode::NOT_FOUND, "{context}");
            }
        }
        let statuses = send_turns(&attempts, 2..40, instance, alpha).await;
        assert_eq!(
            statuses.last(),
            Some(&StatusCode::PAYMENT_REQUIRED),
            "{statuses:?}"
        );
        let served = begun.len() + statuses.len() - 1;
        assert!(
            served * TURN_TOKENS <= 120,
            "{served} turns, empty: {is_list_empty}"
        );
    }
}

/// Guards against a second budget of a program whose callers need a key from now on. Its turns of before belong
/// to no account, so that the account's callers don't reach them.
#[tokio::test]
async fn a_program_keeps_its_budget_where_a_key_is_needed_from_now_on() {
    let (store, _upstreams) = start("engine", [IMMEDIATE_RESPONSE]);
    configure_public(&store, VERSION + 1, &accounts());
    let instances = [
        Instance::spawn(&store, "a").await,
        Instance::spawn(&store, "b").await,
    ];
    let attempts: Vec<_> = (0..40).map(|number| format!("t{number}")).collect();
    let instance = |number: usize| &instances[number % 2];
    let begun = send_turns(&attempts, 0..3, instance, |request| request).await;
    assert_eq!(begun, [StatusCode::OK; 3]);
    configure_accounts(&store, VERSION + 2, &accounts());
    for instance in &instances {
        instance.wait_for_config(VERSION + 2).await;
    }
    let denied = send_turns(&attempts, 3..4, instance, |request| {
        with_key(request, ALPHA_KEY)
    });
    assert_eq!(denied.await, [StatusCode::NOT_FOUND]);
    // Lines of turns that begin anew.
    let mut statuses = Vec::new();
    for number in 4..40 {
        let turn = Turn {
            previous: None,
            ..numbered_turn(&attempts, number)
        };
        let reply = send(&instances[0], with_key(turn.request(), ALPHA_KEY)).await;
        statuses.push(reply.status);
        if reply.status != StatusCode::OK {
            break;
        }
    }
    let last = statuses.pop();
    assert_eq!(last, Some(StatusCode::PAYMENT_REQUIRED), "{statuses:?}");
    let served = begun.len() + statuses.len();
    assert!(served * TURN_TOKENS <= 120, "{served} turns");
}

/// Guards against 404 from an instance that does not know yet that the turn's route needs no key any more.
#[tokio::test]
async fn a_turn_is_not_denied_by_an_older_configuration() {
    let (store, _upstreams) = start("engine", [IMMEDIATE_RESPONSE]);
    let informed = Instance::spawn(&store, "a").await;
    let view = store.spawn_view(BTreeMap::new());
    let link = relay::spawn(view.address());
    let older = Instance::spawn_ready_at(link.address(), "b").await;
    link.cut(Cut::Both);
    link.set_door(Door::Silent);
    configure_public(&store, VERSION + 1, &accounts());
    informed.wait_for_config(VERSION + 1).await;
    let first = Turn::chained("chat", "t1", None, "input").request();
    assert_eq!(
        send(&informed, with_key(first, ALPHA_KEY)).await.status,
        StatusCode::OK
    );
    link.heal();
    let next = || Turn::chained("chat", "t2", Some("t1"), "more").request();
    let reply = send(&older, with_key(next(), ALPHA_KEY)).await;
    assert_ne!(reply.status, StatusCode::NOT_FOUND, "{reply:?}");
    wait_for("the turn goes on", || async {
        let reply = older.send(with_key(next(), ALPHA_KEY)).await?;
        (reply.status == StatusCode::OK).then_some(())
    })
    .await;
}
