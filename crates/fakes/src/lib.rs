//! Fake platform services and upstreams for tests and the demo.
//!
//! Every `spawn` starts a server on 127.0.0.1 in the current tokio runtime and returns its
//! handle. Dropping the handle stops the server. The servers record every request and its
//! effects, so that a checker can compare them with the responses that callers received.

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
