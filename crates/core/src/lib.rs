//! Decisions of the scheduler, free of I/O, threads and clocks.
//!
//! Time and random numbers come in as arguments. Commands change state and
//! return what has to be done; queries only read.

pub mod admission;
pub mod batch;
pub mod budget;
pub mod cache;
pub mod clock;
pub mod dispatch;
pub mod fingerprint;
pub mod history;
pub mod home;
pub mod id;
pub mod lease;
pub mod limit;
pub mod partition;
pub mod placement;
pub mod plan;
pub mod queue;
pub mod retry;
pub mod suspect;
pub mod tree;
pub mod upstream;
