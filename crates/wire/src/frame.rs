//! Frames between instances, encoded with postcard over QUIC streams.
//!
//! One bidirectional stream carries one [`Request`] and its [`Reply`] frames.
//! Each frame is preceded by its length in four bytes, big endian.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{api, config, engine, error};

/// The longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A request from one instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The W3C trace context of the caller's request, if any.
    pub traceparent: Option<String>,
    /// What is asked.
    pub body: Body,
}

/// What one instance asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Create a program in a partition that the receiver owns.
    Create {
        /// The account.
        account: String,
        /// The caller's body.
        create: api::CreateProgram,
    },
    /// Run a call; answered by [`Reply::Event`] frames.
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
        /// The account; nothing for an operator.
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
        /// The operator's word.
        settlement: Settlement,
    },
    /// Ask the home of an upstream for one of its slots.
    Grant(SlotRequest),
    /// Give a slot back.
    Return(SlotReturn),
    /// Ask what the receiver knows of the upstreams homed there.
    Digests,
    /// Ask the home of an account whether one more program may start.
    Admit {
        /// The account.
        account: String,
        /// The program.
        program: String,
    },
    /// The programs that an instance owns, of accounts homed at the receiver.
    Programs {
        /// The owner.
        instance: String,
        /// The accounts.
        accounts: Vec<AccountPrograms>,
    },
    /// Ask which of some programs, of partitions that the receiver owns, have ended.
    Ended {
        /// The programs.
        programs: Vec<String>,
    },
    /// A configuration version is in force; fetch what is missing.
    Config(config::ConfigVersion),
    /// Give an upstream homed at the receiver an order, by an operator's hand.
    Order {
        /// The upstream.
        upstream: String,
        /// The order.
        order: engine::Order,
    },
    /// The sender stops owning these partitions.
    HandOver {
        /// The partitions' numbers.
        partitions: Vec<u16>,
    },
    /// The upstream's cache is to let go of a program.
    Release {
        /// The upstream.
        upstream: String,
        /// The program.
        program: String,
    },
}

/// An operator's word on a call in doubt: body of `POST /v1/programs/{id}/settle`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The call's position.
    pub position: u32,
    /// Whether the call took effect.
    pub ran: bool,
    /// The answer to record.
    pub output: String,
    /// Why.
    pub reason: String,
}

/// Asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The upstream wanted.
    pub upstream: String,
    /// The program.
    pub program: String,
    /// The account.
    pub account: String,
    /// Tokens of service that the program has had, for the queue's order.
    pub attained: u64,
    /// Prompt tokens of the call.
    pub prompt: u64,
    /// The most output tokens of the call.
    pub output: u64,
    /// Milliseconds that the asker waits.
    pub wait_ms: u64,
    /// Milliseconds that the call has waited for a slot before.
    pub waited_ms: u64,
}

/// Gives a slot back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReturn {
    /// The upstream.
    pub upstream: String,
    /// The ticket of the grant.
    pub ticket: u64,
    /// What the call used, if it ended well.
    pub usage: Option<api::Usage>,
    /// Whether the upstream failed under it.
    pub failed: bool,
}

/// The programs of an account that one instance owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountPrograms {
    /// The account.
    pub account: String,
    /// The programs.
    pub programs: Vec<String>,
}

/// What the home of an upstream knows of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDigest {
    /// The upstream.
    pub upstream: String,
    /// What is loaded, as in [`crate::engine::Load::models`].
    pub models: Vec<String>,
    /// The most calls at once.
    pub slots: u32,
    /// Slots that are free.
    pub free: u32,
    /// Milliseconds until a new request would be served.
    pub wait_ms: u64,
    /// Tokens held in the cache.
    pub cached_tokens: u64,
    /// Tokens that the cache can hold.
    pub cache_tokens: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An answer from an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A program, for [`Body::Create`], [`Body::Read`], [`Body::End`] and [`Body::Settle`].
    Program(api::Program),
    /// Part of a call's answer.
    Event(api::Event),
    /// A slot.
    Granted {
        /// Names the grant when it is given back.
        ticket: u64,
        /// Milliseconds after which an unreturned grant is void.
        valid_ms: u64,
        /// The engine's epoch as its home last read it; nothing for plain services.
        epoch: Option<u64>,
    },
    /// The upstreams homed at the sender.
    Digests(Vec<UpstreamDigest>),
    /// Those of the programs asked about that have ended.
    Ended(Vec<String>),
    /// The fencing number of an order, for [`Body::Order`].
    Ordered(u64),
    /// Taken note of.
    Done,
    /// Refused.
    Error(error::Error),
}

/// Encodes a frame with its length before it.
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

/// Decodes a frame from its bytes, without the length.
///
/// # Errors
///
/// Fails if the bytes are no such frame.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Malformed> {
    postcard::from_bytes(bytes).map_err(|_| Malformed)
}

/// A frame that is too long or can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("malformed frame")
    }
}

impl std::error::Error for Malformed {}

impl Reply {
    /// Tells whether no other reply follows this one.
    #[must_use]
    pub const fn is_last(&self) -> bool {
        !matches!(self, Self::Event(api::Event::Token(_)))
    }
}
