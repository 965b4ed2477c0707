//! Request bodies: read whole, up to the limit, and parsed.

use basilramp_wire::error::{Error, Kind};
use bytes::{Bytes, BytesMut};
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;

/// How many times the limit a body may have until its connection is broken off.
const DISCARD_FACTOR: usize = 4;

/// Reads the request's body as JSON.
///
/// # Errors
///
/// `TooLarge` over `limit` bytes; `BadRequest` if it breaks off or is not of the wanted form.
pub(crate) async fn read_json<T: DeserializeOwned>(
    state: &mut State,
    limit: usize,
) -> Result<T, Error> {
    let bytes = read_limited(state, limit).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Error::new(Kind::BadRequest, format!("malformed body: {error}")))
}

/// Reads a body whole. What goes beyond the limit is thrown away, so that the caller has sent its
/// body and reads the answer; only a body that never ends is broken off.
async fn read_limited(state: &mut State, limit: usize) -> Result<Bytes, Error> {
    let mut body = Body::take_from(state);
    let mut buffer = BytesMut::new();
    let mut received = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::new(Kind::BadRequest, "the body broke off"))?;
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
        let message = format!("the body is longer than {limit} bytes");
        return Err(Error::new(Kind::TooLarge, message));
    }
    Ok(buffer.freeze())
}
