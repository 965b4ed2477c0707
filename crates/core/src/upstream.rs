//! Upstreams in the platform's list, with their reported state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::id;

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// An entry of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The id of the upstream.
    pub id: id::Upstream,
    /// The kind of the upstream.
    pub role: Role,
    /// Address for calls.
    pub address: SocketAddr,
    /// The place of the upstream; empty if the list names none.
    pub place: Arc<str>,
    /// The group of a plain service; empty if the list names none.
    pub group: Arc<str>,
    /// The failure domain of the upstream; empty if the list names none.
    pub failure_domain: Arc<str>,
    /// Whether the list marks the upstream as ready for new work.
    pub ready: bool,
}

/// The latest list of upstreams, combined with the draining state reported by upstreams and peers.
#[derive(Clone, Debug, Default)]
pub struct View {
    entries: BTreeMap<id::Upstream, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    listing: Listing,
    draining: bool,
}

impl View {
    /// Replaces the list.
    ///
    /// An upstream that is listed more than once is ready only if all its entries are. An outdated
    /// entry therefore blocks new work until the list drops it.
    pub fn apply(&mut self, listings: impl IntoIterator<Item = Listing>) {
        let mut entries: BTreeMap<id::Upstream, Entry> = BTreeMap::new();
        for listing in listings {
            if let Some(existing) = entries.get_mut(&listing.id) {
                existing.listing.ready &= listing.ready;
                continue;
            }
            let draining = self.was_draining(&listing);
            let entry = Entry { listing, draining };
            entries.insert(entry.listing.id.clone(), entry);
        }
        self.entries = entries;
    }

    /// Sets the draining state reported by the upstream or its home.
    pub fn set_draining(&mut self, upstream: &id::Upstream, draining: bool) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.draining = draining;
        }
    }

    /// Returns the entry of an upstream, whether it accepts new work or not.
    #[must_use]
    pub fn get(&self, upstream: &id::Upstream) -> Option<&Listing> {
        self.entries.get(upstream).map(|entry| &entry.listing)
    }

    /// Returns whether the upstream accepts new work.
    #[must_use]
    pub fn accepts_work(&self, upstream: &id::Upstream) -> bool {
        self.entries.get(upstream).is_some_and(Entry::accepts_work)
    }

    /// Returns all upstreams, whether they accept new work or not.
    pub fn iter(&self) -> impl Iterator<Item = &Listing> {
        self.entries.values().map(|entry| &entry.listing)
    }

    /// Returns the upstreams that accept new work.
    pub fn accepting_work(&self) -> impl Iterator<Item = &Listing> {
        let accepting = self.entries.values().filter(|entry| entry.accepts_work());
        accepting.map(|entry| &entry.listing)
    }

    /// Returns the reported draining state if the upstream is still at the same address.
    fn was_draining(&self, listing: &Listing) -> bool {
        let existing = self.entries.get(&listing.id);
        existing.is_some_and(|entry| entry.draining && entry.listing.address == listing.address)
    }
}

impl Entry {
    const fn accepts_work(&self) -> bool {
        self.listing.ready && !self.draining
    }
}
