//! A call's events as server-sent events: `event: NAME`, `data: JSON`, and an empty line.

use std::fmt;

use crate::api::Event;

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Encodes one event.
#[must_use]
pub fn encode(event: &Event) -> String {
    let (name, data) = match event {
        Event::Token(token) => ("token", serde_json::to_string(token)),
        Event::Final(event) => ("final", serde_json::to_string(event)),
        Event::Error(error) => ("error", serde_json::to_string(error)),
    };
    let data = data.unwrap_or_default();
    format!("event: {name}\ndata: {data}\n\n")
}

/// Decodes events from bytes as they come.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

impl Decoder {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event, or nothing if more bytes are needed. Comments are left out.
    ///
    /// # Errors
    ///
    /// Fails if an event is not one of a call's.
    pub fn next_event(&mut self) -> Result<Option<Event>, Malformed> {
        while let Some(end) = self
            .buffer
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END)
        {
            let rest = self.buffer.split_off(end + EVENT_END.len());
            let block = std::mem::replace(&mut self.buffer, rest);
            let block = std::str::from_utf8(&block).map_err(|_| Malformed)?;
            if let Some(event) = parse_event(block)? {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }
}

/// Decodes a block of lines; one without data is a comment.
fn parse_event(block: &str) -> Result<Option<Event>, Malformed> {
    let field = |name: &str| {
        let mut lines = block.lines();
        lines
            .find_map(|line| line.strip_prefix(name))
            .map(str::trim)
    };
    let Some(data) = field("data:") else {
        return Ok(None);
    };
    let event = match field("event:") {
        Some("token") => serde_json::from_str(data).map(Event::Token),
        Some("final") => serde_json::from_str(data).map(Event::Final),
        Some("error") => serde_json::from_str(data).map(Event::Error),
        _ => return Err(Malformed),
    };
    event.map(Some).map_err(|_| Malformed)
}

/// An event that is not one of a call's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed event")
    }
}

impl std::error::Error for Malformed {}
