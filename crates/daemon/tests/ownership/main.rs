//! Tests of the commit loop, leases, partitions and configuration against the stand-in platform.

mod commit;
mod config;
mod handover;
mod outage;
mod process;
mod settle;
mod support;
mod takeover;
