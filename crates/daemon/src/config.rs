//! The configuration in force, and changes to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use basilramp_core::id;
use basilramp_wire::config::{Change, Limit, Place, Plan, Service};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::operator::Logged;

/// The configuration at one version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Config {
    /// The version; zero before the first change.
    pub(crate) version: u64,
    /// The services by name.
    pub(crate) services: BTreeMap<id::Service, Service>,
    /// The places by name.
    pub(crate) places: BTreeMap<Arc<str>, Place>,
    /// The plans by name.
    pub(crate) plans: BTreeMap<Arc<str>, Plan>,
    /// The limits by account.
    pub(crate) limits: BTreeMap<id::Account, Limit>,
}

/// Answers questions about the configuration, and changes it.
#[derive(Clone, Debug)]
pub(crate) struct Handle;

impl Handle {
    /// Returns the configuration in force here.
    pub(crate) fn current(&self) -> Arc<Config> {
        Arc::default()
    }

    /// Commits a change and returns the new version.
    pub(crate) async fn apply(&self, _operator: &str, _change: Change) -> Result<u64, Error> {
        Err(Error::new(Kind::StoreUnavailable, "not built yet"))
    }

    /// Reads the changes after a version from the store.
    pub(crate) async fn log(&self, _after: u64) -> Result<Vec<Logged>, Error> {
        Ok(Vec::new())
    }

    /// Notes that `version` is in force somewhere; it is fetched at once.
    pub(crate) fn hint(&self, _version: u64) {}
}
