//! Tests of the commit loop, leases, partition ownership and configuration against the fake platform.

mod commit;
mod config;
mod handover;
mod lost_responses;
mod outage;
mod process;
mod support;
mod takeover;
