//! The rows of programs in the store.

use std::sync::Arc;

use basilramp_core::history::{State, Turn};
use basilramp_core::id;
use basilramp_core::tree::ProgramRecord;
use basilramp_platform::table::{Action, Condition, Key, Write};
use basilramp_wire::record;
use serde::Serialize;

/// Sort key of a program's head row.
pub(crate) const HEAD_SORT_KEY: &str = "head";

/// Prefix of the sort keys of turns.
pub(crate) const TURN: &str = "turn/";

const INTENT_VERSION: u64 = 1;
const OUTCOME_VERSION: u64 = 2;

/// Returns the partition key of a program's rows.
pub(crate) fn partition_key(program: id::Program) -> String {
    format!("program/{program}")
}

/// Returns the partition key of the rows that list a partition's running programs.
pub(crate) fn live_key(partition: id::Partition) -> String {
    format!("live/{:04}", partition.0)
}

/// Parses the position from the sort key of a turn.
pub(crate) fn parse_position(sort: &str) -> Option<u32> {
    sort.strip_prefix(TURN)?.parse().ok()
}

/// Returns a write of a program's head row.
pub(crate) fn put_head(head: ProgramRecord, version: u64, check: Condition) -> Write {
    let program = head.tree.root.member(head.number);
    let body = record::Program::from(head);
    Write {
        key: Key::new(partition_key(program), HEAD_SORT_KEY),
        condition: check,
        action: put_action(version, &body),
    }
}

/// Returns a write of a turn's row.
///
/// With `has_intent`, the turn replaces its intent; otherwise the row must not exist.
pub(crate) fn put_turn(
    program: id::Program,
    position: u32,
    turn: &Turn,
    has_intent: bool,
) -> Write {
    let version = match turn.outcome.state {
        State::Intent => INTENT_VERSION,
        State::Done | State::Failed => OUTCOME_VERSION,
    };
    Write {
        key: turn_key(program, position),
        condition: match has_intent {
            true => Condition::Version(INTENT_VERSION),
            false => Condition::Absent,
        },
        action: put_action(version, &record::Turn::from(turn)),
    }
}

/// Returns a deletion of an intent's row, which may not exist.
pub(crate) fn delete_intent(program: id::Program, position: u32) -> Write {
    Write {
        key: turn_key(program, position),
        condition: Condition::None,
        action: Action::Delete,
    }
}

/// Returns a write of the row that lists a program as running.
pub(crate) fn put_live(root: id::Program, account: &id::Account) -> Write {
    let body = record::LiveProgram {
        account: account.to_string(),
    };
    Write {
        key: Key::new(live_key(root.partition()), root.to_string()),
        condition: Condition::None,
        action: put_action(1, &body),
    }
}

/// Returns a deletion of the row that lists a program as running.
pub(crate) fn delete_live(root: id::Program) -> Write {
    Write {
        key: Key::new(live_key(root.partition()), root.to_string()),
        condition: Condition::None,
        action: Action::Delete,
    }
}

/// Returns a write of an audit row for an operator's action.
pub(crate) fn put_audit(audit: &record::AuditEntry, program: id::Program, position: u32) -> Write {
    let sort = format!("{:015}/{program}/{position:08}", audit.at_ms);
    Write {
        key: Key::new("audit", sort),
        condition: Condition::Absent,
        action: put_action(1, audit),
    }
}

fn turn_key(program: id::Program, position: u32) -> Key {
    Key::new(partition_key(program), format!("{TURN}{position:08}"))
}

fn put_action(version: u64, body: &impl Serialize) -> Action {
    let text = serde_json::to_string(body).unwrap_or_default();
    Action::Put {
        version,
        body: Arc::from(text),
    }
}

/// Returns a deletion of a program's head row.
pub(crate) fn delete_head(program: id::Program) -> Write {
    Write {
        key: Key::new(partition_key(program), HEAD_SORT_KEY),
        condition: Condition::None,
        action: Action::Delete,
    }
}
