//! Findings of a configuration check, and differences between two versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use basilramp_core::dispatch::account::{Account, Accounts, Entry, KeyDigest, Quota};
use basilramp_core::dispatch::config::{Config, Engine, Limits, Route, RouteKind, Service};
use basilramp_core::dispatch::config_check::{
    Change, FieldChange, Problem, Severity, Subject, check, check_version, compare,
};
use basilramp_core::dispatch::rate_limit::Rate;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        is_public: false,
        targets: vec![("app".into(), 1)],
        timeout_ms: 1_000,
        latency_objective_ms: 100,
        priority: 1,
        max_attempts: 2,
        max_event_gap_ms: 0,
        retention_ms: None,
    }
}

fn account(name: &str, quota: Option<(u64, u32)>, keys: &[&str]) -> Entry {
    let quota = quota.map(|(milli_per_s, burst)| Quota {
        rate: Rate::from_milli_per_s(milli_per_s),
        burst,
    });
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
    Entry {
        account: Account::new(name.into(), None, quota),
        keys: keys.collect(),
    }
}

fn config() -> Config {
    Config {
        version: 7,
        routes: vec![route("x", "/x/"), route("y", "/x/y/")],
        services: BTreeMap::from([("app".into(), Service { engine: None })]),
        limits: Limits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
        accounts: None,
    }
}

fn with_accounts(entries: Vec<Entry>) -> Config {
    Config {
        accounts: Some(Accounts::new(entries).unwrap()),
        ..config()
    }
}

/// Returns the findings as pairs of the entry and the problem.
fn findings(config: &Config) -> Vec<(String, Problem)> {
    let findings = check(config).into_iter();
    let pairs = findings.map(|finding| (finding.subject.to_string(), finding.problem));
    pairs.collect()
}

/// Checks the problems of the first route after a change of it.
#[track_caller]
fn assert_route_problems(change: impl FnOnce(&mut Route), expected: &[Problem]) {
    let mut config = config();
    change(&mut config.routes[0]);
    let expected = expected.iter().cloned();
    let expected: Vec<_> = expected
        .map(|problem| ("route x".to_owned(), problem))
        .collect();
    assert_eq!(findings(&config), expected);
}

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(findings(&config()), []);
    let accounts = vec![
        account("unlimited", None, &["k1"]),
        account("quota", Some((1_000, 0)), &["k2"]),
        account("burst", Some((1, 2)), &["k3"]),
    ];
    assert_eq!(findings(&with_accounts(accounts)), []);
}

/// A route with the host and prefix of an earlier one never gets a request; a longer prefix does.
#[test]
fn routes_that_never_match_are_found() {
    let mut config = config();
    let mut shadowed = route("z", "/x/");
    shadowed.host = "A.Example".into();
    config.routes.push(shadowed);
    let problem = Problem::ShadowedRoute("x".into());
    assert_eq!(findings(&config), [("route z".to_owned(), problem)]);
    assert_route_problems(
        |route| route.host = "a.example:8080".into(),
        &[Problem::HostWithPort],
    );
    assert_route_problems(|route| route.host = "[::1]".into(), &[]);
    assert_route_problems(
        |route| route.prefix = "x/".into(),
        &[Problem::PrefixWithoutSlash("x/".into())],
    );
    assert_route_problems(|route| route.prefix = "".into(), &[]);
}

#[test]
fn repeated_route_names_are_found() {
    let mut config = config();
    config.routes.push(route("x", "/z/"));
    assert_eq!(
        findings(&config),
        [("route x".to_owned(), Problem::RepeatedRouteName)]
    );
}

#[test]
fn services_without_requests_and_targets_without_a_service_are_found() {
    let mut config = config();
    let service = Service {
        engine: Some(Engine {
            slots: 0,
            kv_capacity_tokens: 9,
            tokens_per_event: 1,
        }),
    };
    config.services.insert("idle".into(), service);
    let idle = || "service idle".to_owned();
    assert_eq!(
        findings(&config),
        [
            (idle(), Problem::UnusedService),
            (idle(), Problem::EngineWithoutCapacity),
        ]
    );
    assert_route_problems(
        |route| route.targets = vec![("app".into(), 1), ("gone".into(), 0)],
        &[
            Problem::UnusedTarget("gone".into()),
            Problem::UnlistedService("gone".into()),
        ],
    );
    assert_route_problems(
        |route| route.targets = vec![("app".into(), 0)],
        &[Problem::NoTarget],
    );
    assert_route_problems(|route| route.targets.clear(), &[Problem::NoTarget]);
}

#[test]
fn times_that_contradict_each_other_are_found() {
    assert_route_problems(
        |route| route.latency_objective_ms = 1_001,
        &[Problem::ObjectiveAboveTimeout(1_001, 1_000)],
    );
    assert_route_problems(|route| route.latency_objective_ms = 1_000, &[]);
    assert_route_problems(
        |route| route.retention_ms = Some(999),
        &[Problem::RetentionBelowTimeout(999, 1_000)],
    );
    assert_route_problems(|route| route.retention_ms = Some(1_000), &[]);
    assert_route_problems(
        |route| route.max_event_gap_ms = 10,
        &[Problem::GapWithoutStream],
    );
    assert_route_problems(
        |route| {
            route.kind = RouteKind::ResumableStream;
            route.max_event_gap_ms = 1_001;
        },
        &[Problem::GapAboveTimeout(1_001, 1_000)],
    );
    assert_route_problems(|route| route.timeout_ms = 0, &[Problem::NoTimeout]);
}

