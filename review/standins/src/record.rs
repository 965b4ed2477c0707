//! What was sent, answered and run, in a text file.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::lock;

/// The record of a run; clones write to the same file.
#[derive(Clone, Debug)]
pub struct Record(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    began: Instant,
    file: Mutex<std::fs::File>,
}

impl Record {
    /// Creates the file `record.txt` in a folder.
    #[must_use]
    pub fn create(folder: &Path) -> Self {
        let file = std::fs::File::create(folder.join("record.txt")).expect("record.txt");
        Self(Arc::new(Inner {
            began: Instant::now(),
            file: Mutex::new(file),
        }))
    }

    /// Returns the milliseconds since the record began.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.0.began.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.now_ms(), text.as_ref());
        let _ = lock(&self.0.file).write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
