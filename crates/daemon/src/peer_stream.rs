//! Reads and writes length-prefixed frames on QUIC streams.

use basilramp_wire::frame::{self, MAX_FRAME_BYTES};
use quinn::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reason why a frame was not sent or received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The stream or its connection is closed.
    Closed,
    /// The frame is too long or can't be decoded.
    Malformed,
}

impl From<frame::Malformed> for Failure {
    fn from(_: frame::Malformed) -> Self {
        Self::Malformed
    }
}

/// Sends one frame.
pub(crate) async fn send(stream: &mut SendStream, frame: &impl Serialize) -> Result<(), Failure> {
    let bytes = frame::encode(frame)?;
    stream.write_all(&bytes).await.map_err(|_| Failure::Closed)
}

/// Receives one frame.
pub(crate) async fn receive<T: DeserializeOwned>(stream: &mut RecvStream) -> Result<T, Failure> {
    let mut len = [0; 4];
    read_exact(stream, &mut len).await?;
    let len = u32::from_be_bytes(len) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(Failure::Malformed);
    }
    let mut bytes = vec![0; len];
    read_exact(stream, &mut bytes).await?;
    let frame = frame::decode(&bytes)?;
    Ok(frame)
}

async fn read_exact(stream: &mut RecvStream, bytes: &mut [u8]) -> Result<(), Failure> {
    stream.read_exact(bytes).await.map_err(|_| Failure::Closed)
}
