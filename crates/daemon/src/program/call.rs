//! Entry point of calls: returns a recorded response, rejects the call, or runs it.

use std::sync::Arc;

use basilramp_core::budget::Exceeded;
use basilramp_core::clock::Time;
use basilramp_core::history::{Digest, TurnRequest};
use basilramp_core::id;
use basilramp_core::tree::{CallStart, Key, Rejection};
use basilramp_wire::api::{Call, Event};
use basilramp_wire::config::{Service, Target};
use basilramp_wire::error::{Error, Kind};
use tokio::sync::mpsc;

use super::activity::ActivityGuard;
use super::load::{self, LeaseRequirement};
use super::loaded_trees::{LoadedTree, TreeKey};
use super::turn::TurnLocation;
use super::{Shared, end, intent, model, plain, rejection, settle, view};
use crate::{clock, trace};

/// A call in progress.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    pub(crate) shared: Arc<Shared>,
    pub(crate) tree: TreeKey,
    pub(crate) member: Key,
    pub(crate) program: id::Program,
    pub(crate) account: id::Account,
    pub(crate) call: Call,
    pub(crate) service: Service,
    pub(crate) events: mpsc::Sender<Event>,
    /// Prevents the handover of the partition while the call is in progress.
    pub(crate) activity: ActivityGuard,
}

impl ActiveCall {
    /// Returns the id of the called service.
    pub(crate) fn service_id(&self) -> id::Service {
        id::Service::new(self.call.service.as_str())
    }

    /// Returns the location of the call's turn.
    pub(crate) fn turn_location(&self) -> TurnLocation {
        TurnLocation {
            tree: self.tree,
            member: self.member,
            program: self.program,
        }
    }

    /// Calls `f` with the call's tree, or returns `None` if it is no longer loaded.
    pub(crate) fn with_tree<R>(&self, f: impl FnOnce(&mut LoadedTree) -> R) -> Option<R> {
        self.shared.with_tree(self.tree, f)
    }

    /// Abandons the call, so that its position is free again, and sends the error to the caller.
    pub(crate) async fn abandon_with_error(self, error: Error) {
        trace::record_error(&error);
        self.with_tree(|loaded| {
            loaded.tree.cancel_call(self.member);
            end::release_if_ended(&self.shared, loaded, self.program);
        });
        let _ = self.events.send(Event::Error(error)).await;
    }
}

/// Runs a call and sends its events.
pub(crate) async fn run(
    shared: Arc<Shared>,
    account: id::Account,
    program: id::Program,
    call: Call,
    events: mpsc::Sender<Event>,
) {
    let activity = shared.activity.start(program.partition());
    let result = begin_call(&shared, &account, program, &call).await;
    let started = match result {
        Ok(started) => started,
        Err(error) => {
            let _ = events.send(Event::Error(error)).await;
            return;
        }
    };
    let member = match started.start {
        CallStart::Recorded(member, position) => {
            let event = shared.with_tree(started.tree, |loaded| {
                view::recorded_event(&loaded.tree, member, program, position)
            });
            let event = event.unwrap_or_else(|| {
                let cause = "the program was unloaded before its recorded turn was read";
                Event::Error(shared.program_lost(program, cause))
            });
            let _ = events.send(replay_event(event, call.provisional)).await;
            return;
        }
        CallStart::Started(member) => member,
    };
    let config = shared.dependencies.config.current();
    let service = config
        .services
        .get(&id::Service::new(call.service.as_str()));
    let Some(service) = service.cloned() else {
        shared.with_tree(started.tree, |loaded| loaded.tree.cancel_call(member));
        let error = Error::new(
            Kind::NotFound,
            format!("service {} does not exist", call.service),
        );
        let _ = events.send(Event::Error(error)).await;
        return;
    };
    let active = ActiveCall {
        shared,
        tree: started.tree,
        member,
        program,
        account,
        call,
        service,
        events,
        activity,
    };
    match active.service.target {
        Target::Model { .. } => model::run(active).await,
        Target::Plain {
            idempotent: true, ..
        } => plain::run(active).await,
        Target::Plain {
            idempotent: false, ..
        } => intent::run(active).await,
    }
}

/// Converts the last event of a call for a caller that repeats the request.
///
/// A provisional response is returned only to a caller that accepts one.
fn replay_event(event: Event, provisional: bool) -> Event {
    match event {
        Event::Final(response) if response.provisional && !provisional => {
            Event::Error(rejection::from_tree(Rejection::InProgress))
        }
        Event::Final(mut response) => {
            response.recorded = true;
            Event::Final(response)
        }
        event => event,
    }
}

struct Started {
    tree: TreeKey,
    start: CallStart,
}

async fn begin_call(
    shared: &Arc<Shared>,
    account: &id::Account,
    program: id::Program,
    call: &Call,
) -> Result<Started, Error> {
    let request = turn_request(call)?;
    let tree = load::get_or_load(shared, program, LeaseRequirement::Any).await?;
    let first = try_begin(shared, tree, account, program, call, request.clone())?;
    let reason = match first {
        Ok(start) => return Ok(Started { tree, start }),
        Err(reason) => reason,
    };
    match reason {
        Rejection::InDoubt | Rejection::Blocked(_) => {
            settle::resolve_by_status(shared, tree, program).await;
            let second = try_begin(shared, tree, account, program, call, request)?;
            let start = second.map_err(rejection::from_tree)?;
            return Ok(Started { tree, start });
        }
        Rejection::Exceeded(Exceeded::Turns | Exceeded::Wall) => {
            end::spawn(shared, program.tree_root())
        }
        _ => {}
    }
    Err(rejection::from_tree(reason))
}

fn try_begin(
    shared: &Shared,
    tree: TreeKey,
    account: &id::Account,
    program: id::Program,
    call: &Call,
    request: TurnRequest,
) -> Result<Result<CallStart, Rejection>, Error> {
    let now = Time::from_ms(clock::unix_time_ms());
    let mut trees = shared.lock();
    let is_full = trees.uncommitted_bytes() >= shared.dependencies.limits.uncommitted_bytes;
    let loaded = trees.get_mut(tree).ok_or_else(rejection::program_lost)?;
    if loaded.tree.account() != account {
        return Err(rejection::not_found());
    }
    let begun = loaded
        .tree
        .begin_call(program.number(), call.position, request, now);
    if let Ok(CallStart::Started(member)) = begun
        && is_full
    {
        loaded.tree.cancel_call(member);
        return Err(rejection::store_unavailable());
    }
    Ok(begun)
}

fn turn_request(call: &Call) -> Result<TurnRequest, Error> {
    let body = Call {
        provisional: false,
        ..call.clone()
    };
    let body = serde_json::to_vec(&body)
        .map_err(|_| Error::new(Kind::BadRequest, "the body can't be serialized"))?;
    Ok(TurnRequest {
        id: id::Request::new(call.request_id.as_str()),
        body_digest: Digest::from_parts([body.as_slice()]),
        service: id::Service::new(call.service.as_str()),
        input: Arc::from(call.input.as_str()),
    })
}
