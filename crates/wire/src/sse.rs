//! Encoding of a call's events as server-sent events: `event: NAME`, `data: JSON`, empty line.

use std::fmt;

use crate::api::Event;

/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Encodes an event.
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

/// Incremental decoder of a stream of events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed. Comments are skipped.
    ///
    /// # Errors
    ///
    /// Fails if an event has an unknown name or invalid data.
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

/// Parses a block of lines; a block without a data line is a comment.
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

/// The event has an unknown name or invalid data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed event")
    }
}

impl std::error::Error for Malformed {}
