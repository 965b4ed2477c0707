//! Decisions on the requests of callers, and the loads that they answer.

mod admission;
mod attempt;
mod fleet;
mod outage;
mod placement;
mod retention;
mod route;
mod sse;
mod token_budget;
mod transcript;
