//! Turns are kept: whole, in order, and found by any instance.

use basilramp_fakes::user_platform::{Mode, Store};
use http::StatusCode;

use crate::support::{ANSWERS, Instance, Turn, configure_kept, site};

fn chat<'a>(attempt: &'a str, previous: Option<&'a str>, input: &'a str) -> Turn<'a> {
    Turn {
        route: "chat",
        attempt,
        program: "p1",
        previous,
        budget: 10_000,
        most: 100,
        input,
    }
}

async fn run(instance: &Instance, turn: Turn<'_>) -> StatusCode {
    let reply = instance.send(turn.request()).await.unwrap();
    assert!(reply.is_whole);
    reply.status
}

#[tokio::test]
async fn a_turn_gets_every_turn_before_it_at_any_instance() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let first = Instance::spawn(&store, "a").await;
    let second = Instance::spawn(&store, "b").await;
    assert_eq!(run(&first, chat("t1", None, "one,")).await, StatusCode::OK);
    assert_eq!(
        run(&second, chat("t2", Some("t1"), "two,")).await,
        StatusCode::OK
    );
    assert_eq!(
        run(&first, chat("t3", Some("t2"), "three,")).await,
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
async fn two_turns_may_go_on_from_the_same_one() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    run(&instance, chat("t1", None, "one,")).await;
    run(&instance, chat("t2", Some("t1"), "left,")).await;
    run(&instance, chat("t3", Some("t1"), "right,")).await;
    let bodies: Vec<_> = upstream
        .requests()
        .into_iter()
        .map(|run| run.body)
        .collect();
    assert_eq!(&bodies[1][..], b"one,t1\nt2\nt3\nleft,");
    assert_eq!(&bodies[2][..], b"one,t1\nt2\nt3\nright,");
}

#[tokio::test]
async fn turns_outlive_every_instance() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    run(&instance, chat("t1", None, "one,")).await;
    drop(instance);
    let instance = Instance::spawn(&store, "a").await;
    let next = Turn {
        program: "p2",
        ..chat("t2", Some("t1"), "two,")
    };
    assert_eq!(run(&instance, next).await, StatusCode::OK);
    assert_eq!(&upstream.requests()[1].body[..], b"one,t1\nt2\nt3\ntwo,");
}

#[tokio::test]
async fn a_chain_longer_than_a_row_is_kept() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let first = Instance::spawn(&store, "a").await;
    let second = Instance::spawn(&store, "b").await;
    let long = "x".repeat(90_000);
    run(&first, chat("t1", None, &long)).await;
    assert_eq!(
        run(&second, chat("t2", Some("t1"), "two,")).await,
        StatusCode::OK
    );
    assert_eq!(
        upstream.requests()[1].body.len(),
        90_000 + "t1\nt2\nt3\ntwo,".len()
    );
}

#[tokio::test]
async fn a_turn_that_never_was_is_not_found() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    assert_eq!(
        run(&instance, chat("t2", Some("t1"), "two,")).await,
        StatusCode::NOT_FOUND
    );
    assert!(upstream.requests().is_empty());
}

/// Not finding a turn is no proof that it never was, unless the store said so.
async fn doubt(store: &Store, mode: Mode) {
    store.set_mode(Mode::Up);
    let instance = Instance::spawn(store, "a").await;
    store.set_mode(mode);
    let turn = chat("t2", Some("t1"), "two,");
    assert_eq!(
        run(&instance, turn).await,
        StatusCode::SERVICE_UNAVAILABLE,
        "{mode:?}"
    );
}

#[tokio::test]
async fn a_turn_in_doubt_is_refused_as_not_run() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    doubt(&store, Mode::Unavailable).await;
    doubt(&store, Mode::Unresponsive).await;
    assert!(upstream.requests().is_empty());
}

