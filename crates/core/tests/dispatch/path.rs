//! Detection of a lost path to all upstreams.

use std::collections::BTreeSet;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::fleet::{Fleet, Upstream};
use basilramp_core::dispatch::path::{self, Path, Transition};

fn fleet(upstreams: &[(&str, &str, &str)]) -> Fleet {
    let mut fleet = Fleet::default();
    for (index, (id, service, domain)) in upstreams.iter().enumerate() {
        let upstream = Upstream {
            id: (*id).into(),
            service: (*service).into(),
            address: ([127, 0, 0, 1], 1 + index as u16).into(),
            failure_domain: (*domain).into(),
            version: "v1".into(),
            slots: 8,
            is_draining: false,
            started_ms: 1,
        };
        fleet.observe(upstream, Time::ZERO);
    }
    fleet
}

/// All upstreams of one service may be down, or a failure domain of all of them.
#[test]
fn the_first_targets_cover_all_services_and_several_failure_domains() {
    let fleet = fleet(&[
        ("e1", "engine", "z1"),
        ("e2", "engine", "z1"),
        ("e3", "engine", "z2"),
        ("a1", "app", "z1"),
    ]);
    let mut first = BTreeSet::new();
    for draw in 0..50 {
        let targets = path::targets(&fleet, draw, Time::ZERO);
        let ids: Vec<_> = targets
            .iter()
            .map(|(key, _)| fleet.get(*key).unwrap().upstream.id.to_string())
            .collect();
        assert_eq!(ids.len(), 4);
        assert!(ids[..3].contains(&"a1".to_owned()), "{ids:?}");
        assert!(ids[..3].contains(&"e3".to_owned()), "{ids:?}");
        first.insert(ids[0].clone());
    }
    assert!(first.len() > 1, "{first:?}");
    assert!(path::targets(&Fleet::default(), 1, Time::ZERO).is_empty());
}

/// Some upstreams have crashed, perhaps most of them: a few targets could all be among these.
#[test]
fn many_upstreams_are_probed_before_the_path_counts_as_lost() {
    let names: Vec<_> = (0..100).map(|index| format!("e{index}")).collect();
    for (known, probed) in [(8, 8), (100, 16)] {
        let upstreams: Vec<_> = names[..known]
            .iter()
            .map(|name| (name.as_str(), "engine", "z1"))
            .collect();
        let targets = path::targets(&fleet(&upstreams), 7, Time::ZERO);
        let distinct: BTreeSet<_> = targets.iter().map(|(key, _)| *key).collect();
        assert_eq!(distinct.len(), probed);
    }
}

#[test]
fn upstreams_that_leave_are_no_targets() {
    let mut fleet = fleet(&[("e1", "engine", "z1"), ("e2", "engine", "z1")]);
    let later = Time::from_ms(10_000);
    fleet.remove("e1", Time::ZERO);
    let targets = path::targets(&fleet, 3, later);
    assert_eq!(targets.len(), 1);
}

/// Old connections live on while new ones are refused: signs on the old ones prove nothing.
#[test]
fn several_upstreams_in_a_row_without_a_connection_put_the_path_in_doubt() {
    let fleet = fleet(&[("e1", "engine", "z1"), ("e2", "engine", "z1")]);
    let keys: Vec<_> = fleet.iter().map(|(key, _)| key).collect();
    let mut path = Path::default();
    assert!(!path.record_unreached(keys[0], 5));
    assert!(!path.record_unreached(keys[0], 5), "the same upstream");
    assert!(path.record_unreached(keys[1], 5));
    path.record_connected(Time::from_ms(10));
    assert!(!path.record_unreached(keys[1], 5));
    // Without any sign, a single one is enough.
    assert!(path.record_unreached(keys[1], 1_000));
}

/// An instance with a request in some seconds does not check its path for each of them.
#[test]
fn silence_alone_is_doubtful_only_some_time_after_a_connection() {
    let mut path = Path::default();
    assert!(path.is_doubtful(5_000, Time::from_ms(5_000)));
    path.record_connected(Time::from_ms(5_000));
    assert!(!path.is_doubtful(250, Time::from_ms(5_250)));
    assert!(path.is_doubtful(1_200, Time::from_ms(6_200)));
    assert!(!path.is_doubtful(20, Time::from_ms(6_200)));
}

#[test]
fn a_loss_is_reported_once_and_ends_with_a_connection() {
    let mut path = Path::default();
    assert_eq!(path.record_loss(Time::from_ms(100)), Some(Transition::Lost));
    assert_eq!(path.record_loss(Time::from_ms(150)), None);
    assert!(path.is_lost());
    let restored = path.record_connected(Time::from_ms(700));
    assert_eq!(restored, Some(Transition::Restored(600)));
    assert_eq!(path.record_connected(Time::from_ms(800)), None);
    assert!(!path.is_lost());
}
