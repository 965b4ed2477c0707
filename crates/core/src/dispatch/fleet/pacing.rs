//! Paces and speeds of the upstreams, as their attempts show them.

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::super::pace::{FairLoad, Pace, PaceCause, PaceChange, SLOW_RATIO};
use super::super::speed::{MeanRatio, UpstreamSpeed};
use super::{AttemptOutcome, Fleet, HealthChange, Upstream, UpstreamKey, UpstreamState};
use crate::clock::Time;

/// How long an incarnation that was dropped is remembered, in milliseconds: longer than the longest
/// store outage, during which entries disappear.
const MEMORY_MS: u64 = 600_000;

/// Maximum number of changes that are kept until they are taken.
const MAX_CHANGES: usize = 256;

/// Times of a completed turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnTimes {
    /// Milliseconds from placement to the first event.
    pub first_event_ms: f64,
    /// Milliseconds from placement to the last event.
    pub turn_ms: f64,
    /// Present slowdown of the service's turns.
    pub slowdown: f64,
}

/// Begins of paces and their changes.
#[derive(Debug, Default)]
pub(super) struct PaceLog {
    /// Random number of this instance.
    seed: u64,
    /// Whether the whole table was read. Upstreams that are known then are not new.
    is_loaded: bool,
    /// Incarnations at full pace that were dropped. They are not new if they reappear.
    dropped: BTreeMap<Arc<str>, (u64, Option<Time>)>,
    changes: Vec<(Arc<str>, PaceChange)>,
}

impl PaceLog {
    pub(super) const fn mark_loaded(&mut self) {
        self.is_loaded = true;
    }

    pub(super) fn record_removal(&mut self, entry: &UpstreamState) {
        if entry.pace.is_limited() {
            return;
        }
        let upstream = &entry.upstream;
        let dropped = (upstream.started_ms, None);
        self.dropped.insert(Arc::clone(&upstream.id), dropped);
    }

    fn expire(&mut self, now: Time) {
        self.dropped.retain(|_, (_, since)| {
            let since = since.get_or_insert(now);
            now.since(*since) < MEMORY_MS
        });
    }

    fn draw(&self, upstream: &Upstream, began: Time) -> u64 {
        let seed = self.seed ^ upstream.started_ms.rotate_left(32) ^ began.as_ms();
        xxh3_64_with_seed(upstream.id.as_bytes(), seed)
    }

    fn push(&mut self, id: &Arc<str>, change: PaceChange) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push((Arc::clone(id), change));
        }
    }
}

impl Fleet {
    /// Records a turn that completed at the first upstream that was tried, as
    /// [`ServiceSpeed::record_turn`](super::super::speed::ServiceSpeed::record_turn) does. The times
    /// are taken relative to the upstream's own speed, as the service would otherwise seem to become
    /// faster the more requests go to its fast upstreams.
    pub fn record_turn(
        &mut self,
        service: &Arc<str>,
        key: UpstreamKey,
        tokens: u64,
        times: TurnTimes,
        now: Time,
    ) {
        let factor = self.time_factor(key, now);
        self.speed_mut(service).record_turn(
            tokens,
            times.first_event_ms / factor,
            times.turn_ms / factor,
            times.slowdown,
        );
    }

    /// Records the duration of a successful request to a plain service, relative to the upstream's
    /// own speed.
    pub fn record_plain(&mut self, service: &Arc<str>, key: UpstreamKey, ms: f64, now: Time) {
        let factor = self.time_factor(key, now);
        self.speed_mut(service).record_plain(ms / factor);
    }

    /// Returns a fleet without upstreams. `seed` is a random number by which the paces of this
    /// instance differ from those of others.
    #[must_use]
    pub fn with_pace_seed(seed: u64) -> Self {
        let mut fleet = Self::default();
        fleet.pace_log.seed = seed;
        fleet
    }

    /// Returns the changes in the paces of upstreams since the last call.
    pub fn take_pace_changes(&mut self) -> Vec<(Arc<str>, PaceChange)> {
        std::mem::take(&mut self.pace_log.changes)
    }

    /// Returns the number of upstreams that are limited by their pace.
    #[must_use]
    pub fn paced_upstreams(&self, now: Time) -> usize {
        let entries = self.entries.values();
        let paced = entries.filter(|entry| entry.pace.share(now).is_some());
        paced.filter(|entry| self.accepts_work(entry, now)).count()
    }

    /// Returns what an upstream of a service gets from this instance on average.
    #[must_use]
    pub fn fair_load(&self, service: &str, now: Time) -> FairLoad {
        let upstreams = self.serving_upstreams(service, now).count();
        let state = self.services.get(service);
        let demand = state.map(|state| state.demand).unwrap_or_default();
        let free_demand = state.map(|state| state.free_demand).unwrap_or_default();
        let share = 1.0 / upstreams.max(1) as f64;
        FairLoad {
            share,
            rate: demand.rate(now) * share,
            free_rate: free_demand.rate(now) * share,
            request_ms: self.speed(service).request_ms(),
        }
    }

