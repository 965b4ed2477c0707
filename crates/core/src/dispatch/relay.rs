//! Selects the instance that handles a request while this one has no path to the upstreams.
//!
//! Each instance in need relays to a few others that have proved to work, and to more of them as its
//! load grows. No instance needs connections to all others, and the load of many in need spreads
//! over those that can help.

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Time;

/// Requests in flight at each proven instance from which on another one is tried.
const FEW_REQUESTS: u32 = 2;

/// Time for which an instance gets no requests after it declined one, in milliseconds. It doubles with
/// each further time.
const FIRST_DECLINE_MS: u64 = 500;

/// Time for which an instance gets no requests after it failed, in milliseconds. It doubles with each
/// further time.
const FIRST_FAILURE_MS: u64 = 1_000;

/// Maximum time for which an instance gets no requests, in milliseconds.
const MAX_AVOID_MS: u64 = 4_000;

/// The instances that may handle requests of this one.
#[derive(Debug, Default)]
pub struct Relays {
    instances: BTreeMap<Arc<str>, Instance>,
}

#[derive(Clone, Debug)]
struct Instance {
    failure_domain: Arc<str>,
    in_flight: u32,
    /// Whether its latest response was a handled request.
    is_proven: bool,
    /// Requests in a row that it did not handle.
    failures: u32,
    avoid_until: Time,
    /// Whether it did not reach the store when it declined its latest request.
    lacks_store: bool,
}

/// Result of a request at another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The instance handled the request.
    Handled,
    /// The instance can't handle requests now.
    Declined,
    /// The instance can't handle requests now, as it does not reach the store.
    LacksStore,
    /// The instance was not reached, or its response was interrupted.
    Failed,
    /// The caller disconnected before the end.
    Abandoned,
}

impl Relays {
    /// Sets the known instances, each with its failure domain.
    pub fn replace_all(&mut self, instances: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) {
        let mut known = std::mem::take(&mut self.instances);
        for (id, failure_domain) in instances {
            let instance = known.remove(&id).unwrap_or(Instance {
                failure_domain: Arc::clone(&failure_domain),
                in_flight: 0,
                is_proven: false,
                failures: 0,
                avoid_until: Time::ZERO,
                lacks_store: false,
            });
            self.instances.insert(
                id,
                Instance {
                    failure_domain,
                    ..instance
                },
            );
        }
    }

    /// Returns whether no other instance is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Selects an instance that was not tried for a request yet, for an instance in `failure_domain`.
    /// `draw` is a random number that selects among equals.
    ///
    /// A failure domain is often lost as a whole, so that instances of another one are tried first.
    #[must_use]
    pub fn select(
        &self,
        failure_domain: &str,
        tried: &[Arc<str>],
        draw: u64,
        now: Time,
    ) -> Option<Arc<str>> {
        let order = |id: &Arc<str>| xxh3_64_with_seed(id.as_bytes(), draw);
        let candidates = self.instances.iter();
        let candidates =
            candidates.filter(|(id, known)| known.avoid_until <= now && !tried.contains(id));
        let (proven, others): (Vec<_>, Vec<_>) = candidates.partition(|(_, known)| known.is_proven);
        let proven = proven.into_iter();
        let proven = proven.min_by_key(|(id, known)| (known.in_flight, order(id)));
        if let Some((id, known)) = proven
            && known.in_flight < FEW_REQUESTS
        {
            return Some(Arc::clone(id));
        }
        let others = others.into_iter();
        let other = others.min_by_key(|(id, known)| {
            let is_near = *known.failure_domain == *failure_domain;
            (known.in_flight, is_near, order(id))
        });
        other.or(proven).map(|(id, _)| Arc::clone(id))
    }

    /// Returns whether no instance seems to reach the store: some that were asked don't, and none
    /// handled its latest request.
    #[must_use]
    pub fn is_store_lost(&self) -> bool {
        let mut instances = self.instances.values();
        instances.clone().any(|known| known.lacks_store) && !instances.any(|known| known.is_proven)
    }

    /// Records that a request is sent to an instance.
    pub fn start(&mut self, id: &str) {
        if let Some(instance) = self.instances.get_mut(id) {
            instance.in_flight += 1;
        }
    }

    /// Records the end of a request at an instance.
    pub fn end(&mut self, id: &str, outcome: Outcome, now: Time) {
        let Some(instance) = self.instances.get_mut(id) else {
            return;
        };
        instance.in_flight = instance.in_flight.saturating_sub(1);
        instance.lacks_store = outcome == Outcome::LacksStore;
        let first_ms = match outcome {
            Outcome::Handled => {
                instance.is_proven = true;
                instance.failures = 0;
                return;
            }
            Outcome::Abandoned => return,
            Outcome::Declined | Outcome::LacksStore => FIRST_DECLINE_MS,
            Outcome::Failed => FIRST_FAILURE_MS,
        };
        let ms = (first_ms << instance.failures.min(4)).min(MAX_AVOID_MS);
        instance.is_proven = false;
        instance.failures += 1;
        instance.avoid_until = now.after(ms);
    }
}
