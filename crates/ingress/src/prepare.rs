//! Loads what a turn needs before it is placed, and decides whether its program is admitted.

use std::sync::Arc;

use basilramp_core::dispatch::admission::NewProgram;
use basilramp_core::dispatch::config::Route;
use basilramp_core::dispatch::outage;
use basilramp_core::dispatch::request::{Program, Rejection};
use basilramp_core::dispatch::transcript::TranscriptBuilder;
use basilramp_process::event;

use crate::active_request::ActiveRequest;
use crate::log_event::Event;
use crate::{budget, config_copy, turn_store};

/// Loads the budget of a turn's program. Returns `None` for a request without a budget.
///
/// # Errors
///
/// Returns a rejection if the budget is spent or the store does not respond in time.
pub(crate) async fn load_budget(
    request: &ActiveRequest,
) -> Result<Option<budget::TurnBudget>, Rejection> {
    let Some(program) = request
        .headers
        .program
        .as_ref()
        .filter(|_| request.kind.is_stream())
    else {
        return Ok(None);
    };
    let Some(budget) = program.budget else {
        return Ok(None);
    };
    let max_tokens = u64::from(request.headers.max_output_tokens);
    let usual = request.scoped(&program.id);
    let earlier = request.earlier_scope.as_ref();
    let earlier = earlier.map(|scope| scope.id(&program.id));
    let program = Program {
        id: budget::find(&request.state, usual, earlier, request.deadline).await?,
        ..program.clone()
    };
    budget::load(
        &request.state,
        &program,
        budget,
        max_tokens,
        request.deadline,
    )
    .await
    .map(Some)
}

/// Admits a new program or rejects it before any of its turns has run.
///
/// # Errors
///
/// Returns a rejection while the engines are overloaded.
pub(crate) fn check_admission(
    request: &ActiveRequest,
    budget: &budget::TurnBudget,
) -> Result<(), Rejection> {
    let Some(program) = request.headers.program.as_ref().filter(|_| budget.is_new()) else {
        return Ok(());
    };
    let state = &request.state;
    let account = request.account_name();
    let new = NewProgram {
        service: &request.service,
        route: &request.route,
        program: &request.scoped(&program.id),
        account: &account,
        priority: request.priority,
        remaining_ms: program.remaining_ms,
    };
    let decision = state.admission().decide(&new, rand::random(), state.now());
    state.metrics.program(&decision);
    let Some(retry_ms) = decision.retry_ms else {
        return Ok(());
    };
    request.mark_logged();
    if state.allows_log_line(Event::TurnedAway) {
        event!(
            state.log,
            Event::TurnedAway,
            "request" => &*request.attempt_id,
            "account" => request.account(),
            "program" => &*program.id,
            "account" => request.client.as_ref().map(|client| &*client.account.name),
            "priority" => request.priority,
            "service" => &*request.service,
            "slowdown" => decision.slowdown,
            "threshold" => decision.threshold,
            "cause" => decision.cause.label(),
            "retry_ms" => retry_ms
        );
    }
    Err(Rejection::NotRun(retry_ms))
}

/// Loads the previous turns. Returns the start of the turn's transcript and the upstream of the
/// previous turn.
///
/// # Errors
///
/// Returns a rejection if there is no such turn or the store does not respond in time.
pub(crate) async fn load_transcript(
    request: &ActiveRequest,
    route: &Route,
) -> Result<Option<(TranscriptBuilder, Option<Arc<str>>)>, Rejection> {
    if route.retention_ms.is_none() {
        return Ok(None);
    }
    let previous_turn = match &request.headers.previous_turn {
        Some(previous) => Some(load_turn(request, previous).await?),
        None => None,
    };
    let transcript = previous_turn.as_ref().map(|turn| &*turn.transcript);
    let transcript = TranscriptBuilder::new(transcript, &request.body);
    Ok(Some((transcript, previous_turn.map(|turn| turn.upstream))))
}

/// Loads the turn that its caller names `turn`.
async fn load_turn(
    request: &ActiveRequest,
    turn: &Arc<str>,
) -> Result<turn_store::Turn, Rejection> {
    let state = &request.state;
    for id in request.readable(turn) {
        match turn_store::load(state, &id, request.deadline).await {
            Err(Rejection::NoTurn) => {}
            result => return result,
        }
    }
    // By a newer configuration, it may have been stored as another's.
    let is_confirmed = config_copy::confirm(state, request.arrived, request.deadline).await;
    if is_confirmed && state.config_version() == request.config_version {
        return Err(Rejection::NoTurn);
    }
    Err(Rejection::NotRun(outage::retry_after_hold_ms()))
}
