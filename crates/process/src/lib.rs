//! Logging, metrics and clocks that all processes of the project share.

pub mod clock;
pub mod log;
pub mod log_rate;
pub mod metric;
pub mod supervisor;

pub use slog;
