//! Route selection by host and longest prefix, and splits by weight.

use std::collections::BTreeMap;

use basilramp_core::dispatch::config::{Config, Limits, Route, RouteKind};
use basilramp_core::dispatch::route::{RouteTable, select_service};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        is_public: false,
        targets: vec![("app".into(), 90), ("next".into(), 10)],
        timeout_ms: 1_000,
        latency_objective_ms: 100,
        priority: 1,
        max_attempts: 2,
        max_event_gap_ms: 0,
        retention_ms: None,
    }
}

fn table() -> RouteTable {
    RouteTable::new(Config {
        version: 1,
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/"),
        ],
        services: BTreeMap::new(),
        limits: Limits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            idle_timeout_ms: 1,
        },
        accounts: None,
    })
}

#[test]
fn longest_matching_prefix_is_selected() {
    let table = table();
    let name = |host, path| table.select(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x/yz").as_deref(), Some("short"));
    assert_eq!(name("A.EXAMPLE:80", "/x/").as_deref(), Some("short"));
    assert_eq!(name("b.example", "/x/y/z").as_deref(), Some("other"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn split_maps_each_key_to_one_service_by_weight() {
    let route = route("split", "a.example", "/x/");
    let subjects: Vec<_> = (0..2_000).map(|index| format!("p{index}")).collect();
    let chosen = |split_key: &String| select_service(&route, split_key).unwrap().to_string();
    let first = subjects
        .iter()
        .filter(|split_key| chosen(split_key) == "app")
        .count();
    assert!((1_700..=1_900).contains(&first), "{first}");
    assert!(
        subjects
            .iter()
            .all(|split_key| chosen(split_key) == chosen(split_key))
    );
}

#[test]
fn route_with_zero_total_weight_has_no_service() {
    let none = Route {
        targets: vec![("app".into(), 0)],
        ..route("none", "a", "/")
    };
    assert_eq!(select_service(&none, "p1"), None);
}
