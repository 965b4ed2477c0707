//! Calls of idempotent plain services.

use std::sync::Arc;

use basilramp_core::history::{Outcome, State, Usage};
use basilramp_core::id;
use basilramp_wire::config::Target;
use basilramp_wire::error::{Error, Kind};

use super::attempt::{self, Admitted, Attempts, FailedAttempt};
use super::call::ActiveCall;
use super::turn::{self, CompletedCall};
use crate::grant::{CallOutcome, Grant};
use crate::service::{ServiceRequest, ServiceResponse};
use crate::trace::{self, Hop};

/// Runs a call of an idempotent plain service.
pub(crate) async fn run(active: ActiveCall) {
    let mut attempts = Attempts::new(&active.shared);
    let response = loop {
        let attempt_number = attempts.start_next();
        let failure = match run_attempt(&active, attempt_number, attempts.failed_upstreams()).await
        {
            Ok(response) => break response,
            Err(failure) => failure,
        };
        if let Err(error) = attempts.record_failure(failure) {
            return active.abandon_with_error(error).await;
        }
    };
    let completed = CompletedCall {
        outcome: outcome_from_response(response),
        allocated_tokens: 0,
        has_intent: false,
        next_output_tokens: 0,
    };
    turn::finish(active, completed).await;
}

async fn run_attempt(
    active: &ActiveCall,
    attempt_number: u32,
    failed_upstreams: &[id::Upstream],
) -> Result<ServiceResponse, FailedAttempt> {
    let Admitted { grant, permit } = attempt::admit(active, 0, failed_upstreams).await?;
    let request = build_request(active, attempt_number, &grant);
    let sending = active
        .shared
        .services
        .send(&request, active.service.timeout_ms);
    let sending = trace::in_child_span(Hop::Upstream, sending);
    let result = tokio::select! {
        result = sending => result,
        () = active.events.closed() => {
            active.shared.dependencies.grants.release(grant, CallOutcome::Cancelled);
            permit.abandon();
            let error = Error::new(Kind::Interrupted, "the caller disconnected");
            return Err(FailedAttempt::without_retry(error, true));
        }
    };
    let grants = &active.shared.dependencies.grants;
    match result {
        Ok(response) if response.status.is_server_error() => {
            grants.release(grant.clone(), CallOutcome::Failed);
            permit.abandon();
            let message = format!("the service responded with status {}", response.status);
            Err(FailedAttempt {
                error: Error::new(Kind::UpstreamFailed, message),
                may_have_run: true,
                retry_without: Some(grant.upstream),
            })
        }
        Ok(response) => {
            grants.release(
                grant,
                CallOutcome::Completed(basilramp_wire::api::Usage::default()),
            );
            permit.complete();
            Ok(response)
        }
        Err(failure) => Err(attempt::handle_failure(active, permit, grant, failure).await),
    }
}

/// Returns the request of a call.
pub(crate) fn build_request(
    active: &ActiveCall,
    attempt_number: u32,
    grant: &Grant,
) -> ServiceRequest {
    let path = match &active.service.target {
        Target::Plain { path, .. } => path.clone(),
        Target::Model { .. } => String::new(),
    };
    ServiceRequest {
        address: grant.address,
        path,
        attempt_id: format!(
            "{}/{}/{attempt_number}",
            active.program, active.call.position
        ),
        idempotency_key: idempotency_key(active.program, active.call.position),
        body: Arc::from(active.call.input.as_str()),
    }
}

/// Returns the idempotency key of a call, which also identifies it in status queries.
pub(crate) fn idempotency_key(program: id::Program, position: u32) -> String {
    format!("{program}.{position}")
}

/// Converts a response into the outcome of a turn.
pub(crate) fn outcome_from_response(response: ServiceResponse) -> Outcome {
    let usage = Usage::default();
    if response.status.is_success() {
        return Outcome {
            state: State::Done,
            output: response.body,
            usage,
        };
    }
    let text = format!("status {}: {}", response.status, response.body);
    Outcome {
        state: State::Failed,
        output: text.into(),
        usage,
    }
}
