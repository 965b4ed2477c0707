//! Events of a stream that callers have, whichever instances sent them.
//!
//! A turn's transcript holds all events of its stream. A caller that takes the stream up at another
//! instance does not send the events that it has, and another run would produce different ones. So they
//! are stored before they are sent, as one row for each stream. The instance that handles the latest
//! try owns the row: it cuts off what its caller does not have, and no earlier owner can write any more.

/// Memory for an event beside its data, and for its allocation.
const EVENT_OVERHEAD_BYTES: usize = size_of::<LoggedEvent>() + 32;

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoggedEvent {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its data.
    pub data: Vec<u8>,
}

/// Events of a stream from its beginning on, without a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventLog {
    /// Random id of the request that owns the row.
    pub owner: u64,
    /// The events, in order.
    pub events: Vec<LoggedEvent>,
}

impl LoggedEvent {
    /// Returns the memory that an event with `data_bytes` bytes of data takes. The list of the events may
    /// have room for twice as many.
    #[must_use]
    pub const fn memory_bytes(data_bytes: usize) -> usize {
        data_bytes + 2 * EVENT_OVERHEAD_BYTES
    }
}

impl EventLog {
    /// Returns the empty log of a stream that begins.
    #[must_use]
    pub const fn begin(owner: u64) -> Self {
        Self {
            owner,
            events: Vec::new(),
        }
    }

    /// Returns the log of a new owner, whose caller has the events up to the one with the id `last`.
    /// Returns `None` if the log does not hold all of them.
    #[must_use]
    pub fn take_up(mut self, owner: u64, last: u64) -> Option<Self> {
        let len = if last == 0 {
            0
        } else {
            let mut events = self.events.iter();
            1 + events.position(|event| event.id == Some(last))?
        };
        self.events.truncate(len);
        Some(Self { owner, ..self })
    }

    /// Appends an event that is sent next.
    pub fn push(&mut self, id: Option<u64>, data: &[u8]) {
        self.events.push(LoggedEvent {
            id,
            data: data.to_vec(),
        });
    }
}