/// A request that may have run is repeated only if it is idempotent.
#[test]
fn attempts_without_effect_are_found() {
    for kind in [RouteKind::Unsafe, RouteKind::Stream] {
        assert_route_problems(|route| route.kind = kind, &[Problem::UnusedAttempts(2)]);
    }
    assert_route_problems(|route| route.kind = RouteKind::ResumableStream, &[]);
    assert_route_problems(
        |route| {
            route.kind = RouteKind::Unsafe;
            route.max_attempts = 1;
        },
        &[],
    );
}

#[test]
fn accounts_without_keys_and_quotas_below_a_program_are_found() {
    let config = with_accounts(vec![
        account("idle", None, &[]),
        // Two requests of at most one second each, at one request in ten seconds.
        account("small", Some((100, 1)), &["k"]),
    ]);
    assert_eq!(
        findings(&config),
        [
            ("account idle".to_owned(), Problem::AccountWithoutKey),
            (
                "account small".to_owned(),
                Problem::QuotaBelowProgram(1, 2_000)
            ),
        ]
    );
}

#[test]
fn accounts_without_effect_are_found() {
    let mut config = with_accounts(vec![account("a", None, &["k"])]);
    for route in &mut config.routes {
        route.is_public = true;
    }
    assert_eq!(
        findings(&config),
        [("document".to_owned(), Problem::OnlyPublicRoutes)]
    );
}

#[test]
fn limits_of_zero_are_found() {
    let mut config = config();
    config.limits.max_body_bytes = 0;
    assert_eq!(
        findings(&config),
        [("limits".to_owned(), Problem::ZeroLimit("max_body_bytes"))]
    );
}

#[test]
fn only_what_rejects_every_request_or_is_never_applied_is_an_error() {
    assert_eq!(Problem::NoTimeout.severity(), Severity::Error);
    assert_eq!(Problem::NoTarget.severity(), Severity::Error);
    assert_eq!(Problem::VersionNotNewer(7).severity(), Severity::Error);
    assert_eq!(Problem::UnusedService.severity(), Severity::Warning);
    let zero = Problem::ZeroLimit("max_header_bytes");
    assert_eq!(zero.severity(), Severity::Warning);
    assert_eq!(
        Problem::ShadowedRoute("a".into()).severity(),
        Severity::Warning
    );
}

/// An instance never replaces a version by one that is not newer.
#[test]
fn a_version_that_is_not_newer_is_found() {
    let active = config();
    assert_eq!(check_version(&active.clone(), &active), None);
    let mut changed = active.clone();
    changed.routes.pop();
    let finding = check_version(&changed, &active).unwrap();
    assert_eq!(finding.problem, Problem::VersionNotNewer(7));
    changed.version = 8;
    assert_eq!(check_version(&changed, &active), None);
}

#[test]
fn differences_name_the_changed_fields() {
    let before = with_accounts(vec![
        account("gone", None, &["k1"]),
        account("kept", Some((1_500, 3)), &["k2", "k3"]),
        account("same", None, &["k4"]),
    ]);
    let mut after = with_accounts(vec![
        account("kept", Some((1_500, 4)), &["k3", "k5", "k6"]),
        account("new", None, &["k1"]),
        account("same", None, &["k4"]),
    ]);
    after.version = 8;
    after.routes[1].timeout_ms = 2_000;
    after.routes[1].kind = RouteKind::ResumableStream;
    after.routes.swap(0, 1);
    after.limits.max_body_bytes = 2;
    let value = |field, before: &str, after: &str| FieldChange::Value {
        field,
        before: before.to_owned(),
        after: after.to_owned(),
    };
    let name = |text: &str| -> Arc<str> { text.into() };
    let expected = [
        (
            Subject::Route(name("y")),
            Change::Changed(vec![
                value("type", "safe", "stream"),
                value("resumable", "false", "true"),
                value("timeout_ms", "1000", "2000"),
            ]),
        ),
        (Subject::Account(name("gone")), Change::Removed),
        (
            Subject::Account(name("kept")),
            Change::Changed(vec![
                value("burst", "3", "4"),
                FieldChange::Keys {
                    added: 2,
                    removed: 1,
                },
            ]),
        ),
        (Subject::Account(name("new")), Change::Added),
        (
            Subject::Limits,
            Change::Changed(vec![value("max_body_bytes", "1", "2")]),
        ),
    ];
    let differences = compare(&before, &after).into_iter();
    let differences: Vec<_> = differences
        .map(|difference| (difference.subject, difference.change))
        .collect();
    assert_eq!(differences, expected);
    assert_eq!(compare(&after, &after), []);
}

/// New keys alone are a difference of the account.
#[test]
fn differences_count_keys() {
    let before = with_accounts(vec![account("a", None, &["k1"])]);
    let after = with_accounts(vec![account("a", None, &["k2"])]);
    let differences = compare(&before, &after);
    let keys = FieldChange::Keys {
        added: 1,
        removed: 1,
    };
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].change, Change::Changed(vec![keys]));
}
