//! Outlier detection: ejects upstreams that fail more often than the rest of their service.
//!
//! An upstream that responds to every request with an immediate error has an empty queue and short
//! response times, so placement by expected time alone sends it most of the requests. A plain
//! service may also return errors that are honest responses, at its own rate. Each upstream is
//! therefore compared with its service by a sequential test (CUSUM of the log-likelihood ratio of
//! "fails at [`FAULTY_RATE`]" to "fails at the service's rate"), which needs no fixed number of
//! outcomes: one failure is enough where failures are very rare, and some in a row where they are
//! common.
//!
//! An ejected upstream gets no requests for a time that doubles with each ejection. After that,
//! requests that may be repeated probe it one at a time. When enough probes have succeeded, its
//! cost decreases gradually to the usual one.

use crate::clock::Time;

/// Failure rate of an upstream that should be ejected.
const FAULTY_RATE: f64 = 0.5;

/// Cumulative log-likelihood ratio at which an upstream is ejected: odds of 90 to 1.
const EJECTION_EVIDENCE: f64 = 4.5;

/// Time in which evidence loses half of its weight, so that an upstream with few requests does not
/// stay suspect.
const EVIDENCE_HALF_LIFE_MS: f64 = 4_000.0;

/// Duration of the first ejection, in milliseconds. It doubles with each further one.
const FIRST_EJECTION_MS: u64 = 300;

/// Maximum duration of an ejection, in milliseconds. Crashed upstreams restart within some seconds.
const MAX_EJECTION_MS: u64 = 3_000;

/// Time without an ejection after which the next one has the first duration again.
const FORGET_EJECTIONS_MS: u64 = 10_000;

/// Consecutive successful probes after which an ejected upstream is restored.
const REQUIRED_PROBES: u32 = 2;

/// Duration of the slow start after an ejection, in milliseconds.
const SLOW_START_MS: u64 = 2_000;

/// Additional cost at the beginning of the slow start, in milliseconds. It decreases linearly.
const SLOW_START_COST_MS: f64 = 200.0;

/// Outcomes after which an older one has lost most of its weight in a service's failure rate.
const RATE_WINDOW: f64 = 2_000.0;

/// Prior of a service's failure rate, in outcomes and failures among them.
const PRIOR_OUTCOMES: f64 = 50.0;
const PRIOR_FAILURES: f64 = 0.5;

/// Bounds of the failure rate that is assumed of a service. The lower one keeps a single failure
/// from counting without limit, the upper one stays below [`FAULTY_RATE`].
const MIN_RATE: f64 = 0.005;
const MAX_RATE: f64 = 0.45;

/// Failure rate of a service's healthy upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    outcomes: f64,
    failures: f64,
}

impl FailureRate {
    /// Records an outcome at an upstream that was not ejected.
    pub fn record(&mut self, is_failure: bool) {
        let decay = 1.0 - 1.0 / RATE_WINDOW;
        self.outcomes = self.outcomes * decay + 1.0;
        self.failures = self.failures * decay + f64::from(u8::from(is_failure));
    }

    /// Returns the estimated rate.
    #[must_use]
    pub fn estimate(&self) -> f64 {
        let rate = (self.failures + PRIOR_FAILURES) / (self.outcomes + PRIOR_OUTCOMES);
        rate.clamp(MIN_RATE, MAX_RATE)
    }
}

/// Health of an upstream, as observed by this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    evidence: f64,
    evidence_at: Time,
    /// Ejections in a row, without [`FORGET_EJECTIONS_MS`] in between.
    ejections: u32,
    ejected_until: Time,
    state: State,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Healthy,
    Ejected {
        until: Time,
        passed_probes: u32,
        is_probing: bool,
    },
    Recovering {
        since: Time,
    },
}

/// Change of an upstream's health caused by an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The upstream fails too often and should be ejected, if [`Health::eject`] is allowed.
    Faulty,
    /// The upstream is restored.
    Restored,
}

