//! Re-exports the event log and the daemon's events.

pub(crate) use basilramp_process::event;
pub(crate) use basilramp_process::log::{Handle, open};

pub(crate) use crate::log_event::Event;
