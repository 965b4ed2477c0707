//! Headers of requests that one instance relays to another, and the row by which instances find each
//! other.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use http::{HeaderMap, HeaderName, HeaderValue, header};
use serde::{Deserialize, Serialize};

/// Address of the caller.
const CALLER: HeaderName = HeaderName::from_static("relay-caller");

/// Number of upstreams that may still run the request.
const ATTEMPTS: HeaderName = HeaderName::from_static("relay-attempts");

/// Name of the client account that the relaying instance found for the caller's key.
const ACCOUNT: HeaderName = HeaderName::from_static("relay-account");

/// Digest of the caller's key.
const KEY: HeaderName = HeaderName::from_static("relay-key");

/// Version of the configuration in which the relaying instance found the key.
const VERSION: HeaderName = HeaderName::from_static("relay-version");

/// Names of the headers of the client account. A build without accounts removes the headers that
/// `Connection` names, and would forward others to upstreams.
const CLIENT_HEADERS: HeaderValue =
    HeaderValue::from_static("relay-account, relay-key, relay-version");

/// Version of the configuration that the request needs at least. In a response, the version that the
/// instance has.
const CONFIG: HeaderName = HeaderName::from_static("relay-config");

/// Present if the relaying instance may send the request to a further one that may run it again.
const REPEATABLE: HeaderName = HeaderName::from_static("relay-repeatable");

/// Number of upstreams that may have run the request.
const RAN: HeaderName = HeaderName::from_static("relay-ran");

/// Names of the headers of the basis, in a value of `Connection` of their own, so that earlier builds
/// find that of the client account unchanged.
const BASIS_HEADERS: HeaderValue =
    HeaderValue::from_static("relay-config, relay-repeatable, relay-ran");

/// Set in a response if the instance did not handle the request; holds the reason.
const DECLINED: HeaderName = HeaderName::from_static("relay-declined");

/// Set in a response if no upstream responded to the request, which may have run.
const UNSERVED: HeaderName = HeaderName::from_static("relay-unserved");

/// Set in a response if the upstream that sent it says that it leaves; names it.
const LEAVING: HeaderName = HeaderName::from_static("relay-leaving");

/// What a relaying instance adds to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Address of the caller.
    pub caller: IpAddr,
    /// Number of upstreams that may still run the request.
    pub attempts: u32,
    /// What the relaying instance's decisions about the request rest on. `None` if it runs a build that
    /// does not say so.
    pub basis: Option<Basis>,
    /// Client account, if callers need a key.
    pub client: Option<Client>,
}

/// What a relaying instance's decisions about a request rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Basis {
    /// Version of the configuration that the request needs at least.
    pub config_version: u64,
    /// Whether the relaying instance may send the request to a further one that may run it again.
    pub is_repeatable: bool,
    /// Number of upstreams that may have run the request.
    pub possibly_ran: u32,
}

impl Basis {
    fn insert_into(self, headers: &mut HeaderMap) {
        headers.insert(CONFIG, HeaderValue::from(self.config_version));
        if self.is_repeatable {
            headers.insert(REPEATABLE, HeaderValue::from_static("1"));
        }
        headers.insert(RAN, HeaderValue::from(self.possibly_ran));
        headers.append(header::CONNECTION, BASIS_HEADERS);
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        // Earlier builds pass a caller's headers on, but never its `Connection`.
        let mut named = headers.get_all(header::CONNECTION).iter();
        named.find(|names| **names == BASIS_HEADERS)?;
        let text = |name: &HeaderName| headers.get(name)?.to_str().ok();
        Some(Self {
            config_version: text(&CONFIG)?.parse().ok()?,
            is_repeatable: headers.contains_key(REPEATABLE),
            possibly_ran: text(&RAN)?.parse().ok()?,
        })
    }
}

/// Client account of a relayed request, whose key is not passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Client {
    /// Name of the account.
    pub account: Arc<str>,
    /// Digest of the key, as text.
    pub key: String,
    /// Version of the configuration that holds the key.
    pub version: u64,
}

impl Client {
    fn insert_into(&self, headers: &mut HeaderMap) {
        // The name fits into a header, or else the configuration would not be valid.
        if let (Ok(account), Ok(key)) = (
            HeaderValue::from_str(&self.account),
            HeaderValue::from_str(&self.key),
        ) {
            headers.insert(ACCOUNT, account);
            headers.insert(KEY, key);
            headers.insert(VERSION, HeaderValue::from(self.version));
            headers.insert(header::CONNECTION, CLIENT_HEADERS);
        }
    }

    fn read(headers: &HeaderMap) -> Option<Self> {
        // A build without accounts passes a caller's headers on, but never its `Connection`.
        headers
            .get(header::CONNECTION)
            .filter(|names| **names == CLIENT_HEADERS)?;
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        // A name may have characters beyond ASCII.
        let account = std::str::from_utf8(headers.get(ACCOUNT)?.as_bytes()).ok()?;
        Some(Self {
            account: account.into(),
            key: text(&KEY)?.to_owned(),
            version: text(&VERSION)?.parse().ok()?,
        })
    }
}

