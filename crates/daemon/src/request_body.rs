//! Reads request bodies up to a size limit and parses them as JSON.

use basilramp_wire::error::{Error, Kind};
use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;

/// Multiple of the size limit at which a body is no longer read to its end.
const DISCARD_FACTOR: usize = 4;

/// Reads the request's body as JSON.
///
/// # Errors
///
/// `TooLarge` if the body exceeds `limit` bytes; `BadRequest` if it is incomplete or can't be
/// deserialized.
pub(crate) async fn read_json<T: DeserializeOwned>(
    state: &mut State,
    limit: usize,
) -> Result<T, Error> {
    let bytes = read_limited(state, limit).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Error::new(Kind::BadRequest, format!("malformed request body: {error}")))
}

/// Reads a body of up to `limit` bytes.
///
/// Bytes beyond the limit are discarded rather than left unread, so that the caller finishes
/// sending and reads the error response. Reading stops beyond [`DISCARD_FACTOR`] times the limit.
async fn read_limited(state: &mut State, limit: usize) -> Result<Bytes, Error> {
    let mut body = Body::take_from(state);
    let mut buffer = BytesMut::new();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| Error::new(Kind::BadRequest, "the request body is incomplete"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        received += data.len();
        if received <= limit {
            buffer.extend_from_slice(&data);
        } else if received > limit * DISCARD_FACTOR {
            break;
        }
    }
    if received > limit {
        let message = format!("the request body exceeds {limit} bytes");
        return Err(Error::new(Kind::TooLarge, message));
    }
    Ok(buffer.freeze())
}
