//! One attempt of a call at an upstream, and when there is another.

use std::sync::Arc;

use basilramp_core::fingerprint;
use basilramp_core::id;
use basilramp_wire::config::Target;
use basilramp_wire::error::{Error, Executed, Kind};

use super::Shared;
use super::call::Run;
use crate::engine::Failure;
use crate::grant::{CallOutcome, Grant, SlotRequest};
use crate::probe::Probe;
use crate::suspect::{Crash, Pass};
use crate::trace::{self, Hop};

/// Attempts of one call, the first among them.
const MAX_ATTEMPTS: u32 = 4;

/// A failed attempt.
#[derive(Debug)]
pub(crate) struct Fault {
    /// What the caller is told if there is no other attempt.
    pub(crate) error: Error,
    /// Whether the upstream may have run any of it.
    pub(crate) sent: bool,
    /// The upstream that another attempt leaves out; nothing if there may be none.
    pub(crate) retry: Option<id::Upstream>,
}

impl Fault {
    /// Makes a fault after which the call is given up.
    pub(crate) fn last(error: Error, sent: bool) -> Self {
        Self {
            error,
            sent,
            retry: None,
        }
    }
}

impl From<Error> for Fault {
    fn from(error: Error) -> Self {
        Self::last(error, false)
    }
}

/// A slot, and leave to use it for the request.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) grant: Grant,
    pub(crate) pass: Pass,
}

/// Waits for a slot and checks that the request may be sent there.
///
/// # Errors
///
/// Fails if there is no slot, the caller has gone, or the request is quarantined.
pub(crate) async fn admit(
    run: &Run,
    prompt: u64,
    avoid: &[id::Upstream],
) -> Result<Admitted, Error> {
    let attained = run.with(|entry| entry.tree.ledger().spent());
    let want = SlotRequest {
        program: run.program,
        account: run.account.clone(),
        service: run.service_id(),
        attained: attained.unwrap_or(0),
        prompt,
        output: u64::from(run.call.max_tokens),
        wait_ms: run.shared.parts.timing.grant_wait_ms,
        avoid: avoid.to_vec(),
    };
    let fingerprint = fingerprint::compute(&run.service_id(), &run.call.input);
    let suspects = &run.shared.suspects;
    let flight = tokio::select! {
        flight = suspects.enter(fingerprint, want.wait_ms) => flight?,
        () = run.events.closed() => return Err(gone()),
    };
    let grants = &run.shared.parts.grants;
    let grant = tokio::select! {
        grant = trace::span(Hop::Grant, grants.acquire(&want)) => grant?,
        () = run.events.closed() => return Err(gone()),
    };
    let pass = suspects.admit(flight, &grant.upstream).await;
    let pass = match pass {
        Ok(pass) => pass,
        Err(error) => {
            grants.release(grant, CallOutcome::Cancelled);
            return Err(error);
        }
    };
    run.with(|entry| {
        let holders = entry.holders.entry(run.program).or_default();
        holders.insert(grant.upstream.clone());
    });
    Ok(Admitted { grant, pass })
}

fn gone() -> Error {
    let mut error = Error::new(Kind::Interrupted, "the caller went away");
    error.ran = Executed::No;
    error
}

/// Judges a failed attempt, and records a crash durably before there is another.
pub(crate) async fn failed(run: &Run, pass: Pass, grant: Grant, failure: Failure) -> Fault {
    let upstream = grant.upstream.clone();
    let probe = probe(run, &grant);
    run.shared.parts.grants.release(grant, CallOutcome::Failed);
    match failure {
        Failure::Unsent => {
            pass.abandoned();
            let error = Error::new(Kind::UpstreamUnavailable, "the upstream was not reached");
            Fault {
                error,
                sent: false,
                retry: Some(upstream),
            }
        }
        Failure::Refused(status) => {
            pass.abandoned();
            let message = format!("the upstream answered with status {status}");
            Fault {
                error: Error::new(Kind::UpstreamFailed, message),
                sent: true,
                retry: status.is_server_error().then_some(upstream),
            }
        }
        Failure::TimedOut => {
            pass.abandoned();
            let error = Error::new(Kind::TimedOut, "the upstream did not answer in time");
            Fault::last(error, true)
        }
        Failure::Broken => {
            let crash = broken(run, pass, probe).await;
            let message = "the upstream failed while it ran the request";
            Fault {
                error: Error::new(Kind::UpstreamFailed, message),
                sent: true,
                retry: (crash == Crash::Recorded).then_some(upstream),
            }
        }
    }
}

/// Returns what tells whether the upstream of a grant crashed.
pub(crate) fn probe(run: &Run, grant: &Grant) -> Probe {
    let address = grant.address;
    match run.service.target {
        Target::Model { .. } => Probe::Engine {
            address,
            epoch: grant.epoch,
        },
        Target::Plain { .. } => Probe::Service { address },
    }
}

/// Tells a crash of the upstream from a connection that broke, and records a crash.
pub(crate) async fn broken(run: &Run, pass: Pass, probe: Probe) -> Crash {
    if !probe.may_have_crashed(&run.shared.control).await {
        pass.abandoned();
        return Crash::Recorded;
    }
    pass.crashed(&run.shared.parts.log).await
}

/// Counts the attempts of one call.
#[derive(Debug)]
pub(crate) struct Tries {
    shared: Arc<Shared>,
    number: u32,
    sent: bool,
    avoid: Vec<id::Upstream>,
}

impl Tries {
    /// Opens the count of a call.
    pub(crate) fn open(shared: &Arc<Shared>) -> Self {
        shared.retries().deposit();
        Self {
            shared: Arc::clone(shared),
            number: 0,
            sent: false,
            avoid: Vec::new(),
        }
    }

    /// Starts an attempt and returns its number, from one.
    pub(crate) fn start(&mut self) -> u32 {
        self.number += 1;
        self.number
    }

    /// Returns the upstreams that failed.
    pub(crate) fn avoid(&self) -> &[id::Upstream] {
        &self.avoid
    }

    /// Notes a failed attempt.
    ///
    /// # Errors
    ///
    /// Says what the caller is told if there is no other attempt.
    pub(crate) fn failed(&mut self, fault: Fault) -> Result<(), Error> {
        self.sent |= fault.sent;
        let error = match self.sent {
            true => part_run(fault.error),
            false => fault.error,
        };
        let Some(upstream) = fault.retry else {
            return Err(error);
        };
        if self.number >= MAX_ATTEMPTS || !self.shared.retries().try_withdraw() {
            return Err(error);
        }
        self.avoid.push(upstream);
        Ok(())
    }
}

/// Returns the error of a call that may have been run in part by an earlier attempt.
fn part_run(error: Error) -> Error {
    if error.ran != Executed::No {
        return error;
    }
    Error::new(Kind::UpstreamFailed, error.message)
}
