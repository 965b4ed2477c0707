//! HTTP API for callers: creates, reads and ends programs, and streams calls.

use std::sync::Arc;

use basilramp_core::id;
use basilramp_wire::api::{Call, CreateProgram, Event, Program};
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::frame::Body;
use gotham::handler::HandlerResult;
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::State;
use http::{HeaderMap, StatusCode};
use serde::Deserialize;
use tokio::sync::mpsc::Receiver;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::auth::AccountKeys;
use crate::call_meter::CallMeter;
use crate::log::{Event as LogEvent, event};
use crate::metric::{Outcome, Request};
use crate::owner_router::{OwnerRouter, parse_program_id};
use crate::trace::{self, Hop};
use crate::{admission, http_server, log, metric, request_body, response};

/// Retry delay returned to callers while all request slots are in use.
const OVERLOAD_RETRY_MS: u64 = 1_000;

/// State shared by the handlers.
#[derive(Debug)]
pub(crate) struct Api {
    pub(crate) router: OwnerRouter,
    pub(crate) keys: AccountKeys,
    pub(crate) admission: admission::Handle,
    pub(crate) max_body_bytes: usize,
    pub(crate) metrics: metric::Handle,
    pub(crate) log: log::Handle,
    /// Limits the requests processed at once.
    pub(crate) slots: Arc<Semaphore>,
}

/// Path parameter: the id of a program.
#[derive(Debug, Deserialize, StateData, StaticResponseExtender)]
pub(crate) struct ProgramPath {
    id: String,
}

/// Builds the router of the callers' API.
pub(crate) fn router() -> Router {
    build_simple_router(|route| {
        http_server::reject_unknown(route);
        route.post("/v1/programs").to_async(create_program);
        route
            .get("/v1/programs/:id")
            .with_path_extractor::<ProgramPath>()
            .to_async(read_program);
        route
            .post("/v1/programs/:id/calls")
            .with_path_extractor::<ProgramPath>()
            .to_async(start_call);
        route
            .post("/v1/programs/:id/end")
            .with_path_extractor::<ProgramPath>()
            .to_async(end_program);
    })
}

async fn create_program(mut state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let context = traceparent(&state);
    let result = trace::in_request_span(
        Hop::Entry,
        context.as_deref(),
        try_create_program(&api, &mut state),
    )
    .await;
    api.count_request(Request::Create, &result);
    let response = match result {
        Ok(program) => response::json(StatusCode::CREATED, &program),
        Err(error) => response::error(&error),
    };
    Ok((state, response))
}

async fn try_create_program(api: &Api, state: &mut State) -> Result<Program, Error> {
    let account = api.keys.authenticate(state)?;
    api.admission.admit_request(&account)?;
    let _slot = api.acquire_slot()?;
    let create: CreateProgram = request_body::read_json(state, api.max_body_bytes).await?;
    api.create(&account, create).await
}

async fn read_program(state: State) -> HandlerResult {
    let build_body = |account, program| Body::Read {
        account: Some(account),
        program,
    };
    handle_program_request(state, Request::Read, build_body).await
}

async fn end_program(state: State) -> HandlerResult {
    let build_body = |account, program| Body::End { account, program };
    handle_program_request(state, Request::End, build_body).await
}

/// Handles a request that names a program in its path and has no body.
async fn handle_program_request(
    state: State,
    request: Request,
    build_body: fn(String, String) -> Body,
) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let context = traceparent(&state);
    let account = api.keys.authenticate(&state);
    let program = program_id(&state);
    let work = async {
        let account = account?;
        api.admission.admit_request(&account)?;
        let program = program?;
        let _slot = api.acquire_slot()?;
        let body = build_body(account.to_string(), program.to_string());
        api.router.request_program(program, body).await
    };
    let result = trace::in_request_span(Hop::Entry, context.as_deref(), work).await;
    api.count_request(request, &result);
    Ok((state, response::result(result)))
}

async fn start_call(mut state: State) -> HandlerResult {
    let api = http_server::shared_state::<Api>(&state);
    let context = traceparent(&state);
    let mut meter = CallMeter::start(api.metrics.clone(), api.log.clone());
    let start = try_start_call(&api, &mut state);
    let started = trace::in_request_span(Hop::Entry, context.as_deref(), start).await;
    let response = match started {
        Ok((events, slot)) => response::event_stream(events, slot, meter).await,
        Err(error) => {
            meter.record_error(&error);
            response::error(&error)
        }
    };
    Ok((state, response))
}

async fn try_start_call(
    api: &Api,
    state: &mut State,
) -> Result<(Receiver<Event>, OwnedSemaphorePermit), Error> {
    let account = api.keys.authenticate(state)?;
    api.admission.admit_request(&account)?;
    let slot = api.acquire_slot()?;
    let program = program_id(state)?;
    let call: Call = request_body::read_json(state, api.max_body_bytes).await?;
    Ok((api.router.start_call(account, program, call), slot))
}

impl Api {
    async fn create(&self, account: &id::Account, create: CreateProgram) -> Result<Program, Error> {
        let program = match &create.parent {
            Some(parent) => parse_program_id(parent)?,
            None => id::Program::root(account, &id::Request::new(create.request_id.as_str())),
        };
        let body = Body::Create {
            account: account.to_string(),
            create,
        };
        self.router.request_program(program, body).await
    }

    /// Counts a finished request and logs its error, if any.
    fn count_request(&self, request: Request, result: &Result<Program, Error>) {
        let outcome = match result {
            Ok(_) => Outcome::Completed,
            Err(error) => {
                self.log_error(error);
                Outcome::Rejected(error.kind)
            }
        };
        self.metrics.count_request(request, outcome);
    }

    fn log_error(&self, error: &Error) {
        let event = match error.kind {
            Kind::Internal => LogEvent::InternalError,
            _ => LogEvent::CallerRefused,
        };
        event!(self.log, event, "kind" => error.kind.code(), "message" => error.message.as_str());
    }

    fn acquire_slot(&self) -> Result<OwnedSemaphorePermit, Error> {
        self.slots.clone().try_acquire_owned().map_err(|_| {
            Error::new(
                Kind::Overloaded,
                "the instance is at its limit of concurrent requests",
            )
            .retry_after(OVERLOAD_RETRY_MS)
        })
    }
}

fn program_id(state: &State) -> Result<id::Program, Error> {
    parse_program_id(&ProgramPath::borrow_from(state).id)
}

/// Returns the W3C trace context of a request, if it carries one.
fn traceparent(state: &State) -> Option<String> {
    let headers = HeaderMap::borrow_from(state);
    let value = headers.get("traceparent")?.to_str().ok()?;
    Some(value.to_owned())
}
