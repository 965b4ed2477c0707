//! Rate limits of upstreams: shares them with the other instances, and takes a permit for each
//! request to a limited upstream.

use std::sync::Arc;

use basilramp_adapter::store::{Client, Error, Page, PartitionKey, Row, Transaction};
use basilramp_adapter::upstream::{self, ResponseClass};
use basilramp_core::clock::Time;
use basilramp_core::dispatch::placement::Placement;
use basilramp_core::dispatch::rate_limit::{Announcement, Rate, RequestClass, Schedule};
use basilramp_process::event;
use http::response;

use crate::active_request::ActiveRequest;
use crate::feed;
use crate::log_event::Event;
use crate::metric::PermitOutcome;
use crate::state::{State, StoreCall, partition_key};

/// Table of the limits; the row key is the upstream's id. It has one partition, as it changes
/// rarely.
pub(crate) const LIMIT_TABLE: &str = "limit";

const LIMIT_PARTITION: PartitionKey<'static> = PartitionKey {
    table: LIMIT_TABLE,
    partition: "",
};

/// Table of the schedules; the row key is the upstream's id.
const SCHEDULE_TABLE: &str = "schedule";

/// Time limit for sharing a limit or taking a permit, in milliseconds. An older permit may no longer
/// fit the schedule.
const CALL_TIMEOUT_MS: u64 = 800;

/// Maximum number of writes for one permit. Further conflicts mean that the other instances leave no
/// permit.
const MAX_PERMIT_WRITES: u32 = 2;

/// Time after a failed store call until another permit is tried, in milliseconds.
const FAILURE_BACKOFF_MS: u64 = 150;

/// Where a change of a limit was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// In a response of the upstream.
    Response,
    /// In the row that another instance wrote.
    Row,
}

impl Source {
    const fn label(self) -> &'static str {
        match self {
            Self::Response => "response",
            Self::Row => "row",
        }
    }
}

/// Records the rate limit that a response names, and shares it if it is new.
pub(crate) fn observe(
    state: &Arc<State>,
    upstream: &Arc<str>,
    class: ResponseClass,
    head: &response::Parts,
    sent_at: Time,
) {
    let announcement = match (class, upstream::parse_rate_limit(head)) {
        // An error may come from a part of the upstream that does not know the limit.
        (_, Announcement::Unlimited) if !head.status.is_success() => return,
        (ResponseClass::Matching | ResponseClass::NotRun, announcement) => announcement,
        (ResponseClass::OtherUpstream | ResponseClass::Mismatched, _) => return,
    };
    let now = state.now();
    let is_changed = {
        let mut fleet = state.fleet();
        let limits = fleet.rate_limits_mut();
        limits.observe(upstream, announcement, sent_at, now)
    };
    match announcement {
        Announcement::Unlimited | Announcement::Limited(_) if !is_changed => {}
        announcement => log_announcement(state, upstream, Source::Response, announcement),
    }
    share(state, upstream);
}

/// Writes a limit to its row if the other instances do not know it yet.
fn share(state: &Arc<State>, upstream: &Arc<str>) {
    let now = state.now();
    let change = state
        .fleet()
        .rate_limits_mut()
        .unshared_change(upstream, now);
    let Some(change) = change else {
        return;
    };
    let state = Arc::clone(state);
    let upstream = Arc::clone(upstream);
    tokio::spawn(async move {
        let transaction =
            Transaction::default().require_version(LIMIT_PARTITION, &upstream, change.version);
        let transaction = match change.rate {
            Some(rate) => {
                transaction.write(LIMIT_PARTITION, &upstream, &encode(rate.milli_per_s()))
            }
            None => transaction.remove(LIMIT_PARTITION, &upstream),
        };
        // The partition has the name of the watched tables' one, whose health is another matter.
        match commit(&state, LIMIT_TABLE, &transaction).await {
            Ok(version) => {
                record_row(&state, &upstream, change.rate, version);
                if change.rate.is_none() {
                    remove_schedule(&state, &upstream).await;
                }
            }
            Err(Error::Conflict(page)) => {
                let row = page.rows.iter().find(|row| row.key == upstream);
                match row {
                    Some(row) => apply_row(&state, row),
                    None => record_row(&state, &upstream, None, page.version),
                }
            }
            // The next response tries again.
            Err(error) => log_failure(&state, &upstream, "share", &error),
        }
    });
}

