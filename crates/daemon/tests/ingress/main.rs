//! The ingress as a process, before stand-ins of the users' platform.

mod budget;
mod discovery;
mod door;
mod faults;
mod history;
mod outage;
mod process;
mod promises;
mod soak;
mod support;
