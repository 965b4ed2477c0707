//! What every process of the project has: its log and its clock.

pub mod clock;
pub mod log;

pub use slog;
