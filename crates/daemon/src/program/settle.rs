//! Settles calls in doubt by a status query to the service or by an operator's decision.

use std::sync::Arc;

use basilramp_core::history::{Outcome, State, Usage};
use basilramp_core::id;
use basilramp_core::tree::Phase;
use basilramp_platform::table::Write;
use basilramp_wire::config::{Service, Target};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::Settlement;
use basilramp_wire::record::AuditEntry;

use super::load::{self, LeaseRequirement};
use super::loaded_trees::{LoadedTree, TreeKey};
use super::turn::{self, CompletedCall, TurnLocation};
use super::{Shared, plain, rejection, row};
use crate::clock;
use crate::grant::{CallOutcome, SlotRequest};
use crate::log::{Event, event};
use crate::service::ServiceResponse;

/// Timeout of a status query, once for the slot and once for the response.
const STATUS_QUERY_TIMEOUT_MS: u64 = 1_000;

struct CallInDoubt {
    location: TurnLocation,
    position: u32,
    service: id::Service,
    account: id::Account,
}

/// Returns whether a service supports status queries for earlier calls.
pub(crate) fn has_status_path(service: &Service) -> bool {
    status_path(service).is_some()
}

fn status_path(service: &Service) -> Option<&str> {
    match &service.target {
        Target::Plain { status_path, .. } => status_path.as_deref(),
        Target::Model { .. } => None,
    }
}

/// Settles the call in doubt of a program if its service knows the outcome.
///
/// Returns whether the outcome is durable. If the service does not know the call, the call stays in
/// doubt, as the request may still be in flight.
pub(crate) async fn resolve_by_status(
    shared: &Arc<Shared>,
    tree: TreeKey,
    program: id::Program,
) -> bool {
    let in_doubt = shared.with_tree(tree, |loaded| find_in_doubt(loaded, tree, program));
    let Some(Some(doubt)) = in_doubt else {
        return false;
    };
    let Some(response) = query_status(shared, &doubt).await else {
        return false;
    };
    let outcome = plain::outcome_from_response(response);
    let result = record_outcome(shared, doubt.location, outcome, Vec::new()).await;
    if result.is_ok() {
        event!(shared.dependencies.log, Event::CallResolved,
            "program" => %program, "position" => doubt.position);
    }
    result.is_ok()
}

/// Settles a call in doubt by an operator's decision, with an audit record.
///
/// A call that did not take effect is recorded as a failed turn. Its position is not reused, as a
/// paused earlier owner may still send the request.
pub(crate) async fn resolve_by_operator(
    shared: &Arc<Shared>,
    operator: &str,
    program: id::Program,
    settlement: Settlement,
) -> Result<(), Error> {
    let _activity = shared.activity.start(program.partition());
    let tree = load::get_or_load(shared, program, LeaseRequirement::Valid).await?;
    let in_doubt = shared.with_tree(tree, |loaded| find_in_doubt(loaded, tree, program));
    let in_doubt = in_doubt.ok_or_else(rejection::program_lost)?;
    let position = settlement.position;
    let doubt = in_doubt.filter(|doubt| doubt.position == position);
    let doubt = doubt.ok_or_else(not_in_doubt)?;
    let action = format!(
        "settle {program} position {position}: ran {}",
        settlement.ran
    );
    let audit = AuditEntry {
        operator: operator.to_owned(),
        at_ms: clock::unix_time_ms(),
        action,
        reason: settlement.reason.clone(),
    };
    let outcome = settlement_outcome(settlement);
    let extra_writes = vec![row::put_audit(&audit, program, position)];
    record_outcome(shared, doubt.location, outcome, extra_writes).await?;
    event!(shared.dependencies.log, Event::CallSettled, "operator" => operator,
        "program" => %program, "position" => position);
    Ok(())
}

fn settlement_outcome(settlement: Settlement) -> Outcome {
    let (state, output) = match settlement.ran {
        true => (State::Done, settlement.output),
        false => {
            let reason = settlement.reason;
            let text = format!("an operator found that it took no effect: {reason}");
            (State::Failed, text)
        }
    };
    Outcome {
        state,
        output: output.into(),
        usage: Usage::default(),
    }
}

fn not_in_doubt() -> Error {
    Error::new(Kind::Invalid, "the call at this position is not in doubt")
}

fn find_in_doubt(loaded: &LoadedTree, tree: TreeKey, program: id::Program) -> Option<CallInDoubt> {
    let member = loaded.tree.key(program.number())?;
    if loaded.tree.phase(member)? != Phase::InDoubt {
        return None;
    }
    let history = loaded.tree.history(member)?;
    let intent = history.intent()?;
    Some(CallInDoubt {
        location: TurnLocation {
            tree,
            member,
            program,
        },
        position: history.next_position() - 1,
        service: intent.request.service.clone(),
        account: loaded.tree.account().clone(),
    })
}

/// Records the outcome of a call in doubt, unless it was settled in the meantime.
async fn record_outcome(
    shared: &Arc<Shared>,
    location: TurnLocation,
    outcome: Outcome,
    extra_writes: Vec<Write>,
) -> Result<(), Error> {
    let completed = CompletedCall {
        outcome,
        allocated_tokens: 0,
        has_intent: true,
        next_output_tokens: 0,
    };
    let permit = turn::acquire_permit(shared, location, &completed).await?;
    let pending = shared.with_tree(location.tree, |loaded| {
        let phase = loaded.tree.phase(location.member);
        if phase != Some(Phase::InDoubt) {
            return Err(not_in_doubt());
        }
        turn::append_and_queue(loaded, location, &completed, extra_writes, permit)
    });
    let pending = pending.ok_or_else(rejection::program_lost)??;
    turn::wait_durable(shared, location, pending).await
}

async fn query_status(shared: &Shared, doubt: &CallInDoubt) -> Option<ServiceResponse> {
    let config = shared.dependencies.config.current();
    let service = config.services.get(&doubt.service)?;
    let path = status_path(service)?;
    let request = SlotRequest {
        program: doubt.location.program,
        account: doubt.account.clone(),
        service: doubt.service.clone(),
        attained: 0,
        prompt: 0,
        output: 0,
        wait_ms: STATUS_QUERY_TIMEOUT_MS,
        avoid: Vec::new(),
    };
    let grants = &shared.dependencies.grants;
    let grant = grants.acquire(&request).await.ok()?;
    let key = plain::idempotency_key(doubt.location.program, doubt.position);
    let path = format!("{path}/{key}");
    let response = shared
        .services
        .get(grant.address, &path, STATUS_QUERY_TIMEOUT_MS)
        .await;
    grants.release(grant, CallOutcome::Cancelled);
    response
        .ok()
        .filter(|response| response.status.is_success())
}
