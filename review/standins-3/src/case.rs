//! The record and the verdict of a case.

use std::fs::File;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Exit code of a case in which the rule held.
pub const HELD: i32 = 0;

/// Exit code of a case in which the rule was broken.
pub const BROKEN: i32 = 1;

/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Time limit of a case. It ends all processes that it started when it is dropped.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The record of a case, one line for each thing that was sent, answered or run.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Writes a line with the milliseconds since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.started_at.elapsed().as_millis();
        // A record that can't be written must not change the verdict.
        let _ = writeln!(lock(&self.file), "{ms:>7} {}", text.as_ref());
    }
}

/// Locks a mutex, also after a panic of its holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a case and exits with its code. The first argument is the folder of the case, in which the
/// record is written; `TROUBLE=0` leaves the disruption out.
pub fn run<F: Future<Output = i32>>(case: impl FnOnce(Record, bool) -> F) -> ! {
    let Some(folder) = std::env::args().nth(1) else {
        eprintln!("the folder of the case is missing");
        std::process::exit(NOT_RUN);
    };
    let file = match File::create(Path::new(&folder).join("record.txt")) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            std::process::exit(NOT_RUN);
        }
    };
    let record = Record {
        file: Arc::new(Mutex::new(file)),
        started_at: Instant::now(),
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        std::process::exit(NOT_RUN);
    };
    let run = || {
        runtime.block_on(async {
            let case = case(record.clone(), has_trouble);
            tokio::time::timeout(TIME_LIMIT, case).await
        })
    };
    let code = match catch_unwind(AssertUnwindSafe(run)) {
        Ok(Ok(code)) => code,
        Ok(Err(_)) => {
            record.line("the case took too long");
            NOT_RUN
        }
        Err(_) => {
            record.line("the driver failed");
            NOT_RUN
        }
    };
    let verdict = match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    record.line(verdict);
    println!("{verdict}");
    std::process::exit(code);
}
