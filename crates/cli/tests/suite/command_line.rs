//! Help texts, connection settings, exit codes and generated files.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::Path;

use crate::fake_config::FakeConfig;
use crate::server::{Server, basilramp, run_as_operator, stderr, stdout};
use tempfile::{NamedTempFile, TempDir};
use tokio::net::TcpSocket;

const ASSETS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../assets");

#[test]
fn help_texts_match_the_snapshots() {
    let commands: [&[&str]; 9] = [
        &["--help"],
        &["plan", "--help"],
        &["plan", "import", "--help"],
        &["service", "apply", "--help"],
        &["program", "run", "--help"],
        &["program", "settle", "--help"],
        &["config", "check", "--help"],
        &["config", "diff", "--help"],
        &["upstream", "order", "--help"],
    ];
    for command in commands {
        let run = basilramp().args(command).assert().success();
        let name = command
            .join("_")
            .replace("_--help", "")
            .replace("--help", "basilramp");
        insta::assert_snapshot!(name, stdout(&run));
    }
}

#[test]
fn invalid_command_lines_exit_with_2() {
    for arguments in [
        vec![],
        vec!["plan"],
        vec!["plan", "colour"],
        vec!["--operators", "localhost:80", "plan", "list"],
        vec!["plan", "list", "--output", "xml"],
        vec!["plan", "list", "--timeout", "0"],
        vec!["config", "diff", "x"],
    ] {
        basilramp().args(&arguments).assert().code(2).stdout("");
    }
}

#[test]
fn a_missing_address_or_credential_is_reported() {
    let run = basilramp().args(["plan", "list"]).assert().code(2);
    assert!(stderr(&run).contains("BASILRAMP_OPERATORS"));
    let run = basilramp()
        .args(["plan", "list", "--operators", "127.0.0.1:1"])
        .assert()
        .code(2);
    assert!(stderr(&run).contains("BASILRAMP_TOKEN"));
    let run = basilramp().args(["program", "end", "p0"]).assert().code(2);
    assert!(stderr(&run).contains("BASILRAMP_CALLERS"));
    let run = basilramp()
        .args(["plan", "list"])
        .env("BASILRAMP_OPERATORS", "localhost")
        .assert()
        .code(2);
    assert!(stderr(&run).contains("BASILRAMP_OPERATORS must be an IP address and a port"));
}

#[test]
fn the_token_is_read_from_a_file() {
    let server = FakeConfig::default().bind();
    let mut token = NamedTempFile::new().unwrap();
    writeln!(token, "secret").unwrap();
    let address = server.address.to_string();
    let path = token.path().display().to_string();
    basilramp()
        .args([
            "--operators",
            &address,
            "--token-file",
            &path,
            "plan",
            "list",
        ])
        .assert()
        .success()
        .stdout("none\n");
    basilramp()
        .args(["plan", "list"])
        .env("BASILRAMP_OPERATORS", &address)
        .env("BASILRAMP_TOKEN_FILE", &path)
        .assert()
        .success();
    basilramp()
        .args(["--token-file", "/does/not/exist", "plan", "list"])
        .assert()
        .code(3);
}

#[test]
fn a_wrong_token_is_rejected() {
    let server = FakeConfig::default().bind();
    basilramp()
        .args(["plan", "list"])
        .env("BASILRAMP_OPERATORS", server.address.to_string())
        .env("BASILRAMP_TOKEN", "wrong")
        .assert()
        .code(1)
        .stderr("basilramp: unknown token (unauthorized; it was not run)\n");
}

#[test]
fn an_unreachable_instance_exits_with_4() {
    // A bound socket that does not listen refuses connections, and no other process can use its
    // port.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let run = basilramp()
        .args(["--operators", &address, "plan", "list"])
        .env("BASILRAMP_TOKEN", "secret")
        .assert()
        .code(4);
    assert!(stderr(&run).contains("nothing was sent"));
}

#[test]
fn a_lost_response_to_a_change_exits_with_5_and_prints_a_hint() {
    let server = Server::bind(|request| match request.method.as_str() {
        "GET" => (200, r#"{"version": 0, "items": []}"#.to_owned()),
        _ => (502, "<html>bad gateway</html>".to_owned()),
    });
    let mut file = NamedTempFile::new().unwrap();
    write!(file, r#"{{"a": {{"failure_domain": "z1"}}}}"#).unwrap();
    let path = file.path().display().to_string();
    let run = run_as_operator(&server, &["place", "apply", &path])
        .code(5)
        .stdout("");
    assert!(stderr(&run).contains("basilramp config log"));
}

#[test]
fn completions_and_manual_pages_are_up_to_date() {
    let fresh = TempDir::new().unwrap();
    basilramp()
        .arg("manual")
        .arg(fresh.path())
        .assert()
        .success();
    assert_eq!(
        read_all(fresh.path()),
        read_all(&Path::new(ASSETS).join("man")),
        "run `basilramp manual assets/man`"
    );
    for (shell, file) in [
        ("bash", "basilramp.bash"),
        ("zsh", "_basilramp"),
        ("fish", "basilramp.fish"),
    ] {
        let run = basilramp().args(["completions", shell]).assert().success();
        let committed = fs::read_to_string(Path::new(ASSETS).join("completions").join(file));
        assert_eq!(
            stdout(&run),
            committed.unwrap(),
            "run `basilramp completions {shell} > assets/completions/{file}`"
        );
    }
}

fn read_all(directory: &Path) -> BTreeMap<String, String> {
    let entries = fs::read_dir(directory).unwrap();
    let files = entries.map(|entry| {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        (name, fs::read_to_string(path).unwrap())
    });
    files.collect()
}
