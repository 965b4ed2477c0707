//! Where the requests of callers go: routes, placement, retries, budgets and histories.
//!
//! | module | decides |
//! |---|---|
//! | [`route`] | the route and service of a request |
//! | [`fleet`] | which upstreams take work, and what is known of each |
//! | [`placement`] | the upstream of one attempt |
//! | [`attempt`] | what follows an attempt that failed |
//! | [`token_budget`] | whether a program's budget holds one more turn |
//! | [`transcript`] | what a turn's upstream has to read |
//! | [`admission`] | whether a new program is let in |
//! | [`retention`] | when the rows of turns may go |
//! | [`outage`] | how long work waits for the store |
//! | [`sse`] | where the events of a stream end |

pub mod admission;
pub mod attempt;
pub mod config;
pub mod fleet;
pub mod outage;
pub mod placement;
pub mod request;
pub mod retention;
pub mod route;
pub mod sse;
pub mod token_budget;
pub mod transcript;
