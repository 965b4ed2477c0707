//! Frames between instances, encoded with postcard over QUIC streams.
//!
//! A bidirectional stream carries one [`Request`] and its [`Reply`] frames.
//! Each frame is prefixed with its length as a big-endian 32-bit integer.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{api, config, engine, error};

/// Maximum length of a frame in bytes, without the length prefix.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A request from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The W3C trace context of the caller's request, if any.
    pub traceparent: Option<String>,
    /// The requested operation.
    pub body: Body,
}

/// Operations that an instance requests from another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Create a program in a partition that the receiver owns.
    Create {
        /// The account.
        account: String,
        /// The caller's body.
        create: api::CreateProgram,
    },
    /// Run a call; the reply is a sequence of [`Reply::Event`] frames.
    Call {
        /// The account.
        account: String,
        /// The program.
        program: String,
        /// The caller's body.
        call: api::Call,
    },
    /// Read a program.
    Read {
        /// The account; `None` for an operator.
        account: Option<String>,
        /// The program.
        program: String,
    },
    /// End a program.
    End {
        /// The account.
        account: String,
        /// The program.
        program: String,
    },
    /// Settle a call in doubt.
    Settle {
        /// The operator.
        operator: String,
        /// The program.
        program: String,
        /// The outcome that the operator states.
        settlement: Settlement,
    },
    /// Request a slot of an upstream from its home.
    Grant(SlotRequest),
    /// Release a slot.
    Return(SlotReturn),
    /// Request the digests of the upstreams whose home is the receiver.
    Digests,
    /// Ask the home of an account whether it admits another program.
    Admit {
        /// The account.
        account: String,
        /// The program.
        program: String,
    },
    /// Report the programs that an instance owns, for accounts whose home is the receiver.
    Programs {
        /// The owner.
        instance: String,
        /// The accounts.
        accounts: Vec<AccountPrograms>,
    },
    /// Query which programs of the receiver's partitions have ended.
    Ended {
        /// The programs to check.
        programs: Vec<String>,
    },
    /// Announce the current configuration version, so that the receiver fetches missing changes.
    Config(config::ConfigVersion),
    /// Send an operator's order to an upstream whose home is the receiver.
    Order {
        /// The upstream.
        upstream: String,
        /// The order.
        order: engine::Order,
    },
    /// Announce that the sender gives up ownership of partitions.
    HandOver {
        /// Numbers of the partitions.
        partitions: Vec<u16>,
    },
    /// Evict a program from an upstream's cache.
    Release {
        /// The upstream.
        upstream: String,
        /// The program.
        program: String,
    },
    /// Ask whether the receiver has seen the request crash an upstream and has not stored that yet.
    UnrecordedCrash {
        /// The fingerprint of the request, in hexadecimal.
        fingerprint: String,
    },
}

/// The outcome of a call in doubt as stated by an operator: body of
/// `POST /v1/programs/{id}/settle`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Position of the call.
    pub position: u32,
    /// Whether the call took effect.
    pub ran: bool,
    /// Output to record.
    pub output: String,
    /// Reason given by the operator.
    pub reason: String,
}

/// Request for a slot of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The requested upstream.
    pub upstream: String,
    /// The program.
    pub program: String,
    /// The account.
    pub account: String,
    /// Tokens of service that the program has attained so far; the queue is ordered by it.
    pub attained: u64,
    /// Prompt tokens of the call.
    pub prompt: u64,
    /// Maximum output tokens of the call.
    pub output: u64,
    /// Milliseconds that the requester waits for the slot.
    pub wait_ms: u64,
    /// Milliseconds that the call has already waited for a slot.
    pub waited_ms: u64,
}

/// Release of a granted slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReturn {
    /// The upstream.
    pub upstream: String,
    /// Ticket of the grant.
    pub ticket: u64,
    /// Tokens that the call used, if it succeeded.
    pub usage: Option<api::Usage>,
    /// Whether the upstream failed during the call.
    pub failed: bool,
}

/// Programs of an account that an instance owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountPrograms {
    /// The account.
    pub account: String,
    /// The programs.
    pub programs: Vec<String>,
}

/// State of an upstream as known to its home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDigest {
    /// The upstream.
    pub upstream: String,
    /// Loaded models, as in [`crate::engine::LoadReport::models`].
    pub models: Vec<String>,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Free slots.
    pub free: u32,
    /// Expected wait of a new request in milliseconds.
    pub wait_ms: u64,
    /// Tokens in the prefix cache.
    pub cached_tokens: u64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Whether the upstream is draining.
    pub leaving: bool,
}

/// A reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A program; replies to [`Body::Create`], [`Body::Read`], [`Body::End`] and [`Body::Settle`].
    Program(api::Program),
    /// An event of a call's response.
    Event(api::Event),
    /// A slot was granted.
    Granted {
        /// Identifies the grant when it is released.
        ticket: u64,
        /// Milliseconds after which the grant expires unless it is released before.
        valid_ms: u64,
        /// The engine's epoch as last read by its home; `None` for plain services.
        epoch: Option<u64>,
    },
    /// Digests of the upstreams whose home is the sender.
    Digests(Vec<UpstreamDigest>),
    /// The queried programs that have ended.
    Ended(Vec<String>),
    /// The fencing number of the order; replies to [`Body::Order`].
    Ordered(u64),
    /// The request was processed; there is no result.
    Done,
    /// The request failed.
    Error(error::Error),
    /// Whether there is a crash that is not stored yet; replies to [`Body::UnrecordedCrash`].
    UnrecordedCrash(bool),
}

/// Encodes a frame with its length prefix.
///
/// # Errors
///
/// Fails if the frame is longer than [`MAX_FRAME_BYTES`].
pub fn encode(frame: &impl Serialize) -> Result<Vec<u8>, Malformed> {
    let body = postcard::to_stdvec(frame).map_err(|_| Malformed)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Malformed);
    }
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a frame from its bytes, without the length prefix.
///
/// # Errors
///
/// Fails if the bytes are not a valid frame of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Malformed> {
    postcard::from_bytes(bytes).map_err(|_| Malformed)
}

/// The frame is too long or can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("malformed frame")
    }
}

impl std::error::Error for Malformed {}

impl Reply {
    /// Tells whether this is the last reply to its request.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        !matches!(self, Self::Event(api::Event::Token(_)))
    }
}
