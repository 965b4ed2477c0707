//! Clients of the platform's services: the endpoint list and the transactional table service.

pub mod endpoints;
mod http;
pub mod table;