    /// Returns the mean ratio of observed to expected response times of a service's upstreams.
    #[must_use]
    pub fn mean_ratio(&self, service: &str, now: Time) -> MeanRatio {
        let serving = self.serving_upstreams(service, now);
        MeanRatio::of(serving.map(|(_, entry)| &entry.speed), now)
    }

    /// Returns the time that an upstream takes as a multiple of its service's mean.
    #[must_use]
    pub fn time_factor(&self, key: UpstreamKey, now: Time) -> f64 {
        self.entries.get(key).map_or(1.0, |entry| {
            let mean = self.mean_ratio(&entry.upstream.service, now);
            mean.time_factor(&entry.speed, now)
        })
    }

    pub(super) fn begin_pace(&mut self, upstream: &Upstream, now: Time) -> Pace {
        let dropped = self.pace_log.dropped.remove(&upstream.id);
        let is_known = dropped.is_some_and(|(started_ms, _)| started_ms == upstream.started_ms);
        if !self.pace_log.is_loaded || is_known {
            return Pace::default();
        }
        let began = PaceChange::Began(PaceCause::Start);
        self.pace_log.push(&upstream.id, began);
        Pace::limited(now, self.pace_log.draw(upstream, now))
    }

    /// Limits an upstream whose health has changed.
    pub(super) fn pace_recovery(&mut self, key: UpstreamKey, change: HealthChange, now: Time) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        match change {
            HealthChange::Ejected { ms, .. } => {
                let began = now.after(ms);
                let draw = self.pace_log.draw(&entry.upstream, began);
                entry.pace.limit_probes(began, draw);
            }
            HealthChange::Restored => {
                let draw = self.pace_log.draw(&entry.upstream, now);
                entry.pace.begin_recovery(now, draw);
                let change = PaceChange::Began(PaceCause::Recovery);
                self.pace_log.push(&entry.upstream.id, change);
            }
        }
    }

    pub(super) fn record_paced_start(
        &mut self,
        key: UpstreamKey,
        is_free: bool,
        unread_tokens: u64,
        now: Time,
    ) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        let service = Arc::clone(&entry.upstream.service);
        let is_paced = entry.pace.has_begun_lately();
        let fair = is_paced.then(|| self.fair_load(&service, now));
        let state = self.services.entry(service).or_default();
        let read_ms = unread_tokens as f64 * state.speed.read_ms();
        state.demand.record(now);
        if is_free {
            state.free_demand.record(now);
        }
        if let (Some(fair), Some(entry)) = (fair, self.entries.get_mut(key)) {
            entry.pace.start_attempt(is_free, read_ms, fair, now);
        }
    }

    pub(super) fn record_paced_end(
        &mut self,
        key: UpstreamKey,
        outcome: AttemptOutcome,
        now: Time,
    ) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        if !entry.pace.has_begun_lately() {
            return;
        }
        let service = Arc::clone(&entry.upstream.service);
        let fair = self.fair_load(&service, now);
        let mean = self.mean_ratio(&service, now);
        let token_ms = self.speed(&service).read_ms();
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let read_ms = entry.load.unread_tokens as f64 * token_ms;
        let requests = entry.load.requests;
        entry.pace.end_attempt(requests, read_ms, fair, now);
        let usual = mean.time_factor(&entry.speed, now).max(1.0);
        let is_trouble = match outcome {
            AttemptOutcome::Succeeded { latency_ratio } => {
                latency_ratio.is_some_and(|ratio| mean.relative(ratio) > SLOW_RATIO * usual)
            }
            AttemptOutcome::ServerError
            | AttemptOutcome::Full
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Broken
            | AttemptOutcome::Silent => true,
            AttemptOutcome::Displaced | AttemptOutcome::Abandoned => return,
        };
        if is_trouble {
            if let Some(share) = entry.pace.record_trouble(now)
                && !entry.health.is_ejected()
            {
                let change = PaceChange::Reduced(share);
                self.pace_log.push(&entry.upstream.id, change);
            }
        } else {
            entry.pace.record_timely_answer(now);
        }
        Self::finish_pace(entry, &mut self.pace_log, now);
    }

    pub(super) fn expire_paces(&mut self, now: Time) {
        self.pace_log.expire(now);
        for entry in self.entries.values_mut() {
            Self::finish_pace(entry, &mut self.pace_log, now);
        }
    }

    fn finish_pace(entry: &mut UpstreamState, log: &mut PaceLog, now: Time) {
        if let Some(ms) = entry.pace.finish(now)
            && !entry.health.is_ejected()
        {
            log.push(&entry.upstream.id, PaceChange::Full { ms });
        }
    }
}

impl UpstreamState {
    /// Returns the limit of this instance's requests to the upstream.
    #[must_use]
    pub const fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Returns the upstream's measured speed.
    #[must_use]
    pub const fn speed(&self) -> &UpstreamSpeed {
        &self.speed
    }
}
