//! Entries of the endpoint list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use basilramp_wire::endpoints;

/// What an entry is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// An instance of the daemon.
    Instance,
    /// A model engine.
    Engine,
    /// A plain service.
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

/// The state of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes no new work.
    Draining,
    /// Does not answer.
    Down,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name, unique in the list.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// The place that it stands at; empty for instances.
    pub place: String,
    /// The group of a plain service; empty for others.
    pub group: String,
    /// Its state.
    pub state: State,
}

impl Entry {
    /// Returns the slice that holds this entry alone.
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