#[tokio::test]
async fn an_answer_ends_only_once_its_turn_is_stored() {
    let (store, [upstream]) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    // Grants and turns are written, but the store never says so.
    store.set_mode(Mode::LosesResponses);
    let reply = instance
        .send(chat("t1", None, "one,").request())
        .await
        .unwrap();
    assert!(
        !reply.is_whole,
        "the answer ended before its turn was known to be stored"
    );
    assert_eq!(upstream.requests().len(), 1);
}

#[tokio::test]
async fn a_store_that_answers_again_is_used_at_once() {
    let (store, _upstreams) = site("engine", [ANSWERS]);
    let instance = Instance::spawn(&store, "a").await;
    store.set_mode(Mode::Slow(300));
    assert_eq!(
        run(&instance, chat("t1", None, "one,")).await,
        StatusCode::OK
    );
    store.set_mode(Mode::Up);
    assert_eq!(
        run(&instance, chat("t2", Some("t1"), "two,")).await,
        StatusCode::OK
    );
}

/// Half of the parts are away: a turn is stored in the other one of its two, and found there.
#[tokio::test]
async fn a_turn_is_stored_and_found_while_one_of_its_parts_is_away() {
    let (store, _upstreams) = site("engine", [ANSWERS]);
    let first = Instance::spawn(&store, "a").await;
    let second = Instance::spawn(&store, "b").await;
    store.set_unavailable_partitions(&['0', '1', '2', '3', '4', '5', '6', '7']);
    let names: Vec<_> = (0..96).map(|index| format!("t{index}")).collect();
    let begin = |name: &str| {
        let turn = Turn {
            program: &format!("program of {name}"),
            ..chat(name, None, "one,")
        };
        first.send(turn.request())
    };
    let replies = futures_util::future::join_all(names.iter().map(|name| begin(name))).await;
    let begun = names.iter().zip(replies.into_iter().flatten());
    let begun: Vec<_> = begun
        .filter(|(_, reply)| reply.status == StatusCode::OK)
        .collect();
    let whole: Vec<_> = begun.iter().filter(|(_, reply)| reply.is_whole).collect();
    assert!(begun.len() > 30, "{} begun", begun.len());
    assert!(
        3 * whole.len() >= 2 * begun.len(),
        "{} of {} stored",
        whole.len(),
        begun.len()
    );
    for (name, _) in whole.into_iter().take(12) {
        let next = format!("{name}-next");
        let turn = Turn {
            program: &format!("program of {name}"),
            ..chat(&next, Some(name), "two,")
        };
        let reply = second.send(turn.request()).await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{name}");
    }
}

/// The load: an instance whose turns nobody continues after their time. Rows go with later writes
/// to their part, and turns that can still be continued stay.
#[tokio::test]
async fn rows_go_once_their_turns_cannot_be_continued() {
    const TURNS: usize = 400;
    let (store, _upstreams) = site("engine", [ANSWERS]);
    configure_kept(&store, 4, 0.1);
    let instance = Instance::spawn(&store, "a").await;
    let round = async |round: usize| {
        for names in (0..TURNS).collect::<Vec<_>>().chunks(50) {
            let names: Vec<_> = names
                .iter()
                .map(|index| format!("t{round}-{index}"))
                .collect();
            let turns = names.iter().map(|name| Turn {
                program: name,
                ..chat(name, None, "one,")
            });
            let sent = turns.map(|turn| run(&instance, turn));
            let statuses = futures_util::future::join_all(sent).await;
            assert!(statuses.iter().all(|status| *status == StatusCode::OK));
        }
    };
    round(1).await;
    assert_eq!(store.row_count("turn"), TURNS);
    tokio::time::sleep(std::time::Duration::from_millis(5_200)).await;
    configure_kept(&store, 5, 60.0);
    round(2).await;
    let left = store.row_count("turn");
    assert!(left < TURNS + TURNS / 2, "{left} rows after {TURNS} turns");
    assert!(left >= TURNS, "{left} rows of {TURNS} turns to be kept");
}
