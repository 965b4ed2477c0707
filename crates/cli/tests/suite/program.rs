//! `program`, `upstream` and `instance` commands.

use crate::server::{
    RecordedRequest, Reply, Server, run_as_caller, run_as_operator, stderr, stdout,
};
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

/// Starts a server that responds to calls with the event stream `stream`.
fn program_server(stream: &'static str) -> Server {
    Server::bind(
        move |request| match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/programs/p00000000000000aa/calls") => (200, stream.to_owned()),
            ("POST", "/v1/programs") => (201, RUNNING.to_owned()),
            (_, path) if path.starts_with("/v1/programs/p00000000000000aa") => {
                (200, RUNNING.to_owned())
            }
            _ => error_reply(Kind::NotFound, "no such path"),
        },
    )
}

fn error_reply(kind: Kind, message: &str) -> Reply {
    let error = Error::new(kind, message);
    (kind.status(), serde_json::to_string(&error).unwrap())
}

fn request_lines(server: &Server) -> Vec<String> {
    let line = |request: &RecordedRequest| format!("{} {}", request.method, request.path);
    server.requests().iter().map(line).collect()
}

#[test]
fn run_streams_the_response_and_ends_the_new_program() {
    let server = program_server(STREAM);
    let run = run_as_caller(&server, &["program", "run", "advice", "Which grit first?"]).success();
    insta::assert_snapshot!(stdout(&run));
    assert_eq!(
        request_lines(&server),
        [
            "POST /v1/programs",
            "POST /v1/programs/p00000000000000aa/calls",
            "POST /v1/programs/p00000000000000aa/end",
        ]
    );
    assert!(
        server
            .requests()
            .iter()
            .all(|request| request.authorization == "Bearer key")
    );
}

#[test]
fn run_in_an_existing_program_uses_the_next_position_and_does_not_end_it() {
    let server = program_server(STREAM);
    let arguments = [
        "program",
        "run",
        "advice",
        "And then?",
        "--program",
        "p00000000000000aa",
    ];
    run_as_caller(&server, &arguments).success();
    assert_eq!(
        request_lines(&server),
        [
            "GET /v1/programs/p00000000000000aa",
            "POST /v1/programs/p00000000000000aa/calls",
        ]
    );
    let body: serde_json::Value = serde_json::from_str(&server.requests()[1].body).unwrap();
    assert_eq!(body["position"], 1);
}

#[test]
fn json_output_has_one_event_per_line() {
    let server = program_server(STREAM);
    let run = run_as_caller(
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
fn the_input_is_read_from_standard_input() {
    let server = program_server(STREAM);
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
    let body: serde_json::Value = serde_json::from_str(&server.requests()[1].body).unwrap();
    assert_eq!(body["input"], "from a pipe");
}

#[test]
fn an_interrupted_stream_exits_with_5_and_prints_the_retry_options() {
    let server = program_server("event: token\ndata: {\"text\": \"Start \"}\n\n");
    let arguments = ["program", "run", "advice", "x", "--request-id", "r7"];
    let run = run_as_caller(&server, &arguments).code(5);
    let errors = stderr(&run);
    assert!(errors.contains("the stream ended early"), "{errors}");
    let retry_options = "--program p00000000000000aa --position 0 --request-id r7";
    assert!(errors.contains(retry_options), "{errors}");
    let ended = request_lines(&server)
        .iter()
        .any(|path| path.ends_with("/end"));
    assert!(!ended, "a program with a call of unknown outcome was ended");
}

#[test]
fn an_error_event_determines_the_exit_code() {
    let in_doubt = "event: error\ndata: {\"kind\": \"in_doubt\", \"ran\": \"unknown\", \
                    \"message\": \"sent, no answer\"}\n\n";
    let run = run_as_caller(&program_server(in_doubt), &["program", "run", "order", "x"]).code(5);
    assert_eq!(
        stderr(&run),
        "basilramp: sent, no answer (in_doubt; it may have been run)\n"
    );
    let failed = "event: error\ndata: {\"kind\": \"upstream_failed\", \"ran\": \"yes\", \
                  \"message\": \"no\"}\n\n";
    run_as_caller(&program_server(failed), &["program", "run", "order", "x"]).code(7);
}

#[test]
fn a_rejection_prints_the_retry_delay() {
    let server = Server::bind(|_| {
        let error = Error::new(Kind::Overloaded, "no capacity").retry_after(1_500);
        (503, serde_json::to_string(&error).unwrap())
    });
    let run = run_as_caller(&server, &["program", "run", "advice", "x"]).code(1);
    assert_eq!(
        stderr(&run),
        "basilramp: no capacity (overloaded; it was not run); retry after 1500 ms\n"
    );
}

#[test]
fn show_prints_a_program_and_its_turns() {
    let server = program_server(STREAM);
    let run = run_as_operator(&server, &["program", "show", "p00000000000000aa"]).success();
    insta::assert_snapshot!(stdout(&run));
}

#[test]
fn settle_sends_the_outcome_of_a_call_in_doubt() {
    let server = program_server(STREAM);
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
    run_as_operator(&server, &arguments).success();
    let request = server.requests().remove(0);
    assert_eq!(request.path, "/v1/programs/p00000000000000aa/settle");
    insta::assert_snapshot!(request.body);
}

#[test]
fn settle_requires_an_outcome_and_a_reason() {
    let server = program_server(STREAM);
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
        run_as_operator(&server, &arguments).code(2);
    }
    assert!(server.requests().is_empty());
}

#[test]
fn upstreams_and_instances_are_listed() {
    let server = Server::bind(|request| match request.path.as_str() {
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
    let instances = run_as_operator(&server, &["instance", "list"]).success();
    let upstreams = run_as_operator(&server, &["upstream", "list"]).success();
    let order = run_as_operator(&server, &["upstream", "order", "e1", "load", "olmo@8"]).success();
    let output = [&instances, &upstreams, &order].map(stdout);
    insta::assert_snapshot!(output.join("\n"));
    let request = server.requests().remove(2);
    assert_eq!(request.path, "/v1/upstreams/e1/orders");
    assert_eq!(request.body, r#"{"load":{"model":"olmo@8"}}"#);
}
