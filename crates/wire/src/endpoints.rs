//! The platform's list of live and leaving endpoints.
//!
//! The body is a subset of Kubernetes `discovery.k8s.io/v1` `EndpointSliceList`.
//! The list lags behind.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Label on a slice that tells what its endpoints are: `instance`, `engine` or `service`.
pub const ROLE_LABEL: &str = "basilramp.io/role";

/// Label on a slice of plain services that names the service path's host group.
pub const GROUP_LABEL: &str = "basilramp.io/group";

/// Label on a slice that names the place of its endpoints.
pub const PLACE_LABEL: &str = "basilramp.io/place";

/// Answer to `GET /apis/discovery.k8s.io/v1/endpointslices`.
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
    /// The ports that every endpoint of the slice listens on.
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
    /// IP numbers.
    pub addresses: Vec<String>,
    /// Whether it is ready, serving, leaving.
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
    /// Takes new work.
    #[serde(default)]
    pub ready: bool,
    /// Answers, though it may be leaving.
    #[serde(default)]
    pub serving: bool,
    /// Is leaving.
    #[serde(default)]
    pub terminating: bool,
}