impl Health {
    /// Returns whether the upstream may get a request. A request that must not run twice is not
    /// offered while there is any doubt about the upstream.
    #[must_use]
    pub fn admits(&self, is_repeatable: bool, now: Time) -> bool {
        match self.state {
            State::Healthy => is_repeatable || !self.is_suspect(now),
            State::Ejected {
                until, is_probing, ..
            } => is_repeatable && !is_probing && now >= until,
            State::Recovering { since } => is_repeatable || now.since(since) >= SLOW_START_MS,
        }
    }

    /// Returns the additional cost of an upstream in its slow start, in milliseconds.
    #[must_use]
    pub fn slow_start_cost_ms(&self, now: Time) -> f64 {
        match self.state {
            State::Recovering { since } => {
                let remaining_ms = SLOW_START_MS.saturating_sub(now.since(since));
                SLOW_START_COST_MS * remaining_ms as f64 / SLOW_START_MS as f64
            }
            _ => 0.0,
        }
    }

    /// Returns whether the upstream is ejected.
    #[must_use]
    pub const fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    /// Records the start of an attempt, which is a probe if the upstream is ejected.
    pub fn start_attempt(&mut self, now: Time) {
        if let State::Ejected {
            until, is_probing, ..
        } = &mut self.state
        {
            *is_probing = now >= *until;
        }
    }

    /// Records the end of an attempt that tells nothing about the upstream's health.
    pub const fn end_attempt(&mut self) {
        if let State::Ejected { is_probing, .. } = &mut self.state {
            *is_probing = false;
        }
    }

    /// Records a success, given the failure rate of the service.
    pub fn record_success(&mut self, rate: f64, now: Time) -> Option<Transition> {
        self.add_evidence(((1.0 - FAULTY_RATE) / (1.0 - rate)).ln(), now);
        if let State::Ejected {
            until,
            passed_probes,
            is_probing,
        } = &mut self.state
        {
            // An attempt from before the ejection may end during it.
            if !std::mem::take(is_probing) || now < *until {
                return None;
            }
            *passed_probes += 1;
            if *passed_probes >= REQUIRED_PROBES {
                self.state = State::Recovering { since: now };
                self.evidence = 0.0;
                return Some(Transition::Restored);
            }
        }
        None
    }

    /// Records a failure, given the failure rate of the service.
    pub fn record_failure(&mut self, rate: f64, now: Time) -> Option<Transition> {
        self.add_evidence((FAULTY_RATE / rate).ln(), now);
        match self.state {
            State::Ejected {
                until, is_probing, ..
            } => (is_probing && now >= until).then_some(Transition::Faulty),
            State::Recovering { since } if now.since(since) < SLOW_START_MS => {
                Some(Transition::Faulty)
            }
            _ => (self.evidence >= EJECTION_EVIDENCE).then_some(Transition::Faulty),
        }
    }

    /// Ejects the upstream. Returns the duration in milliseconds.
    pub fn eject(&mut self, now: Time) -> u64 {
        if now.since(self.ejected_until) > FORGET_EJECTIONS_MS {
            self.ejections = 0;
        }
        let ms = (FIRST_EJECTION_MS << self.ejections.min(8)).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.ejected_until = now.after(ms);
        self.evidence = 0.0;
        self.state = State::Ejected {
            until: now.after(ms),
            passed_probes: 0,
            is_probing: false,
        };
        ms
    }

    fn is_suspect(&self, now: Time) -> bool {
        self.evidence_now(now) >= EJECTION_EVIDENCE / 2.0
    }

    fn evidence_now(&self, now: Time) -> f64 {
        let age_ms = now.since(self.evidence_at) as f64;
        self.evidence * 0.5_f64.powf(age_ms / EVIDENCE_HALF_LIFE_MS)
    }

    fn add_evidence(&mut self, ratio: f64, now: Time) {
        self.evidence = (self.evidence_now(now) + ratio).clamp(0.0, EJECTION_EVIDENCE);
        self.evidence_at = now;
    }
}
