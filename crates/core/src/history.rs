//! A program's turns, chained by hashes so that a gap or a foreign turn is found on load.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use sha2::{Digest as _, Sha256};

use crate::id;

/// A SHA-256 digest. Its text form is 64 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digests `parts`, each preceded by its length.
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

/// A text that is no digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a digest")
    }
}

impl std::error::Error for Malformed {}

/// Tokens that a call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt with its history.
    pub prompt: u64,
    /// How many of those the upstream had cached.
    pub cached: u64,
    /// Tokens generated.
    pub output: u64,
}

impl Usage {
    /// Returns what the call counts against the budget.
    #[must_use]
    pub const fn charged(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }

    /// Returns the usage with its charge cut down to `tokens`.
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

/// How far a turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// A call that may not be repeated and may have been sent.
    Intent,
    /// It ran and its answer is recorded.
    Done,
    /// It failed for good; the output says how.
    Failed,
}

/// What was asked in a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnRequest {
    /// The caller's request id.
    pub id: id::Request,
    /// The digest of the caller's whole body.
    pub body_digest: Digest,
    /// The service called.
    pub service: id::Service,
    /// The input.
    pub input: Arc<str>,
}

/// What came of a turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// [`State::Done`] or [`State::Failed`].
    pub state: State,
    /// The answer.
    pub output: Arc<str>,
    /// What it used.
    pub usage: Usage,
}

/// One turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// What was asked.
    pub request: TurnRequest,
    /// What came of it; an intent has an empty output.
    pub outcome: Outcome,
    /// The hash of the history up to and with this turn; none for an intent.
    pub hash: Option<Digest>,
}

/// Why rows are no history of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntegrityError {
    /// This position is missing.
    MissingTurn(u32),
    /// The turn at this position does not belong here.
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
    /// Opens the empty history of a program.
    #[must_use]
    pub fn new(program: id::Program) -> Self {
        let name = program.to_string();
        Self {
            program,
            turns: Vec::new(),
            hash: Digest::from_parts([name.as_bytes()]),
        }
    }

    /// Loads a history from its turns and checks that it is whole.
    ///
    /// # Errors
    ///
    /// Fails if a position is missing or a hash does not fit.
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

    /// Appends a turn with its outcome and returns the new hash.
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

    /// Appends a turn whose outcome is not known yet.
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

    /// Takes back the intent at the end, if there is one, and returns what it asked.
    pub fn pop_intent(&mut self) -> Option<TurnRequest> {
        self.intent()?;
        self.turns.pop().map(|turn| turn.request)
    }

    /// Returns the intent at the end, if there is one.
    #[must_use]
    pub fn intent(&self) -> Option<&Turn> {
        let last = self.turns.last()?;
        (last.outcome.state == State::Intent).then_some(last)
    }

    /// Returns the position after the last turn.
    #[must_use]
    pub fn next_position(&self) -> u32 {
        self.turns.len() as u32
    }

    /// Returns the turns in order.
    #[must_use]
    pub fn turns(&self) -> &[Turn] {
        &self.turns
    }

    /// Returns the turn of a request, with its position.
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
