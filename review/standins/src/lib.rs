//! Stand-ins for clients, runners and the platform's store, as `PROTOCOL.md` describes them, and a
//! launcher of the project's program. The drivers of the cases are in `src/bin`.

pub mod http;
pub mod machine;
pub mod proxy;
pub mod record;
pub mod runner;
pub mod site;
pub mod store;

pub use machine::Machine;
pub use record::Record;
pub use runner::{Run, Runner};
pub use site::Site;
pub use store::{Store, View};

/// Returns whether the case runs with its disruption (`TROUBLE=0` runs it without).
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits for a number of milliseconds.
pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(std::time::Duration::from_millis(ms)).await;
}

/// Locks a mutex and ignores poisoning.
pub fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
