//! What the platform's list says about upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::id;

/// What an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// An upstream as the list describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Its id.
    pub id: id::Upstream,
    /// What it is.
    pub role: Role,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The place that it stands in; empty if the list names none.
    pub place: Arc<str>,
    /// The group of plain services that it belongs to; empty if the list names none.
    pub group: Arc<str>,
    /// Its failure domain; empty if the list names none.
    pub failure_domain: Arc<str>,
    /// Whether the list says that it takes new work.
    pub ready: bool,
}

/// The upstreams of the last list, with what the upstreams and peers said since.
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
    /// An upstream that is listed twice is ready only if every listing says so, so a late listing
    /// of its former stay keeps new work away until the list drops it.
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

    /// Notes whether the upstream itself, or its home, says that it is leaving.
    pub fn set_draining(&mut self, upstream: &id::Upstream, draining: bool) {
        if let Some(entry) = self.entries.get_mut(upstream) {
            entry.draining = draining;
        }
    }

    /// Returns what is known of an upstream, leaving or not.
    #[must_use]
    pub fn get(&self, upstream: &id::Upstream) -> Option<&Listing> {
        self.entries.get(upstream).map(|entry| &entry.listing)
    }

    /// Tells whether an upstream may be given new work.
    #[must_use]
    pub fn accepts_work(&self, upstream: &id::Upstream) -> bool {
        self.entries.get(upstream).is_some_and(Entry::accepts_work)
    }

    /// Returns all upstreams, leaving or not.
    pub fn iter(&self) -> impl Iterator<Item = &Listing> {
        self.entries.values().map(|entry| &entry.listing)
    }

    /// Returns the upstreams that may be given new work.
    pub fn accepting_work(&self) -> impl Iterator<Item = &Listing> {
        let accepting = self.entries.values().filter(|entry| entry.accepts_work());
        accepting.map(|entry| &entry.listing)
    }

    /// Returns what was reported of an upstream that is still at the same address.
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
