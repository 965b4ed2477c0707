//! The history of a program: turns linked by a hash chain.
//!
//! Loading a history verifies the chain, which detects missing, altered and misplaced turns.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use sha2::{Digest as _, Sha256};

use crate::id;

/// A SHA-256 digest. Its text form is 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Hashes `parts`, each preceded by its length.
    pub fn from_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for Digest {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let bytes = text.as_bytes();
        if bytes.len() != 64 || !text.is_ascii() {
            return Err(Malformed);
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| Malformed)?;
        }
        Ok(Self(digest))
    }
}

/// The text is not a valid digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a digest")
    }
}

impl std::error::Error for Malformed {}

/// Tokens used by a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens, including the history.
    pub prompt: u64,
    /// Prompt tokens that were in the upstream's cache.
    pub cached: u64,
    /// Generated tokens.
    pub output: u64,
}

impl Usage {
    /// Returns the tokens charged to the budget.
    #[must_use]
    pub const fn charged(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }

    /// Returns the usage limited to a charge of `tokens`.
    #[must_use]
    pub fn capped(self, tokens: u64) -> Self {
        let prompt = self.prompt.min(tokens);
        Self {
            prompt,
            cached: self.cached.min(prompt),
            output: self.output.min(tokens - prompt),
        }
    }
}

/// State of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The call is not idempotent and may have been sent.
    Intent,
    /// The call ran and its answer is recorded.
    Done,
    /// The call failed permanently; the output describes the failure.
    Failed,
}

/// The request of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnRequest {
    /// The caller's request id.
    pub id: id::Request,
    /// Digest of the complete request body.
    pub body_digest: Digest,
    /// The called service.
    pub service: id::Service,
    /// The input text.
    pub input: Arc<str>,
}

/// The result of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// [`State::Done`] or [`State::Failed`]; [`State::Intent`] while the result is unknown.
    pub state: State,
    /// The answer text.
    pub output: Arc<str>,
    /// Tokens used by the call.
    pub usage: Usage,
}

/// A turn of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The request.
    pub request: TurnRequest,
    /// The result; an intent has an empty output.
    pub outcome: Outcome,
    /// Hash of the history up to and including this turn; `None` for an intent.
    pub hash: Option<Digest>,
}

/// Why stored turns do not form a valid history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntegrityError {
    /// The turn at this position is missing.
    MissingTurn(u32),
    /// The turn at this position was altered or belongs to another history.
    HashMismatch(u32),
}

impl fmt::Display for IntegrityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingTurn(position) => write!(f, "turn {position} is missing"),
            Self::HashMismatch(position) => write!(f, "turn {position} does not belong here"),
        }
    }
}

impl std::error::Error for IntegrityError {}

/// The turns of one program, in order.
#[derive(Clone, Debug)]
pub struct History {
    program: id::Program,
    turns: Vec<Turn>,
    hash: Digest,
}

impl History {
    /// Creates an empty history for a program.
    #[must_use]
    pub fn new(program: id::Program) -> Self {
        let name = program.to_string();
        Self {
            program,
            turns: Vec::new(),
            hash: Digest::from_parts([name.as_bytes()]),
        }
    }

    /// Loads a history from its turns and verifies the hash chain.
    ///
    /// # Errors
    ///
    /// Fails if a position is missing or a hash does not match.
    pub fn load(
        program: id::Program,
        turns: impl IntoIterator<Item = (u32, Turn)>,
    ) -> Result<Self, IntegrityError> {
        let mut history = Self::new(program);
        for (position, turn) in turns {
            if position != history.next_position() || history.intent().is_some() {
                return Err(IntegrityError::MissingTurn(history.next_position()));
            }
            if turn.outcome.state == State::Intent {
                history.turns.push(turn);
                continue;
            }
            let recorded = turn.hash;
            let computed = history.append(turn.request, turn.outcome);
            if recorded != Some(computed) {
                return Err(IntegrityError::HashMismatch(position));
            }
        }
        Ok(history)
    }

    /// Appends a completed turn and returns the new hash.
    pub fn append(&mut self, request: TurnRequest, outcome: Outcome) -> Digest {
        let hash = self.chain(self.next_position(), &request, &outcome);
        self.hash = hash;
        self.turns.push(Turn {
            request,
            outcome,
            hash: Some(hash),
        });
        hash
    }

    /// Appends a turn whose result is unknown.
    pub fn append_intent(&mut self, request: TurnRequest) {
        let outcome = Outcome {
            state: State::Intent,
            output: Arc::from(""),
            usage: Usage::default(),
        };
        self.turns.push(Turn {
            request,
            outcome,
            hash: None,
        });
    }

    /// Removes the intent at the end, if any, and returns its request.
    pub fn pop_intent(&mut self) -> Option<TurnRequest> {
        self.intent()?;
        self.turns.pop().map(|turn| turn.request)
    }

    /// Returns the intent at the end, if any.
    #[must_use]
    pub fn intent(&self) -> Option<&Turn> {
        let last = self.turns.last()?;
        (last.outcome.state == State::Intent).then_some(last)
    }

    /// Returns the position of the next turn.
    #[must_use]
    pub fn next_position(&self) -> u32 {
        self.turns.len() as u32
    }

    /// Returns the turns in order.
    #[must_use]
    pub fn turns(&self) -> &[Turn] {
        &self.turns
    }

    /// Returns the turn with this request id and its position.
    #[must_use]
    pub fn find(&self, id: &id::Request) -> Option<(u32, &Turn)> {
        let index = self.turns.iter().rposition(|turn| turn.request.id == *id)?;
        Some((index as u32, &self.turns[index]))
    }

    fn chain(&self, position: u32, request: &TurnRequest, outcome: &Outcome) -> Digest {
        let program = self.program.to_string();
        let state = match outcome.state {
            State::Intent => 0,
            State::Done => 1,
            State::Failed => 2,
        };
        let usage = outcome.usage;
        Digest::from_parts([
            self.hash.0.as_slice(),
            program.as_bytes(),
            &position.to_be_bytes(),
            request.id.as_str().as_bytes(),
            &request.body_digest.0,
            request.service.as_str().as_bytes(),
            request.input.as_bytes(),
            &[state],
            outcome.output.as_bytes(),
            &usage.prompt.to_be_bytes(),
            &usage.cached.to_be_bytes(),
            &usage.output.to_be_bytes(),
        ])
    }
}
