//! The build that users run now, as the deploy file names it.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;

/// Returns the program of the earlier build, which is built at the first call.
pub(crate) fn program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(build)
}

fn build() -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let commit = production_commit(&root);
    let folder = root.join("target/production").join(&commit);
    let source = folder.join("source");
    if !source.exists() {
        extract(&root, &commit, &folder);
    }
    let status = Command::new(env!("CARGO"))
        .args([
            "build",
            "--locked",
            "-p",
            "basilramp-daemon",
            "--target-dir",
        ])
        .arg(folder.join("build"))
        .current_dir(&source)
        .status()
        .unwrap();
    assert!(status.success(), "the earlier build failed");
    folder.join("build/debug/basilrampd")
}

/// Returns the commit that the deploy file names.
fn production_commit(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/system.toml")).unwrap();
    let line = text.lines().find(|line| line.starts_with("production"));
    let commit = line.and_then(|line| line.split('"').nth(1));
    commit.expect("the deploy file names no commit").to_owned()
}

/// Writes the files of a commit to `source` in a folder.
fn extract(root: &Path, commit: &str, folder: &Path) {
    let partial = folder.join("partial");
    fs::create_dir_all(&partial).unwrap();
    let mut archive = Command::new("git")
        .args(["archive", "--format=tar", commit])
        .current_dir(root)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut tar = Command::new("tar");
    tar.arg("-x").current_dir(&partial);
    let status = tar.stdin(archive.stdout.take().unwrap()).status().unwrap();
    let is_archived = archive.wait().unwrap().success();
    assert!(is_archived && status.success(), "no files of {commit}");
    fs::rename(&partial, folder.join("source")).unwrap();
}
