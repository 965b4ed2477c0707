//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A record file. Lines of concurrent tasks are in the order in which they were written.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            start: Instant::now(),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.now_ms();
        let line = format!("{:>9.3} s  {}\n", ms as f64 / 1_000.0, text.as_ref());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}
