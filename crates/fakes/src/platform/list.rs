//! Entries of the endpoint list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use basilramp_wire::list;

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
    Leaving,
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
    pub(crate) fn slice(&self) -> list::Slice {
        let mut labels = BTreeMap::new();
        labels.insert(list::ROLE_LABEL.to_owned(), self.role.label().to_owned());
        if !self.place.is_empty() {
            labels.insert(list::PLACE_LABEL.to_owned(), self.place.clone());
        }
        if !self.group.is_empty() {
            labels.insert(list::GROUP_LABEL.to_owned(), self.group.clone());
        }
        let port = list::Port {
            name: self.role.label().to_owned(),
            port: self.address.port(),
        };
        list::Slice {
            metadata: list::Metadata {
                name: format!("{}-slice", self.name),
                labels,
            },
            ports: vec![port],
            endpoints: vec![self.endpoint()],
        }
    }

    fn endpoint(&self) -> list::Endpoint {
        list::Endpoint {
            addresses: vec![self.address.ip().to_string()],
            conditions: list::Conditions {
                ready: self.state == State::Ready,
                serving: self.state != State::Down,
                terminating: self.state == State::Leaving,
            },
            hostname: Some(self.name.clone()),
            zone: Some(self.failure_domain.clone()),
        }
    }
}
