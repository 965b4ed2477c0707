//! Limits the memory for the buffered bytes of all requests.
//!
//! Callers and upstreams decide how many bytes they send. Whatever is buffered is reserved first,
//! so that large or endless bodies fail their own requests and not the process.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Size of the pieces in which a buffered body is handed to its connection. Its memory stays
/// reserved until the last piece is taken.
const PIECE_BYTES: usize = 64 * 1_024;

/// Memory for buffered bytes.
#[derive(Debug)]
pub(crate) struct Memory {
    limit: usize,
    used: AtomicUsize,
}

impl Memory {
    /// Creates a limit of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            used: AtomicUsize::new(0),
        })
    }

    /// Returns the number of reserved bytes.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation.
    pub(crate) fn reservation(self: &Arc<Self>) -> Reservation {
        Reservation {
            memory: Arc::clone(self),
            bytes: 0,
        }
    }
}

/// The memory for buffered bytes is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Exhausted;

/// Reserved bytes; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Reservation {
    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Fails, without a change, if they exceed the limit.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let within_limit = |used: usize| {
            used.checked_add(bytes)
                .filter(|used| *used <= self.memory.limit)
        };
        self.memory
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, within_limit)
            .map_err(|_| Exhausted)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Changes the reservation to a number of bytes.
    ///
    /// # Errors
    ///
    /// Fails, without a change, if they exceed the limit.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        self.memory
            .used
            .fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Why a body was not read completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CollectError {
    /// It is longer than its limit.
    TooLong,
    /// The memory for buffered bytes is used up.
    Exhausted,
    /// The connection failed.
    Broken(String),
}

impl From<Exhausted> for CollectError {
    fn from(_: Exhausted) -> Self {
        Self::Exhausted
    }
}

/// Reads a whole body of at most `max_bytes` bytes, which are added to a reservation.
///
/// # Errors
///
/// Fails if the body is too long for its limit or for the memory, or if its connection fails.
pub(crate) async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, CollectError> {
    let announced = body.size_hint().exact().unwrap_or_default();
    if announced > max_bytes as u64 {
        return Err(CollectError::TooLong);
    }
    let mut reserved = announced as usize;
    reservation.grow(reserved)?;
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CollectError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let len = bytes.len() + data.len();
        if len > max_bytes {
            return Err(CollectError::TooLong);
        }
        if len > reserved {
            reservation.grow(len - reserved)?;
            reserved = len;
        }
        if bytes.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        if bytes.is_empty() {
            bytes.reserve(reserved);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// A complete body that is handed over piece by piece.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    bytes: Bytes,
    _reservation: Reservation,
}

impl BufferedBody {
    /// Creates a body from bytes that are part of a reservation.
    pub(crate) const fn new(bytes: Bytes, reservation: Reservation) -> Self {
        Self {
            bytes,
            _reservation: reservation,
        }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let len = self.bytes.len().min(PIECE_BYTES);
        let piece = self.bytes.split_to(len);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}
