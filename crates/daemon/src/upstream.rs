//! Tracks the upstreams in the platform's endpoint list.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use basilramp_core::id;
use basilramp_core::upstream::{Listing, Role, View};
use basilramp_platform::endpoints::Client;
use basilramp_wire::endpoints::{
    Endpoint, EndpointSlice, EndpointSliceList, GROUP_LABEL, PLACE_LABEL, ROLE_LABEL,
};
use tokio::time::{MissedTickBehavior, interval};

use crate::log::{self, Event, event};

/// Shared view of the listed upstreams.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    view: Arc<Mutex<View>>,
}

/// Starts to poll the endpoint list every `poll_ms` milliseconds.
///
/// While the list is unavailable, the last one stays in effect.
pub(crate) fn spawn(list: Client, poll_ms: u64, log: log::Handle) -> Handle {
    let handle = Handle {
        view: Arc::default(),
    };
    tokio::spawn(poll(handle.clone(), list, poll_ms, log));
    handle
}

async fn poll(handle: Handle, list: Client, poll_ms: u64, log: log::Handle) {
    let mut ticks = interval(Duration::from_millis(poll_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match list.fetch().await {
            Ok(list) => handle.apply(&list),
            Err(error) => {
                event!(log, Event::ListUnavailable, "error" => error.to_string());
            }
        }
    }
}

impl Handle {
    /// Runs a query on the view, under its lock; `query` must not block.
    pub(crate) fn query<T>(&self, query: impl FnOnce(&View) -> T) -> T {
        let view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        query(&view)
    }

    /// Returns the listing of an upstream, if it is on the list.
    pub(crate) fn get(&self, upstream: &id::Upstream) -> Option<Listing> {
        self.query(|view| view.get(upstream).cloned())
    }

    /// Records whether an upstream is draining, as reported by itself or its home.
    pub(crate) fn set_draining(&self, upstream: &id::Upstream, draining: bool) {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.set_draining(upstream, draining);
    }

    fn apply(&self, list: &EndpointSliceList) {
        let listings = list.items.iter().flat_map(parse_slice);
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.apply(listings);
    }
}

/// Returns the upstreams of an endpoint slice; none if its endpoints are not upstreams.
fn parse_slice(slice: &EndpointSlice) -> Vec<Listing> {
    let labels = &slice.metadata.labels;
    let role = match labels.get(ROLE_LABEL).map(String::as_str) {
        Some("engine") => Role::Engine,
        Some("service") => Role::Service,
        _ => return Vec::new(),
    };
    let Some(port) = slice.ports.first() else {
        return Vec::new();
    };
    let label = |name| labels.get(name).map_or("", String::as_str);
    let convert = |endpoint: &Endpoint| {
        let ip: IpAddr = endpoint.addresses.first()?.parse().ok()?;
        let address = SocketAddr::new(ip, port.port);
        let id = endpoint.hostname.clone();
        let state = endpoint.conditions;
        let listing = Listing {
            id: id::Upstream::new(id.unwrap_or_else(|| address.to_string())),
            role,
            address,
            place: label(PLACE_LABEL).into(),
            group: label(GROUP_LABEL).into(),
            failure_domain: endpoint.zone.as_deref().unwrap_or("").into(),
            ready: state.ready && !state.terminating,
        };
        Some(listing)
    };
    slice.endpoints.iter().filter_map(convert).collect()
}
