//! Tests of the commit loop, leases, partitions and configuration against the stand-in platform.

mod commit;
mod config;
mod handover;
mod lost_responses;
mod outage;
mod process;
mod support;
mod takeover;
