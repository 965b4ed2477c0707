//! The daemon: the servers, clients and background tasks of one instance.
//!
//! Locks are acquired in this order: programs, grants, membership, configuration, commit
//! queue. No lock is held across an await point.

mod admission;
mod auth;
mod caller_api;
mod request_body;
mod response;
pub use basilramp_process::clock;
mod cache_release;
mod call_meter;
pub mod commit;
mod components;
pub mod config;
mod crash_probe;
mod engine;
mod engine_control;
mod grant;
mod home;
mod http_server;
mod inventory;
mod log;
mod log_event;
pub mod membership;
mod metric;
mod node;
mod operator_api;
mod order;
mod orphan_sweep;
mod owner_router;
mod ownership;
mod peer_client;
mod peer_server;
mod peer_stream;
mod peer_tls;
mod program;
mod service;
mod settings;
mod shutdown;
mod state_logger;
mod suspect;
mod trace;
mod upstream;

pub use log_event::Event;
pub use node::run_daemon;
pub use settings::{Fault, Faults, Settings};
