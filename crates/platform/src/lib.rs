//! Clients of the platform's services.

pub mod list;
pub mod object;
pub mod table;
