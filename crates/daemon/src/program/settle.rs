//! Settles calls in doubt: by the service's own word, or by an operator's.

use std::sync::Arc;

use basilramp_core::history::{Outcome, State, Usage};
use basilramp_core::id;
use basilramp_core::tree::Phase;
use basilramp_platform::table::Write;
use basilramp_wire::config::{Service, Target};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::Settlement;
use basilramp_wire::record::AuditEntry;

use super::load::{self, Lease};
use super::shelf::{Entry, TreeKey};
use super::turn::{self, Ended, Place};
use super::{Shared, plain, refusal, row};
use crate::clock;
use crate::grant::{CallOutcome, SlotRequest};
use crate::log::{Event, event};
use crate::service::Answer;

/// Milliseconds that a look-up waits for a slot and for its answer.
const LOOK_UP_MS: u64 = 1_000;

struct Doubt {
    place: Place,
    position: u32,
    service: id::Service,
    account: id::Account,
}

/// Tells whether a service tells the outcome of earlier calls.
pub(crate) fn has_status(service: &Service) -> bool {
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
/// Returns whether the outcome is durable. A service that does not know the call proves nothing:
/// the call may still be on its way.
pub(crate) async fn by_status(shared: &Arc<Shared>, tree: TreeKey, program: id::Program) -> bool {
    let found = shared.with(tree, |entry| find(entry, tree, program));
    let Some(Some(doubt)) = found else {
        return false;
    };
    let Some(answer) = look_up(shared, &doubt).await else {
        return false;
    };
    let outcome = plain::outcome(answer);
    let settled = record(shared, doubt.place, outcome, Vec::new()).await;
    if settled.is_ok() {
        event!(shared.parts.log, Event::CallResolved,
            "program" => %program, "position" => doubt.position);
    }
    settled.is_ok()
}

/// Settles a call in doubt by an operator's word, with an audit record.
///
/// A call that did not take effect leaves a failed turn: its position is not free again, as an
/// owner that was paused may still send it.
pub(crate) async fn by_operator(
    shared: &Arc<Shared>,
    operator: &str,
    program: id::Program,
    settlement: Settlement,
) -> Result<(), Error> {
    let _work = shared.busy.start(program.partition());
    let tree = load::touch(shared, program, Lease::Valid).await?;
    let found = shared.with(tree, |entry| find(entry, tree, program));
    let found = found.ok_or_else(refusal::lost)?;
    let position = settlement.position;
    let doubt = found.filter(|doubt| doubt.position == position);
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
    let outcome = outcome(settlement);
    let also = vec![row::audit(&audit, program, position)];
    record(shared, doubt.place, outcome, also).await?;
    event!(shared.parts.log, Event::CallSettled, "operator" => operator,
        "program" => %program, "position" => position);
    Ok(())
}

fn outcome(settlement: Settlement) -> Outcome {
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

fn find(entry: &Entry, tree: TreeKey, program: id::Program) -> Option<Doubt> {
    let member = entry.tree.key(program.number())?;
    if entry.tree.phase(member)? != Phase::InDoubt {
        return None;
    }
    let history = entry.tree.history(member)?;
    let intent = history.intent()?;
    Some(Doubt {
        place: Place {
            tree,
            member,
            program,
        },
        position: history.next_position() - 1,
        service: intent.request.service.clone(),
        account: entry.tree.account().clone(),
    })
}

/// Records the outcome of a call in doubt, unless another has done so meanwhile.
async fn record(
    shared: &Arc<Shared>,
    place: Place,
    outcome: Outcome,
    also: Vec<Write>,
) -> Result<(), Error> {
    let ended = Ended {
        outcome,
        held: 0,
        intended: true,
        next_output: 0,
    };
    let room = turn::room(shared, place, &ended).await?;
    let pending = shared.with(place.tree, |entry| {
        let phase = entry.tree.phase(place.member);
        if phase != Some(Phase::InDoubt) {
            return Err(not_in_doubt());
        }
        turn::append(entry, place, &ended, also, room)
    });
    let pending = pending.ok_or_else(refusal::lost)??;
    turn::settled(shared, place, pending).await
}

async fn look_up(shared: &Shared, doubt: &Doubt) -> Option<Answer> {
    let config = shared.parts.config.current();
    let service = config.services.get(&doubt.service)?;
    let path = status_path(service)?;
    let want = SlotRequest {
        program: doubt.place.program,
        account: doubt.account.clone(),
        service: doubt.service.clone(),
        attained: 0,
        prompt: 0,
        output: 0,
        wait_ms: LOOK_UP_MS,
        avoid: Vec::new(),
    };
    let grants = &shared.parts.grants;
    let grant = grants.acquire(&want).await.ok()?;
    let key = plain::key(doubt.place.program, doubt.position);
    let path = format!("{path}/{key}");
    let answer = shared.services.read(grant.address, &path, LOOK_UP_MS).await;
    grants.release(grant, CallOutcome::Cancelled);
    answer.ok().filter(|answer| answer.status.is_success())
}
