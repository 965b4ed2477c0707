//! Builds HTTP responses: JSON bodies, text bodies, errors and server-sent events.

use std::convert::Infallible;
use std::io;

use basilramp_wire::api::Event;
use basilramp_wire::error::{Error, Kind};
use basilramp_wire::sse;
use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use serde::Serialize;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use crate::call_meter::CallMeter;

/// Builds a response with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(bytes) => with_body(status, "application/json", bytes),
        Err(_) => with_body(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Vec::new()),
    }
}

/// Builds a response with a plain-text body.
pub(crate) fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    with_body(
        status,
        "text/plain; charset=utf-8",
        body.into().into_bytes(),
    )
}

/// Builds the response for an error: its status, its JSON form and, if set, `Retry-After`.
pub(crate) fn error(error: &Error) -> Response<Body> {
    let status = StatusCode::from_u16(error.kind.status());
    let mut response = json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), error);
    if let Some(ms) = error.retry_after_ms {
        let seconds = ms.div_ceil(1_000);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds a `200 OK` JSON response, or the response for the error.
pub(crate) fn result(result: Result<impl Serialize, Error>) -> Response<Body> {
    match result {
        Ok(body) => json(StatusCode::OK, &body),
        Err(err) => error(&err),
    }
}

/// Builds the response to a call: an error response if its first event is an error, otherwise a
/// stream of server-sent events.
///
/// Dropping the body drops the receiver, which cancels the call, and releases the slot.
pub(crate) async fn event_stream(
    mut receiver: mpsc::Receiver<Event>,
    slot: OwnedSemaphorePermit,
    mut meter: CallMeter,
) -> Response<Body> {
    let first = match receiver.recv().await {
        Some(event) => event,
        None => Event::Error(Error::new(
            Kind::Interrupted,
            "the call ended without a response",
        )),
    };
    if let Event::Error(rejection) = &first {
        meter.record_error(rejection);
        return error(rejection);
    }
    let events = EventStream {
        first: Some(first),
        receiver,
        meter,
        _slot: slot,
    };
    let frames = stream::unfold(events, next_frame);
    let body = StreamBody::new(frames).map_err(|never: Infallible| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// State of a response body that streams the events of a call.
struct EventStream {
    /// The first event, which was received before the response started; `None` once it is sent.
    first: Option<Event>,
    receiver: mpsc::Receiver<Event>,
    meter: CallMeter,
    /// Request slot, released when the body is dropped.
    _slot: OwnedSemaphorePermit,
}

async fn next_frame(
    mut events: EventStream,
) -> Option<(Result<Frame<Bytes>, Infallible>, EventStream)> {
    let event = match events.first.take() {
        Some(event) => event,
        None => events.receiver.recv().await?,
    };
    events.meter.observe_event(&event);
    let frame = Frame::data(Bytes::from(sse::encode(&event)));
    Some((Ok(frame), events))
}

fn with_body(status: StatusCode, content_type: &'static str, bytes: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(bytes)).map_err(io::Error::other);
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
