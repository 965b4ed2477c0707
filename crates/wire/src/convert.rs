//! Conversions between stored rows and core types.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use basilramp_core::budget::Budget;
use basilramp_core::clock::Time;
use basilramp_core::history::{Digest, Outcome, State, Turn, TurnRequest, Usage};
use basilramp_core::id;
use basilramp_core::suspect::{Limits, Suspect, Verdict};
use basilramp_core::tree::{Origin, ProgramRecord, TreeRecord};

use crate::{api, record};

/// A stored row has invalid content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed row")
    }
}

impl std::error::Error for Malformed {}

impl From<api::Budget> for Budget {
    fn from(budget: api::Budget) -> Self {
        Self {
            tokens: budget.tokens,
            turns: budget.turns,
            wall_ms: budget.wall_ms,
            depth: budget.depth,
        }
    }
}

impl From<Budget> for api::Budget {
    fn from(budget: Budget) -> Self {
        Self {
            tokens: budget.tokens,
            turns: budget.turns,
            wall_ms: budget.wall_ms,
            depth: budget.depth,
        }
    }
}

impl From<api::Usage> for Usage {
    fn from(usage: api::Usage) -> Self {
        Self {
            prompt: usage.prompt,
            cached: usage.cached,
            output: usage.output,
        }
    }
}

impl From<Usage> for api::Usage {
    fn from(usage: Usage) -> Self {
        Self {
            prompt: usage.prompt,
            cached: usage.cached,
            output: usage.output,
        }
    }
}

impl From<State> for record::TurnState {
    fn from(state: State) -> Self {
        match state {
            State::Intent => Self::Intent,
            State::Done => Self::Done,
            State::Failed => Self::Failed,
        }
    }
}

impl From<record::TurnState> for State {
    fn from(state: record::TurnState) -> Self {
        match state {
            record::TurnState::Intent => Self::Intent,
            record::TurnState::Done => Self::Done,
            record::TurnState::Failed => Self::Failed,
        }
    }
}

impl From<&Turn> for record::Turn {
    fn from(turn: &Turn) -> Self {
        Self {
            request_id: turn.request.id.to_string(),
            body_digest: turn.request.body_digest.to_string(),
            service: turn.request.service.to_string(),
            state: turn.outcome.state.into(),
            input: turn.request.input.to_string(),
            output: turn.outcome.output.to_string(),
            usage: turn.outcome.usage.into(),
            hash: turn.hash.map(|hash| hash.to_string()).unwrap_or_default(),
        }
    }
}

impl TryFrom<record::Turn> for Turn {
    type Error = Malformed;

    fn try_from(row: record::Turn) -> Result<Self, Malformed> {
        let hash = match row.hash.as_str() {
            "" => None,
            text => Some(parse_digest(text)?),
        };
        let request = TurnRequest {
            id: id::Request::new(row.request_id),
            body_digest: parse_digest(&row.body_digest)?,
            service: id::Service::new(row.service),
            input: Arc::from(row.input),
        };
        let outcome = Outcome {
            state: row.state.into(),
            output: Arc::from(row.output),
            usage: row.usage.into(),
        };
        let turn = Self {
            request,
            outcome,
            hash,
        };
        Ok(turn)
    }
}

impl From<ProgramRecord> for record::Program {
    fn from(head: ProgramRecord) -> Self {
        let root = head.tree.root;
        let is_root = head.number == 0;
        let parent = head.origin.parent.map(|parent| root.member(parent));
        Self {
            account: head.tree.account.to_string(),
            request_id: head.origin.request_id.to_string(),
            body_digest: head.origin.body_digest.to_string(),
            parent: parent.map(|parent| parent.to_string()),
            depth: head.origin.depth,
            budget: is_root.then(|| head.tree.budget.into()),
            reserved: if is_root { head.tree.reserved } else { 0 },
            members: if is_root { head.tree.members } else { 0 },
            created_at_ms: head.origin.created_at.as_ms(),
            ended: head.ended,
        }
    }
}

impl TryFrom<&record::Program> for Origin {
    type Error = Malformed;

    fn try_from(row: &record::Program) -> Result<Self, Malformed> {
        let parent = match &row.parent {
            None => None,
            Some(text) => Some(id::Program::from_str(text).map_err(|_| Malformed)?),
        };
        let origin = Self {
            request_id: id::Request::new(row.request_id.as_str()),
            body_digest: parse_digest(&row.body_digest)?,
            parent: parent.map(id::Program::number),
            depth: row.depth,
            created_at: Time::from_ms(row.created_at_ms),
        };
        Ok(origin)
    }
}

impl record::Program {
    /// Returns the record of the tree from the row of its root program.
    ///
    /// # Errors
    ///
    /// Fails if the row is not that of a root program.
    pub fn tree_record(&self, root: id::Program) -> Result<TreeRecord, Malformed> {
        let budget = self.budget.ok_or(Malformed)?;
        let tree = TreeRecord {
            root,
            account: id::Account::new(self.account.as_str()),
            budget: budget.into(),
            reserved: self.reserved,
            members: self.members,
        };
        Ok(tree)
    }
}

impl From<&Suspect> for record::Suspect {
    fn from(suspect: &Suspect) -> Self {
        let trial = suspect.trial.as_ref();
        Self {
            crashes: suspect.crashed.len() as u32,
            upstream: suspect
                .crashed
                .last()
                .map(ToString::to_string)
                .unwrap_or_default(),
            trial: trial.map(ToString::to_string).unwrap_or_default(),
            quarantined: suspect.verdict(Limits::OWNED) == Verdict::Quarantined,
        }
    }
}

impl From<record::Suspect> for Suspect {
    fn from(row: record::Suspect) -> Self {
        let trial = (!row.trial.is_empty()).then(|| id::Upstream::new(row.trial));
        // The record names the last upstream only.
        let upstream = id::Upstream::new(row.upstream);
        Self {
            crashed: vec![upstream; (row.crashes as usize).min(Limits::OWNED.quarantine)],
            trial,
            ..Self::default()
        }
    }
}

fn parse_digest(text: &str) -> Result<Digest, Malformed> {
    Digest::from_str(text).map_err(|_| Malformed)
}
