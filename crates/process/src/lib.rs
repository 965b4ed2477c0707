//! What every process of the project has: its log, its metrics and its clock.

pub mod clock;
pub mod log;
pub mod log_rate;
pub mod metric;

pub use slog;
