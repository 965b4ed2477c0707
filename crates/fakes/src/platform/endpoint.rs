//! Entries of the endpoint list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use basilramp_wire::endpoints;

/// The kind of process behind an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An instance of the daemon.
    Instance,
    /// A fake model engine.
    Engine,
    /// A fake plain service.
    Service,
}

impl Role {
    const fn label(self) -> &'static str {
        match self {
            Self::Instance => "instance",
            Self::Engine => "engine",
            Self::Service => "service",
        }
    }
}

/// The state of an entry, which sets its endpoint conditions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Finishes running requests and accepts no new ones.
    Draining,
    /// Does not serve requests.
    Down,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name, unique in the list.
    pub name: String,
    /// Role; sets the role label and the port name.
    pub role: Role,
    /// Listen address.
    pub address: SocketAddr,
    /// Failure domain, published as the zone.
    pub failure_domain: String,
    /// Configured place of an upstream; empty for instances.
    pub place: String,
    /// Group of a plain service; empty for others.
    pub group: String,
    /// Current state.
    pub state: State,
}

impl Entry {
    /// Returns an endpoint slice with only this entry.
    pub(crate) fn to_slice(&self) -> endpoints::EndpointSlice {
        let mut labels = BTreeMap::new();
        labels.insert(
            endpoints::ROLE_LABEL.to_owned(),
            self.role.label().to_owned(),
        );
        if !self.place.is_empty() {
            labels.insert(endpoints::PLACE_LABEL.to_owned(), self.place.clone());
        }
        if !self.group.is_empty() {
            labels.insert(endpoints::GROUP_LABEL.to_owned(), self.group.clone());
        }
        let port = endpoints::Port {
            name: self.role.label().to_owned(),
            port: self.address.port(),
        };
        endpoints::EndpointSlice {
            metadata: endpoints::Metadata {
                name: format!("{}-slice", self.name),
                labels,
            },
            ports: vec![port],
            endpoints: vec![self.endpoint()],
        }
    }

    fn endpoint(&self) -> endpoints::Endpoint {
        endpoints::Endpoint {
            addresses: vec![self.address.ip().to_string()],
            conditions: endpoints::Conditions {
                ready: self.state == State::Ready,
                serving: self.state != State::Down,
                terminating: self.state == State::Draining,
            },
            hostname: Some(self.name.clone()),
            zone: Some(self.failure_domain.clone()),
        }
    }
}
