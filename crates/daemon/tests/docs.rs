//! Checks that the documentation pages match the code.

use std::collections::BTreeSet;

use basilramp_wire::error::{Executed, Kind};

const OPERATIONS: &str = include_str!("../../../docs/OPERATIONS.md");
const API: &str = include_str!("../../../docs/API.md");
const README: &str = include_str!("../../../README.md");
const EXAMPLE: &str = include_str!("../../../examples/settings.jsonc");
const SETTINGS_PARSER: &str = include_str!("../src/settings/file.rs");
const OPERATOR_API: &str = include_str!("../src/operator_api.rs");
const CALLER_API: &str = include_str!("../src/caller_api.rs");

/// Returns the cells of the table rows below `heading` whose first cell begins with inline code.
fn table_rows<'a>(page: &'a str, heading: &str) -> Vec<Vec<&'a str>> {
    let (_, section_text) = page.split_once(heading).expect("the page has the heading");
    let section_text = section_text.split("\n## ").next().unwrap_or(section_text);
    let lines = section_text.lines().filter(|line| line.starts_with("| `"));
    lines
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

#[test]
fn every_error_kind_is_documented() {
    let code: Vec<_> = Kind::ALL
        .iter()
        .map(|kind| {
            let executed = match kind.ran() {
                Executed::No => "no",
                Executed::Yes => "yes",
                Executed::Unknown => "unknown",
            };
            let (code, status) = (kind.code(), kind.status());
            [format!("`{code}`"), status.to_string(), executed.to_owned()]
        })
        .collect();
    let page: Vec<_> = table_rows(OPERATIONS, "\n## Error kinds")
        .iter()
        .map(|row| {
            assert!(!row[3].is_empty(), "no remedy is given for {}", row[0]);
            [row[0], row[1], row[2]].map(str::to_owned)
        })
        .collect();
    assert_eq!(page, code);
}

#[test]
fn every_setting_in_the_example_is_documented() {
    let mut section = String::new();
    for line in EXAMPLE.lines() {
        let line = line.trim();
        let Some((name, value)) = line
            .strip_prefix('"')
            .and_then(|line| line.split_once("\":"))
        else {
            continue;
        };
        let setting = match value.trim() {
            "{" => {
                section = name.to_owned();
                continue;
            }
            "[" => {
                section = format!("{name}[]");
                continue;
            }
            inline if inline.starts_with('{') => {
                let (inner, _) = inline[1..]
                    .trim()
                    .trim_start_matches('"')
                    .split_once('"')
                    .unwrap();
                format!("`{name}.{inner}`")
            }
            _ => format!("`{section}.{name}`"),
        };
        let table = table_rows(OPERATIONS, "\n## Settings");
        let is_documented = table.iter().any(|row| row[0].contains(&setting));
        assert!(is_documented, "{setting} is not documented");
    }
}

/// In the settings parser, every string literal of lower-case letters, digits and `_` is a setting.
#[test]
fn every_parsed_setting_is_in_the_example_and_documented() {
    let is_name = |text: &&str| {
        let is_name_char = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
        !text.is_empty() && text.chars().all(is_name_char)
    };
    let names = SETTINGS_PARSER
        .split('"')
        .skip(1)
        .step_by(2)
        .filter(is_name);
    let names: BTreeSet<_> = names.collect();
    assert!(names.len() > 30, "{names:?}");
    let table = table_rows(OPERATIONS, "\n## Settings");
    let page: String = table.iter().map(|row| row[0]).collect();
    for name in names {
        assert!(
            EXAMPLE.contains(&format!("\"{name}\":")),
            "{name} is not in the example"
        );
        let is_documented = page.contains(&format!(".{name}`"))
            || page.contains(&format!("`{name}."))
            || page.contains(&format!("`{name}[]."));
        assert!(is_documented, "{name} is not documented");
    }
}

#[test]
fn documented_paths_match_the_served_routes() {
    for (source, heading) in [
        (CALLER_API, "\n## Callers"),
        (OPERATOR_API, "\n## Operators"),
    ] {
        let code = source.split_whitespace().collect::<String>();
        for row in table_rows(API, heading)
            .iter()
            .filter(|row| row[0].contains(" /"))
        {
            let endpoint = row[0].trim_matches('`');
            let (method, path) = endpoint.split_once(' ').unwrap();
            let path = path.split('?').next().unwrap().replace("{id}", ":id");
            let route = format!(".{}(\"{path}\")", method.to_lowercase());
            assert!(code.contains(&route), "{endpoint} is not served");
        }
        let served = source.matches("\"/").count();
        let listed = table_rows(API, heading);
        let listed = listed.iter().filter(|row| row[0].contains(" /"));
        assert_eq!(listed.count(), served, "number of paths under {heading}");
    }
}

#[test]
fn readme_lists_the_demo_and_test_commands() {
    for command in [
        "cargo run --release --example demo -p basilramp-fakes",
        "cargo test --locked --workspace",
    ] {
        assert!(README.contains(command), "{command}");
    }
}
