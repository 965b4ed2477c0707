//! HTTP interface for operators, at the address for metrics.

use std::str::FromStr;

use basilramp_core::history::Digest;
use basilramp_core::suspect::{Listed, Verdict};
use bytes::Bytes;
use http::{HeaderValue, Method, Response, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;

use crate::state::State;

/// Path of the list of suspects, and prefix of the path of each.
const SUSPECTS: &str = "/suspects";

/// Path of the list of client accounts.
const ACCOUNTS: &str = "/accounts";

/// A client account, with the use of its quota at this instance.
#[derive(Serialize)]
struct AccountView<'a> {
    name: &'a str,
    keys: usize,
    /// Requests per second of all instances; `None` if the account has no quota, as what follows.
    rate_per_s: Option<f64>,
    burst: Option<u32>,
    requests: Option<u64>,
    rejected: Option<u64>,
    permits: Option<u64>,
}

/// A request that was in flight when upstreams crashed.
#[derive(Serialize)]
struct SuspectView {
    fingerprint: String,
    /// Upstreams that crashed, each with the start time of its process.
    upstreams: Vec<String>,
    /// Upstream of the current trial.
    trial: Option<String>,
    /// Digest of its target, if that may be held against it and others.
    target: Option<String>,
    verdict: &'static str,
    age_ms: u64,
}

impl From<Listed> for SuspectView {
    fn from(listed: Listed) -> Self {
        let suspect = listed.suspect;
        Self {
            fingerprint: listed.fingerprint.to_string(),
            upstreams: suspect.crashed.iter().map(ToString::to_string).collect(),
            trial: suspect.trial.map(|upstream| upstream.to_string()),
            target: suspect.target.map(|target| target.to_string()),
            verdict: match listed.verdict {
                Verdict::Unrestricted => "unrestricted",
                Verdict::Trial => "trial",
                Verdict::Busy => "busy",
                Verdict::Quarantined => "quarantined",
            },
            age_ms: listed.age_ms,
        }
    }
}

/// Handles `GET /accounts`, `GET /suspects` and `DELETE /suspects/DIGEST`, of a fingerprint or target. Returns `None` for other
/// requests.
pub(crate) fn respond(state: &State, method: &Method, path: &str) -> Option<Response<Full<Bytes>>> {
    if method == Method::GET && path == ACCOUNTS {
        return Some(list_accounts(state));
    }
    let rest = path.strip_prefix(SUSPECTS)?;
    match (method, rest.strip_prefix('/')) {
        (&Method::GET, None) if rest.is_empty() => Some(list(state)),
        (&Method::DELETE, Some(fingerprint)) => Some(status(release(state, fingerprint))),
        _ => None,
    }
}

fn list(state: &State) -> Response<Full<Bytes>> {
    let listed = state.suspects.table().list(state.now());
    let views: Vec<_> = listed.into_iter().map(SuspectView::from).collect();
    json_response(&views)
}

fn list_accounts(state: &State) -> Response<Full<Bytes>> {
    let table = state.table();
    let accounts = table
        .as_ref()
        .and_then(|table| table.config().accounts.as_ref());
    let accounts = accounts.into_iter().flat_map(|accounts| accounts.iter());
    let views = accounts.map(|(account, keys)| {
        let quota = account.quota;
        let usage = quota.map(|_| state.quotas.usage(&account.name).unwrap_or_default());
        AccountView {
            name: &account.name,
            keys,
            rate_per_s: quota.map(|quota| quota.rate.per_s()),
            burst: quota.map(|quota| quota.burst),
            requests: usage.map(|usage| usage.requests),
            rejected: usage.map(|usage| usage.rejected),
            permits: usage.map(|usage| usage.permits),
        }
    });
    json_response(&views.collect::<Vec<_>>())
}

fn json_response(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(Full::from(body));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn release(state: &State, fingerprint: &str) -> StatusCode {
    match Digest::from_str(fingerprint) {
        Ok(fingerprint) if state.suspects.release(state, fingerprint) => StatusCode::NO_CONTENT,
        Ok(_) => StatusCode::NOT_FOUND,
        Err(_) => StatusCode::BAD_REQUEST,
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
