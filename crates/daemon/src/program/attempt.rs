//! Attempts of a call at upstreams, and the rules for retries.

use std::sync::Arc;

use basilramp_core::fingerprint;
use basilramp_core::id;
use basilramp_wire::config::Target;
use basilramp_wire::error::{Error, Executed, Kind};

use super::Shared;
use super::call::ActiveCall;
use crate::crash_probe::CrashProbe;
use crate::engine::Failure;
use crate::grant::{CallOutcome, Grant, SlotRequest};
use crate::suspect::{CrashOutcome, SendPermit};
use crate::trace::{self, Hop};

/// Maximum number of attempts of one call, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// A failed attempt.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    /// The error that the caller gets if there is no retry.
    pub(crate) error: Error,
    /// Whether the upstream may have run part of the request.
    pub(crate) may_have_run: bool,
    /// The upstream that a retry must avoid, or `None` if the call must not be retried.
    pub(crate) retry_without: Option<id::Upstream>,
}

impl FailedAttempt {
    /// Creates a failure after which the call is not retried.
    pub(crate) fn without_retry(error: Error, may_have_run: bool) -> Self {
        Self {
            error,
            may_have_run,
            retry_without: None,
        }
    }
}

impl From<Error> for FailedAttempt {
    fn from(error: Error) -> Self {
        Self::without_retry(error, false)
    }
}

/// A granted slot and the permit to send the request to its upstream.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) grant: Grant,
    pub(crate) permit: SendPermit,
}

/// Waits for a slot and checks that the request may be sent to its upstream.
///
/// # Errors
///
/// Fails if no slot is granted in time, the caller disconnects, or the request is quarantined or
/// blocked as a suspect.
pub(crate) async fn admit(
    active: &ActiveCall,
    prompt: u64,
    avoid: &[id::Upstream],
) -> Result<Admitted, Error> {
    let attained = active.with_tree(|loaded| loaded.tree.ledger().spent());
    let request = SlotRequest {
        program: active.program,
        account: active.account.clone(),
        service: active.service_id(),
        attained: attained.unwrap_or(0),
        prompt,
        output: u64::from(active.call.max_tokens),
        wait_ms: active.shared.dependencies.timing.grant_wait_ms,
        avoid: avoid.to_vec(),
    };
    let fingerprint = fingerprint::compute(&active.service_id(), &active.call.input);
    let suspects = &active.shared.suspects;
    let copy = tokio::select! {
        copy = suspects.start_copy(fingerprint, request.wait_ms) => copy?,
        () = active.events.closed() => return Err(caller_disconnected()),
    };
    let grants = &active.shared.dependencies.grants;
    let grant = tokio::select! {
        grant = trace::in_child_span(Hop::Grant, grants.acquire(&request)) => grant?,
        () = active.events.closed() => return Err(caller_disconnected()),
    };
    let permit = suspects.admit(copy, &grant.upstream, grant.epoch).await;
    let permit = match permit {
        Ok(permit) => permit,
        Err(error) => {
            grants.release(grant, CallOutcome::Cancelled);
            return Err(error);
        }
    };
    active.with_tree(|loaded| {
        let holders = loaded.holding_upstreams.entry(active.program).or_default();
        holders.insert(grant.upstream.clone());
    });
    Ok(Admitted { grant, permit })
}

fn caller_disconnected() -> Error {
    let mut error = Error::new(Kind::Interrupted, "the caller disconnected");
    error.ran = Executed::No;
    error
}

/// Classifies a failed attempt and releases its grant.
///
/// A crash of the upstream is recorded durably before a retry is allowed.
pub(crate) async fn handle_failure(
    active: &ActiveCall,
    permit: SendPermit,
    grant: Grant,
    failure: Failure,
) -> FailedAttempt {
    let upstream = grant.upstream.clone();
    let probe = crash_probe(active, &grant);
    active
        .shared
        .dependencies
        .grants
        .release(grant, CallOutcome::Failed);
    match failure {
        Failure::NotSent => {
            permit.abandon();
            let error = Error::new(
                Kind::UpstreamUnavailable,
                "could not connect to the upstream",
            );
            FailedAttempt {
                error,
                may_have_run: false,
                retry_without: Some(upstream),
            }
        }
        Failure::Rejected(status) => {
            permit.abandon();
            let message = format!("the upstream responded with status {status}");
            FailedAttempt {
                error: Error::new(Kind::UpstreamFailed, message),
                may_have_run: true,
                retry_without: status.is_server_error().then_some(upstream),
            }
        }
        Failure::TimedOut => {
            permit.abandon();
            let error = Error::new(
                Kind::TimedOut,
                "the upstream did not respond within the timeout",
            );
            FailedAttempt::without_retry(error, true)
        }
        Failure::BrokenResponse => {
            let outcome = handle_broken_connection(active, permit, probe).await;
            let message = "the upstream failed while running the request";
            FailedAttempt {
                error: Error::new(Kind::UpstreamFailed, message),
                may_have_run: true,
                retry_without: (outcome == CrashOutcome::MayRetry).then_some(upstream),
            }
        }
    }
}

/// Returns the probe that checks whether the upstream of a grant crashed.
pub(crate) fn crash_probe(active: &ActiveCall, grant: &Grant) -> CrashProbe {
    let address = grant.address;
    match active.service.target {
        Target::Model { .. } => CrashProbe::Engine {
            address,
            epoch: grant.epoch,
        },
        Target::Plain { .. } => CrashProbe::Service { address },
    }
}

/// Checks whether a broken connection means that the upstream crashed, and records the crash.
pub(crate) async fn handle_broken_connection(
    active: &ActiveCall,
    permit: SendPermit,
    probe: CrashProbe,
) -> CrashOutcome {
    if !probe.may_have_crashed(&active.shared.control).await {
        permit.abandon();
        return CrashOutcome::MayRetry;
    }
    permit.record_crash(&active.shared.dependencies.log).await
}

/// Tracks the attempts of one call.
#[derive(Debug)]
pub(crate) struct Attempts {
    shared: Arc<Shared>,
    number: u32,
    may_have_run: bool,
    failed_upstreams: Vec<id::Upstream>,
}

impl Attempts {
    /// Starts to track a call and deposits its share in the retry budget.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        shared.lock_retry_budget().deposit();
        Self {
            shared: Arc::clone(shared),
            number: 0,
            may_have_run: false,
            failed_upstreams: Vec::new(),
        }
    }

    /// Starts an attempt and returns its number, starting at 1.
    pub(crate) fn start_next(&mut self) -> u32 {
        self.number += 1;
        self.number
    }

    /// Returns the upstreams at which earlier attempts failed.
    pub(crate) fn failed_upstreams(&self) -> &[id::Upstream] {
        &self.failed_upstreams
    }

    /// Records a failed attempt.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if the call must not be retried or its attempts or the
    /// retry budget are used up.
    pub(crate) fn record_failure(&mut self, failure: FailedAttempt) -> Result<(), Error> {
        self.may_have_run |= failure.may_have_run;
        let error = match self.may_have_run {
            true => as_possibly_run(failure.error),
            false => failure.error,
        };
        let Some(upstream) = failure.retry_without else {
            return Err(error);
        };
        if self.number >= MAX_ATTEMPTS || !self.shared.lock_retry_budget().try_withdraw() {
            return Err(error);
        }
        self.failed_upstreams.push(upstream);
        Ok(())
    }
}

/// Converts an error that claims that nothing ran, as an earlier attempt may have run in part.
fn as_possibly_run(error: Error) -> Error {
    if error.ran != Executed::No {
        return error;
    }
    Error::new(Kind::UpstreamFailed, error.message)
}
