//! Bodies and frames that cross a process boundary.
//!
//! Each type here mirrors one in `basilramp-core` or stands for a body of a
//! published protocol. Conversions are `From` and `TryFrom`.

pub mod api;
pub mod config;
pub mod convert;
pub mod endpoints;
pub mod engine;
pub mod error;
pub mod frame;
pub mod operator;
pub mod record;
pub mod sse;
pub mod table;
