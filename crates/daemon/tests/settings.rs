//! Parsing of the settings: accepted input, defaults and reported errors.

use basilramp_daemon::Settings;

const EXAMPLE: &str = include_str!("../../../examples/settings.jsonc");

const MINIMAL: &str = r#"{
  "instance": {"id": "a", "failure_domain": "z1"},
  "listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "platform": {"table": "127.0.0.1:1", "list": "127.0.0.1:3"},
  "peers": {"certificate": "a.pem", "key": "a.key", "authority": "ca.pem"}
}"#;

/// Returns the errors of parsing a text, empty if it is valid.
fn parse_errors(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0.iter().map(ToString::to_string).collect(),
    }
}

/// Returns the errors of parsing the minimal settings after one replacement.
fn errors_after_replacement(old: &str, new: &str) -> Vec<String> {
    assert!(MINIMAL.contains(old), "{old}");
    parse_errors(&MINIMAL.replace(old, new))
}

/// Returns the errors of parsing the minimal settings with one more section.
fn errors_with_section(section: &str) -> Vec<String> {
    let end = MINIMAL.rfind('}').unwrap();
    parse_errors(&format!("{},\n{section}}}", MINIMAL[..end].trim_end()))
}

#[test]
fn example_settings_parse() {
    assert_eq!(parse_errors(EXAMPLE), [""; 0]);
}

/// The example file documents the defaults, so it must parse to the same values as the minimal
/// settings.
#[test]
fn example_settings_match_the_defaults() {
    let defaults = format!("{:#?}", Settings::parse(MINIMAL).unwrap());
    let example = format!("{:#?}", Settings::parse(EXAMPLE).unwrap());
    let from_timing = |text: &str| {
        let start = text.find("timing").unwrap();
        let end = text.find("traces").unwrap();
        text[start..end].to_owned()
    };
    assert_eq!(from_timing(&example), from_timing(&defaults));
    for line in ["table_name: \"basilramp\"", "sample_ratio: 1.0"] {
        assert!(defaults.contains(line) && example.contains(line), "{line}");
    }
}

#[test]
fn minimal_settings_parse() {
    assert_eq!(parse_errors(MINIMAL), [""; 0]);
}

#[test]
fn comments_and_trailing_commas_are_accepted() {
    let text = MINIMAL.replace("\"z1\"},", "\"z1\", /* here */}, // there");
    assert_eq!(parse_errors(&text), [""; 0]);
}

#[test]
fn all_errors_are_reported_at_once_with_their_positions() {
    let text = r#"{
  "instance": {"id": "", "colour": "red"},
  "listen": {"callers": "localhost:80", "operators": "127.0.0.1:0", "peers": "0.0.0.0:9"},
  "platform": {"table": "127.0.0.1:0", "list": 7},
  "operators": [
    {"name": "amina", "token_sha256": "abc"},
    {"name": "amina", "token_sha256": "00"}
  ],
  "timing": {"lease_ms": 2000, "stop_ms": 0},
  "limits": [],
  "log": {"level": "loud"}
}"#;
    let message = Settings::parse(text).unwrap_err().to_string();
    insta::assert_snapshot!(message);
}

