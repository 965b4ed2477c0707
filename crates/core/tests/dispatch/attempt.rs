//! Retry decisions after failed attempts.

use basilramp_core::dispatch::attempt::{Attempts, Decision, Failure};
use basilramp_core::dispatch::config::RouteKind;
use basilramp_core::dispatch::request::Rejection;

const KINDS: [RouteKind; 4] = [
    RouteKind::Safe,
    RouteKind::Unsafe,
    RouteKind::Stream,
    RouteKind::ResumableStream,
];

const FAILURES: [Failure; 4] = [
    Failure::NotSent,
    Failure::NotRun,
    Failure::OtherUpstream,
    Failure::Unknown,
];

fn decide_after(failures: &[Failure], kind: RouteKind) -> Decision {
    let mut attempts = Attempts::default();
    for failure in failures {
        attempts.record(*failure);
    }
    attempts.decide(kind, 2, 1_000, 250)
}

#[test]
fn possibly_executed_request_is_retried_only_if_idempotent() {
    for kind in KINDS {
        for first in FAILURES {
            let next = decide_after(&[first, Failure::Unknown], kind);
            let is_first_run = first.did_not_run();
            let is_repeated = next == Decision::Retry;
            assert_eq!(
                is_repeated,
                is_first_run && kind.is_idempotent(),
                "{kind:?} {first:?}"
            );
        }
    }
}

#[test]
fn not_run_is_reported_only_if_no_upstream_may_have_run_it() {
    for kind in KINDS {
        for first in FAILURES {
            for second in FAILURES {
                let mut attempts = Attempts::default();
                attempts.record(first);
                attempts.record(second);
                let may_have_run = !(first.did_not_run() && second.did_not_run());
                let rejection = attempts.rejection(250);
                assert_eq!(
                    rejection == Rejection::NotRun(250),
                    !may_have_run,
                    "{kind:?}"
                );
            }
        }
    }
}

#[test]
fn retries_stop_after_four_not_run_responses() {
    assert_eq!(
        decide_after(&[Failure::NotRun; 3], RouteKind::Unsafe),
        Decision::Retry
    );
    let rejected = Decision::Reject(Rejection::NotRun(250));
    assert_eq!(
        decide_after(&[Failure::NotRun; 4], RouteKind::Unsafe),
        rejected
    );
}

#[test]
fn no_retry_when_less_than_the_minimum_time_remains() {
    let mut attempts = Attempts::default();
    attempts.record(Failure::NotSent);
    let next = attempts.decide(RouteKind::Safe, 2, 5, 250);
    assert_eq!(next, Decision::Reject(Rejection::NotRun(250)));
}
