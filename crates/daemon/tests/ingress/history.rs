//! Stored turns: complete, in order, and readable by any instance.

use basilramp_fakes::user_platform::{Mode, Store};
use http::StatusCode;

use crate::support::{IMMEDIATE_RESPONSE, Instance, Turn, configure_retention, start_site};

fn chat_turn<'a>(attempt: &'a str, previous: Option<&'a str>, input: &'a str) -> Turn<'a> {
    Turn::chained("chat", attempt, previous, input)
}

async fn run_turn(instance: &Instance, turn: Turn<'_>) -> StatusCode {
    let reply = instance.send(turn.request()).await.unwrap();
    assert!(reply.is_complete);
    reply.status
}

#[tokio::test]
async fn any_instance_prepends_all_previous_turns() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let first = Instance::spawn(&store, "a").await;
    let second = Instance::spawn(&store, "b").await;
    assert_eq!(
        run_turn(&first, chat_turn("t1", None, "one,")).await,
        StatusCode::OK
    );
    assert_eq!(
        run_turn(&second, chat_turn("t2", Some("t1"), "two,")).await,
        StatusCode::OK
    );
    assert_eq!(
        run_turn(&first, chat_turn("t3", Some("t2"), "three,")).await,
        StatusCode::OK
    );
    let bodies: Vec<_> = upstream
        .requests()
        .into_iter()
        .map(|run| run.body)
        .collect();
    assert_eq!(&bodies[0][..], b"one,");
    assert_eq!(&bodies[1][..], b"one,t1\nt2\nt3\ntwo,");
    assert_eq!(&bodies[2][..], b"one,t1\nt2\nt3\ntwo,t1\nt2\nt3\nthree,");
}

#[tokio::test]
async fn two_turns_may_continue_the_same_turn() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    run_turn(&instance, chat_turn("t1", None, "one,")).await;
    run_turn(&instance, chat_turn("t2", Some("t1"), "left,")).await;
    run_turn(&instance, chat_turn("t3", Some("t1"), "right,")).await;
    let bodies: Vec<_> = upstream
        .requests()
        .into_iter()
        .map(|run| run.body)
        .collect();
    assert_eq!(&bodies[1][..], b"one,t1\nt2\nt3\nleft,");
    assert_eq!(&bodies[2][..], b"one,t1\nt2\nt3\nright,");
}

#[tokio::test]
async fn turns_survive_the_restart_of_the_instance() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    run_turn(&instance, chat_turn("t1", None, "one,")).await;
    drop(instance);
    let instance = Instance::spawn(&store, "a").await;
    let next = Turn {
        program: "p2",
        ..chat_turn("t2", Some("t1"), "two,")
    };
    assert_eq!(run_turn(&instance, next).await, StatusCode::OK);
    assert_eq!(&upstream.requests()[1].body[..], b"one,t1\nt2\nt3\ntwo,");
}

#[tokio::test]
async fn a_chain_longer_than_a_row_is_stored() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let first = Instance::spawn(&store, "a").await;
    let second = Instance::spawn(&store, "b").await;
    let long = "x".repeat(90_000);
    run_turn(&first, chat_turn("t1", None, &long)).await;
    assert_eq!(
        run_turn(&second, chat_turn("t2", Some("t1"), "two,")).await,
        StatusCode::OK
    );
    assert_eq!(
        upstream.requests()[1].body.len(),
        90_000 + "t1\nt2\nt3\ntwo,".len()
    );
}

#[tokio::test]
async fn continuing_an_unknown_turn_gets_404() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    assert_eq!(
        run_turn(&instance, chat_turn("t2", Some("t1"), "two,")).await,
        StatusCode::NOT_FOUND
    );
    assert!(upstream.requests().is_empty());
}

/// Continues a turn while the store is in a mode in which it confirms no read. The response must be
/// 503 and not 404: without a response of the store, the turn may exist.
async fn assert_unconfirmed_turn_gets_503(store: &Store, mode: Mode) {
    store.set_mode(Mode::Up);
    let instance = Instance::spawn(store, "a").await;
    store.set_mode(mode);
    let turn = chat_turn("t2", Some("t1"), "two,");
    assert_eq!(
        run_turn(&instance, turn).await,
        StatusCode::SERVICE_UNAVAILABLE,
        "{mode:?}"
    );
}

