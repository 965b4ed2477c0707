//! Differences between two configurations.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::sync::Arc;

use super::Subject;
use crate::dispatch::account::{Account, Accounts, KeyDigest};
use crate::dispatch::config::{Config, Limits, Route, RouteKind, Service};

/// An entry that differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The entry.
    pub subject: Subject,
    /// How it differs.
    pub change: Change,
}

/// How an entry differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the newer configuration has it.
    Added,
    /// Only the older configuration has it.
    Removed,
    /// These fields differ.
    Changed(Vec<FieldChange>),
}

/// A field that differs. It has the name of the field in the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldChange {
    /// The value differs.
    Value {
        /// Name of the field.
        field: &'static str,
        /// The older value.
        before: String,
        /// The newer value.
        after: String,
    },
    /// The keys of an account differ. Only their numbers are told.
    Keys {
        /// Number of new keys.
        added: usize,
        /// Number of keys that no longer exist.
        removed: usize,
    },
}

/// An entry of a configuration that is compared by its fields.
trait Entry {
    /// Returns the names and values of the fields, always in the same order.
    fn fields(&self) -> Vec<(&'static str, String)>;
}

/// Returns the differences of `after` from `before`: routes, services, accounts, then limits, each
/// in the order of their names. Routes with the same name are compared in the order of the document.
#[must_use]
pub fn compare(before: &Config, after: &Config) -> Vec<Difference> {
    let route = |(name, _): &(Arc<str>, usize)| Subject::Route(Arc::clone(name));
    let mut differences = compare_maps(&routes(before), &routes(after), route);
    let service = |name: &Arc<str>| Subject::Service(Arc::clone(name));
    differences.extend(compare_maps(&before.services, &after.services, service));
    differences.extend(compare_accounts(before, after));
    let changes = changed_fields(&before.limits, &after.limits);
    differences.extend(changed(Subject::Limits, changes));
    differences
}

/// Returns the routes by their name and the number of earlier routes with that name.
fn routes(config: &Config) -> BTreeMap<(Arc<str>, usize), &Route> {
    let mut counts = BTreeMap::<&str, usize>::new();
    let routes = config.routes.iter().map(|route| {
        let count = counts.entry(&route.name).or_default();
        *count += 1;
        ((Arc::clone(&route.name), *count), route)
    });
    routes.collect()
}

fn compare_maps<K: Ord, E: Entry>(
    before: &BTreeMap<K, E>,
    after: &BTreeMap<K, E>,
    subject: impl Fn(&K) -> Subject,
) -> Vec<Difference> {
    let keys: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    let differences = keys.into_iter().filter_map(|key| {
        let change = match (before.get(key), after.get(key)) {
            (None, _) => Change::Added,
            (_, None) => Change::Removed,
            (Some(before), Some(after)) => {
                return changed(subject(key), changed_fields(before, after));
            }
        };
        Some(Difference {
            subject: subject(key),
            change,
        })
    });
    differences.collect()
}

fn changed(subject: Subject, fields: Vec<FieldChange>) -> Option<Difference> {
    let change = Change::Changed(fields);
    (change != Change::Changed(Vec::new())).then_some(Difference { subject, change })
}

fn changed_fields(before: &impl Entry, after: &impl Entry) -> Vec<FieldChange> {
    let pairs = before.fields().into_iter().zip(after.fields());
    let differing = pairs.filter(|((_, before), (_, after))| before != after);
    let changes = differing.map(|((field, before), (_, after))| FieldChange::Value {
        field,
        before,
        after,
    });
    changes.collect()
}

/// An account with the digests of its keys.
struct AccountKeys<'a> {
    account: &'a Account,
    keys: BTreeSet<KeyDigest>,
}

