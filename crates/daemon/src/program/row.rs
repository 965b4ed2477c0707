//! The rows of programs.

use std::sync::Arc;

use basilramp_core::history::{State, Turn};
use basilramp_core::id;
use basilramp_core::tree::ProgramRecord;
use basilramp_platform::table::{Action, Condition, Key, Write};
use basilramp_wire::record;
use serde::Serialize;

/// Sort key of a program's head.
pub(crate) const HEAD: &str = "head";

/// Beginning of the sort keys of turns.
pub(crate) const TURN: &str = "turn/";

const INTENT_VERSION: u64 = 1;
const OUTCOME_VERSION: u64 = 2;

/// Returns the partition key of a program's rows.
pub(crate) fn partition_key(program: id::Program) -> String {
    format!("program/{program}")
}

/// Returns the partition key of the programs under way in a partition.
pub(crate) fn live_key(partition: id::Partition) -> String {
    format!("live/{:04}", partition.0)
}

/// Returns the position in the sort key of a turn.
pub(crate) fn position(sort: &str) -> Option<u32> {
    sort.strip_prefix(TURN)?.parse().ok()
}

/// Returns the write of a program's head.
pub(crate) fn head(head: ProgramRecord, version: u64, check: Condition) -> Write {
    let program = head.tree.root.member(head.number);
    let body = record::Program::from(head);
    Write {
        key: Key::new(partition_key(program), HEAD),
        condition: check,
        action: put(version, &body),
    }
}

/// Returns the write of a turn. The outcome of an intent overwrites it; any other turn is new.
pub(crate) fn turn(program: id::Program, position: u32, turn: &Turn, intended: bool) -> Write {
    let version = match turn.outcome.state {
        State::Intent => INTENT_VERSION,
        State::Done | State::Failed => OUTCOME_VERSION,
    };
    Write {
        key: turn_key(program, position),
        condition: match intended {
            true => Condition::Version(INTENT_VERSION),
            false => Condition::Absent,
        },
        action: put(version, &record::Turn::from(turn)),
    }
}

/// Returns the deletion of an intent, whether or not it was written.
pub(crate) fn withdrawal(program: id::Program, position: u32) -> Write {
    Write {
        key: turn_key(program, position),
        condition: Condition::None,
        action: Action::Delete,
    }
}

/// Returns the write that lists a program as under way.
pub(crate) fn live(root: id::Program, account: &id::Account) -> Write {
    let body = record::LiveProgram {
        account: account.to_string(),
    };
    Write {
        key: Key::new(live_key(root.partition()), root.to_string()),
        condition: Condition::None,
        action: put(1, &body),
    }
}

/// Returns the deletion of a program from those under way.
pub(crate) fn not_live(root: id::Program) -> Write {
    Write {
        key: Key::new(live_key(root.partition()), root.to_string()),
        condition: Condition::None,
        action: Action::Delete,
    }
}

/// Returns the write of what an operator did.
pub(crate) fn audit(audit: &record::AuditEntry, program: id::Program, position: u32) -> Write {
    let sort = format!("{:015}/{program}/{position:08}", audit.at_ms);
    Write {
        key: Key::new("audit", sort),
        condition: Condition::Absent,
        action: put(1, audit),
    }
}

fn turn_key(program: id::Program, position: u32) -> Key {
    Key::new(partition_key(program), format!("{TURN}{position:08}"))
}

fn put(version: u64, body: &impl Serialize) -> Action {
    let text = serde_json::to_string(body).unwrap_or_default();
    Action::Put {
        version,
        body: Arc::from(text),
    }
}

/// Returns the deletion of a program's head.
pub(crate) fn head_deletion(program: id::Program) -> Write {
    Write {
        key: Key::new(partition_key(program), HEAD),
        condition: Condition::None,
        action: Action::Delete,
    }
}