#[test]
fn unknown_fields_are_rejected_at_every_level() {
    assert_eq!(
        errors_with_section(r#""colour": 1"#),
        ["6:1: colour: is not a known setting"]
    );
    assert_eq!(
        errors_with_section(r#""store": {"colour": 1}"#),
        ["6:11: store.colour: is not a known setting"]
    );
}

#[test]
fn duplicate_fields_are_rejected() {
    assert_eq!(
        errors_after_replacement(r#""id": "a""#, r#""id": "a", "id": "b""#),
        ["2:27: instance.id: is given twice"]
    );
}

#[test]
fn malformed_json_is_rejected_with_its_position() {
    assert_eq!(
        errors_after_replacement("\"z1\"}", "\"z1\"]"),
        ["2:49: Unexpected token in object"]
    );
    assert_eq!(parse_errors(""), ["1:1: the file is empty"]);
    assert_eq!(parse_errors("[]"), ["1:1: has to be an object"]);
}

#[test]
fn missing_sections_and_fields_are_reported() {
    assert_eq!(
        parse_errors("{}"),
        [
            "1:1: instance: is missing",
            "1:1: listen: is missing",
            "1:1: platform: is missing",
            "1:1: peers: is missing"
        ]
    );
    assert_eq!(
        errors_after_replacement(r#""id": "a", "#, ""),
        ["2:15: instance.id: is missing"]
    );
}

#[test]
fn addresses_must_be_an_ip_address_and_a_port() {
    for address in [
        "localhost:80",
        "127.0.0.1",
        "example.org:80",
        ":80",
        "127.0.0.1:99999",
    ] {
        let errors = errors_after_replacement(
            "\"callers\": \"127.0.0.1:0\"",
            &format!("\"callers\": \"{address}\""),
        );
        assert_eq!(errors.len(), 1, "{address}");
        assert!(errors[0].contains("listen.callers: has to be an IP number and a port"));
    }
}

#[test]
fn an_ipv6_address_is_accepted() {
    assert_eq!(
        errors_after_replacement("\"peers\": \"127.0.0.1:0\"", "\"peers\": \"[::1]:0\""),
        [""; 0]
    );
}

#[test]
fn caller_and_operator_listeners_must_differ() {
    let errors = errors_after_replacement(
        r#""callers": "127.0.0.1:0", "operators": "127.0.0.1:0""#,
        r#""callers": "127.0.0.1:80", "operators": "127.0.0.1:80""#,
    );
    assert_eq!(
        errors,
        ["3:54: listen.operators: is the same address as callers"]
    );
}

#[test]
fn durations_must_be_positive_whole_milliseconds() {
    for value in ["0", "-1", "1.5", "\"5\"", "86400001", "null"] {
        let errors = errors_with_section(&format!(r#""timing": {{"stop_ms": {value}}}"#));
        assert_eq!(
            errors,
            ["6:23: timing.stop_ms: has to be whole milliseconds from 1 to 86400000"],
            "{value}"
        );
    }
}

#[test]
fn a_lease_must_be_longer_than_two_heartbeats() {
    let section = r#""timing": {"lease_ms": 4000, "heartbeat_ms": 2000}"#;
    assert_eq!(
        errors_with_section(section),
        ["6:24: timing.lease_ms: has to be more than twice heartbeat_ms"]
    );
    let section = r#""timing": {"lease_ms": 4001, "heartbeat_ms": 2000}"#;
    assert_eq!(errors_with_section(section), [""; 0]);
}

#[test]
fn a_digest_must_have_64_hexadecimal_digits() {
    for digest in ["a".repeat(63), "g".repeat(64), String::new()] {
        let section = format!(r#""operators": [{{"name": "a", "token_sha256": "{digest}"}}]"#);
        let errors = errors_with_section(&section);
        assert_eq!(errors.len(), 1, "{digest}");
        assert!(errors[0].contains("operators[0].token_sha256: has to be a SHA-256 digest"));
    }
}

#[test]
fn an_instance_id_must_be_a_valid_name() {
    for name in ["", "a/b", "a b", "ü", &"a".repeat(65)] {
        let errors = errors_after_replacement(r#""id": "a""#, &format!(r#""id": "{name}""#));
        assert_eq!(errors.len(), 1, "{name}");
        assert!(errors[0].contains("instance.id: has to be a name"));
    }
}

#[test]
fn a_fraction_must_be_between_0_and_1() {
    for value in ["-0.1", "1.1", "\"1\""] {
        let section = format!(r#""traces": {{"sample_ratio": {value}}}"#);
        assert_eq!(
            errors_with_section(&section),
            ["6:28: traces.sample_ratio: has to be a number from 0 to 1"]
        );
    }
}
