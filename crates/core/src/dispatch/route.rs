//! Selection of the route and service of a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::config::{Config, Route, RouteKind};

/// Index of a route in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteIndex(usize);

/// Lookup table of the routes in a configuration.
#[derive(Debug)]
pub struct RouteTable {
    config: Config,
    /// Routes by host, longest prefix first.
    hosts: BTreeMap<Arc<str>, Vec<RouteIndex>>,
}

impl RouteTable {
    /// Builds the table from a configuration.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let mut hosts = BTreeMap::<_, Vec<_>>::new();
        for (index, route) in config.routes.iter().enumerate() {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().push(RouteIndex(index));
        }
        for keys in hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(config.routes[key.0].prefix.len()));
        }
        Self { config, hosts }
    }

    /// Returns the configuration of this table.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the longest timeout of the routes of a service whose streams can be resumed, in
    /// milliseconds. Returns `None` if there is no such route.
    #[must_use]
    pub fn resumable_timeout_ms(&self, service: &str) -> Option<u64> {
        let routes = self.config.routes.iter();
        let resumable = routes.filter(|route| {
            let mut targets = route.targets.iter();
            route.kind == RouteKind::ResumableStream && targets.any(|(name, _)| **name == *service)
        });
        resumable.map(|route| route.timeout_ms).max()
    }

    /// Returns whether callers of a route need a key.
    #[must_use]
    pub fn needs_key(&self, route: &Route) -> bool {
        self.config.accounts.is_some() && !route.is_public
    }

    /// Returns whether callers need a key on a route on which they needed none in an earlier configuration,
    /// or the other way round.
    #[must_use]
    pub fn changes_need_of_keys(&self, earlier: &Self) -> bool {
        self.config.routes.iter().any(|route| {
            let before = earlier.select(&route.host, &route.prefix);
            before.is_some_and(|before| earlier.needs_key(before) != self.needs_key(route))
        })
    }

    /// Returns the longest time for which the turns of a route can be continued, in milliseconds.
    #[must_use]
    pub fn longest_retention_ms(&self) -> u64 {
        let routes = self.config.routes.iter();
        routes
            .filter_map(|route| route.retention_ms)
            .max()
            .unwrap_or_default()
    }

    /// Returns the route of the host with the longest prefix of the path. A port in `host` is
    /// ignored.
    #[must_use]
    pub fn select(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let keys = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        let mut routes = keys.iter().map(|key| &self.config.routes[key.0]);
        routes.find(|route| path.starts_with(&*route.prefix))
    }
}

/// Selects a target service by weight. The same `split_key` always selects the same service.
/// Returns `None` if all weights are zero.
#[must_use]
pub fn select_service<'a>(route: &'a Route, split_key: &str) -> Option<&'a Arc<str>> {
    let total: u64 = route
        .targets
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum();
    if total == 0 {
        return None;
    }
    let mut point = xxh3_64(split_key.as_bytes()) % total;
    for (service, weight) in &route.targets {
        match point.checked_sub(u64::from(*weight)) {
            None => return Some(service),
            Some(rest) => point = rest,
        }
    }
    None
}
