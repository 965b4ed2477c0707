//! Decision logic of the scheduler, without I/O, threads or clocks.
//!
//! Time and random numbers are passed in as arguments. Commands change state and return the actions
//! for the caller to perform; queries only read.

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
