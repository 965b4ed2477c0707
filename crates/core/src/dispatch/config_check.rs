//! Checks of a configuration that the product accepts: entries that can never match, limits that
//! contradict each other, and the differences from another version.
//!
//! A finding never rejects a configuration.

mod difference;
mod finding;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::account::{Account, Quota};
use super::config::{Config, Engine, Limits, Route};

pub use difference::{Change, Difference, FieldChange, compare};
pub use finding::{Finding, Problem, Severity, Subject};

/// The smallest number of requests of a program: with fewer it would be a single request.
const MIN_PROGRAM_REQUESTS: u64 = 2;

/// Checks a configuration. The findings are in the order of routes, services, accounts and limits.
#[must_use]
pub fn check(config: &Config) -> Vec<Finding> {
    let mut findings = check_routes(config);
    findings.extend(check_services(config));
    findings.extend(check_accounts(config));
    findings.extend(check_limits(config.limits));
    findings
}

/// Checks whether instances that run `active` apply `config`.
#[must_use]
pub fn check_version(config: &Config, active: &Config) -> Option<Finding> {
    let is_refused = config.version <= active.version && config != active;
    is_refused.then_some(Finding {
        subject: Subject::Document,
        problem: Problem::VersionNotNewer(active.version),
    })
}

fn check_routes(config: &Config) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut first_by_match = BTreeMap::<(String, &str), &Arc<str>>::new();
    let mut names = BTreeSet::new();
    for route in &config.routes {
        let mut problems = Vec::new();
        if !names.insert(&route.name) {
            problems.push(Problem::RepeatedRouteName);
        }
        let matched = (route.host.to_ascii_lowercase(), &*route.prefix);
        match first_by_match.get(&matched) {
            Some(first) => problems.push(Problem::ShadowedRoute(Arc::clone(first))),
            None => {
                first_by_match.insert(matched, &route.name);
            }
        }
        problems.extend(route_problems(route, config));
        findings.extend(problems.into_iter().map(|problem| Finding {
            subject: Subject::Route(Arc::clone(&route.name)),
            problem,
        }));
    }
    findings
}

fn route_problems(route: &Route, config: &Config) -> Vec<Problem> {
    let mut problems = Vec::new();
    if has_port(&route.host) {
        problems.push(Problem::HostWithPort);
    }
    if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
        problems.push(Problem::PrefixWithoutSlash(Arc::clone(&route.prefix)));
    }
    problems.extend(target_problems(route, config));
    problems.extend(time_problems(route));
    if !route.kind.is_idempotent() && route.max_attempts > 1 {
        problems.push(Problem::UnusedAttempts(route.max_attempts));
    }
    problems
}

/// Returns whether a host ends with a port. The last group of an IPv6 address is in brackets.
fn has_port(host: &str) -> bool {
    let port = host.rsplit_once(':').map(|(_, port)| port);
    port.is_some_and(|port| port.bytes().all(|byte| byte.is_ascii_digit()))
}

fn target_problems(route: &Route, config: &Config) -> Vec<Problem> {
    let has_target = route.targets.iter().any(|(_, weight)| *weight > 0);
    let mut problems = Vec::new();
    if !has_target {
        problems.push(Problem::NoTarget);
    }
    for (service, weight) in &route.targets {
        if has_target && *weight == 0 {
            problems.push(Problem::UnusedTarget(Arc::clone(service)));
        }
        if !config.services.contains_key(service) {
            problems.push(Problem::UnlistedService(Arc::clone(service)));
        }
    }
    problems
}

