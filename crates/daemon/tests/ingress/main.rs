//! The ingress as a process, before stand-ins of the users' platform.

mod admission;
mod budget;
mod client_faults;
mod discovery;
mod forwarding;
mod history;
mod outage;
mod process;
mod soak;
mod support;
