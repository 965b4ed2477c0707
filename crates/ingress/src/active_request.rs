//! A request in progress and the outcomes of its attempts.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

use basilramp_core::clock::Time;
use basilramp_core::dispatch::account::Scope;
use basilramp_core::dispatch::attempt::{Attempts, Decision, Failure};
use basilramp_core::dispatch::config::{Engine, RouteKind};
use basilramp_core::dispatch::fleet::UpstreamKey;
use basilramp_core::dispatch::placement::{self, Placement, PlacementRequest, Prompt};
use basilramp_core::dispatch::rate_limit::RequestClass;
use basilramp_core::dispatch::request::RequestHeaders;
use basilramp_core::history::Digest;
use basilramp_process::event;
use bytes::Bytes;
use http::request::Parts;

use crate::buffer::Reservation;
use crate::client::Client;
use crate::log_event::Event;
use crate::metric::Outcome;
use crate::quota::Permit;
use crate::state::State;
use crate::suspect::Trial;
use crate::{rate_limit, suspect};

/// Retry delay sent to a caller when no upstream accepted the request.
pub(crate) const NO_UPSTREAM_RETRY_MS: u64 = 250;

/// Retry delay sent to a caller that takes up a stream while no upstream has its version. An upstream
/// that crashed restarts within some seconds.
pub(crate) const NO_VERSION_RETRY_MS: u64 = 1_000;

/// Timeout of an attempt after which an idempotent request goes to another upstream, in
/// milliseconds: several times the slowest plain call at a healthy upstream.
const SAFE_ATTEMPT_TIMEOUT_MS: u64 = 400;

/// Time beyond twice the expected one after which a resumable stream without its first event goes
/// to another upstream, in milliseconds.
const FIRST_EVENT_TIMEOUT_MS: u64 = 1_200;

/// Number of events that a stream may have beyond the maximum of tokens that its request names.
const EXCESS_EVENTS: u64 = 64;

/// Maximum number of limited upstreams that a request tries to get a permit for. Each costs a call of
/// the store.
const MAX_DENIED_PERMITS: u32 = 2;

/// A request in progress.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) state: Arc<State>,
    /// Request head to forward, without hop-by-hop headers.
    pub(crate) parts: Parts,
    pub(crate) headers: RequestHeaders,
    pub(crate) attempt_id: Arc<str>,
    pub(crate) identity: Identity,
    /// Client account, if callers of the route need a key.
    pub(crate) client: Option<Client>,
    /// Whose data the request reads and writes.
    pub(crate) scope: Scope,
    /// Whose data its caller read and wrote before a recent change of its need for a key.
    pub(crate) earlier_scope: Option<Scope>,
    /// Version of the configuration that the request is handled by.
    pub(crate) config_version: u64,
    pub(crate) body: Bytes,
    /// Memory for the body and the transcript.
    pub(crate) memory: Reservation,
    pub(crate) kind: RouteKind,
    pub(crate) max_attempts: u32,
    /// How long the turn can be continued, in milliseconds; 0 if it is not stored.
    pub(crate) retention_ms: u64,
    /// Maximum gap between events that the route's callers accept, in milliseconds.
    pub(crate) max_event_gap_ms: u64,
    pub(crate) service: Arc<str>,
    /// Name of the route.
    pub(crate) route: Arc<str>,
    pub(crate) engine: Option<Engine>,
    /// Software version at which the stream may run: the one that began it, once its first event has
    /// arrived or was received by an earlier attempt, or the one that needs no record.
    pub(crate) version: Option<Arc<str>>,
    /// Whether the stream begins without a record, at the version that other instances then assume.
    pub(crate) begins_unrecorded: bool,
    /// Whether an upstream may have begun the stream through another instance, which may store its
    /// version late.
    pub(crate) may_have_begun: bool,
    /// How long a stream of the route and the requests that take it up again last, in milliseconds.
    pub(crate) stream_span_ms: u64,
    pub(crate) arrived: Time,
    pub(crate) deadline: Time,
    /// Priority of the account or else of the route; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Whether the request is the first one of its program.
    pub(crate) starts_program: bool,
    pub(crate) attempts: Attempts,
    pub(crate) tried: Vec<UpstreamKey>,
    /// Id of the upstream that ran the previous turn.
    pub(crate) previous_upstream: Option<Arc<str>>,
    pub(crate) timings: Timings,
    /// Id of the instance that relayed the request.
    pub(crate) relayed_by: Option<Arc<str>>,
    /// Whether the demand of its account contains the request.
    pub(crate) is_counted: bool,
    /// Permit of the account's quota for the next attempt.
    pub(crate) permit: Option<Permit>,
    /// Trial of the present attempt, if the request may crash its upstream.
    pub(crate) trial: Option<Trial>,
    /// Whether the end of the request was logged.
    pub(crate) is_logged: AtomicBool,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        // At the exit, the handler logs the requests that it ends.
        if self.is_logged.load(Ordering::Relaxed) || self.state.is_exiting() {
            return;
        }
        let ms = self.elapsed_ms();
        self.state
            .metrics
            .request(&self.service, Outcome::CallerLeft, ms);
        if self.state.allows_log_line(Event::CallerLeft) {
            event!(
                self.state.log,
                Event::CallerLeft,
                "request" => &*self.attempt_id,
                "account" => self.account(),
                "attempts" => self.tried.len(),
                "ms" => ms
            );
        }
    }
}

