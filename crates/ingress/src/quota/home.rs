//! Gets permits from the home of an account's row.
//!
//! The home is found by rendezvous hashing over the instances. It sees all requests of the row, so it
//! reserves permits for many of them at once, and no other instance writes the row at the same time. It
//! is a preference only: permits come from the row in the store, whoever reserves them. An instance
//! that does not reach the home reserves permits itself.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use basilramp_core::clock::Time;
use basilramp_core::dispatch::account::Quota;
use basilramp_core::dispatch::quota::{Permit, Terms};
use basilramp_core::dispatch::rate_limit::Rate;
use basilramp_core::dispatch::request::Rejection;
use basilramp_wire::permit;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Asking;
use crate::handler::Body;
use crate::membership;
use crate::peer_connection;
use crate::state::{State, lock};

/// Time limit for an answer of the home, in milliseconds: the time for which a request may wait for a
/// permit there, and some round trips.
const ANSWER_TIMEOUT_MS: u64 = 500;

/// Time for which an instance that did not answer is not asked again, in milliseconds.
const AVOID_MS: u64 = 2_000;

/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 4_096;

/// Instances that did not answer, each with the time until which it is not asked.
#[derive(Debug, Default)]
pub(crate) struct Avoided(Mutex<BTreeMap<Arc<str>, Time>>);

/// Returns the home of an account's row, or `None` if it is this instance.
pub(super) fn find(state: &State, account: &str, row: u32) -> Option<Arc<str>> {
    state.peer_address()?;
    let seed = xxh3_64_with_seed(account.as_bytes(), u64::from(row));
    let weight = |id: &str| xxh3_64_with_seed(id.as_bytes(), seed);
    let now = state.now();
    let avoided = {
        let mut avoided = lock(&state.quotas.avoided.0);
        avoided.retain(|_, until| *until > now);
        avoided.clone()
    };
    let best = state
        .membership
        .find_best(|id| !avoided.contains_key(id), weight);
    best.filter(|best| weight(best) > weight(&state.settings.instance))
}

/// Returns whether this instance is the home of an account's row. It can't tell before it knows the other
/// instances.
pub(super) fn is_home(state: &State, account: &str, row: u32) -> bool {
    state.membership.is_known() && find(state, account, row).is_none()
}

/// Asks an instance for a permit.
///
/// # Errors
///
/// Returns `None` if it did not answer or can't reserve permits.
pub(super) async fn ask(
    state: &Arc<State>,
    home: &Arc<str>,
    asking: &Asking,
) -> Option<Result<Permit, Rejection>> {
    let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
    let answer = tokio::time::timeout(limit, exchange(state, home, asking)).await;
    match answer.ok().flatten() {
        Some(permit::Response::Granted { slot, until }) => {
            Some(Ok(Permit::new(slot, until, asking.row)))
        }
        Some(permit::Response::Full { retry_ms }) => Some(Err(Rejection::OverQuota(retry_ms))),
        Some(permit::Response::Unavailable) => {
            avoid(state, home);
            None
        }
        None => {
            avoid(state, home);
            let state = Arc::clone(state);
            tokio::spawn(async move { membership::refresh(&state).await });
            None
        }
    }
}

fn avoid(state: &State, home: &Arc<str>) {
    let until = state.now().after(AVOID_MS);
    lock(&state.quotas.avoided.0).insert(Arc::clone(home), until);
}

async fn exchange(
    state: &Arc<State>,
    home: &Arc<str>,
    asking: &Asking,
) -> Option<permit::Response> {
    let message = serde_json::to_vec(&permit::Request::from(asking)).ok()?;
    let mut request = Request::new(Full::new(Bytes::from(message)));
    *request.method_mut() = Method::POST;
    permit::mark(request.headers_mut());
    let body = peer_connection::call(state, home, request, MAX_MESSAGE_BYTES).await?;
    serde_json::from_slice(&body).ok()
}

/// Answers another instance that asks for a permit.
pub(crate) async fn respond(state: &Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES);
    let asking = match body.collect().await {
        Ok(body) => serde_json::from_slice::<permit::Request>(&body.to_bytes()).ok(),
        Err(_) => None,
    };
    let Some(asking) = asking.map(|request| Asking::new(request, state)) else {
        return response(StatusCode::BAD_REQUEST, Vec::new());
    };
    if state.is_store_down() {
        return answer(permit::Response::Unavailable);
    }
    let permit = match super::get_local(state, &asking).await {
        Ok(permit) => permit::Response::Granted {
            slot: permit.slot(),
            until: permit.until(),
        },
        Err(Rejection::OverQuota(retry_ms)) => permit::Response::Full { retry_ms },
        Err(_) => permit::Response::Unavailable,
    };
    answer(permit)
}

fn answer(message: permit::Response) -> Response<Body> {
    match serde_json::to_vec(&message) {
        Ok(body) => response(StatusCode::OK, body),
        Err(_) => response(StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
    }
}

fn response(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(body));
    let mut response = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *response.status_mut() = status;
    response
}

impl Asking {
    fn new(request: permit::Request, state: &State) -> Self {
        let quota = Quota {
            rate: Rate::from_milli_per_s(request.milli_per_s),
            burst: request.burst,
        };
        Self {
            account: request.account,
            row: request.row,
            quota,
            terms: Terms::new(quota, &state.settings.quota, request.version),
            route: request.route,
            program: request.program,
            begins: request.begins,
            is_repeated: request.is_repeated,
            limit_ms: request.limit_ms,
        }
    }
}

impl From<&Asking> for permit::Request {
    fn from(asking: &Asking) -> Self {
        Self {
            account: Arc::clone(&asking.account),
            row: asking.row,
            milli_per_s: asking.quota.rate.milli_per_s(),
            burst: asking.quota.burst,
            version: asking.terms.version,
            route: Arc::clone(&asking.route),
            program: asking.program,
            begins: asking.begins,
            is_repeated: asking.is_repeated,
            limit_ms: asking.limit_ms,
        }
    }
}
