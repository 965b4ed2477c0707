//! Tests of the dispatch decisions, under the load and failures that they are made for.

mod account;
mod admission;
mod attempt;
mod config_check;
mod event_log;
mod fleet;
mod outage;
mod outlier;
mod path;
mod placement;
mod quota;
mod rate_limit;
mod relay;
mod retention;
mod route;
mod shutdown;
mod software_version;
mod speed;
mod sse;
mod token_budget;
mod transcript;
