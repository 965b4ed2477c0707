//! Decisions of the scheduler, free of I/O, threads and clocks.
//!
//! Time and random numbers come in as arguments. Commands change state and
//! return what has to be done; queries only read.

pub mod admission;
pub mod cache;
pub mod clock;
pub mod home;
pub mod id;
pub mod limit;
pub mod placement;
pub mod queue;
pub mod upstream;
