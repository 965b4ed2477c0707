//! `basilramp plan import`.

use std::io::Write;

use crate::operator::Operator;
use crate::server::{Server, operate, stderr, stdout};
use basilramp_wire::config::ItemKind;
use tempfile::NamedTempFile;

const SHEET: &str = "\
service,place,from,until,ready,headroom_percent,model,version,adapter
grit-advice,casa-a,06:00,12:00,4,20,olmo,7,grit
grit-advice,casa-a,12:00,24:00,6,25,olmo,7,grit
reorder,casa-b,00:00,24:00,2,10,,,
";

fn file(text: &[u8]) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text).unwrap();
    file
}

/// Returns a configuration of two places, a service and a plan.
fn operator() -> Operator {
    let operator = Operator::default();
    operator.change(
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
    operator
}

fn import(server: &Server, sheet: impl AsRef<[u8]>, more: &[&str]) -> assert_cmd::assert::Assert {
    let file = file(sheet.as_ref());
    let path = file.path().display().to_string();
    operate(server, &[&["plan", "import", path.as_str()], more].concat())
}

/// Runs a sheet that has to be refused with nothing changed, and returns its faults.
fn faults(sheet: impl AsRef<[u8]>) -> Vec<String> {
    let operator = operator();
    let server = operator.bind();
    let run = import(&server, sheet, &[]).code(3).stdout("");
    let changed = server.asked().iter().any(|asked| asked.method == "POST");
    assert!(!changed, "a faulty sheet was sent");
    let errors = stderr(&run);
    let lines = errors.lines().skip(1);
    lines.map(|line| line.trim().to_owned()).collect()
}

#[test]
fn a_sheet_becomes_one_change() {
    let operator = operator();
    let server = operator.bind();
    let run = import(&server, SHEET, &["--reason", "Friday"]).success();
    insta::assert_snapshot!(stdout(&run));
    let posts = server
        .asked()
        .into_iter()
        .filter(|asked| asked.method == "POST");
    assert_eq!(posts.count(), 1);
    assert!(!operator.names().contains(&"yesterday".to_owned()));
}

#[test]
fn a_dry_run_prints_the_difference_and_changes_nothing() {
    let operator = operator();
    let server = operator.bind();
    let before = operator.names();
    let run = import(&server, SHEET, &["--dry-run"]).success();
    insta::assert_snapshot!(stdout(&run));
    assert_eq!(operator.names(), before);
}

#[test]
fn the_same_sheet_again_changes_nothing() {
    let operator = operator();
    let server = operator.bind();
    import(&server, SHEET, &[]).success();
    let run = import(&server, SHEET, &[]).success();
    assert_eq!(stdout(&run), "no difference\nnothing to change\n");
}

#[test]
fn plans_that_the_sheet_does_not_name_are_kept_on_demand() {
    let operator = operator();
    let server = operator.bind();
    import(&server, SHEET, &["--keep"]).success();
    assert!(operator.names().contains(&"yesterday".to_owned()));
}

#[test]
fn a_stale_sheet_is_refused_with_what_the_other_change_did() {
    let operator = operator();
    operator.change(
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
    let server = operator.bind();
    let before = operator.names();
    let run = import(&server, SHEET, &["--base", "1"]).code(6).stdout("");
    insta::assert_snapshot!(stderr(&run));
    assert_eq!(operator.names(), before);
}

#[test]
fn every_fault_of_a_sheet_is_reported_with_line_and_column() {
    let found = faults(
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
    insta::assert_snapshot!(found.join("\n"));
}

#[test]
fn rows_of_one_service_have_to_agree_on_its_model() {
    let found = faults(
        "\
service,place,from,until,ready,headroom_percent,model,version
reorder,casa-a,00:00,12:00,1,0,olmo,7
reorder,casa-b,00:00,12:00,1,0,olmo,8
",
    );
    assert_eq!(
        found,
        ["line 3, column 7 (model): is not what line 2 says for this service"]
    );
}

#[test]
fn unknown_doubled_and_missing_columns_are_refused() {
    let found = faults("service,place,from,from,ready,colour\n");
    assert_eq!(
        found,
        [
            "line 1, column 4 (from): is given twice",
            "line 1, column 6 (colour): is not a known column",
            "line 1, column 7: the column headroom_percent is missing",
            "line 1, column 7: the column until is missing",
        ]
    );
}

#[test]
fn an_empty_sheet_is_refused() {
    assert_eq!(faults(""), ["line 1, column 1: the sheet is empty"]);
    let header = SHEET.lines().next().unwrap();
    assert_eq!(faults(header), ["line 1, column 1: the sheet has no rows"]);
}

#[test]
fn quoted_cells_and_lines_after_them_keep_their_line_numbers() {
    let found = faults(
        "service,place,from,until,ready,headroom_percent\n\
         \"re\norder\",casa-a,00:00,12:00,1,0\n\
         reorder,casa-a,00:00,12:00,x,0\n",
    );
    assert_eq!(
        found,
        [
            "line 2, column 1 (service): a name is 1 to 128 letters, digits, '-', '_', '.', ':' or '/'",
            "line 4, column 5 (ready): has to be a whole number from 0 to 100000",
        ]
    );
}

#[test]
fn two_plans_of_one_name_are_refused() {
    let operator = operator();
    operator.change(
        "planner",
        &[(
            ItemKind::Place,
            "b/casa-a",
            Some(r#"{"failure_domain": "z1"}"#),
        )],
    );
    let server = operator.bind();
    let sheet = "\
service,place,from,until,ready,headroom_percent,model,version
reorder/b,casa-a,00:00,12:00,1,0,olmo,7
reorder,b/casa-a,00:00,12:00,1,0,olmo,7
";
    let run = import(&server, sheet, &[]).code(3);
    let fault = "line 3, column 1 (service): gives the plan the name reorder/b/casa-a/0000, \
                 as line 2 does";
    assert!(stderr(&run).contains(fault), "{}", stderr(&run));
}

#[test]
fn a_sheet_saved_by_a_spreadsheet_is_read() {
    let operator = operator();
    let server = operator.bind();
    let sheet = format!("\u{feff}{}", SHEET.replace('\n', "\r\n"));
    import(&server, sheet, &[]).success();
    assert!(
        operator
            .names()
            .contains(&"grit-advice/casa-a/0600".to_owned())
    );
}

#[test]
fn text_that_is_not_utf_8_is_refused_with_its_place() {
    let mut sheet = SHEET.as_bytes().to_vec();
    let at = SHEET.find("casa-b").unwrap();
    sheet[at] = 0xff;
    assert_eq!(faults(sheet), ["line 4, column 2: is not UTF-8 text"]);
}