fn compare_accounts(before: &Config, after: &Config) -> Vec<Difference> {
    let (before, after) = (accounts(before), accounts(after));
    let subject = |name: &Arc<str>| Subject::Account(Arc::clone(name));
    let mut differences = compare_maps(&before, &after, subject);
    for (name, account) in &after {
        let Some(earlier) = before.get(name) else {
            continue;
        };
        let added = account.keys.difference(&earlier.keys).count();
        let removed = earlier.keys.difference(&account.keys).count();
        if added + removed == 0 {
            continue;
        }
        let keys = FieldChange::Keys { added, removed };
        let subject = subject(name);
        let known = differences
            .iter_mut()
            .find(|known| known.subject == subject);
        match known.map(|known| &mut known.change) {
            Some(Change::Changed(fields)) => fields.push(keys),
            _ => differences.extend(changed(subject, vec![keys])),
        }
    }
    differences.sort_by(|a, b| a.subject.cmp(&b.subject));
    differences
}

fn accounts(config: &Config) -> BTreeMap<Arc<str>, AccountKeys<'_>> {
    let Some(accounts) = &config.accounts else {
        return BTreeMap::new();
    };
    let mut keys = accounts.keys_by_account();
    let entries = Accounts::iter(accounts).map(|(account, _)| {
        let keys = keys.remove(&*account.name).unwrap_or_default();
        (Arc::clone(&account.name), AccountKeys { account, keys })
    });
    entries.collect()
}

fn text(value: impl Debug) -> String {
    format!("{value:?}")
}

impl Entry for &Route {
    fn fields(&self) -> Vec<(&'static str, String)> {
        let kind = match self.kind {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Stream | RouteKind::ResumableStream => "stream",
        };
        let resumable = self.kind == RouteKind::ResumableStream;
        let targets = self.targets.iter();
        let targets = targets.map(|(service, weight)| format!("{service}:{weight}"));
        let retention = self.retention_ms.map(|ms| ms as f64 / 1_000.0);
        vec![
            ("host", self.host.to_string()),
            ("prefix", self.prefix.to_string()),
            ("type", kind.to_owned()),
            ("resumable", text(resumable)),
            ("public", text(self.is_public)),
            ("split", targets.collect::<Vec<_>>().join(" ")),
            ("timeout_ms", text(self.timeout_ms)),
            ("slo_ms", text(self.latency_objective_ms)),
            ("priority", text(self.priority)),
            ("max_attempts", text(self.max_attempts)),
            ("gap_target_ms", text(self.max_event_gap_ms)),
            ("retained", text(retention.is_some())),
            ("retention_s", text(retention.unwrap_or_default())),
        ]
    }
}

impl Entry for Service {
    fn fields(&self) -> Vec<(&'static str, String)> {
        let engine = self.engine.as_ref();
        let (slots, capacity, tokens) = engine.map_or((0, 0, 0), |engine| {
            (
                engine.slots,
                engine.kv_capacity_tokens,
                engine.tokens_per_event,
            )
        });
        vec![
            ("engine", text(engine.is_some())),
            ("engine.slots", text(slots)),
            ("engine.kv_capacity", text(capacity)),
            ("engine.chunk_tokens", text(tokens)),
        ]
    }
}

impl Entry for AccountKeys<'_> {
    fn fields(&self) -> Vec<(&'static str, String)> {
        let priority = self.account.priority.map(text);
        let quota = self.account.quota;
        let rate = quota.map(|quota| quota.rate.milli_per_s() as f64 / 1_000.0);
        let burst = quota.map(|quota| quota.burst);
        vec![
            ("priority", priority.unwrap_or_else(|| "none".to_owned())),
            ("rate_per_s", text(rate.unwrap_or_default())),
            ("burst", text(burst.unwrap_or_default())),
        ]
    }
}

impl Entry for Limits {
    fn fields(&self) -> Vec<(&'static str, String)> {
        vec![
            ("max_header_bytes", text(self.max_header_bytes)),
            ("max_body_bytes", text(self.max_body_bytes)),
            ("idle_timeout_ms", text(self.idle_timeout_ms)),
        ]
    }
}
