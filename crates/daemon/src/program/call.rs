//! Takes calls: finds recorded answers, refuses, or has the call run.

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

use super::busy::Work;
use super::load::{self, Lease};
use super::shelf::{Entry, TreeKey};
use super::turn::Place;
use super::{Shared, end, intent, model, plain, refusal, settle, view};
use crate::{clock, trace};

/// A call that runs.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) shared: Arc<Shared>,
    pub(crate) tree: TreeKey,
    pub(crate) member: Key,
    pub(crate) program: id::Program,
    pub(crate) account: id::Account,
    pub(crate) call: Call,
    pub(crate) service: Service,
    pub(crate) events: mpsc::Sender<Event>,
    /// Keeps the partition from being handed over.
    pub(crate) work: Work,
}

impl Run {
    /// Returns the id of the service called.
    pub(crate) fn service_id(&self) -> id::Service {
        id::Service::new(self.call.service.as_str())
    }

    /// Returns where the call's turn belongs.
    pub(crate) fn place(&self) -> Place {
        Place {
            tree: self.tree,
            member: self.member,
            program: self.program,
        }
    }

    /// Works on the call's tree, if it is still held here.
    pub(crate) fn with<R>(&self, work: impl FnOnce(&mut Entry) -> R) -> Option<R> {
        self.shared.with(self.tree, work)
    }

    /// Takes the call back and tells the caller why.
    pub(crate) async fn refuse(self, error: Error) {
        trace::fail(&error);
        self.with(|entry| {
            entry.tree.cancel_call(self.member);
            end::release_late(&self.shared, entry, self.program);
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
    let work = shared.busy.start(program.partition());
    let start = start(&shared, &account, program, &call).await;
    let started = match start {
        Ok(started) => started,
        Err(error) => {
            let _ = events.send(Event::Error(error)).await;
            return;
        }
    };
    let member = match started.begin {
        CallStart::Recorded(member, position) => {
            let event = shared.with(started.tree, |entry| {
                view::recorded(&entry.tree, member, program, position)
            });
            let event = event.unwrap_or_else(|| Event::Error(refusal::lost()));
            let _ = events.send(repeated(event, call.provisional)).await;
            return;
        }
        CallStart::Started(member) => member,
    };
    let config = shared.parts.config.current();
    let service = config
        .services
        .get(&id::Service::new(call.service.as_str()));
    let Some(service) = service.cloned() else {
        shared.with(started.tree, |entry| entry.tree.cancel_call(member));
        let error = Error::new(Kind::NotFound, format!("no service {}", call.service));
        let _ = events.send(Event::Error(error)).await;
        return;
    };
    let run = Run {
        shared,
        tree: started.tree,
        member,
        program,
        account,
        call,
        service,
        events,
        work,
    };
    match run.service.target {
        Target::Model { .. } => model::run(run).await,
        Target::Plain {
            idempotent: true, ..
        } => plain::run(run).await,
        Target::Plain {
            idempotent: false, ..
        } => intent::run(run).await,
    }
}

/// Returns the last event of a call as its repetition gets it.
fn repeated(event: Event, provisional: bool) -> Event {
    match event {
        Event::Final(answer) if answer.provisional && !provisional => {
            Event::Error(refusal::error(Rejection::InProgress))
        }
        Event::Final(mut answer) => {
            answer.recorded = true;
            Event::Final(answer)
        }
        event => event,
    }
}

struct Started {
    tree: TreeKey,
    begin: CallStart,
}

async fn start(
    shared: &Arc<Shared>,
    account: &id::Account,
    program: id::Program,
    call: &Call,
) -> Result<Started, Error> {
    let ask = ask(call)?;
    let tree = load::touch(shared, program, Lease::Any).await?;
    let first = begin(shared, tree, account, program, call, ask.clone())?;
    let refused = match first {
        Ok(begin) => return Ok(Started { tree, begin }),
        Err(refused) => refused,
    };
    match refused {
        Rejection::InDoubt | Rejection::Blocked(_) => {
            settle::by_status(shared, tree, program).await;
            let second = begin(shared, tree, account, program, call, ask)?;
            let begin = second.map_err(refusal::error)?;
            return Ok(Started { tree, begin });
        }
        Rejection::Exceeded(Exceeded::Turns | Exceeded::Wall) => {
            end::spawn(shared, program.tree_root())
        }
        _ => {}
    }
    Err(refusal::error(refused))
}

fn begin(
    shared: &Shared,
    tree: TreeKey,
    account: &id::Account,
    program: id::Program,
    call: &Call,
    ask: TurnRequest,
) -> Result<Result<CallStart, Rejection>, Error> {
    let now = Time::from_ms(clock::unix_time_ms());
    let mut shelf = shared.lock();
    let full = shelf.uncommitted() >= shared.parts.limits.uncommitted_bytes;
    let entry = shelf.get_mut(tree).ok_or_else(refusal::lost)?;
    if entry.tree.account() != account {
        return Err(refusal::missing());
    }
    let begun = entry
        .tree
        .begin_call(program.number(), call.position, ask, now);
    if let Ok(CallStart::Started(member)) = begun
        && full
    {
        entry.tree.cancel_call(member);
        return Err(refusal::store());
    }
    Ok(begun)
}

fn ask(call: &Call) -> Result<TurnRequest, Error> {
    let body = Call {
        provisional: false,
        ..call.clone()
    };
    let body =
        serde_json::to_vec(&body).map_err(|_| Error::new(Kind::BadRequest, "unreadable body"))?;
    Ok(TurnRequest {
        id: id::Request::new(call.request_id.as_str()),
        body_digest: Digest::from_parts([body.as_slice()]),
        service: id::Service::new(call.service.as_str()),
        input: Arc::from(call.input.as_str()),
    })
}
