//! `basilramp plan import`.

use std::io::Write;

use crate::fake_config::FakeConfig;
use crate::server::{Server, run_as_operator, stderr, stdout};
use basilramp_wire::config::ItemKind;
use tempfile::NamedTempFile;

const SHEET: &str = "\
service,place,from,until,ready,headroom_percent,model,version,adapter
grit-advice,casa-a,06:00,12:00,4,20,olmo,7,grit
grit-advice,casa-a,12:00,24:00,6,25,olmo,7,grit
reorder,casa-b,00:00,24:00,2,10,,,
";

fn temp_file(text: &[u8]) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text).unwrap();
    file
}

/// Returns a configuration with two places, a service and a plan.
fn sample_config() -> FakeConfig {
    let config = FakeConfig::default();
    config.change(
        "planner",
        &[
            (
                ItemKind::Place,
                "casa-a",
                Some(r#"{"failure_domain": "z1"}"#),
            ),
            (
                ItemKind::Place,
                "casa-b",
                Some(r#"{"failure_domain": "z2"}"#),
            ),
            (
                ItemKind::Service,
                "reorder",
                Some(r#"{"target": {"model": {"model": "olmo", "version": "6"}}}"#),
            ),
            (
                ItemKind::Plan,
                "yesterday",
                Some(
                    r#"{"service": "reorder", "place": "casa-b", "from_minute": 0,
                        "until_minute": 60, "ready": 1, "headroom_percent": 0}"#,
                ),
            ),
        ],
    );
    config
}

fn import(
    server: &Server,
    sheet: impl AsRef<[u8]>,
    extra_args: &[&str],
) -> assert_cmd::assert::Assert {
    let file = temp_file(sheet.as_ref());
    let path = file.path().display().to_string();
    run_as_operator(
        server,
        &[&["plan", "import", path.as_str()], extra_args].concat(),
    )
}

/// Imports an invalid sheet, checks that no change is sent, and returns the printed errors.
fn import_errors(sheet: impl AsRef<[u8]>) -> Vec<String> {
    let config = sample_config();
    let server = config.bind();
    let run = import(&server, sheet, &[]).code(3).stdout("");
    let changed = server
        .requests()
        .iter()
        .any(|request| request.method == "POST");
    assert!(!changed, "a change was sent for an invalid sheet");
    let errors = stderr(&run);
    let lines = errors.lines().skip(1);
    lines.map(|line| line.trim().to_owned()).collect()
}

#[test]
fn import_sends_one_change() {
    let config = sample_config();
    let server = config.bind();
    let run = import(&server, SHEET, &["--reason", "Friday"]).success();
    insta::assert_snapshot!(stdout(&run));
    let posts = server
        .requests()
        .into_iter()
        .filter(|request| request.method == "POST");
    assert_eq!(posts.count(), 1);
    assert!(!config.item_names().contains(&"yesterday".to_owned()));
}

#[test]
fn a_dry_run_prints_the_differences_and_changes_nothing() {
    let config = sample_config();
    let server = config.bind();
    let before = config.item_names();
    let run = import(&server, SHEET, &["--dry-run"]).success();
    insta::assert_snapshot!(stdout(&run));
    assert_eq!(config.item_names(), before);
}

#[test]
fn importing_the_same_sheet_again_changes_nothing() {
    let config = sample_config();
    let server = config.bind();
    import(&server, SHEET, &[]).success();
    let run = import(&server, SHEET, &[]).success();
    assert_eq!(stdout(&run), "no difference\nnothing to change\n");
}

#[test]
fn keep_retains_plans_that_the_sheet_does_not_list() {
    let config = sample_config();
    let server = config.bind();
    import(&server, SHEET, &["--keep"]).success();
    assert!(config.item_names().contains(&"yesterday".to_owned()));
}

#[test]
fn a_stale_import_is_rejected_with_the_newer_changes() {
    let config = sample_config();
    config.change(
        "brahim",
        &[
            (
                ItemKind::Place,
                "casa-c",
                Some(r#"{"failure_domain": "z3"}"#),
            ),
            (ItemKind::Plan, "yesterday", None),
        ],
    );
    let server = config.bind();
    let before = config.item_names();
    let run = import(&server, SHEET, &["--base", "1"]).code(6).stdout("");
    insta::assert_snapshot!(stderr(&run));
    assert_eq!(config.item_names(), before);
}

#[test]
fn every_invalid_cell_is_reported_with_line_and_column() {
    let errors = import_errors(
        "\
service,place,from,until,ready,headroom_percent,model,version,adapter
grit advice,casa-a,06:00,12:00,4,20,olmo,7,
reorder,nowhere,6:00,25:00,-1,101,,,
reorder,casa-a,12:00,06:00,1,0,,,
reorder,casa-b,00:00,12:00,1,0,,,
reorder,casa-b,11:59,13:00,1,0,,,
unknown,casa-b,00:00,12:00,1,0,,,
reorder,casa-a,00:00,12:00,1,0,olmo,,
reorder,casa-a,12:00,13:00
",
    );
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn rows_of_one_service_must_have_the_same_model() {
    let errors = import_errors(
        "\
service,place,from,until,ready,headroom_percent,model,version
reorder,casa-a,00:00,12:00,1,0,olmo,7
reorder,casa-b,00:00,12:00,1,0,olmo,8
",
    );
    assert_eq!(
        errors,
        ["line 3, column 7 (model): differs from line 2 for the same service"]
    );
}

#[test]
fn unknown_duplicate_and_missing_columns_are_rejected() {
    let errors = import_errors("service,place,from,from,ready,colour\n");
    assert_eq!(
        errors,
        [
            "line 1, column 4 (from): is duplicated",
            "line 1, column 6 (colour): is not a known column",
            "line 1, column 7: the column headroom_percent is missing",
            "line 1, column 7: the column until is missing",
        ]
    );
}

#[test]
fn an_empty_sheet_is_rejected() {
    assert_eq!(import_errors(""), ["line 1, column 1: the sheet is empty"]);
    let header = SHEET.lines().next().unwrap();
    assert_eq!(
        import_errors(header),
        ["line 1, column 1: the sheet has no rows"]
    );
}

#[test]
fn line_numbers_are_correct_after_a_quoted_multiline_cell() {
    let errors = import_errors(
        "service,place,from,until,ready,headroom_percent\n\
         \"re\norder\",casa-a,00:00,12:00,1,0\n\
         reorder,casa-a,00:00,12:00,x,0\n",
    );
    assert_eq!(
        errors,
        [
            "line 2, column 1 (service): a name is 1 to 128 letters, digits, '-', '_', '.', ':' or '/'",
            "line 4, column 5 (ready): must be an integer from 0 to 100000",
        ]
    );
}

#[test]
fn duplicate_plan_names_are_rejected() {
    let config = sample_config();
    config.change(
        "planner",
        &[(
            ItemKind::Place,
            "b/casa-a",
            Some(r#"{"failure_domain": "z1"}"#),
        )],
    );
    let server = config.bind();
    let sheet = "\
service,place,from,until,ready,headroom_percent,model,version
reorder/b,casa-a,00:00,12:00,1,0,olmo,7
reorder,b/casa-a,00:00,12:00,1,0,olmo,7
";
    let run = import(&server, sheet, &[]).code(3);
    let expected = "line 3, column 1 (service): yields the plan name reorder/b/casa-a/0000, \
                    like line 2";
    assert!(stderr(&run).contains(expected), "{}", stderr(&run));
}

#[test]
fn a_byte_order_mark_and_crlf_line_ends_are_accepted() {
    let config = sample_config();
    let server = config.bind();
    let sheet = format!("\u{feff}{}", SHEET.replace('\n', "\r\n"));
    import(&server, sheet, &[]).success();
    assert!(
        config
            .item_names()
            .contains(&"grit-advice/casa-a/0600".to_owned())
    );
}

#[test]
fn invalid_utf_8_is_rejected_with_line_and_column() {
    let mut sheet = SHEET.as_bytes().to_vec();
    let at = SHEET.find("casa-b").unwrap();
    sheet[at] = 0xff;
    assert_eq!(
        import_errors(sheet),
        ["line 4, column 2: is not UTF-8 text"]
    );
}
