//! Requests during a shutdown.

use basilramp_core::clock::Time;
use basilramp_core::dispatch::shutdown::Shutdown;

fn at(ms: u64) -> Time {
    Time::from_ms(10_000 + ms)
}

#[test]
fn what_must_not_be_repeated_is_sent_only_if_it_ends_in_time() {
    let shutdown = Shutdown::begin(8_000, at(0));
    assert!(shutdown.may_send(at(5_000), false, at(1_000)));
    assert!(!shutdown.may_send(at(7_300), false, at(2_900)));
    assert!(shutdown.may_send(at(7_300), true, at(2_900)));
    assert!(!shutdown.may_send(at(9_000), true, at(7_250)));
}

#[test]
fn the_load_balancer_has_time_to_notice_and_responses_to_leave() {
    for stop_ms in [1, 11, 500, 2_000, 8_000, 60_000] {
        let shutdown = Shutdown::begin(stop_ms, at(0));
        assert!(shutdown.accept_until() <= shutdown.stay_until());
        assert!(shutdown.stay_until() <= shutdown.respond_by());
        assert!(shutdown.respond_by() <= shutdown.exit_at());
        assert!(shutdown.exit_at() <= at(stop_ms));
    }
    assert_eq!(Shutdown::begin(8_000, at(0)).accept_until(), at(3_000));
    assert_eq!(Shutdown::begin(60_000, at(0)).accept_until(), at(3_000));
}
