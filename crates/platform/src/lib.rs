//! Clients of the platform's services.

mod http;
pub mod list;
pub mod table;
