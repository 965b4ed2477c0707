//! One attempt of a call at an upstream, and when there is another.

use std::sync::Arc;

use basilramp_core::fingerprint;
use basilramp_core::id;
use basilramp_wire::config::Target;
use basilramp_wire::error::{Error, Kind, Ran};

use super::Shared;
use super::call::ActiveCall;
use crate::engine::Failure;
use crate::grant::{End, Grant, Want};
use crate::probe::Probe;
use crate::suspect::{CrashOutcome, SendPermit};
use crate::trace::{self, Hop};

/// Attempts of one call, the first among them.
const MAX_ATTEMPTS: u32 = 4;

/// A failed attempt.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    /// What the caller is told if there is no other attempt.
    pub(crate) error: Error,
    /// Whether the upstream may have run any of it.
    pub(crate) may_have_run: bool,
    /// The upstream that another attempt leaves out; nothing if there may be none.
    pub(crate) retry_without: Option<id::Upstream>,
}

impl FailedAttempt {
    /// Makes a fault after which the call is given up.
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

/// A slot, and leave to use it for the request.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) grant: Grant,
    pub(crate) permit: SendPermit,
}

/// Waits for a slot and checks that the request may be sent there.
///
/// # Errors
///
/// Fails if there is no slot, the caller has gone, or the request is quarantined.
pub(crate) async fn admit(
    active: &ActiveCall,
    prompt: u64,
    avoid: &[id::Upstream],
) -> Result<Admitted, Error> {
    let attained = active.with_tree(|loaded| loaded.tree.ledger().spent());
    let request = Want {
        program: active.program,
        account: active.account.clone(),
        service: active.service_id(),
        attained: attained.unwrap_or(0),
        prompt,
        output: u64::from(active.call.max_tokens),
        wait_ms: active.shared.dependencies.timing.grant_wait_ms,
        avoid: avoid.to_vec(),
    };
    let fingerprint = fingerprint::of(&active.service_id(), &active.call.input);
    let suspects = &active.shared.suspects;
    let copy = tokio::select! {
        copy = suspects.start_copy(fingerprint, request.wait_ms) => copy?,
        () = active.events.closed() => return Err(caller_disconnected()),
    };
    let grants = &active.shared.dependencies.grants;
    let grant = tokio::select! {
        grant = trace::span(Hop::Grant, grants.acquire(&request)) => grant?,
        () = active.events.closed() => return Err(caller_disconnected()),
    };
    let permit = suspects.admit(copy, &grant.upstream).await;
    let permit = match permit {
        Ok(permit) => permit,
        Err(error) => {
            grants.give_back(grant, End::Cancelled);
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
    let mut error = Error::new(Kind::Interrupted, "the caller went away");
    error.ran = Ran::No;
    error
}

/// Judges a failed attempt, and records a crash durably before there is another.
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
        .give_back(grant, End::Failed);
    match failure {
        Failure::Unsent => {
            permit.abandon();
            let error = Error::new(Kind::UpstreamUnavailable, "the upstream was not reached");
            FailedAttempt {
                error,
                may_have_run: false,
                retry_without: Some(upstream),
            }
        }
        Failure::Refused(status) => {
            permit.abandon();
            let message = format!("the upstream answered with status {status}");
            FailedAttempt {
                error: Error::new(Kind::UpstreamFailed, message),
                may_have_run: true,
                retry_without: status.is_server_error().then_some(upstream),
            }
        }
        Failure::TimedOut => {
            permit.abandon();
            let error = Error::new(Kind::TimedOut, "the upstream did not answer in time");
            FailedAttempt::without_retry(error, true)
        }
        Failure::Broken => {
            let outcome = handle_broken_connection(active, permit, probe).await;
            let message = "the upstream failed while it ran the request";
            FailedAttempt {
                error: Error::new(Kind::UpstreamFailed, message),
                may_have_run: true,
                retry_without: (outcome == CrashOutcome::Recorded).then_some(upstream),
            }
        }
    }
}

/// Returns what tells whether the upstream of a grant crashed.
pub(crate) fn crash_probe(active: &ActiveCall, grant: &Grant) -> Probe {
    let address = grant.address;
    match active.service.target {
        Target::Model { .. } => Probe::Engine {
            address,
            epoch: grant.epoch,
        },
        Target::Plain { .. } => Probe::Service { address },
    }
}

/// Tells a crash of the upstream from a connection that broke, and records a crash.
pub(crate) async fn handle_broken_connection(
    active: &ActiveCall,
    permit: SendPermit,
    probe: Probe,
) -> CrashOutcome {
    if !probe.may_have_crashed(&active.shared.control).await {
        permit.abandon();
        return CrashOutcome::Recorded;
    }
    permit.record_crash(&active.shared.dependencies.log).await
}

/// Counts the attempts of one call.
#[derive(Debug)]
pub(crate) struct Attempts {
    shared: Arc<Shared>,
    number: u32,
    may_have_run: bool,
    failed_upstreams: Vec<id::Upstream>,
}

impl Attempts {
    /// Opens the count of a call.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        shared.lock_retry_budget().deposit();
        Self {
            shared: Arc::clone(shared),
            number: 0,
            may_have_run: false,
            failed_upstreams: Vec::new(),
        }
    }

    /// Starts an attempt and returns its number, from one.
    pub(crate) fn start_next(&mut self) -> u32 {
        self.number += 1;
        self.number
    }

    /// Returns the upstreams that failed.
    pub(crate) fn failed_upstreams(&self) -> &[id::Upstream] {
        &self.failed_upstreams
    }

    /// Notes a failed attempt.
    ///
    /// # Errors
    ///
    /// Says what the caller is told if there is no other attempt.
    pub(crate) fn record_failure(&mut self, failure: FailedAttempt) -> Result<(), Error> {
        self.may_have_run |= failure.may_have_run;
        let error = match self.may_have_run {
            true => as_possibly_run(failure.error),
            false => failure.error,
        };
        let Some(upstream) = failure.retry_without else {
            return Err(error);
        };
        if self.number >= MAX_ATTEMPTS || !self.shared.lock_retry_budget().withdraw() {
            return Err(error);
        }
        self.failed_upstreams.push(upstream);
        Ok(())
    }
}

/// Returns the error of a call that may have been run in part by an earlier attempt.
fn as_possibly_run(error: Error) -> Error {
    if error.ran != Ran::No {
        return error;
    }
    Error::new(Kind::UpstreamFailed, error.message)
}
