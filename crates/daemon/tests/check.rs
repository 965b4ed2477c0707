//! The command line of `basilrampd`: `--check`, exit codes and the help text.

use std::io::Write;

use assert_cmd::Command;
use tempfile::NamedTempFile;

const EXAMPLE: &str = include_str!("../../../examples/settings.jsonc");

fn basilrampd() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basilrampd"));
    command.env_remove("COLUMNS");
    command
}

fn write_settings(text: &str) -> NamedTempFile {
    let mut file = NamedTempFile::new().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    file
}

#[test]
fn check_accepts_the_example_settings() {
    let settings = write_settings(EXAMPLE);
    basilrampd()
        .arg("--check")
        .arg(settings.path())
        .assert()
        .success()
        .stdout("settings are in order\n")
        .stderr("");
}

#[test]
fn check_reports_all_errors_and_exits_with_3() {
    let settings = write_settings(r#"{"instance": {"id": 1}, "listen": {}, "platform": {}}"#);
    let run = basilrampd()
        .arg("--check")
        .arg(settings.path())
        .assert()
        .code(3)
        .stdout("");
    let errors = String::from_utf8(run.get_output().stderr.clone()).unwrap();
    let path = settings.path().display().to_string();
    insta::assert_snapshot!(errors.replace(&path, "SETTINGS"));
}

#[test]
fn invalid_settings_prevent_startup_and_exit_with_3() {
    let settings = write_settings("{}");
    basilrampd()
        .arg(settings.path())
        .assert()
        .code(3)
        .stdout("");
}

#[test]
fn unreadable_settings_file_exits_with_3() {
    let run = basilrampd().arg("/does/not/exist.jsonc").assert().code(3);
    let errors = String::from_utf8(run.get_output().stderr.clone()).unwrap();
    assert!(
        errors.contains("can't read /does/not/exist.jsonc"),
        "{errors}"
    );
}

#[test]
fn invalid_command_line_exits_with_2() {
    basilrampd().assert().code(2);
    basilrampd().arg("--colour").assert().code(2);
}

#[test]
fn help_matches_the_snapshot() {
    let run = basilrampd().arg("--help").assert().success();
    let help = String::from_utf8(run.get_output().stdout.clone()).unwrap();
    insta::assert_snapshot!(help);
}