/// Applies a row of the table of limits.
pub(crate) fn apply_row(state: &State, row: &Row) {
    let rate = match &row.value {
        None => None,
        Some(value) => match decode(value) {
            Some(milli_per_s) => Some(Rate::from_milli_per_s(milli_per_s)),
            None => {
                let error = "the row does not hold one number";
                return feed::log_unreadable(state, LIMIT_TABLE, row, error);
            }
        },
    };
    record_row(state, &row.key, rate, row.version);
}

/// Applies the absence of rows from the whole table of limits as of `version`.
pub(crate) fn apply_missing_rows(state: &State, rows: &[Row], version: u64) {
    let table: Vec<_> = rows.iter().map(|row| Arc::clone(&row.key)).collect();
    let missing = state.fleet().rate_limits().missing_rows(&table, version);
    for upstream in missing {
        record_row(state, &upstream, None, version);
    }
}

/// Drops the limits of upstreams that are gone, with their rows.
pub(crate) fn expire(state: &Arc<State>) {
    let now = state.now();
    let expired = state.fleet().expire_rate_limits(now);
    for upstream in expired {
        share(state, &upstream);
    }
}

fn record_row(state: &State, upstream: &Arc<str>, rate: Option<Rate>, version: u64) {
    let now = state.now();
    let is_changed = {
        let mut fleet = state.fleet();
        let limits = fleet.rate_limits_mut();
        limits.record_row(upstream, rate, version, now)
    };
    if is_changed {
        log_change(state, upstream, Source::Row);
    }
}

/// Takes a permit if the upstream of a placement has a rate limit. Returns whether the request may
/// be sent.
pub(crate) async fn acquire(request: &ActiveRequest, placement: &Placement) -> bool {
    let state = &request.state;
    let upstream = &placement.id;
    if state.fleet().rate_limits().rate(upstream).is_none() {
        return true;
    }
    let began = state.now();
    let denial = match take_permit(state, upstream, placement.class, began).await {
        Ok(()) => {
            let now = state.now();
            let mut fleet = state.fleet();
            let limits = fleet.rate_limits_mut();
            limits.record_grant(&request.service, began, now);
            drop(fleet);
            state.metrics.permit(PermitOutcome::Granted);
            return true;
        }
        Err(denial) => denial,
    };
    let (outcome, wait_ms) = match denial {
        Denial::Wait(ms) => (PermitOutcome::Denied, ms),
        Denial::Failed => (PermitOutcome::Failed, FAILURE_BACKOFF_MS),
    };
    state.metrics.permit(outcome);
    let now = state.now();
    state.fleet().rate_limits_mut().record_denial(
        upstream,
        &request.service,
        placement.class,
        wait_ms,
        rand::random(),
        now,
    );
    if state.allows_log_line(Event::PermitDenied) {
        event!(
            state.log,
            Event::PermitDenied,
            "request" => &*request.attempt_id,
            "upstream" => upstream.to_string(),
            "cause" => outcome.label(),
            "wait_ms" => wait_ms,
            "ms" => now.since(began)
        );
    }
    false
}

/// Why there is no permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Denial {
    /// The next permit is available after this many milliseconds.
    Wait(u64),
    /// The store did not confirm a permit in time.
    Failed,
}

async fn take_permit(
    state: &State,
    upstream: &Arc<str>,
    class: RequestClass,
    began: Time,
) -> Result<(), Denial> {
    let partition = partition_key(upstream);
    if state.is_unavailable(&partition) {
        return Err(Denial::Failed);
    }
    let place = schedule_partition(&partition);
    let is_stale = state
        .fleet()
        .rate_limits()
        .is_schedule_stale(upstream, began);
    if is_stale {
        read_schedule(state, place, upstream).await?;
    }
    for _ in 0..MAX_PERMIT_WRITES {
        let Some((rate, schedule, version)) = state.fleet().rate_limits().schedule(upstream) else {
            // The limit has ended in the meantime.
            return Ok(());
        };
        let now_ms = state.store.now_ms().ok_or(Denial::Failed)?;
        let next = schedule.take(rate, class, now_ms).map_err(Denial::Wait)?;
        let transaction = Transaction::default()
            .require_version(place, upstream, version)
            .write(place, upstream, &encode(next.next_us()));
        match commit(state, &partition, &transaction).await {
            Ok(version) => {
                let now = state.now();
                state
                    .fleet()
                    .rate_limits_mut()
                    .record_permit(upstream, next, version, now);
                let is_late = state.now().since(began) >= CALL_TIMEOUT_MS;
                return if is_late { Err(Denial::Failed) } else { Ok(()) };
            }
            Err(Error::Conflict(page)) => apply_schedule(state, upstream, &page),
            Err(error) => {
                log_failure(state, upstream, "permit", &error);
                return Err(Denial::Failed);
            }
        }
    }
    Err(Denial::Wait(0))
}

