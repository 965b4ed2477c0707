//! Request bodies: read whole, up to the limit, and parsed.

use basilramp_wire::error::{Error, Kind};
use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::de::DeserializeOwned;

/// Reads the request's body as JSON.
///
/// # Errors
///
/// `TooLarge` over `limit` bytes; `BadRequest` if it breaks off or is not of the wanted form.
pub(crate) async fn json<T: DeserializeOwned>(state: &mut State, limit: usize) -> Result<T, Error> {
    let bytes = whole(state, limit).await?;
    serde_json::from_slice(&bytes)
        .map_err(|fault| Error::new(Kind::BadRequest, format!("malformed body: {fault}")))
}

async fn whole(state: &mut State, limit: usize) -> Result<Bytes, Error> {
    let body = Body::take_from(state);
    let limited = Limited::new(body, limit);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(fault) if fault.is::<LengthLimitError>() => {
            let message = format!("the body is longer than {limit} bytes");
            Err(Error::new(Kind::TooLarge, message))
        }
        Err(_) => Err(Error::new(Kind::BadRequest, "the body broke off")),
    }
}
