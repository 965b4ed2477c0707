//! Decodes the server-sent events of a call's response.

use basilramp_wire::api::Event;
use basilramp_wire::sse::Decoder;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::client::{format_error_chain, response_lost};
use crate::error::Error;

/// Events of a response body, decoded as they arrive.
#[derive(Debug)]
pub(crate) struct EventStream {
    body: Incoming,
    decoder: Decoder,
    hint: String,
}

impl EventStream {
    /// Creates a stream over `body`. `hint` is the advice to the user if the stream breaks.
    pub(crate) fn new(body: Incoming, hint: &str) -> Self {
        Self {
            body,
            decoder: Decoder::default(),
            hint: hint.to_owned(),
        }
    }

    /// Returns the next event.
    ///
    /// Fails if the stream ends: the caller stops at the final or error event.
    pub(crate) async fn next(&mut self) -> Result<Event, Error> {
        loop {
            let event = self.decoder.next_event();
            if let Some(event) = event.map_err(|error| response_lost(error, &self.hint))? {
                return Ok(event);
            }
            let frame = self.body.frame().await;
            let frame = frame.ok_or_else(|| response_lost("the stream ended early", &self.hint))?;
            let frame =
                frame.map_err(|error| response_lost(format_error_chain(&error), &self.hint))?;
            if let Ok(data) = frame.into_data() {
                self.decoder.push(&data);
            }
        }
    }
}
