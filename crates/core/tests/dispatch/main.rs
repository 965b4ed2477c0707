//! Decisions on the requests of callers, and the loads that they answer.

mod allowance;
mod attempt;
mod door;
mod event;
mod fleet;
mod outage;
mod place;
mod retention;
mod route;
mod transcript;
