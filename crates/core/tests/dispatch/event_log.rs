//! Events of a stream that is taken up.

use basilramp_core::dispatch::event_log::EventLog;

fn log(ids: &[Option<u64>]) -> EventLog {
    let mut log = EventLog::begin(1);
    for (index, id) in ids.iter().enumerate() {
        log.push(*id, format!("data {index}").as_bytes());
    }
    log
}

#[test]
fn a_taken_up_log_ends_with_the_callers_last_event() {
    let log = log(&[Some(1), None, Some(3), Some(4)]);
    let taken_up = log.clone().take_up(2, 3).unwrap();
    assert_eq!(taken_up.owner, 2);
    assert_eq!(taken_up.events, log.events[..3]);
    assert!(log.clone().take_up(2, 0).unwrap().events.is_empty());
}

/// What is not known as a whole must not be stored as a whole.
#[test]
fn a_log_without_the_callers_last_event_is_not_taken_up() {
    let log = log(&[Some(1), Some(2)]);
    assert_eq!(log.clone().take_up(2, 3), None);
    assert_eq!(EventLog::begin(1).take_up(2, 1), None);
}
