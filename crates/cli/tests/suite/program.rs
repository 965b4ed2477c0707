//! Programs, upstreams and instances.

use crate::server::{Answer, Asked, Server, call, operate, stderr, stdout};
use basilramp_wire::error::{Error, Kind};

const RUNNING: &str = r#"{"id": "p00000000000000aa", "parent": null, "state": "running",
  "next_position": 1,
  "budget": {"tokens": 1000, "turns": 180, "wall_ms": 3600000, "depth": 4},
  "spent": 40,
  "turns": [{"position": 0, "request_id": "r0", "service": "advice", "state": "done",
    "input": "Which grit first?", "output": "Start coarse,\nand take your time with every stage.",
    "usage": {"prompt": 12, "cached": 8, "output": 28}, "hash": "ab"}]}"#;

const STREAM: &str = "\
: a comment\n\n\
event: token\ndata: {\"text\": \"Start \"}\n\n\
event: token\ndata: {\"text\": \"coarse.\"}\n\n\
event: final\ndata: {\"program\": \"p00000000000000aa\", \"position\": 0, \
\"output\": \"Start coarse.\", \"usage\": {\"prompt\": 12, \"cached\": 8, \"output\": 2}, \
\"hash\": \"ab\"}\n\n";

/// Answers as an instance does whose calls end with `stream`.
fn server(stream: &'static str) -> Server {
    Server::bind(
        move |asked| match (asked.method.as_str(), asked.path.as_str()) {
            ("POST", "/v1/programs/p00000000000000aa/calls") => (200, stream.to_owned()),
            ("POST", "/v1/programs") => (201, RUNNING.to_owned()),
            (_, path) if path.starts_with("/v1/programs/p00000000000000aa") => {
                (200, RUNNING.to_owned())
            }
            _ => refuse(Kind::NotFound, "no such path"),
        },
    )
}

fn refuse(kind: Kind, message: &str) -> Answer {
    let error = Error::new(kind, message);
    (kind.status(), serde_json::to_string(&error).unwrap())
}

fn paths(server: &Server) -> Vec<String> {
    let line = |asked: &Asked| format!("{} {}", asked.method, asked.path);
    server.asked().iter().map(line).collect()
}

#[test]
fn a_call_streams_its_answer_and_ends_its_program() {
    let server = server(STREAM);
    let run = call(&server, &["program", "run", "advice", "Which grit first?"]).success();
    insta::assert_snapshot!(stdout(&run));
    assert_eq!(
        paths(&server),
        [
            "POST /v1/programs",
            "POST /v1/programs/p00000000000000aa/calls",
            "POST /v1/programs/p00000000000000aa/end",
        ]
    );
    assert!(
        server
            .asked()
            .iter()
            .all(|asked| asked.authorization == "Bearer key")
    );
}

#[test]
fn a_call_in_a_program_goes_to_its_next_position_and_leaves_it_running() {
    let server = server(STREAM);
    let arguments = [
        "program",
        "run",
        "advice",
        "And then?",
        "--program",
        "p00000000000000aa",
    ];
    call(&server, &arguments).success();
    assert_eq!(
        paths(&server),
        [
            "GET /v1/programs/p00000000000000aa",
            "POST /v1/programs/p00000000000000aa/calls",
        ]
    );
    let body: serde_json::Value = serde_json::from_str(&server.asked()[1].body).unwrap();
    assert_eq!(body["position"], 1);
}

#[test]
fn json_output_is_one_event_a_line() {
    let server = server(STREAM);
    let run = call(
        &server,
        &["--output", "json", "program", "run", "advice", "x"],
    )
    .success();
    let events: Vec<serde_json::Value> = stdout(&run)
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(events.len(), 3);
    assert_eq!(events[0]["token"]["text"], "Start ");
    assert_eq!(events[2]["final"]["output"], "Start coarse.");
}

#[test]
fn the_input_may_come_from_standard_input() {
    let server = server(STREAM);
    crate::server::basilramp()
        .args([
            "--callers",
            &server.address.to_string(),
            "program",
            "run",
            "advice",
            "-",
        ])
        .env("BASILRAMP_KEY", "key")
        .write_stdin("from a pipe")
        .assert()
        .success();
    let body: serde_json::Value = serde_json::from_str(&server.asked()[1].body).unwrap();
    assert_eq!(body["input"], "from a pipe");
}

