//! Limits the memory for the buffered bytes of all requests.
//!
//! Callers and upstreams decide how many bytes they send. Whatever is buffered is reserved first,
//! so that large or endless bodies fail their own requests and not the process.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Sizes of the pieces of a buffered body. Pieces need no copy as the body grows, and their memory is
/// reserved exactly; it stays so until the last piece is handed to its connection.
const PIECE_BYTES: std::ops::RangeInclusive<usize> = 4 * 1_024..=64 * 1_024;

/// Size up to which a body may use all of the memory. Larger ones leave half of it to the others, so that
/// bodies without end don't keep other requests from being served.
const SMALL_BODY_BYTES: usize = 64 * 1_024;

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
        self.grow_within(bytes, self.memory.limit)
    }

    /// Reserves more bytes if all reservations together then have at most `limit` bytes.
    fn grow_within(&mut self, bytes: usize, limit: usize) -> Result<(), Exhausted> {
        let within_limit = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
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

/// Time for which the rest of a rejected body is discarded. A connection that is closed before resets, and
/// its caller may not get the rejection.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Reads a whole body of at most `max_bytes` bytes, which are added to a reservation. The rest of a body
/// that doesn't fit in the memory is discarded.
///
/// # Errors
///
/// Fails if the body is too long for its limit or for the memory, or if its connection fails.
pub(crate) async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, CollectError> {
    let collected = collect_frames(&mut body, max_bytes, reservation).await;
    if collected == Err(CollectError::Exhausted) {
        tokio::spawn(discard(body));
    }
    collected
}

/// Discards the rest of a body for a limited time.
async fn discard(mut body: Incoming) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that is slower loses its connection.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
}

async fn collect_frames(
    body: &mut Incoming,
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
    pieces: VecDeque<Bytes>,
    len: usize,
    reservation: Reservation,
}

impl BufferedBody {
    /// Reads a whole body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long for its limit or for the memory, or if its connection fails.
    pub(crate) async fn read(
        mut body: Incoming,
        max_bytes: usize,
        reservation: Reservation,
    ) -> Result<Self, CollectError> {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(CollectError::TooLong);
        }
        let mut buffered = Self {
            pieces: VecDeque::new(),
            len: 0,
            reservation,
        };
        let mut piece = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| CollectError::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buffered.len + data.len() > max_bytes {
                return Err(CollectError::TooLong);
            }
            buffered.append(&mut piece, data)?;
        }
        buffered.pieces.push_back(piece.freeze());
        Ok(buffered)
    }

    /// Appends bytes to the last piece and, where it is full, to further ones.
    fn append(&mut self, piece: &mut BytesMut, mut data: Bytes) -> Result<(), Exhausted> {
        while !data.is_empty() {
            let room = piece.capacity() - piece.len();
            if room == 0 {
                let full = std::mem::take(piece);
                if !full.is_empty() {
                    self.pieces.push_back(full.freeze());
                }
                *piece = self.open_piece()?;
                continue;
            }
            let part = data.split_to(room.min(data.len()));
            self.len += part.len();
            piece.extend_from_slice(&part);
        }
        Ok(())
    }

    /// Returns an empty piece that doubles the room for the body, within the sizes of pieces.
    fn open_piece(&mut self) -> Result<BytesMut, Exhausted> {
        let bytes = self.len.clamp(*PIECE_BYTES.start(), *PIECE_BYTES.end());
        let limit = self.reservation.memory.limit;
        if self.len + bytes > SMALL_BODY_BYTES {
            self.reservation.grow_within(bytes, limit / 2)?;
        } else {
            self.reservation.grow(bytes)?;
        }
        Ok(BytesMut::with_capacity(bytes))
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let piece = self.pieces.pop_front().filter(|piece| !piece.is_empty());
        let Some(piece) = piece else {
            return Poll::Ready(None);
        };
        self.len -= piece.len();
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.len == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}
