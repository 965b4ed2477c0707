//! Clients of the platform's services.

pub mod endpoints;
mod http;
pub mod table;