#[test]
fn a_stream_that_breaks_off_has_an_unknown_outcome() {
    let server = server("event: token\ndata: {\"text\": \"Start \"}\n\n");
    let arguments = ["program", "run", "advice", "x", "--request-id", "r7"];
    let run = call(&server, &arguments).code(5);
    let errors = stderr(&run);
    assert!(errors.contains("the stream ended early"), "{errors}");
    let again = "--program p00000000000000aa --position 0 --request-id r7";
    assert!(errors.contains(again), "{errors}");
    let ended = paths(&server).iter().any(|path| path.ends_with("/end"));
    assert!(!ended, "a program with a call of unknown outcome was ended");
}

#[test]
fn an_error_event_ends_the_call_by_what_became_of_it() {
    let in_doubt = "event: error\ndata: {\"kind\": \"in_doubt\", \"ran\": \"unknown\", \
                    \"message\": \"sent, no answer\"}\n\n";
    let run = call(&server(in_doubt), &["program", "run", "order", "x"]).code(5);
    assert_eq!(
        stderr(&run),
        "basilramp: sent, no answer (in_doubt; it may have been run)\n"
    );
    let failed = "event: error\ndata: {\"kind\": \"upstream_failed\", \"ran\": \"yes\", \
                  \"message\": \"no\"}\n\n";
    call(&server(failed), &["program", "run", "order", "x"]).code(7);
}

#[test]
fn a_refusal_says_when_to_try_again() {
    let server = Server::bind(|_| {
        let error = Error::new(Kind::Overloaded, "no capacity").retry_after(1_500);
        (503, serde_json::to_string(&error).unwrap())
    });
    let run = call(&server, &["program", "run", "advice", "x"]).code(1);
    assert_eq!(
        stderr(&run),
        "basilramp: no capacity (overloaded; it was not run); try again in 1500 ms\n"
    );
}

#[test]
fn a_program_is_shown_with_its_turns() {
    let server = server(STREAM);
    let run = operate(&server, &["program", "show", "p00000000000000aa"]).success();
    insta::assert_snapshot!(stdout(&run));
}

#[test]
fn a_call_in_doubt_is_settled() {
    let server = server(STREAM);
    let arguments = [
        "program",
        "settle",
        "p00000000000000aa",
        "3",
        "--ran",
        "--answer",
        "order 17",
        "--reason",
        "seen in the shop's own list",
    ];
    operate(&server, &arguments).success();
    let asked = server.asked().remove(0);
    assert_eq!(asked.path, "/v1/programs/p00000000000000aa/settle");
    insta::assert_snapshot!(asked.body);
}

#[test]
fn settling_needs_an_outcome_and_a_reason() {
    let server = server(STREAM);
    let id = "p00000000000000aa";
    for arguments in [
        vec!["program", "settle", id, "3", "--reason", "x"],
        vec!["program", "settle", id, "3", "--ran"],
        vec![
            "program",
            "settle",
            id,
            "3",
            "--ran",
            "--not-ran",
            "--reason",
            "x",
        ],
        vec![
            "program",
            "settle",
            id,
            "3",
            "--not-ran",
            "--answer",
            "y",
            "--reason",
            "x",
        ],
    ] {
        operate(&server, &arguments).code(2);
    }
    assert!(server.asked().is_empty());
}

#[test]
fn upstreams_and_instances_are_listed() {
    let server = Server::bind(|asked| match asked.path.as_str() {
        "/v1/instances" => (
            200,
            r#"{"instances": [{"id": "entry-01", "failure_domain": "z1", "incarnation": 3,
                "state": "live", "peer_address": "10.0.0.11:8082", "partitions": 512}]}"#
                .to_owned(),
        ),
        "/v1/upstreams" => (
            200,
            r#"{"upstreams": [{"id": "e1", "role": "engine", "place": "casa-a",
                "address": "10.0.1.1:80", "home": "entry-01", "state": "ready", "running": 2,
                "slots": 8, "models": ["olmo@7", "olmo@7+grit"]}]}"#
                .to_owned(),
        ),
        _ => (200, r#"{"fencing": 12}"#.to_owned()),
    });
    let instances = operate(&server, &["instance", "list"]).success();
    let upstreams = operate(&server, &["upstream", "list"]).success();
    let order = operate(&server, &["upstream", "order", "e1", "load", "olmo@8"]).success();
    let shown = [&instances, &upstreams, &order].map(stdout);
    insta::assert_snapshot!(shown.join("\n"));
    let asked = server.asked().remove(2);
    assert_eq!(asked.path, "/v1/upstreams/e1/orders");
    assert_eq!(asked.body, r#"{"load":{"model":"olmo@8"}}"#);
}
