//! Sends one request to an upstream over a pooled connection, up to the head of the response.

use std::fmt;
use std::time::Duration;

use basilramp_adapter::connection::Sender;
use basilramp_adapter::upstream::{self, ForwardParameters};
use basilramp_core::dispatch::attempt::Failure;
use basilramp_core::dispatch::fleet::AttemptOutcome;
use basilramp_core::dispatch::placement::Placement;
use http::response;
use hyper::body::Incoming;

use crate::active_request::ActiveRequest;
use crate::path::{self, WaitError};

/// Time for an idle connection to become ready: it takes a turn of its task after the last response.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

/// A response whose body has not been read yet.
pub(crate) struct Exchanged {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    /// The connection that it arrives on.
    pub(crate) sender: Sender,
    /// Whether it is the first response on its connection.
    pub(crate) is_first: bool,
}

/// Why an exchange with an upstream ended without a response head.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// The upstream left before a connection to it was opened.
    UpstreamLeft,
    /// No connection could be opened.
    Unreachable(String),
    /// The connection was closed before anything of the request was sent.
    NotSent(String),
    /// The connection failed after a part of the request was sent.
    Broken(String),
    /// The response is not HTTP.
    Malformed(String),
    /// No response arrived in time.
    Silent,
    /// The path to all upstreams was lost before a response arrived.
    PathLost,
}

impl ExchangeError {
    /// Returns what the error means for a retry.
    pub(crate) const fn failure(&self) -> Failure {
        match self {
            Self::UpstreamLeft | Self::Unreachable(_) | Self::NotSent(_) => Failure::NotSent,
            Self::Broken(_) => Failure::Interrupted,
            Self::Malformed(_) | Self::Silent | Self::PathLost => Failure::Unknown,
        }
    }

    /// Returns what the error tells about the upstream.
    pub(crate) const fn outcome(&self) -> AttemptOutcome {
        match self {
            // An idle connection that the upstream closes says nothing about its health.
            Self::UpstreamLeft | Self::NotSent(_) | Self::PathLost => AttemptOutcome::Abandoned,
            Self::Unreachable(_) => AttemptOutcome::Unreachable,
            Self::Broken(_) | Self::Malformed(_) => AttemptOutcome::Broken,
            Self::Silent => AttemptOutcome::Silent,
        }
    }
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UpstreamLeft => f.write_str("upstream left"),
            Self::Unreachable(error)
            | Self::NotSent(error)
            | Self::Broken(error)
            | Self::Malformed(error) => f.write_str(error),
            Self::Silent => f.write_str("no answer in time"),
            Self::PathLost => f.write_str("path to upstreams lost"),
        }
    }
}

/// Returns an idle connection that is ready for a request.
async fn take_idle(request: &ActiveRequest, placement: &Placement) -> Option<Sender> {
    let state = &request.state;
    let is_idempotent = request.kind.is_idempotent();
    loop {
        let idle = state
            .pool
            .take_idle(placement.key, is_idempotent, state.now());
        let mut sender = idle?;
        // A connection on which the body of an earlier request is still being written is dropped.
        if let Ok(Ok(())) = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await {
            return Some(sender);
        }
    }
}

/// Sends the request of an attempt and waits for the head of the response.
///
/// # Errors
///
/// Returns how far the exchange got.
pub(crate) async fn exchange(
    request: &ActiveRequest,
    placement: &Placement,
    last_event: Option<u64>,
    timeout_ms: u64,
) -> Result<Exchanged, ExchangeError> {
    let state = &request.state;
    let address = state
        .fleet()
        .get(placement.key)
        .map(|entry| entry.upstream.address);
    let address = address.ok_or(ExchangeError::UpstreamLeft)?;
    let idle = take_idle(request, placement).await;
    let is_first = idle.is_none();
    let mut sender = match idle {
        Some(sender) => sender,
        None => path::connect(state, placement.key, address, request.remaining_ms())
            .await
            .map_err(|error| ExchangeError::Unreachable(error.to_string()))?,
    };
    // The request may have waited since its upstream was selected.
    if !state.fleet().is_serving(placement.key, state.now()) {
        return Err(ExchangeError::UpstreamLeft);
    }
    let order = ForwardParameters {
        upstream: &placement.id,
        deadline_ms: request.remaining_ms(),
        last_event_id: last_event,
    };
    let upstream_request = upstream::build_request(&request.parts, request.body.clone(), &order);
    let limit_ms = timeout_ms.min(request.remaining_ms());
    let response = sender.try_send_request(upstream_request);
    match path::wait(state, limit_ms, request.may_abandon_attempt(), response).await {
        Ok(Ok(response)) => {
            state.record_sign();
            let (head, body) = response.into_parts();
            Ok(Exchanged {
                head,
                body,
                sender,
                is_first,
            })
        }
        Ok(Err(mut error)) => {
            let is_unsent = error.take_message().is_some();
            let error = error.into_error();
            let text = error.to_string();
            Err(if is_unsent {
                ExchangeError::NotSent(text)
            } else if error.is_parse() {
                ExchangeError::Malformed(text)
            } else {
                ExchangeError::Broken(text)
            })
        }
        Err(WaitError::Late) => Err(ExchangeError::Silent),
        Err(WaitError::PathLost) => Err(ExchangeError::PathLost),
    }
}
