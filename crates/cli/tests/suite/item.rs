//! Services, places, plans, limits, and the configuration as a whole.

use std::io::Write;

use crate::operator::Operator;
use crate::server::{Server, operate, stderr, stdout};
use basilramp_wire::config::ItemKind;
use tempfile::NamedTempFile;

const DIGEST: &str = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";

fn file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file
}

/// Returns a configuration with an item of each kind, made by three changes.
fn operator() -> Operator {
    let operator = Operator::default();
    let service = r#"{"target": {"model": {"model": "olmo", "version": "6", "adapter": "grit"}}}"#;
    let order = r#"{"target": {"plain": {"path": "/orders", "idempotent": false}}}"#;
    let plan = r#"{"service": "advice", "place": "casa-a", "from_minute": 360,
                   "until_minute": 1440, "ready": 3, "headroom_percent": 20}"#;
    let limit = format!(r#"{{"key_sha256": "{DIGEST}", "requests_per_s": 50, "programs": 9}}"#);
    operator.change("amina", &[(ItemKind::Service, "advice", Some(service))]);
    operator.change(
        "brahim",
        &[
            (ItemKind::Service, "order", Some(order)),
            (
                ItemKind::Place,
                "casa-a",
                Some(r#"{"failure_domain": "z1", "fencing": true}"#),
            ),
        ],
    );
    operator.change(
        "amina",
        &[
            (ItemKind::Plan, "morning", Some(plan)),
            (ItemKind::Limit, "tumblers", Some(&limit)),
            (ItemKind::Service, "order", None),
        ],
    );
    operator
}

#[test]
fn items_of_each_kind_are_listed() {
    let server = operator().bind();
    let lists = ["service", "place", "plan", "limit"].map(|kind| {
        let run = operate(&server, &[kind, "list"]).success();
        stdout(&run)
    });
    insta::assert_snapshot!(lists.join("\n"));
}

#[test]
fn the_whole_configuration_is_shown() {
    let server = operator().bind();
    let run = operate(&server, &["config", "show"]).success();
    insta::assert_snapshot!(stdout(&run));
}

#[test]
fn json_output_is_the_instances_own() {
    let server = operator().bind();
    let run = operate(&server, &["place", "show", "casa-a", "--output", "json"]).success();
    insta::assert_snapshot!(stdout(&run));
}

#[test]
fn an_unknown_item_is_refused() {
    let server = operator().bind();
    for verb in ["show", "delete", "history"] {
        let run = operate(&server, &["plan", verb, "evening"])
            .code(1)
            .stdout("");
        assert_eq!(stderr(&run), "basilramp: there is no plan named evening\n");
    }
}

#[test]
fn a_file_is_applied_and_shown_in_the_history() {
    let operator = operator();
    let server = operator.bind();
    let file = file(r#"{"casa-a": {"failure_domain": "z9"}, "casa-b": {"failure_domain": "z2"}}"#);
    let path = file.path().display().to_string();
    let diff = operate(&server, &["place", "diff", &path])
        .code(8)
        .stderr("");
    let apply = operate(&server, &["place", "apply", &path, "--reason", "moved"]).success();
    let again = operate(&server, &["place", "diff", &path]).success();
    assert_eq!(stdout(&again), "no difference\n");
    let history = operate(&server, &["place", "history", "casa-a"]).success();
    let shown = [&diff, &apply, &history].map(stdout);
    insta::assert_snapshot!(shown.join("\n"));
}

#[test]
fn deleting_is_one_change() {
    let operator = operator();
    let server = operator.bind();
    let run = operate(&server, &["plan", "delete", "morning"]).success();
    insta::assert_snapshot!(stdout(&run));
    assert!(!operator.names().contains(&"morning".to_owned()));
}

#[test]
fn a_faulty_file_changes_nothing() {
    let server = operator().bind();
    for text in [
        "{",
        "[]",
        r#"{"x": {"colour": 1}}"#,
        r#"{"x": {"failure_domain": 7}}"#,
    ] {
        let file = file(text);
        let path = file.path().display().to_string();
        let run = operate(&server, &["place", "apply", &path])
            .code(3)
            .stdout("");
        assert!(
            stderr(&run).contains(" at line 1 column "),
            "{}",
            stderr(&run)
        );
    }
    assert!(server.asked().iter().all(|asked| asked.method == "GET"));
}

#[test]
fn a_stale_change_is_refused_with_what_came_first() {
    let server = operator().bind();
    let run = operate(&server, &["limit", "delete", "tumblers", "--base", "1"]).code(6);
    insta::assert_snapshot!(stderr(&run));
}

#[test]
fn the_log_and_the_difference_of_versions_are_shown() {
    let server = operator().bind();
    let log = operate(&server, &["config", "log"]).success();
    let later = operate(&server, &["config", "log", "--after", "2"]).success();
    let diff = operate(&server, &["config", "diff", "1"]).code(8);
    let between = operate(&server, &["config", "diff", "0", "2"]).code(8);
    let none = operate(&server, &["config", "diff", "3", "3"]).success();
    let shown = [&log, &later, &diff, &between, &none].map(stdout);
    insta::assert_snapshot!(shown.join("\n"));
    operate(&server, &["config", "diff", "1", "9"])
        .code(1)
        .stderr("basilramp: there is no version 9; the newest is 3\n");
}

#[test]
fn times_are_shown_as_utc() {
    let times = [
        (0_u64, "1970-01-01T00:00:00Z"),
        (951_782_400_000, "2000-02-29T00:00:00Z"),
        (1_709_164_799_999, "2024-02-28T23:59:59Z"),
        (4_107_542_399_000, "2100-02-28T23:59:59Z"),
        (4_107_542_400_000, "2100-03-01T00:00:00Z"),
    ];
    let changes = times.iter().enumerate().map(|(index, (at_ms, _))| {
        let change = serde_json::json!({"base": index, "at_ms": at_ms, "edits": []});
        serde_json::json!({"version": index + 1, "change": change})
    });
    let log = serde_json::json!({"changes": changes.collect::<Vec<_>>()}).to_string();
    let server = Server::bind(move |asked| match asked.path.as_str() {
        "/v1/config/log?after=0" => (200, log.clone()),
        _ => (200, r#"{"changes": []}"#.to_owned()),
    });
    let run = operate(&server, &["config", "log"]).success();
    let shown = stdout(&run);
    for (line, (_, time)) in shown.lines().skip(1).zip(times) {
        assert!(line.contains(time), "{line}");
    }
    assert_eq!(shown.lines().count(), times.len() + 1);
}
