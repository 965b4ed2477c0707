//! Records the attempts at upstreams, and what their outcomes tell about each upstream's health.

use std::sync::Arc;

use super::super::outlier::Transition;
use super::super::request::PromptPart;
use super::{Fleet, UpstreamKey, UpstreamState};
use crate::clock::Time;

/// EWMA weight of a new observation. About the last twenty observations count.
const EWMA_WEIGHT: f64 = 0.1;

/// How long others are preferred to an upstream after it rejected a request or one failed there, in
/// milliseconds. The time doubles while no request succeeds there.
const FIRST_AVOID_MS: u64 = 300;

/// Maximum time for which others are preferred. A full upstream has free slots again within some
/// seconds.
const MAX_AVOID_MS: u64 = 3_000;

/// Maximum share of a service's upstreams that is ejected. If more of them fail, they are only
/// avoided, as the rest could not carry the load.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Result of an attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream responded with a success, or with an error of the caller.
    Succeeded {
        /// Observed response time as a multiple of the expected time. Only a success has one: an
        /// error takes no work, so its response time tells nothing about the upstream's speed.
        latency_ratio: Option<f64>,
    },
    /// The upstream responded with an error of its own.
    ServerError,
    /// The upstream was at capacity and rejected the request.
    Full,
    /// No connection to the upstream could be opened.
    Unreachable,
    /// The response was interrupted or is not one to this request.
    Broken,
    /// The upstream did not respond in time.
    Silent,
    /// A different upstream has the address.
    Displaced,
    /// The caller disconnected before the attempt ended.
    Abandoned,
}

/// Change in the health of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthChange {
    /// The upstream was ejected, as it fails more often than its service.
    Ejected {
        /// Duration in milliseconds, after which it is probed.
        ms: u64,
        /// Failure rate of the service, from 0 to 1.
        rate: f64,
    },
    /// The upstream is restored, with a slow start.
    Restored,
}

impl Fleet {
    /// Records the start of an attempt whose prompt has `unread_tokens` tokens that the upstream
    /// has not cached.
    pub fn start_attempt(
        &mut self,
        key: UpstreamKey,
        prompt: &[PromptPart],
        unread_tokens: u64,
        now: Time,
    ) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.load.requests += 1;
            entry.health.start_attempt(now);
            entry.load.unread_tokens += unread_tokens;
            entry.prefix_cache.record_prompt(prompt, now);
        }
    }

    /// Records that a suspect starts at an upstream.
    pub fn start_suspect(&mut self, key: UpstreamKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.load.suspects += 1;
        }
    }

    /// Records that a suspect ends at an upstream.
    pub fn end_suspect(&mut self, key: UpstreamKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.load.suspects = entry.load.suspects.saturating_sub(1);
        }
    }

    /// Records that the upstream has read an attempt's prompt.
    pub fn record_prompt_read(&mut self, key: UpstreamKey, unread_tokens: u64) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.load.unread_tokens = entry.load.unread_tokens.saturating_sub(unread_tokens);
        }
    }

    /// Records the end of an attempt. Returns the change that it causes in the upstream's health.
    pub fn end_attempt(
        &mut self,
        key: UpstreamKey,
        outcome: AttemptOutcome,
        now: Time,
    ) -> Option<HealthChange> {
        let entry = self.entries.get_mut(key)?;
        entry.load.requests = entry.load.requests.saturating_sub(1);
        match outcome {
            AttemptOutcome::Succeeded { latency_ratio } => {
                entry.failures = 0;
                if let Some(latency_ratio) = latency_ratio {
                    entry.mean_latency_ratio +=
                        (latency_ratio.clamp(0.1, 10.0) - entry.mean_latency_ratio) * EWMA_WEIGHT;
                }
                return self.record_health(key, false, now);
            }
            AttemptOutcome::ServerError => return self.record_health(key, true, now),
            AttemptOutcome::Unreachable | AttemptOutcome::Broken | AttemptOutcome::Silent => {
                entry.avoid(now);
                return self.record_health(key, true, now);
            }
            AttemptOutcome::Full => {
                entry.avoid(now);
                entry.health.end_attempt();
            }
            AttemptOutcome::Displaced => entry.is_displaced = true,
            AttemptOutcome::Abandoned => entry.health.end_attempt(),
        }
        None
    }

    /// Compares an outcome with the failure rate of the service, and ejects the upstream if it
    /// fails too often.
    fn record_health(
        &mut self,
        key: UpstreamKey,
        is_failure: bool,
        now: Time,
    ) -> Option<HealthChange> {
        let entry = self.entries.get_mut(key)?;
        let service = Arc::clone(&entry.upstream.service);
        let failure_rate = &mut self
            .services
            .entry(Arc::clone(&service))
            .or_default()
            .failure_rate;
        let rate = failure_rate.estimate();
        if !entry.health.is_ejected() {
            failure_rate.record(is_failure);
        }
        let transition = if is_failure {
            entry.health.record_failure(rate, now)
        } else {
            entry.health.record_success(rate, now)
        };
        match transition? {
            Transition::Restored => Some(HealthChange::Restored),
            Transition::Faulty => {
                if !entry.health.is_ejected() && !self.may_eject(&service, now) {
                    return None;
                }
                let ms = self.entries.get_mut(key)?.health.eject(now);
                Some(HealthChange::Ejected { ms, rate })
            }
        }
    }

    /// Returns whether one more upstream of a service may be ejected.
    fn may_eject(&self, service: &str, now: Time) -> bool {
        let serving = self.serving_upstreams(service, now);
        let (total, ejected) = serving.fold((0_u32, 0_u32), |(total, ejected), (_, entry)| {
            (total + 1, ejected + u32::from(entry.health.is_ejected()))
        });
        f64::from(ejected + 1) <= f64::from(total) * MAX_EJECTED_SHARE
    }
}

impl UpstreamState {
    fn avoid(&mut self, now: Time) {
        let avoid_ms = FIRST_AVOID_MS << self.failures.min(4);
        self.avoid_until = now.after(avoid_ms.min(MAX_AVOID_MS));
        self.failures += 1;
    }
}
