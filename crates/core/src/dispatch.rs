//! Where the requests of callers go: routes, placement, retries, budgets and histories.
//!
//! | module | decides |
//! |---|---|
//! | [`route`] | the route and service of a request |
//! | [`fleet`] | which upstreams take work, and what is known of each |
//! | [`place`] | the upstream of one attempt |
//! | [`attempt`] | what follows an attempt that failed |
//! | [`allowance`] | whether a program's budget holds one more turn |
//! | [`transcript`] | what a turn's upstream has to read |
//! | [`door`] | whether a new program is let in |
//! | [`retention`] | when the rows of turns may go |
//! | [`outage`] | how long work waits for the store |
//! | [`event`] | where the events of a stream end |

pub mod allowance;
pub mod attempt;
pub mod call;
pub mod config;
pub mod door;
pub mod event;
pub mod fleet;
pub mod outage;
pub mod place;
pub mod retention;
pub mod route;
pub mod transcript;