async fn read_schedule(
    state: &State,
    place: PartitionKey<'_>,
    upstream: &Arc<str>,
) -> Result<(), Denial> {
    let deadline = state.now().after(CALL_TIMEOUT_MS);
    match state.read_row(place, upstream, deadline).await {
        Ok(page) => {
            apply_schedule(state, upstream, &page);
            Ok(())
        }
        Err(error) => {
            log_failure(state, upstream, "read", &error);
            Err(Denial::Failed)
        }
    }
}

/// Applies the schedule's row in a response, or its absence.
fn apply_schedule(state: &State, upstream: &Arc<str>, page: &Page) {
    let row = page.rows.iter().find(|row| row.key == *upstream);
    let known = row.and_then(|row| Some((decode(row.value.as_ref()?)?, row.version)));
    let (next_us, version) = known.unwrap_or_default();
    record_schedule(state, upstream, Schedule::from_us(next_us), version);
}

fn record_schedule(state: &State, upstream: &str, schedule: Schedule, version: u64) {
    let now = state.now();
    let mut fleet = state.fleet();
    let limits = fleet.rate_limits_mut();
    limits.record_schedule(upstream, schedule, version, now);
}

/// Removes the schedule of an upstream without a limit. If the limit returns, a new one is written.
async fn remove_schedule(state: &State, upstream: &Arc<str>) {
    let partition = partition_key(upstream);
    let change = Transaction::default().remove(schedule_partition(&partition), upstream);
    if let Err(error) = commit(state, &partition, &change).await {
        log_failure(state, upstream, "remove", &error);
    }
}

/// Commits a change. `health_key` names the partition for the store's health.
async fn commit(state: &State, health_key: &str, change: &Transaction) -> Result<u64, Error> {
    let deadline = state.now().after(CALL_TIMEOUT_MS);
    let call = async |store: &Client, limit_ms| store.commit(change, limit_ms).await;
    state
        .call(StoreCall::Write, health_key, deadline, call)
        .await
}

const fn schedule_partition(partition: &str) -> PartitionKey<'_> {
    PartitionKey {
        table: SCHEDULE_TABLE,
        partition,
    }
}

/// Encodes the content of a row of either table.
fn encode(number: u64) -> [u8; 8] {
    number.to_be_bytes()
}

fn decode(value: &Vec<u8>) -> Option<u64> {
    Some(u64::from_be_bytes(value.as_slice().try_into().ok()?))
}

fn log_change(state: &State, upstream: &str, source: Source) {
    let rate = state.fleet().rate_limits().rate(upstream);
    let announcement = rate.map_or(Announcement::Unlimited, Announcement::Limited);
    log_announcement(state, upstream, source, announcement);
}

fn log_announcement(state: &State, upstream: &str, source: Source, announcement: Announcement) {
    let (event, per_s) = match announcement {
        Announcement::Unlimited => (Event::UpstreamUnlimited, None),
        Announcement::Limited(rate) => (Event::UpstreamLimited, Some(rate.per_s())),
        Announcement::Unreadable => (Event::UpstreamLimited, None),
    };
    if state.allows_log_line(event) {
        event!(
            state.log,
            event,
            "upstream" => upstream.to_owned(),
            "source" => source.label(),
            "per_s" => per_s
        );
    }
}

fn log_failure(state: &State, upstream: &str, step: &'static str, error: &Error) {
    if state.allows_log_line(Event::LimitFailed) {
        event!(
            state.log,
            Event::LimitFailed,
            "upstream" => upstream.to_owned(),
            "step" => step,
            "error" => format!("{error:?}")
        );
    }
}
