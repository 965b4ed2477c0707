//! Structured log events with codes, one JSON line each on standard output.
//!
//! Each line has the fields `ts`, `level`, `msg`, `instance` and `event`, and the event's own
//! fields. `instance` is the process that writes the log; other instances are named `peer`.
//! [`event!`](crate::event!) logs an event:
//!
//! ```text
//! event!(log, Event::LeaseRenewed, "version" => version);
//! ```

use std::io;
use std::sync::{Arc, Mutex};

use slog::{Drain, Level, Logger, Never, SendSyncRefUnwindSafeDrain, SendSyncUnwindSafeDrain, o};
use slog_json::Json;

/// Lines buffered for a slow standard output; further lines are dropped and counted.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// A log event; [`events!`](crate::events!) defines an enumeration of them.
pub trait LogEvent: Copy {
    /// Tells whether the line is written before the logging call returns.
    fn is_synchronous(self) -> bool;
}

/// Handle of the process's log; can be used from any thread.
#[derive(Clone, Debug)]
pub struct Handle {
    asynchronous: Logger,
    synchronous: Logger,
}

impl Handle {
    /// Returns the logger for an event.
    ///
    /// Synchronous events are written before the logging call returns; all others are written by
    /// a separate thread.
    pub fn logger(&self, event: impl LogEvent) -> &Logger {
        if event.is_synchronous() {
            &self.synchronous
        } else {
            &self.asynchronous
        }
    }
}

/// Opens the process's log; events less severe than `level` are discarded.
pub fn open(instance: &str, level: Level) -> Handle {
    let json = Json::new(io::stdout())
        .add_default_keys()
        .set_flush(true)
        .build();
    let json_drain = Arc::new(Mutex::new(json).ignore_res());
    let asynchronous = slog_async::Async::new(Arc::clone(&json_drain))
        .chan_size(QUEUE_CAPACITY_LINES)
        .build();
    Handle {
        asynchronous: root_logger(asynchronous.ignore_res(), instance, level),
        synchronous: root_logger(json_drain, instance, level),
    }
}

fn root_logger<D>(drain: D, instance: &str, level: Level) -> Logger
where
    D: SendSyncUnwindSafeDrain<Ok = (), Err = Never>,
    D: SendSyncRefUnwindSafeDrain<Ok = (), Err = Never> + 'static,
{
    let drain = drain.filter_level(level).ignore_res();
    Logger::root(drain, o!("instance" => instance.to_owned()))
}

/// Logs an event. Takes the log's [`Handle`], an `Event` and fields in slog's syntax.
#[macro_export]
macro_rules! event {
    ($log:expr, $event:expr $(, $($fields:tt)*)?) => {{
        static LOCATION: $crate::slog::RecordLocation = $crate::slog::RecordLocation {
            file: file!(),
            line: line!(),
            column: column!(),
            function: "",
            module: module_path!(),
        };
        let event = $event;
        let static_record = $crate::slog::RecordStatic {
            location: &LOCATION,
            level: event.level(),
            tag: event.name(),
        };
        $log.logger(event).log(&$crate::slog::Record::new(
            &static_record,
            &format_args!("{}", event.message()),
            $crate::slog::b!("event" => event.code(), $($($fields)*)?),
        ));
    }};
}

/// Defines the enumeration `Event` with the code, level and message of each event.
#[macro_export]
macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident = $code:literal, $level:ident, $message:literal;)+) => {
        /// All events that the process logs.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event {
            $($(#[$doc])* $variant,)+
        }

        impl Event {
            /// All events, in order of their codes.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// Returns the event's code, such as `E0101`.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Returns the name of the event's variant.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => stringify!($variant),)+
                }
            }

            /// Returns the event's severity.
            #[must_use]
            pub const fn level(self) -> $crate::slog::Level {
                match self {
                    $(Self::$variant => $crate::slog::Level::$level,)+
                }
            }

            /// Returns the text of the field `msg`.
            #[must_use]
            pub const fn message(self) -> &'static str {
                match self {
                    $(Self::$variant => $message,)+
                }
            }
        }
    };
}
