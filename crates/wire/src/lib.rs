//! Serialized types that are exchanged between processes or stored.
//!
//! Each type mirrors one of `basilramp-core` or is a message body of an HTTP
//! API. Conversions to core types are `From` and `TryFrom` implementations.

pub mod api;
pub mod config;
pub mod config_copy;
pub mod convert;
pub mod endpoints;
pub mod engine;
pub mod error;
pub mod frame;
pub mod operator;
pub mod permit;
pub mod record;
pub mod relay;
pub mod sse;
pub mod table;
pub mod version;
