//! Shared parts of the cases: instances of the daemon as processes, a client, and the record.

pub mod client;
pub mod instance;
pub mod record;
pub mod site;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Result of a case that could run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Time limit of a case; the review allows 120 s.
const LIMIT: Duration = Duration::from_secs(110);

/// Runs a case and maps its result to the exit code: 0 if the rule held, 1 if it was broken, 2 if the
/// case couldn't run. The first argument is the path of the record. With `TROUBLE=0` in the environment,
/// the case runs without its disruption.
pub fn main<F>(case: impl FnOnce(Arc<Record>, bool) -> F) -> ExitCode
where
    F: Future<Output = Result<Verdict, String>>,
{
    let Some(path) = std::env::args_os().nth(1).map(PathBuf::from) else {
        eprintln!("usage: CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(2);
    };
    record.line(format!("disruption: {has_trouble}"));
    let result = runtime.block_on(async {
        let case = case(Arc::clone(&record), has_trouble);
        match tokio::time::timeout(LIMIT, case).await {
            Ok(result) => result,
            Err(_) => Err("the time limit was reached".into()),
        }
    });
    let (text, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case couldn't run: {error}"), 2),
    };
    record.line(format!("verdict: {text}"));
    println!("{text}");
    ExitCode::from(code)
}
