//! Stand-ins for the platform and the upstreams, for tests and the demo.
//!
//! Every `spawn` starts a server on 127.0.0.1 inside the calling tokio runtime and returns a
//! running handle. Dropping the handle stops the server. The stand-ins record what really
//! happened, so that a checker can compare it with what callers were told.

mod digest;
mod http;
mod lag;
mod launcher;
mod request;

pub mod caller;
pub mod check;
pub mod cluster;
pub mod engine;
pub mod history;
pub mod operator;
pub mod platform;
pub mod relay;
pub mod service;
pub mod trial;
pub mod user_platform;

pub use cluster::Cluster;
pub use launcher::{Addresses, Launcher, Process};
