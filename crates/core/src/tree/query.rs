//! Methods that read a tree.

use super::{Key, Member, Origin, Phase, ProgramRecord, Tree, TreeRecord};
use crate::budget::{self, Budget, Ledger};
use crate::clock::Time;
use crate::history::History;
use crate::id;

impl Tree {
    /// Returns the id of the root program.
    #[must_use]
    pub fn root(&self) -> id::Program {
        self.root
    }

    /// Returns the account that owns the tree.
    #[must_use]
    pub fn account(&self) -> &id::Account {
        &self.account
    }

    /// Returns the tree's budget.
    #[must_use]
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// Returns the token ledger of the tree.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the key of the program with this number.
    #[must_use]
    pub fn key(&self, number: u32) -> Option<Key> {
        self.numbers.get(&number).copied()
    }

    /// Returns a program's history.
    #[must_use]
    pub fn history(&self, key: Key) -> Option<&History> {
        self.arena.get(key).map(|member| &member.history)
    }

    /// Returns how a program was created.
    #[must_use]
    pub fn origin(&self, key: Key) -> Option<&Origin> {
        self.arena.get(key).map(|member| &member.origin)
    }

    /// Returns the phase of a program's call in progress.
    #[must_use]
    pub fn phase(&self, key: Key) -> Option<Phase> {
        let running = self.arena.get(key)?.running.as_ref()?;
        Some(running.phase)
    }

    /// Returns whether the turn at a position is durable.
    #[must_use]
    pub fn is_durable(&self, key: Key, position: u32) -> bool {
        let member = self.arena.get(key);
        member.is_some_and(|member| position < member.durable)
    }

    /// Returns whether a program or one of its ancestors has ended.
    #[must_use]
    pub fn is_ended(&self, key: Key) -> bool {
        let mut next = Some(key);
        while let Some(key) = next {
            let Some(member) = self.arena.get(key) else {
                return true;
            };
            if member.ended {
                return true;
            }
            let parent = member.origin.parent;
            next = parent.map(|parent| self.key(parent).unwrap_or_default());
        }
        false
    }

    /// Returns the number of turns in the whole tree, including calls in progress.
    #[must_use]
    pub fn turns(&self) -> u32 {
        let count = |member: &Member| {
            let running = member.running.as_ref();
            let calling = running.is_some_and(|running| running.phase == Phase::Calling);
            let has_intent = member.history.intent().is_some();
            member.history.next_position() + u32::from(calling && !has_intent)
        };
        self.arena.values().map(count).sum()
    }

    /// Returns the wall-clock time of the root's creation.
    #[must_use]
    pub fn created_at(&self) -> Time {
        let origin = self.key(0).and_then(|key| self.origin(key));
        origin.map_or(Time::ZERO, |origin| origin.created_at)
    }

    /// Returns whether the turn or time budget of the tree is used up at `now`.
    #[must_use]
    pub fn is_exhausted(&self, now: Time) -> bool {
        self.turns() >= self.budget.turns
            || budget::is_expired(&self.budget, self.created_at(), now)
    }

    /// Returns whether no call of the tree is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.arena.values().all(|member| member.running.is_none())
    }

    /// Returns whether the root has ended and all turns and reservations are durable.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let mut members = self.arena.values();
        let durable = members.all(|member| member.durable >= member.history.next_position());
        let ended = self.key(0).is_some_and(|key| self.is_ended(key));
        ended && durable && self.is_idle() && self.ledger.is_settled()
    }

    /// Returns the numbers of all programs.
    #[must_use]
    pub fn numbers(&self) -> Vec<u32> {
        self.numbers.keys().copied().collect()
    }

    /// Returns the row to write for a program, with a reservation of `reserved` tokens.
    #[must_use]
    pub fn program_record(&self, number: u32, reserved: u64) -> Option<ProgramRecord> {
        let member = self.arena.get(self.key(number)?)?;
        let record = TreeRecord {
            root: self.root,
            account: self.account.clone(),
            budget: self.budget,
            reserved,
            members: self.members,
        };
        Some(ProgramRecord {
            tree: record,
            number,
            origin: member.origin.clone(),
            ended: member.ended,
        })
    }

    pub(super) fn child(&self, parent: u32, request: &id::Request) -> Option<(u32, &Origin)> {
        let origins = self
            .numbers
            .iter()
            .map(|(number, key)| (*number, &self.arena[*key].origin));
        let mut matching = origins
            .filter(|(_, origin)| origin.parent == Some(parent) && origin.request_id == *request);
        matching.next()
    }
}
