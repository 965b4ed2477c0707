//! HTTP answers: JSON bodies, errors from the closed table, server-sent events.

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

use crate::call_meter::Meter;

/// Makes an answer with a JSON body.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(body) {
        Ok(bytes) => whole(status, "application/json", bytes),
        Err(_) => whole(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", Vec::new()),
    }
}

/// Makes an answer with a text body.
pub(crate) fn text(status: StatusCode, body: impl Into<String>) -> Response<Body> {
    whole(
        status,
        "text/plain; charset=utf-8",
        body.into().into_bytes(),
    )
}

/// Makes the answer of an error.
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

/// Makes the answer of a result.
pub(crate) fn result(result: Result<impl Serialize, Error>) -> Response<Body> {
    match result {
        Ok(body) => json(StatusCode::OK, &body),
        Err(fault) => error(&fault),
    }
}

/// Makes the answer of a call: an error if it is refused at once, else a stream of events.
///
/// Dropping the body drops the receiver, which cancels the call, and frees the slot.
pub(crate) async fn event_stream(
    mut receiver: mpsc::Receiver<Event>,
    slot: OwnedSemaphorePermit,
    mut meter: Meter,
) -> Response<Body> {
    let first = match receiver.recv().await {
        Some(event) => event,
        None => Event::Error(Error::new(Kind::Interrupted, "the call gave no answer")),
    };
    if let Event::Error(refusal) = &first {
        meter.refused(refusal);
        return error(refusal);
    }
    let rest = Rest {
        first: Some(first),
        receiver,
        meter,
        _slot: slot,
    };
    let frames = stream::unfold(rest, next_frame);
    let body = StreamBody::new(frames).map_err(|never: Infallible| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// What is left of a stream of events.
struct Rest {
    /// The first event, until it is sent.
    first: Option<Event>,
    receiver: mpsc::Receiver<Event>,
    meter: Meter,
    _slot: OwnedSemaphorePermit,
}

async fn next_frame(mut rest: Rest) -> Option<(Result<Frame<Bytes>, Infallible>, Rest)> {
    let event = match rest.first.take() {
        Some(event) => event,
        None => rest.receiver.recv().await?,
    };
    rest.meter.note(&event);
    let frame = Frame::data(Bytes::from(sse::encode(&event)));
    Some((Ok(frame), rest))
}

fn whole(status: StatusCode, content_type: &'static str, bytes: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(bytes)).map_err(io::Error::other);
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
