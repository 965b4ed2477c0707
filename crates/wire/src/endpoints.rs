//! The platform's list of live and draining endpoints.
//!
//! The body is a subset of Kubernetes `discovery.k8s.io/v1` `EndpointSliceList`.
//! The list may be outdated.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Label of a slice with the role of its endpoints: `instance`, `engine` or `service`.
pub const ROLE_LABEL: &str = "basilramp.io/role";

/// Label of a slice of plain services with the host group in the service's path.
pub const GROUP_LABEL: &str = "basilramp.io/group";

/// Label of a slice with the place of its endpoints.
pub const PLACE_LABEL: &str = "basilramp.io/place";

/// Response to `GET /apis/discovery.k8s.io/v1/endpointslices`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSliceList {
    /// The slices.
    pub items: Vec<EndpointSlice>,
}

/// Endpoints of one role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSlice {
    /// Name and labels.
    pub metadata: Metadata,
    /// Ports that all endpoints of the slice listen on.
    pub ports: Vec<Port>,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// Name and labels of a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Metadata {
    /// The slice's name.
    pub name: String,
    /// The slice's labels.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}

/// A port of a slice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Port {
    /// The port's name.
    #[serde(default)]
    pub name: String,
    /// The port's number.
    pub port: u16,
}

/// One endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// IP addresses.
    pub addresses: Vec<String>,
    /// State of the endpoint.
    #[serde(default)]
    pub conditions: Conditions,
    /// The endpoint's name.
    #[serde(default)]
    pub hostname: Option<String>,
    /// The failure domain.
    #[serde(default)]
    pub zone: Option<String>,
}

/// State of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conditions {
    /// Accepts new requests.
    #[serde(default)]
    pub ready: bool,
    /// Responds to requests; it may be draining.
    #[serde(default)]
    pub serving: bool,
    /// Is draining.
    #[serde(default)]
    pub terminating: bool,
}