/// What is the same in every try of a request, beside its account: its caller and the body as the caller sent it. The
/// target is in the request's head.
#[derive(Debug)]
pub(crate) struct Identity {
    caller: IpAddr,
    body: Bytes,
    fingerprint: OnceLock<Digest>,
}

impl Identity {
    pub(crate) const fn new(caller: IpAddr, body: Bytes) -> Self {
        Self {
            caller,
            body,
            fingerprint: OnceLock::new(),
        }
    }

    /// Returns the caller's address.
    pub(crate) const fn caller(&self) -> IpAddr {
        self.caller
    }

    /// Returns the body as the caller sent it.
    pub(crate) const fn body(&self) -> &Bytes {
        &self.body
    }
}

/// Milliseconds from the arrival of a request to the end of each step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Timings {
    /// The program's budget and the previous turns were loaded.
    pub(crate) loaded_ms: u64,
    /// The latest attempt was placed.
    pub(crate) placed_ms: u64,
    /// The first event arrived.
    pub(crate) first_event_ms: u64,
    /// The last event arrived.
    pub(crate) last_event_ms: u64,
}

impl ActiveRequest {
    /// Returns the fingerprint that all tries of the request share, at any instance.
    pub(crate) fn fingerprint(&self) -> Digest {
        *self.identity.fingerprint.get_or_init(|| {
            let caller = self.identity.caller.to_string();
            let target = self.parts.uri.path_and_query();
            let parts = [
                self.parts.method.as_str().as_bytes(),
                target.map_or(&b""[..], |target| target.as_str().as_bytes()),
                caller.as_bytes(),
                &self.identity.body,
            ];
            // A crash by one account must not keep another one's request from running.
            Digest::from_parts(parts.into_iter().chain(self.account().map(str::as_bytes)))
        })
    }

    /// Returns the digest of the method and path, which requests with other bodies and callers share.
    pub(crate) fn target(&self) -> Digest {
        let target = self.parts.uri.path_and_query();
        let parts = [
            self.parts.method.as_str().as_bytes(),
            target.map_or(&b""[..], |target| target.as_str().as_bytes()),
        ];
        Digest::from_parts(parts.into_iter().chain(self.account().map(str::as_bytes)))
    }

    /// Returns the name of the client account, if callers of the route need a key.
    pub(crate) fn account(&self) -> Option<&str> {
        self.client.as_ref().map(|client| &*client.account.name)
    }

    /// Returns the id under which data of the request is stored: that of the caller, or one that only
    /// the same account gets from it.
    pub(crate) fn scoped(&self, id: &Arc<str>) -> Arc<str> {
        self.scope.id(id)
    }

    /// Returns the ids under which data that the caller names `id` may be stored, the usual one first. What an
    /// account's callers read is that of the account alone.
    pub(crate) fn readable(&self, id: &Arc<str>) -> Vec<Arc<str>> {
        let earlier = self.earlier_scope.iter();
        let earlier = earlier.filter(|scope| matches!(scope, Scope::Account(_)));
        let earlier = earlier.map(|scope| scope.id(id));
        std::iter::once(self.scoped(id)).chain(earlier).collect()
    }

    /// Returns the name of the client account, or an empty one if callers of the route need no key.
    pub(crate) fn account_name(&self) -> Arc<str> {
        let client = self.client.as_ref();
        client.map_or_else(|| "".into(), |client| Arc::clone(&client.account.name))
    }

