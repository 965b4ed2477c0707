//! The daemon: what one instance runs.
//!
//! Lock order, first to last: programs, grants, membership, configuration, commit
//! queue. No lock is held across an await point.

mod admission;
mod answer;
mod auth;
mod body;
mod caller_api;
pub use basilramp_process::clock;
pub mod commit;
pub mod config;
mod control;
mod engine;
mod front;
mod grant;
mod home;
mod inventory;
mod log;
mod log_event;
pub mod membership;
mod meter;
mod metric;
mod node;
mod observe;
mod operator_api;
mod order;
mod ownership;
mod parts;
mod peer;
mod peer_server;
mod peer_stream;
mod peer_tls;
mod probe;
mod program;
mod release;
mod route;
mod service;
mod settings;
mod stop;
mod suspect;
mod sweep;
mod trace;
mod upstream;

pub use log_event::Event;
pub use node::run_daemon;
pub use settings::{Fault, Faults, Settings};
