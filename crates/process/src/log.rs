//! LogEvent log events, one JSON line each on standard output.
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

/// Lines that may wait for a slow standard output; those beyond are dropped and counted.
const QUEUE_CAPACITY_LINES: usize = 4_096;

/// An event of a closed list; [`events!`] makes such a list.
pub trait LogEvent: Copy {
    /// Tells whether its line is written before the code that logs it goes on.
    fn is_synchronous(self) -> bool;
}

/// Writes events, from any thread.
#[derive(Clone, Debug)]
pub struct Handle {
    asynchronous: Logger,
    synchronous: Logger,
}

impl Handle {
    /// Returns the logger that an event goes to.
    ///
    /// Lines of most events are written by a thread of their own. Those of synchronous events
    /// are out when the call returns.
    pub fn logger(&self, event: impl LogEvent) -> &Logger {
        if event.is_synchronous() {
            &self.synchronous
        } else {
            &self.asynchronous
        }
    }
}

/// Opens the process's log; events less severe than `level` are left out.
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

/// Writes one numbered event: the log's [`Handle`], the [`Event`], and its fields in slog's form.
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

/// Makes the enumeration `Event` of a closed list of numbered events.
#[macro_export]
macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident = $code:literal, $level:ident, $message:literal;)+) => {
        /// Every event that is logged.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Event {
            $($(#[$doc])* $variant,)+
        }

        impl Event {
            /// All events, by number.
            pub const ALL: &[Self] = &[$(Self::$variant,)+];

            /// Returns the event's number, as in `E0101`.
            #[must_use]
            pub const fn code(self) -> &'static str {
                match self {
                    $(Self::$variant => $code,)+
                }
            }

            /// Returns the event's name in the code.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => stringify!($variant),)+
                }
            }

            /// Returns how severe it is.
            #[must_use]
            pub const fn level(self) -> $crate::slog::Level {
                match self {
                    $(Self::$variant => $crate::slog::Level::$level,)+
                }
            }

            /// Returns the text of `msg`.
            #[must_use]
            pub const fn message(self) -> &'static str {
                match self {
                    $(Self::$variant => $message,)+
                }
            }
        }
    };
}
