//! Fake services of the users' platform: its store, and upstreams that register in the store.

mod store;
mod upstream;

pub use store::{Mode, Store, View};
pub use upstream::{Behaviour, CRASH_MARKER, Crash, RequestRecord, Upstream};
