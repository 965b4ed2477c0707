//! Server-sent events of a call's answer.

use basilramp_wire::api::Event;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::client::{chain, lost};
use crate::error::Error;

/// The events of an answer, as they come.
#[derive(Debug)]
pub(crate) struct Events {
    body: Incoming,
    /// Bytes that came after the last whole event.
    rest: Vec<u8>,
    hint: String,
}

impl Events {
    /// Reads events from a body; a broken stream is told with `hint`.
    pub(crate) fn new(body: Incoming, hint: &str) -> Self {
        Self {
            body,
            rest: Vec::new(),
            hint: hint.to_owned(),
        }
    }

    /// Returns the next event. The stream may not end before its last event.
    pub(crate) async fn next(&mut self) -> Result<Event, Error> {
        loop {
            if let Some(block) = take_block(&mut self.rest) {
                if let Some(event) = self.decode(&block)? {
                    return Ok(event);
                }
                continue;
            }
            let frame = self.body.frame().await;
            let frame = frame.ok_or_else(|| lost("the stream ended early", &self.hint))?;
            let frame = frame.map_err(|error| lost(chain(&error), &self.hint))?;
            if let Ok(data) = frame.into_data() {
                self.rest.extend_from_slice(&data);
            }
        }
    }

    /// Decodes a block of lines. Comments and unknown events give nothing.
    fn decode(&self, block: &str) -> Result<Option<Event>, Error> {
        let mut name = "";
        let mut data = String::new();
        for line in block.lines() {
            if let Some(text) = line.strip_prefix("event:") {
                name = text.trim();
            } else if let Some(text) = line.strip_prefix("data:") {
                data.push_str(text);
            }
        }
        let event = match name {
            "token" => serde_json::from_str(&data).map(Event::Token),
            "final" => serde_json::from_str(&data).map(Event::Final),
            "error" => serde_json::from_str(&data).map(Event::Error),
            _ => return Ok(None),
        };
        event.map(Some).map_err(|error| lost(error, &self.hint))
    }
}

/// Takes the first block that an empty line ends.
fn take_block(bytes: &mut Vec<u8>) -> Option<String> {
    let end = bytes.windows(2).position(|pair| pair == b"\n\n")?;
    let rest = bytes.split_off(end + 2);
    let block = std::mem::replace(bytes, rest);
    Some(String::from_utf8_lossy(&block).into_owned())
}
