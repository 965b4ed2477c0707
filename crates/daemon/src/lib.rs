//! The daemon: what one instance runs.
//!
//! Lock order, first to last: programs, grants, membership, configuration, commit
//! queue. No lock is held across an await point.

#![allow(dead_code)] // Until the parts are wired together.

mod clock;
mod commit;
mod config;
mod control;
mod engine;
mod front;
mod grant;
mod home;
mod log;
mod membership;
mod node;
mod peer;
mod program;
mod service;
mod settings;
mod stop;
mod trace;
mod upstream;

pub use node::run_daemon;
pub use settings::Settings;
