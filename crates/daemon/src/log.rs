//! Numbered log events.

use slog::{Drain, Logger, o};

/// Opens the process's logger: JSON lines on standard output.
pub(crate) fn open(instance: &str) -> Logger {
    let drain = slog_json::Json::default(std::io::stdout()).fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(drain, o!("instance" => instance.to_owned()))
}