/// The headers of a relayed request are missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Request {
    /// Adds the headers to a request.
    pub fn insert_into(&self, headers: &mut HeaderMap) {
        // The text of an address is a valid header value.
        if let Ok(caller) = HeaderValue::from_str(&self.caller.to_string()) {
            headers.insert(CALLER, caller);
        }
        headers.insert(ATTEMPTS, HeaderValue::from(self.attempts));
        if let Some(client) = &self.client {
            client.insert_into(headers);
        }
        if let Some(basis) = self.basis {
            basis.insert_into(headers);
        }
    }
}

impl TryFrom<&HeaderMap> for Request {
    type Error = Malformed;

    fn try_from(headers: &HeaderMap) -> Result<Self, Malformed> {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let caller = text(&CALLER).and_then(|text| text.parse().ok());
        let attempts = text(&ATTEMPTS).and_then(|text| text.parse().ok());
        Ok(Self {
            caller: caller.ok_or(Malformed)?,
            attempts: attempts.ok_or(Malformed)?,
            basis: Basis::read(headers),
            client: Client::read(headers),
        })
    }
}

/// Why an instance does not handle a relayed request. Nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decline {
    /// The instance has lost its path to the upstreams too.
    NoPath,
    /// The instance is stopping.
    Stopping,
    /// The instance has no configuration yet, or does not reach the store.
    NotReady,
    /// The instance has an older configuration than the request needs, and can't get a newer one.
    Outdated,
    /// The relaying instance may repeat the request, and must not according to the newer configuration
    /// of this one.
    Superseded,
}

impl Decline {
    const ALL: [Self; 5] = [
        Self::NoPath,
        Self::Stopping,
        Self::NotReady,
        Self::Outdated,
        Self::Superseded,
    ];

    /// Returns the text of the reason.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::NoPath => "no path",
            Self::Stopping => "stopping",
            Self::NotReady => "not ready",
            Self::Outdated => "outdated",
            Self::Superseded => "superseded",
        }
    }

    /// Adds the header to a response.
    pub fn insert_into(self, headers: &mut HeaderMap) {
        headers.insert(DECLINED, HeaderValue::from_static(self.label()));
    }
}

/// Returns why the instance that responded did not handle the request, or `None` if it did.
#[must_use]
pub fn decline_reason(headers: &HeaderMap) -> Option<Decline> {
    let label = headers.get(DECLINED)?.as_bytes();
    let mut reasons = Decline::ALL.into_iter();
    let known = reasons.find(|reason| reason.label().as_bytes() == label);
    Some(known.unwrap_or(Decline::Stopping))
}

/// Adds the version of the configuration that the responding instance has.
pub fn insert_config_version(headers: &mut HeaderMap, version: u64) {
    headers.insert(CONFIG, HeaderValue::from(version));
}

/// Returns the version of the configuration that the responding instance has, if it says so.
#[must_use]
pub fn config_version(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONFIG)?.to_str().ok()?.parse().ok()
}

/// Marks a response to a request to which no upstream responded.
pub fn mark_unserved(headers: &mut HeaderMap) {
    headers.insert(UNSERVED, HeaderValue::from_static("1"));
}

/// Returns whether no upstream responded to the request, which may have run.
#[must_use]
pub fn is_unserved(headers: &HeaderMap) -> bool {
    headers.contains_key(UNSERVED)
}

/// The upstream that sent a relayed response, and says in it that it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// Id of the upstream.
    pub upstream: Arc<str>,
    /// Start time of its present incarnation.
    pub started_ms: u64,
}

impl Leaving {
    /// Adds the header to a response.
    pub fn insert_into(&self, headers: &mut HeaderMap) {
        // An id that fits in no header gets no requests.
        if let Ok(value) = HeaderValue::from_str(&format!("{} {}", self.started_ms, self.upstream))
        {
            headers.insert(LEAVING, value);
        }
    }

    /// Reads the header of a response, if there is a valid one.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let (started_ms, upstream) = headers.get(LEAVING)?.to_str().ok()?.split_once(' ')?;
        Some(Self {
            upstream: upstream.into(),
            started_ms: started_ms.parse().ok()?,
        })
    }
}

/// Removes the headers of relayed requests and their responses.
pub fn remove_headers(headers: &mut HeaderMap) {
    for name in [
        CALLER, ATTEMPTS, ACCOUNT, KEY, VERSION, CONFIG, REPEATABLE, RAN, DECLINED, UNSERVED,
        LEAVING,
    ] {
        headers.remove(name);
    }
}

/// Row of an instance, under its id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Address for other instances.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Fingerprint of its certificate.
    pub certificate: String,
    /// Time of the latest write by the store's clock, in milliseconds.
    pub renewed_ms: u64,
}
