//! `config check`: findings, differences and errors, from files.

use std::fs;
use std::path::PathBuf;

use crate::server::{basilramp, stderr, stdout};
use assert_cmd::assert::Assert;
use serde_json::{Value, json};
use tempfile::TempDir;

/// A document without findings.
fn document() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "chat", "host": "a.example", "prefix": "/chat/", "type": "stream",
             "resumable": true, "service": "engine", "timeout_ms": 4000, "slo_ms": 200,
             "max_attempts": 2, "retained": true, "retention_s": 60},
            {"name": "items", "host": "a.example", "prefix": "/items/", "type": "unsafe",
             "service": "items", "timeout_ms": 1000, "max_attempts": 1},
        ],
        "services": [
            {"name": "engine", "engine": {"slots": 8, "kv_capacity": 100}},
            {"name": "items"},
        ],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "idle_timeout_ms": 4},
        "tenants": [
            {"name": "north", "api_keys": ["north-secret-1", "north-secret-2"], "rate_per_s": 10},
            {"name": "south", "api_keys": ["south-secret"]},
        ],
    })
}

/// Documents in a directory that is removed at the end of the test.
struct Files {
    directory: TempDir,
}

impl Files {
    fn new() -> Self {
        let directory = TempDir::new().unwrap();
        Self { directory }
    }

    fn write(&self, name: &str, text: impl AsRef<[u8]>) -> PathBuf {
        let path = self.directory.path().join(name);
        fs::write(&path, text).unwrap();
        path
    }

    fn write_json(&self, name: &str, document: &Value) -> PathBuf {
        self.write(name, document.to_string())
    }
}

/// Runs the check. No output may contain a key.
fn check(files: &Files, arguments: &[&str]) -> Assert {
    let run = basilramp()
        .args(["config", "check"])
        .args(arguments)
        .current_dir(files.directory.path())
        .assert();
    for text in [stdout(&run), stderr(&run)] {
        assert!(!text.contains("secret"), "a key was printed: {text}");
    }
    run
}

fn json_output(run: &Assert) -> Value {
    serde_json::from_str(&stdout(run)).unwrap()
}

#[test]
fn a_document_without_findings_exits_with_0() {
    let files = Files::new();
    files.write_json("new.json", &document());
    let run = check(&files, &["new.json"]).code(0);
    assert_eq!(stdout(&run), "new.json, version 7\n  no findings\n");
    let run = check(&files, &["new.json", "--json"]).code(0);
    assert_eq!(
        json_output(&run),
        json!({"file": "new.json", "version": 7, "findings": []})
    );
}

/// The product accepts a document with findings, so the parser must not reject it.
#[test]
fn findings_exit_with_1() {
    let files = Files::new();
    let mut document = document();
    document["routes"][0]["slo_ms"] = json!(4001);
    document["routes"][1]["max_attempts"] = json!(3);
    document["routes"][1]["host"] = json!("a.example:80");
    document["services"][1]["name"] = json!("things");
    document["tenants"][0]["rate_per_s"] = json!(0.1);
    document["tenants"][1]["api_keys"] = json!([]);
    files.write_json("new.json", &document);
    let run = check(&files, &["new.json"]).code(1);
    insta::assert_snapshot!("config_check_findings", stdout(&run));
    assert_eq!(stderr(&run), "");
    for arguments in [
        ["new.json", "--json", "--timeout=9"],
        ["new.json", "--output", "json"],
    ] {
        let run = check(&files, &arguments).code(1);
        let output = json_output(&run);
        assert_eq!(
            output["findings"][0],
            json!({
                "severity": "warning",
                "code": "objective-above-timeout",
                "kind": "route",
                "name": "chat",
                "message": "the latency objective of 4001 ms is above the timeout of 4000 ms",
            })
        );
        assert_eq!(output["findings"].as_array().unwrap().len(), 7);
    }
}