    /// Returns the number of events after which a stream is taken to be endless. Each holds a token at
    /// least.
    pub(crate) fn max_events(&self) -> u64 {
        match self.headers.max_output_tokens {
            0 => u64::MAX,
            tokens => u64::from(tokens) + EXCESS_EVENTS,
        }
    }

    /// Returns the milliseconds until the caller's deadline.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline.since(self.state.now())
    }

    /// Returns the milliseconds since the request arrived.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.state.now().since(self.arrived)
    }

    /// Records that the end of the request is logged.
    pub(crate) fn mark_logged(&self) {
        self.is_logged.store(true, Ordering::Relaxed);
    }

    /// Counts and logs a completed response.
    pub(crate) fn record_completion(&self, placement: &Placement, status: u16, events: u64) {
        self.mark_logged();
        suspect::complete(self);
        self.state
            .metrics
            .request(&self.service, Outcome::Answered, self.elapsed_ms());
        if !self.state.allows_log_line(Event::Answered) {
            return;
        }
        let program = self.headers.program.as_ref();
        event!(
            self.state.log,
            Event::Answered,
            "request" => &*self.attempt_id,
            "program" => program.map_or("", |program| &*program.id),
            "account" => self.account(),
            "service" => &*self.service,
            "rank" => self.priority,
            "upstream" => &*placement.id,
            "version" => &*placement.version,
            "status" => status,
            "attempts" => self.tried.len(),
            "prompt_tokens" => self.headers.prompt_tokens,
            "unread_tokens" => placement.unread_tokens,
            "expected_ms" => placement.expected_ms,
            "events" => events,
            "loaded_ms" => self.timings.loaded_ms,
            "placed_ms" => self.timings.placed_ms,
            "first_ms" => self.timings.first_event_ms,
            "last_ms" => self.timings.last_event_ms,
            "relayed_by" => self.relayed_by.as_deref(),
            "ms" => self.elapsed_ms()
        );
    }

    /// Logs that a stream which `begun_by` began goes on after event `after`.
    pub(crate) fn log_continuation(
        &self,
        placement: &Placement,
        after: u64,
        begun_by: &str,
        begun_version: &str,
    ) {
        if self.state.allows_log_line(Event::StreamContinued) {
            event!(
                self.state.log,
                Event::StreamContinued,
                "request" => &*self.attempt_id,
                "upstream" => &*placement.id,
                "version" => &*placement.version,
                "after" => after,
                "begun_by" => begun_by.to_owned(),
                "begun_version" => begun_version.to_owned()
            );
        }
    }

    /// Selects the upstream of the next attempt, takes a permit if the upstream limits its rate, and
    /// marks it as tried.
    pub(crate) async fn place(&mut self) -> Option<Placement> {
        let mut denied = 0;
        loop {
            let placement = self.select_upstream(denied < MAX_DENIED_PERMITS)?;
            if rate_limit::acquire(self, &placement).await {
                self.tried.push(placement.key);
                self.timings.placed_ms = self.elapsed_ms();
                return Some(placement);
            }
            denied += 1;
        }
    }

    /// Returns the retry delay for a caller whose request found no upstream, in milliseconds.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let now = self.state.now();
        let mut fleet = self.state.fleet();
        if let Some(version) = self.version.as_deref()
            && !fleet.serves_version(&self.service, version, now)
        {
            return NO_VERSION_RETRY_MS;
        }
        let class = if self.starts_program {
            RequestClass::Start
        } else {
            RequestClass::Moved
        };
        match fleet.permit_wait_ms(&self.service, class, now) {
            Some(ms) => {
                let limits = fleet.rate_limits_mut();
                limits.book_return(&self.service, ms, now)
            }
            None => NO_UPSTREAM_RETRY_MS,
        }
    }

    fn select_upstream(&self, may_use_limited: bool) -> Option<Placement> {
        let program = self.headers.program.as_ref();
        let trials = suspect::trials_to_avoid(self);
        let request = PlacementRequest {
            service: &self.service,
            prompt: self.engine.as_ref().map(|_| Prompt {
                tokens: u64::from(self.headers.prompt_tokens),
                parts: &self.headers.prompt,
            }),
            affinity_key: match self.engine {
                Some(_) => program.map(|program| &*program.id),
                None => self.headers.affinity_key.as_deref(),
            },
            previous_upstream: self.previous_upstream.as_deref(),
            failure_domain: &self.state.settings.failure_domain,
            version: self.version.as_deref(),
            tried: &self.tried,
            is_repeatable: self.kind.is_idempotent(),
            starts_program: self.starts_program,
            trials: trials.as_deref(),
            may_use_limited,
        };
        let now = self.state.now();
        let placement = {
            let mut fleet = self.state.fleet();
            let placement = placement::select_upstream(&fleet, &request, now, rand::random())?;
            if let Some(tokens) = placement.new_tokens {
                fleet.speed_mut(&self.service).record_new_tokens(tokens);
            }
            placement
        };
        Some(placement)
    }

    /// Returns whether the present attempt may be given up and the request still be sent elsewhere.
    pub(crate) const fn may_abandon_attempt(&self) -> bool {
        self.kind.is_idempotent() && self.attempts.possibly_ran + 1 < self.max_attempts
    }

    /// Drops the body, after it was sent for the last time.
    pub(crate) fn release_body(&mut self) {
        self.fingerprint();
        self.body = Bytes::new();
        self.identity.body = Bytes::new();
        // A reservation never fails to shrink.
        let _ = self.memory.resize(0);
    }

    /// Counts and logs a response of another instance that was passed on.
    pub(crate) fn record_relayed(&self, instance: &str, status: u16) {
        self.mark_logged();
        let ms = self.elapsed_ms();
        self.state
            .metrics
            .request(&self.service, Outcome::Relayed, ms);
        if self.state.allows_log_line(Event::RequestRelayed) {
            event!(
                self.state.log,
                Event::RequestRelayed,
                "request" => &*self.attempt_id,
                "account" => self.account(),
                "service" => &*self.service,
                "by" => instance.to_owned(),
                "status" => status,
                "ms" => ms
            );
        }
    }

    /// Returns whether the request has not run and can't end before the instance exits. It may have
    /// waited since before the shutdown.
    pub(crate) fn outlasts_shutdown(&self) -> bool {
        let is_repeatable = self.kind.is_idempotent();
        let shutdown = self.state.shutdown();
        let outlasts = shutdown.is_some_and(|shutdown| {
            !shutdown.may_send(self.deadline, is_repeatable, self.state.now())
        });
        outlasts && self.attempts.possibly_ran == 0
    }

    /// Returns whether another instance may know upstreams of the service while this one, which does not
    /// reach the store, knows none any more.
    pub(crate) fn lacks_upstreams(&self) -> bool {
        let may_relay = self.relayed_by.is_none() && self.attempts.possibly_ran == 0;
        if !may_relay || !self.state.is_store_down() {
            return false;
        }
        let now = self.state.now();
        let fleet = self.state.fleet();
        fleet.serving_upstreams(&self.service, now).next().is_none()
    }

    /// Returns whether the request could be sent to another upstream if the present attempt failed
    /// after the request may have run.
    pub(crate) fn has_alternative(&self) -> bool {
        let mut attempts = self.attempts;
        attempts.record(Failure::Unknown);
        let decision = attempts.decide(
            self.kind,
            self.max_attempts,
            self.remaining_ms(),
            NO_UPSTREAM_RETRY_MS,
        );
        let now = self.state.now();
        decision == Decision::Retry
            && placement::has_candidate(
                &self.state.fleet(),
                &self.service,
                self.version.as_deref(),
                &self.tried,
                now,
            )
    }

    /// Records a failed attempt and decides whether to retry.
    pub(crate) fn record_failure(&mut self, failure: Failure) -> Decision {
        self.attempts.record(failure);
        let remaining_ms = self.remaining_ms();
        self.attempts.decide(
            self.kind,
            self.max_attempts,
            remaining_ms,
            NO_UPSTREAM_RETRY_MS,
        )
    }

    /// Returns the timeout after which another upstream is tried instead, in milliseconds. There is
    /// none if the request must not be repeated or no other upstream is left.
    pub(crate) fn attempt_timeout_ms(&self, placement: &Placement) -> u64 {
        match self.kind {
            RouteKind::Safe if self.has_alternative() => SAFE_ATTEMPT_TIMEOUT_MS,
            RouteKind::ResumableStream if self.has_alternative() => {
                FIRST_EVENT_TIMEOUT_MS + 2 * placement.expected_ms as u64
            }
            _ => u64::MAX,
        }
    }
}