fn time_problems(route: &Route) -> Vec<Problem> {
    let timeout = route.timeout_ms;
    if timeout == 0 {
        return vec![Problem::NoTimeout];
    }
    let mut problems = Vec::new();
    if route.latency_objective_ms > timeout {
        let objective = route.latency_objective_ms;
        problems.push(Problem::ObjectiveAboveTimeout(objective, timeout));
    }
    if route.max_event_gap_ms > 0 && !route.kind.is_stream() {
        problems.push(Problem::GapWithoutStream);
    } else if route.max_event_gap_ms > timeout {
        problems.push(Problem::GapAboveTimeout(route.max_event_gap_ms, timeout));
    }
    if let Some(retention) = route.retention_ms.filter(|retention| *retention < timeout) {
        problems.push(Problem::RetentionBelowTimeout(retention, timeout));
    }
    problems
}

fn check_services(config: &Config) -> Vec<Finding> {
    let targets = config.routes.iter().flat_map(|route| &route.targets);
    let used: BTreeSet<&str> = targets.map(|(service, _)| &**service).collect();
    let mut findings = Vec::new();
    for (name, service) in &config.services {
        let subject = Subject::Service(Arc::clone(name));
        if !used.contains(&**name) {
            findings.push(Finding {
                subject: subject.clone(),
                problem: Problem::UnusedService,
            });
        }
        if service.engine.as_ref().is_some_and(is_without_capacity) {
            findings.push(Finding {
                subject,
                problem: Problem::EngineWithoutCapacity,
            });
        }
    }
    findings
}

const fn is_without_capacity(engine: &Engine) -> bool {
    engine.slots == 0 || engine.kv_capacity_tokens == 0
}

fn check_accounts(config: &Config) -> Vec<Finding> {
    let Some(accounts) = &config.accounts else {
        return Vec::new();
    };
    let mut findings = Vec::new();
    let mut routes = config.routes.iter();
    if !config.routes.is_empty() && routes.all(|route| route.is_public) {
        findings.push(Finding {
            subject: Subject::Document,
            problem: Problem::OnlyPublicRoutes,
        });
    }
    let span_ms = program_span_ms(&config.routes);
    for (account, keys) in accounts.iter() {
        let problems = account_problems(account, keys, span_ms);
        findings.extend(problems.into_iter().map(|problem| Finding {
            subject: Subject::Account(Arc::clone(&account.name)),
            problem,
        }));
    }
    findings
}

/// Returns the longest time that the smallest program of an account takes, in milliseconds: its
/// requests run one after the other, each for at most its timeout.
fn program_span_ms(routes: &[Route]) -> u64 {
    let counted = routes.iter().filter(|route| !route.is_public);
    let timeout_ms = counted.map(|route| route.timeout_ms).max();
    timeout_ms
        .unwrap_or_default()
        .saturating_mul(MIN_PROGRAM_REQUESTS)
}

fn account_problems(account: &Account, keys: usize, span_ms: u64) -> Vec<Problem> {
    let mut problems = Vec::new();
    if keys == 0 {
        problems.push(Problem::AccountWithoutKey);
    }
    if let Some(quota) = account.quota {
        let requests = requests_within(quota, span_ms);
        if span_ms > 0 && requests < MIN_PROGRAM_REQUESTS {
            problems.push(Problem::QuotaBelowProgram(requests, span_ms));
        }
    }
    problems
}

/// Returns how many requests a quota allows within a time in milliseconds.
const fn requests_within(quota: Quota, span_ms: u64) -> u64 {
    let sustained = quota.rate.milli_per_s().saturating_mul(span_ms) / 1_000_000;
    sustained.saturating_add(quota.burst as u64)
}

fn check_limits(limits: Limits) -> Vec<Finding> {
    let zero = [
        ("max_header_bytes", limits.max_header_bytes as u64),
        ("max_body_bytes", limits.max_body_bytes as u64),
        ("idle_timeout_ms", limits.idle_timeout_ms),
    ];
    let zero = zero.into_iter().filter(|(_, value)| *value == 0);
    let findings = zero.map(|(name, _)| Finding {
        subject: Subject::Limits,
        problem: Problem::ZeroLimit(name),
    });
    findings.collect()
}
