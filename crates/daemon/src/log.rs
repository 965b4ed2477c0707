//! The daemon's log: its numbered events, through the shared log.

pub(crate) use basilramp_process::event;
pub(crate) use basilramp_process::log::{Handle, open};

pub(crate) use crate::log_event::Event;
