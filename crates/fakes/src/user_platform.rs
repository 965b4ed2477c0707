//! Stand-ins for the users' platform: its store, and upstreams that register there.

mod store;
mod upstream;

pub use store::{Mode, Store};
pub use upstream::{Behaviour, RequestRecord, Upstream};