#[test]
fn differences_from_the_version_in_force_are_no_findings() {
    let files = Files::new();
    files.write_json("active.json", &document());
    let mut document = document();
    document["version"] = json!(8);
    document["routes"][1]["timeout_ms"] = json!(1500);
    document["tenants"][0]["api_keys"] = json!(["north-secret-2", "secret-3", "secret-4"]);
    document["tenants"][0]["burst"] = json!(5);
    document["tenants"][1]["name"] = json!("east");
    document["limits"]["max_body_bytes"] = json!(3);
    files.write_json("new.json", &document);
    let run = check(&files, &["new.json", "--against", "active.json"]).code(0);
    insta::assert_snapshot!("config_check_differences", stdout(&run));
    let arguments = ["new.json", "--against", "active.json", "--json"];
    let output = json_output(&check(&files, &arguments).code(0));
    assert_eq!(
        output["against"],
        json!({"file": "active.json", "version": 7})
    );
    assert_eq!(
        output["differences"][2],
        json!({
            "kind": "account",
            "name": "north",
            "change": "changed",
            "fields": [{"field": "burst", "before": "0", "after": "5"}],
            "keys": {"added": 2, "removed": 1},
        })
    );
}

/// Instances never replace a version by one that is not newer, so a forgotten version number would
/// leave the document without effect.
#[test]
fn a_changed_document_needs_a_newer_version() {
    let files = Files::new();
    files.write_json("active.json", &document());
    let mut document = document();
    document["routes"][1]["timeout_ms"] = json!(1500);
    files.write_json("new.json", &document);
    let run = check(&files, &["new.json", "--against", "active.json"]).code(1);
    assert!(stdout(&run).contains("error: document: is never applied"));
    check(&files, &["active.json", "--against", "active.json"]).code(0);
}

#[test]
fn an_unreadable_document_exits_with_2_and_a_position() {
    let files = Files::new();
    let text = serde_json::to_string_pretty(&document()).unwrap();
    files.write("cut.json", &text[..text.find("\"services\"").unwrap()]);
    files.write("type.json", text.replace("\"unsafe\"", "\"odd\""));
    files.write(
        "key.json",
        text.replacen("\"north-secret-1\"", "[\"north-secret-1\"]", 1),
    );
    files.write(
        "shared.json",
        text.replace("south-secret", "north-secret-2"),
    );
    files.write_json("active.json", &document());
    let cases = [
        ("absent.json", "absent.json: "),
        ("cut.json", "cut.json:"),
        ("type.json", ": type of route items: odd"),
        (
            "key.json",
            ": account north: api_keys has to be a list of strings",
        ),
        (
            "shared.json",
            ": accounts north and south have the same key: key 1 of south",
        ),
    ];
    for (file, message) in cases {
        let run = check(&files, &[file]).code(2).stdout("");
        assert!(stderr(&run).contains(message), "{}", stderr(&run));
        let run = check(&files, &["active.json", "--against", file]).code(2);
        assert!(stderr(&run).contains(message), "{}", stderr(&run));
    }
    // The position is that of the token after the route, which is the last one.
    let output = json_output(&check(&files, &["type.json", "--json"]).code(2));
    assert_eq!(output["error"]["reason"], "type of route items: odd");
    let line_of = |part: &str| text.lines().position(|line| line.contains(part)).unwrap() + 1;
    let end = text
        .lines()
        .skip(line_of("unsafe"))
        .position(|line| line == "  ],");
    let end = line_of("unsafe") + end.unwrap() + 1;
    assert_eq!(output["error"]["line"], end);
    assert_eq!(output["error"]["column"], 3);
    let output = json_output(&check(&files, &["absent.json", "--json"]).code(2));
    assert_eq!(output["error"]["line"], Value::Null);
}

#[test]
fn a_document_is_read_from_standard_input() {
    let run = basilramp()
        .args(["config", "check", "-"])
        .write_stdin(document().to_string())
        .assert()
        .code(0);
    assert_eq!(stdout(&run), "-, version 7\n  no findings\n");
}
