//! The callers' HTTP paths.

use std::sync::Arc;

use basilramp_core::id;
use basilramp_wire::api::{Call, CreateProgram, Event, Program};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::Body as Ask;
use gotham::handler::HandlerResult;
use gotham::prelude::*;
use gotham::router::Router as Paths;
use gotham::router::builder::build_simple_router;
use gotham::state::State;
use http::{HeaderMap, StatusCode};
use serde::Deserialize;
use tokio::sync::mpsc::Receiver;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::auth::Keys;
use crate::log::{Event as LogEvent, event};
use crate::meter::Meter;
use crate::metric::{Outcome, Request};
use crate::route::{Router, parse};
use crate::trace::{self, Hop};
use crate::{admission, answer, body, front, log, metric};

/// When a caller should try again while the instance has too much to do.
const OVERLOAD_RETRY_MS: u64 = 1_000;

/// What the callers' paths work with.
#[derive(Debug)]
pub(crate) struct Api {
    pub(crate) router: Router,
    pub(crate) keys: Keys,
    pub(crate) admission: admission::Handle,
    pub(crate) body_bytes: usize,
    pub(crate) metrics: metric::Handle,
    pub(crate) log: log::Handle,
    pub(crate) slots: Arc<Semaphore>,
}

/// A program named in the path.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub(crate) struct Named {
    id: String,
}

/// Draws the callers' paths.
pub(crate) fn paths() -> Paths {
    build_simple_router(|route| {
        front::refuse_unknown(route);
        route.post("/v1/programs").to_async(create);
        route
            .get("/v1/programs/:id")
            .with_path_extractor::<Named>()
            .to_async(read);
        route
            .post("/v1/programs/:id/calls")
            .with_path_extractor::<Named>()
            .to_async(call);
        route
            .post("/v1/programs/:id/end")
            .with_path_extractor::<Named>()
            .to_async(end);
    })
}

async fn create(mut state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let context = traceparent(&state);
    let result = trace::scope(Hop::Front, context.as_deref(), run_create(&api, &mut state)).await;
    api.count(Request::Create, &result);
    let response = match result {
        Ok(program) => answer::json(StatusCode::CREATED, &program),
        Err(error) => answer::error(&error),
    };
    Ok((state, response))
}

async fn run_create(api: &Api, state: &mut State) -> Result<Program, Error> {
    let account = api.keys.account(state)?;
    api.admission.admit_request(&account)?;
    let _slot = api.slot()?;
    let create: CreateProgram = body::json(state, api.body_bytes).await?;
    api.create(&account, create).await
}

async fn read(state: State) -> HandlerResult {
    let ask = |account, program| Ask::Read {
        account: Some(account),
        program,
    };
    on_program(state, Request::Read, ask).await
}

async fn end(state: State) -> HandlerResult {
    let ask = |account, program| Ask::End { account, program };
    on_program(state, Request::End, ask).await
}

/// Runs a request that names a program in its path and has no body.
async fn on_program(
    state: State,
    request: Request,
    ask: fn(String, String) -> Ask,
) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let context = traceparent(&state);
    let sender = api.keys.account(&state);
    let named = program(&state);
    let work = async {
        let account = sender?;
        api.admission.admit_request(&account)?;
        let program = named?;
        let _slot = api.slot()?;
        let body = ask(account.to_string(), program.to_string());
        api.router.ask_program(program, body).await
    };
    let result = trace::scope(Hop::Front, context.as_deref(), work).await;
    api.count(request, &result);
    Ok((state, answer::result(result)))
}

async fn call(mut state: State) -> HandlerResult {
    let api = front::shared::<Api>(&state);
    let context = traceparent(&state);
    let mut meter = Meter::start(api.metrics.clone(), api.log.clone());
    let start = start_call(&api, &mut state);
    let started = trace::scope(Hop::Front, context.as_deref(), start).await;
    let response = match started {
        Ok((events, slot)) => answer::events(events, slot, meter).await,
        Err(error) => {
            meter.refused(&error);
            answer::error(&error)
        }
    };
    Ok((state, response))
}

async fn start_call(
    api: &Api,
    state: &mut State,
) -> Result<(Receiver<Event>, OwnedSemaphorePermit), Error> {
    let account = api.keys.account(state)?;
    api.admission.admit_request(&account)?;
    let slot = api.slot()?;
    let program = program(state)?;
    let call: Call = body::json(state, api.body_bytes).await?;
    Ok((api.router.call(account, program, call), slot))
}

impl Api {
    async fn create(&self, account: &id::Account, create: CreateProgram) -> Result<Program, Error> {
        let program = match &create.parent {
            Some(parent) => parse(parent)?,
            None => id::Program::root(account, &id::Request::new(create.request_id.as_str())),
        };
        let body = Ask::Create {
            account: account.to_string(),
            create,
        };
        self.router.ask_program(program, body).await
    }

    /// Counts a request that has been worked on, and logs its refusal.
    fn count(&self, request: Request, result: &Result<Program, Error>) {
        let outcome = match result {
            Ok(_) => Outcome::Done,
            Err(error) => {
                self.log_refusal(error);
                Outcome::Refused(error.kind)
            }
        };
        self.metrics.request(request, outcome);
    }

    fn log_refusal(&self, error: &Error) {
        let event = match error.kind {
            Kind::Internal => LogEvent::InternalError,
            _ => LogEvent::CallerRefused,
        };
        event!(self.log, event, "kind" => error.kind.code(), "message" => error.message.as_str());
    }

    fn slot(&self) -> Result<OwnedSemaphorePermit, Error> {
        self.slots.clone().try_acquire_owned().map_err(|_| {
            Error::new(Kind::Overloaded, "the instance has too many requests")
                .retry_after(OVERLOAD_RETRY_MS)
        })
    }
}

fn program(state: &State) -> Result<id::Program, Error> {
    parse(&Named::borrow_from(state).id)
}

/// Returns the W3C trace context of a request.
fn traceparent(state: &State) -> Option<String> {
    let headers = HeaderMap::borrow_from(state);
    let value = headers.get("traceparent")?.to_str().ok()?;
    Some(value.to_owned())
}