#[tokio::test]
async fn a_turn_that_the_store_cannot_confirm_gets_503() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    assert_unconfirmed_turn_gets_503(&store, Mode::Unavailable).await;
    assert_unconfirmed_turn_gets_503(&store, Mode::Unresponsive).await;
    assert!(upstream.requests().is_empty());
}

#[tokio::test]
async fn a_response_completes_only_after_its_turn_is_stored() {
    let (store, [upstream]) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    // The store writes grants and turns, but closes the connections without a response.
    store.set_mode(Mode::LosesResponses);
    let reply = instance
        .send(chat_turn("t1", None, "one,").request())
        .await
        .unwrap();
    assert!(
        !reply.is_complete,
        "the response completed before its turn was confirmed as stored"
    );
    assert_eq!(upstream.requests().len(), 1);
}

#[tokio::test]
async fn turns_are_served_by_a_slow_store_and_right_after_it_recovers() {
    let (store, _upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Slow(300));
    assert_eq!(
        run_turn(&instance, chat_turn("t1", None, "one,")).await,
        StatusCode::OK
    );
    store.set_mode(Mode::Up);
    assert_eq!(
        run_turn(&instance, chat_turn("t2", Some("t1"), "two,")).await,
        StatusCode::OK
    );
}

/// Each turn has two candidate store partitions. With half of all partitions unavailable, a turn is
/// stored in the one that is available, and a reader finds it there.
#[tokio::test]
async fn a_turn_is_stored_and_found_while_one_of_its_partitions_is_unavailable() {
    let (store, _upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    let first = Instance::spawn(&store, "a").await;
    let second = Instance::spawn(&store, "b").await;
    store.set_unavailable_partitions(&['0', '1', '2', '3', '4', '5', '6', '7']);
    let names: Vec<_> = (0..96).map(|index| format!("t{index}")).collect();
    let start = |name: &str| {
        let turn = Turn {
            program: &format!("program of {name}"),
            ..chat_turn(name, None, "one,")
        };
        first.send(turn.request())
    };
    let replies = futures_util::future::join_all(names.iter().map(|name| start(name))).await;
    let started = names.iter().zip(replies.into_iter().flatten());
    let started: Vec<_> = started
        .filter(|(_, reply)| reply.status == StatusCode::OK)
        .collect();
    let complete: Vec<_> = started
        .iter()
        .filter(|(_, reply)| reply.is_complete)
        .collect();
    assert!(started.len() > 30, "{} started", started.len());
    assert!(
        3 * complete.len() >= 2 * started.len(),
        "{} of {} stored",
        complete.len(),
        started.len()
    );
    for (name, _) in complete.into_iter().take(12) {
        let next = format!("{name}-next");
        let turn = Turn {
            program: &format!("program of {name}"),
            ..chat_turn(&next, Some(name), "two,")
        };
        let reply = second.send(turn.request()).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{name}");
    }
}

/// Guards against a store that grows without bound when turns are not continued before they expire.
/// Later writes to a partition remove its expired rows; rows of unexpired turns stay.
#[tokio::test]
async fn rows_of_expired_turns_are_removed() {
    const TURNS: usize = 400;
    let (store, _upstreams) = start_site("engine", [IMMEDIATE_RESPONSE]);
    configure_retention(&store, 4, 0.1);
    let instance = Instance::spawn(&store, "a").await;
    let round = async |round: usize| {
        for names in (0..TURNS).collect::<Vec<_>>().chunks(50) {
            let names: Vec<_> = names
                .iter()
                .map(|index| format!("t{round}-{index}"))
                .collect();
            let turns = names.iter().map(|name| Turn {
                program: name,
                ..chat_turn(name, None, "one,")
            });
            let sent = turns.map(|turn| run_turn(&instance, turn));
            let statuses = futures_util::future::join_all(sent).await;
            assert!(statuses.iter().all(|status| *status == StatusCode::OK));
        }
    };
    round(1).await;
    assert_eq!(store.row_count("turn"), TURNS);
    tokio::time::sleep(std::time::Duration::from_millis(5_200)).await;
    configure_retention(&store, 5, 60.0);
    round(2).await;
    let remaining = store.row_count("turn");
    assert!(
        remaining < TURNS + TURNS / 2,
        "{remaining} rows after {TURNS} turns"
    );
    assert!(
        remaining >= TURNS,
        "{remaining} rows for {TURNS} unexpired turns"
    );
}
