//! Decoder for server-sent events.

/// Maximum size of an event that is buffered, many times that of a usual one.
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// Start of the head of an HTTP response. A faulty upstream may write one into the body of its stream.
const RESPONSE_HEAD: &[u8] = b"HTTP/1.";

/// Splits the bytes of an event stream into complete events.
///
/// An event ends with an empty line, as the HTML standard defines for `text/event-stream`.
#[derive(Debug, Default)]
pub struct Decoder {
    pending: Vec<u8>,
    /// Number of bytes of `pending` that belong to events which were returned.
    taken: usize,
    /// Number of bytes of `pending` that were already searched for an event end.
    searched: usize,
    /// Whether the stream holds the head of a response in place of an event.
    is_malformed: bool,
}

/// A complete event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes, including the final empty line.
    pub bytes: Vec<u8>,
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: Option<Vec<u8>>,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.drain(..self.taken);
        self.searched = self.searched.saturating_sub(self.taken);
        self.taken = 0;
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next complete event. There is none after bytes that are no event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.is_malformed |= self.pending[self.taken..].starts_with(RESPONSE_HEAD);
        if self.is_malformed {
            return None;
        }
        let end = self.find_event_end()?;
        let bytes = self.pending[self.taken..end].to_vec();
        self.taken = end;
        self.searched = end;
        Some(Event::parse(bytes))
    }

    /// Returns whether the stream holds bytes that are no event.
    #[must_use]
    pub const fn is_malformed(&self) -> bool {
        self.is_malformed
    }

    /// Returns whether bytes of an incomplete event are buffered.
    #[must_use]
    pub const fn has_partial_event(&self) -> bool {
        self.buffered_bytes() > 0
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub const fn buffered_bytes(&self) -> usize {
        self.pending.len() - self.taken
    }

    /// Returns whether the buffered event is longer than any valid one.
    #[must_use]
    pub const fn is_event_too_long(&self) -> bool {
        self.buffered_bytes() > MAX_EVENT_BYTES
    }

    fn find_event_end(&mut self) -> Option<usize> {
        // An empty line may be split between two reads, so the search starts three bytes earlier.
        let from = self.searched.saturating_sub(3).max(self.taken);
        let window = &self.pending[from..];
        let found = window.iter().enumerate().find_map(|(at, byte)| {
            let rest = &window[at..];
            match byte {
                b'\n' if rest.starts_with(b"\n\n") => Some(at + 2),
                b'\n' if rest.starts_with(b"\n\r\n") => Some(at + 3),
                _ => None,
            }
        });
        self.searched = self.pending.len();
        found.map(|end| from + end)
    }
}

impl Event {
    /// Returns whether the event carries data. Others are comments, which only keep a connection
    /// open.
    #[must_use]
    pub const fn has_data(&self) -> bool {
        self.data.is_some()
    }

    fn parse(bytes: Vec<u8>) -> Self {
        let mut id = None;
        let mut data: Option<Vec<u8>> = None;
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field(line, b"id") {
                id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|text| text.parse().ok());
            } else if let Some(value) = field(line, b"data") {
                match &mut data {
                    None => data = Some(value.to_vec()),
                    Some(data) => {
                        data.push(b'\n');
                        data.extend_from_slice(value);
                    }
                }
            }
        }
        Self { bytes, id, data }
    }
}

/// Returns the value of a line of the field `name`, without the space after the colon.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
