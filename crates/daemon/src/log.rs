//! Numbered log events, one JSON line each on standard output.
//!
//! Each line has the fields `ts`, `level`, `msg`, `instance` and `event`, and those that the
//! event brings along; `instance` is the writer itself, so other instances are named `peer`.
//! [`event!`] writes one:
//!
//! ```text
//! event!(log, Event::LeaseRenewed, "version" => version);
//! ```

use std::io;
use std::sync::{Arc, Mutex};

use slog::{Drain, Level, Logger, Never, SendSyncRefUnwindSafeDrain, SendSyncUnwindSafeDrain, o};
use slog_json::Json;

pub(crate) use crate::log_event::Event;

/// Lines that may wait for a slow standard output; those beyond are dropped and counted.
const QUEUE_LINES: usize = 4_096;

/// Writes events, from any thread.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    queued: Logger,
    direct: Logger,
}

impl Handle {
    /// Returns the logger that an event goes to.
    ///
    /// Lines of most events are written by a thread of their own. Those of synchronous events
    /// are out when the call returns.
    pub(crate) fn logger(&self, event: Event) -> &Logger {
        if event.is_synchronous() {
            &self.direct
        } else {
            &self.queued
        }
    }
}

/// Opens the process's log; events less severe than `level` are left out.
pub(crate) fn open(instance: &str, level: Level) -> Handle {
    let json = Json::new(io::stdout())
        .add_default_keys()
        .set_flush(true)
        .build();
    let lines = Arc::new(Mutex::new(json).ignore_res());
    let queued = slog_async::Async::new(Arc::clone(&lines))
        .chan_size(QUEUE_LINES)
        .build();
    Handle {
        queued: root(queued.ignore_res(), instance, level),
        direct: root(lines, instance, level),
    }
}

fn root<D>(drain: D, instance: &str, level: Level) -> Logger
where
    D: SendSyncUnwindSafeDrain<Ok = (), Err = Never>,
    D: SendSyncRefUnwindSafeDrain<Ok = (), Err = Never> + 'static,
{
    let drain = drain.filter_level(level).ignore_res();
    Logger::root(drain, o!("instance" => instance.to_owned()))
}

/// Writes one numbered event: the log's [`Handle`], the [`Event`], and its fields in slog's form.
macro_rules! event {
    ($log:expr, $event:expr $(, $($fields:tt)*)?) => {{
        static LOCATION: slog::RecordLocation = slog::RecordLocation {
            file: file!(),
            line: line!(),
            column: column!(),
            function: "",
            module: module_path!(),
        };
        let event: $crate::log::Event = $event;
        let about = slog::RecordStatic {
            location: &LOCATION,
            level: event.level(),
            tag: event.name(),
        };
        $log.logger(event).log(&slog::Record::new(
            &about,
            &format_args!("{}", event.message()),
            slog::b!("event" => event.code(), $($($fields)*)?),
        ));
    }};
}

pub(crate) use event;
