//! `service`, `place`, `plan`, `limit` and `config` commands.

use std::io::Write;

use crate::fake_config::FakeConfig;
use crate::server::{Server, run_as_operator, stderr, stdout};
use basilramp_wire::config::ItemKind;
use tempfile::NamedTempFile;

const DIGEST: &str = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";

fn temp_file(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file
}

/// Returns a configuration with an item of each kind, created by three changes.
fn sample_config() -> FakeConfig {
    let config = FakeConfig::default();
    let service = r#"{"target": {"model": {"model": "olmo", "version": "6", "adapter": "grit"}}}"#;
    let order = r#"{"target": {"plain": {"path": "/orders", "idempotent": false}}}"#;
    let plan = r#"{"service": "advice", "place": "casa-a", "from_minute": 360,
                   "until_minute": 1440, "ready": 3, "headroom_percent": 20}"#;
    let limit = format!(r#"{{"key_sha256": "{DIGEST}", "requests_per_s": 50, "programs": 9}}"#);
    config.change("amina", &[(ItemKind::Service, "advice", Some(service))]);
    config.change(
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
    config.change(
        "amina",
        &[
            (ItemKind::Plan, "morning", Some(plan)),
            (ItemKind::Limit, "tumblers", Some(&limit)),
            (ItemKind::Service, "order", None),
        ],
    );
    config
}

#[test]
fn items_of_each_kind_are_listed() {
    let server = sample_config().bind();
    let lists = ["service", "place", "plan", "limit"].map(|kind| {
        let run = run_as_operator(&server, &[kind, "list"]).success();
        stdout(&run)
    });
    insta::assert_snapshot!(lists.join("\n"));
}

#[test]
fn config_show_prints_every_item() {
    let server = sample_config().bind();
    let run = run_as_operator(&server, &["config", "show"]).success();
    insta::assert_snapshot!(stdout(&run));
}

#[test]
fn json_output_matches_the_api_response() {
    let server = sample_config().bind();
    let run = run_as_operator(&server, &["place", "show", "casa-a", "--output", "json"]).success();
    insta::assert_snapshot!(stdout(&run));
}

#[test]
fn unknown_items_are_reported() {
    let server = sample_config().bind();
    for verb in ["show", "delete", "history"] {
        let run = run_as_operator(&server, &["plan", verb, "evening"])
            .code(1)
            .stdout("");
        assert_eq!(stderr(&run), "basilramp: there is no plan named evening\n");
    }
}

#[test]
fn apply_changes_items_and_history_lists_the_change() {
    let config = sample_config();
    let server = config.bind();
    let file =
        temp_file(r#"{"casa-a": {"failure_domain": "z9"}, "casa-b": {"failure_domain": "z2"}}"#);
    let path = file.path().display().to_string();
    let diff = run_as_operator(&server, &["place", "diff", &path])
        .code(8)
        .stderr("");
    let apply = run_as_operator(&server, &["place", "apply", &path, "--reason", "moved"]).success();
    let again = run_as_operator(&server, &["place", "diff", &path]).success();
    assert_eq!(stdout(&again), "no difference\n");
    let history = run_as_operator(&server, &["place", "history", "casa-a"]).success();
    let output = [&diff, &apply, &history].map(stdout);
    insta::assert_snapshot!(output.join("\n"));
}

#[test]
fn delete_sends_one_change() {
    let config = sample_config();
    let server = config.bind();
    let run = run_as_operator(&server, &["plan", "delete", "morning"]).success();
    insta::assert_snapshot!(stdout(&run));
    assert!(!config.item_names().contains(&"morning".to_owned()));
}

#[test]
fn an_invalid_file_changes_nothing() {
    let server = sample_config().bind();
    for text in [
        "{",
        "[]",
        r#"{"x": {"colour": 1}}"#,
        r#"{"x": {"failure_domain": 7}}"#,
    ] {
        let file = temp_file(text);
        let path = file.path().display().to_string();
        let run = run_as_operator(&server, &["place", "apply", &path])
            .code(3)
            .stdout("");
        assert!(
            stderr(&run).contains(" at line 1 column "),
            "{}",
            stderr(&run)
        );
    }
    assert!(
        server
            .requests()
            .iter()
            .all(|request| request.method == "GET")
    );
}

#[test]
fn a_stale_change_is_rejected_with_the_newer_changes() {
    let server = sample_config().bind();
    let run = run_as_operator(&server, &["limit", "delete", "tumblers", "--base", "1"]).code(6);
    insta::assert_snapshot!(stderr(&run));
}

#[test]
fn config_log_and_config_diff_print_the_changes() {
    let server = sample_config().bind();
    let log = run_as_operator(&server, &["config", "log"]).success();
    let after_2 = run_as_operator(&server, &["config", "log", "--after", "2"]).success();
    let diff = run_as_operator(&server, &["config", "diff", "1"]).code(8);
    let between = run_as_operator(&server, &["config", "diff", "0", "2"]).code(8);
    let none = run_as_operator(&server, &["config", "diff", "3", "3"]).success();
    let output = [&log, &after_2, &diff, &between, &none].map(stdout);
    insta::assert_snapshot!(output.join("\n"));
    run_as_operator(&server, &["config", "diff", "1", "9"])
        .code(1)
        .stderr("basilramp: there is no version 9; the newest is 3\n");
}

#[test]
fn timestamps_are_printed_in_utc() {
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
    let server = Server::bind(move |request| match request.path.as_str() {
        "/v1/config/log?after=0" => (200, log.clone()),
        _ => (200, r#"{"changes": []}"#.to_owned()),
    });
    let run = run_as_operator(&server, &["config", "log"]).success();
    let output = stdout(&run);
    for (line, (_, time)) in output.lines().skip(1).zip(times) {
        assert!(line.contains(time), "{line}");
    }
    assert_eq!(output.lines().count(), times.len() + 1);
}
