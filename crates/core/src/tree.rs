//! A program and its sub-agents: order, history and budget under one owner.

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use crate::budget::{self, Budget, Exceeded, Hold, Ledger};
use crate::clock::Time;
use crate::history::{Ask, Broken, Digest, History, Outcome, Turn};
use crate::id;

new_key_type! {
    /// Names a program within its tree's arena.
    pub struct Key;
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The tree has no such program.
    Missing,
    /// The program, or one that it belongs to, has ended.
    Ended,
    /// The request id was used with another body.
    Conflict,
    /// The same request is being run.
    InProgress,
    /// Another call is due, at this position.
    OutOfOrder(u32),
    /// Turns that the caller knows were not kept; the next position is this one.
    Behind(u32),
    /// The same request was sent and its outcome is not known.
    Doubt,
    /// The call at this position is in doubt and has to be settled first.
    Blocked(u32),
    /// The record of a call that was never sent is being taken back.
    Withdrawing,
    /// A budget does not cover it.
    Exceeded(Exceeded),
}

/// How a request starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begin {
    /// It runs now, for this program.
    Started(Key),
    /// Its answer is recorded at this position.
    Recorded(Key, u32),
}

/// How a sub-agent's creation starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spawn {
    /// It is new: its head and the root's have to be written.
    New(id::Program),
    /// It exists.
    Existing(id::Program),
}

/// How far the call in progress has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being run.
    Calling,
    /// Its turn is being written.
    Committing,
    /// Its intent was never sent and is being deleted.
    Withdrawing,
    /// Its outcome is not known.
    Doubt,
}

/// How a program was created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The creation's request id.
    pub request: id::Request,
    /// The digest of the creation's body.
    pub digest: Digest,
    /// The parent's number, for a sub-agent.
    pub parent: Option<u32>,
    /// Levels below the root.
    pub depth: u32,
    /// Wall-clock time of creation.
    pub created: Time,
}

#[derive(Clone, Debug)]
struct Running {
    ask: Ask,
    phase: Phase,
}

#[derive(Clone, Debug)]
struct Member {
    origin: Origin,
    ended: bool,
    history: History,
    loaded: u32,
    durable: u32,
    running: Option<Running>,
}

/// A program as it is loaded from its rows.
#[derive(Clone, Debug)]
pub struct Loaded {
    /// Its number in the tree.
    pub number: u32,
    /// How it was created.
    pub origin: Origin,
    /// Whether it has ended.
    pub ended: bool,
    /// Its turns with their positions, in order.
    pub turns: Vec<(u32, Turn)>,
}

/// What the root's row says of the whole tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shape {
    /// The root program.
    pub root: id::Program,
    /// The account.
    pub account: id::Account,
    /// The tree's budget.
    pub budget: Budget,
    /// Tokens reserved durably.
    pub reserved: u64,
    /// How many sub-agents the tree has had.
    pub members: u32,
}

/// What a program's row says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The whole tree.
    pub shape: Shape,
    /// The program's number.
    pub number: u32,
    /// How it was created.
    pub origin: Origin,
    /// Whether it has ended.
    pub ended: bool,
}

/// A program and its sub-agents.
#[derive(Clone, Debug)]
pub struct Tree {
    root: id::Program,
    account: id::Account,
    budget: Budget,
    ledger: Ledger,
    arena: SlotMap<Key, Member>,
    numbers: BTreeMap<u32, Key>,
    members: u32,
}

impl Tree {
    /// Creates a tree of one program, of whose budget `reserved` tokens are written with it.
    #[must_use]
    pub fn create(
        root: id::Program,
        account: id::Account,
        budget: Budget,
        reserved: u64,
        origin: Origin,
    ) -> Self {
        let mut tree = Self {
            root,
            account,
            budget,
            ledger: Ledger::open(budget.tokens, reserved),
            arena: SlotMap::with_key(),
            numbers: BTreeMap::new(),
            members: 0,
        };
        tree.insert(0, origin, false, History::open(root));
        tree
    }

    /// Loads a tree from its rows.
    ///
    /// # Errors
    ///
    /// Fails if a program's history is not whole.
    pub fn load(shape: Shape, programs: impl IntoIterator<Item = Loaded>) -> Result<Self, Broken> {
        let mut tree = Self {
            root: shape.root,
            account: shape.account,
            budget: shape.budget,
            ledger: Ledger::load(shape.budget.tokens, shape.reserved),
            arena: SlotMap::with_key(),
            numbers: BTreeMap::new(),
            members: shape.members,
        };
        for program in programs {
            let id = tree.root.member(program.number);
            let history = History::load(id, program.turns)?;
            tree.insert(program.number, program.origin, program.ended, history);
        }
        Ok(tree)
    }

    fn insert(&mut self, number: u32, origin: Origin, ended: bool, history: History) -> Key {
        let doubt = history.intent().map(|turn| Running {
            ask: turn.ask.clone(),
            phase: Phase::Doubt,
        });
        let next = history.next_position();
        let key = self.arena.insert(Member {
            origin,
            ended,
            history,
            loaded: next,
            durable: next,
            running: doubt,
        });
        self.numbers.insert(number, key);
        key
    }

    /// Starts the creation of a sub-agent.
    ///
    /// # Errors
    ///
    /// Fails if the parent has ended or lies too deep, or the request id stands for another body.
    pub fn spawn(&mut self, parent: u32, origin: Origin) -> Result<Spawn, Refusal> {
        if let Some((number, known)) = self.child(parent, &origin.request) {
            if known.digest != origin.digest {
                return Err(Refusal::Conflict);
            }
            return Ok(Spawn::Existing(self.root.member(number)));
        }
        let key = self.key(parent).ok_or(Refusal::Missing)?;
        if self.is_ended(key) {
            return Err(Refusal::Ended);
        }
        let depth = self.arena[key].origin.depth + 1;
        if depth > self.budget.depth {
            return Err(Refusal::Exceeded(Exceeded::Depth));
        }
        if budget::expired(&self.budget, self.created(), origin.created) {
            return Err(Refusal::Exceeded(Exceeded::Wall));
        }
        self.members += 1;
        let number = self.members;
        let id = self.root.member(number);
        let origin = Origin {
            parent: Some(parent),
            depth,
            ..origin
        };
        self.insert(number, origin, false, History::open(id));
        Ok(Spawn::New(id))
    }

    /// Forgets a sub-agent whose creation was not written. Its number is not used again.
    pub fn forget(&mut self, number: u32) {
        if let Some(key) = self.numbers.remove(&number) {
            self.arena.remove(key);
        }
    }

    /// Starts a call.
    ///
    /// # Errors
    ///
    /// Says why the call is refused; then nothing has changed.
    pub fn begin(
        &mut self,
        number: u32,
        position: u32,
        ask: Ask,
        now: Time,
    ) -> Result<Begin, Refusal> {
        let key = self.key(number).ok_or(Refusal::Missing)?;
        if let Some(found) = self.repeated(key, position, &ask)? {
            return Ok(Begin::Recorded(key, found));
        }
        self.check_position(key, position)?;
        if self.is_ended(key) {
            return Err(Refusal::Ended);
        }
        if self.turns() >= self.budget.turns {
            return Err(Refusal::Exceeded(Exceeded::Turns));
        }
        if budget::expired(&self.budget, self.created(), now) {
            return Err(Refusal::Exceeded(Exceeded::Wall));
        }
        self.arena[key].running = Some(Running {
            ask,
            phase: Phase::Calling,
        });
        Ok(Begin::Started(key))
    }

    fn repeated(&self, key: Key, position: u32, ask: &Ask) -> Result<Option<u32>, Refusal> {
        let member = &self.arena[key];
        if let Some(running) = &member.running
            && running.ask.request == ask.request
        {
            return Err(match running.phase {
                _ if running.ask.digest != ask.digest => Refusal::Conflict,
                Phase::Doubt => Refusal::Doubt,
                Phase::Withdrawing => Refusal::Withdrawing,
                Phase::Calling | Phase::Committing => Refusal::InProgress,
            });
        }
        match member.history.find(&ask.request) {
            Some((found, turn)) if turn.ask.digest == ask.digest && found == position => {
                Ok(Some(found))
            }
            Some(_) => Err(Refusal::Conflict),
            None => Ok(None),
        }
    }

    fn check_position(&self, key: Key, position: u32) -> Result<(), Refusal> {
        let member = &self.arena[key];
        let next = member.history.next_position();
        match &member.running {
            Some(running) if running.phase == Phase::Doubt => {
                return Err(Refusal::Blocked(next.saturating_sub(1)));
            }
            Some(running) if running.phase == Phase::Withdrawing => {
                return Err(Refusal::Withdrawing);
            }
            Some(_) => return Err(Refusal::OutOfOrder(next)),
            None => {}
        }
        if position > next && next == member.loaded && next > 0 {
            return Err(Refusal::Behind(next));
        }
        if position != next {
            return Err(Refusal::OutOfOrder(next));
        }
        Ok(())
    }

    /// Holds tokens for a call, or tells what has to be reserved first.
    ///
    /// # Errors
    ///
    /// Fails if the tree's budget does not cover them.
    pub fn hold(&mut self, tokens: u64) -> Result<Hold, Refusal> {
        self.ledger.hold(tokens).map_err(Refusal::Exceeded)
    }

    /// Lets go of `held` tokens, of which `spent` were used.
    pub fn settle_tokens(&mut self, held: u64, spent: u64) {
        self.ledger.settle(held, spent);
    }

    /// Starts a write of the root's row and returns the reservation to write.
    ///
    /// `ahead` is how much more than what is used should be reserved.
    pub fn start_write(&mut self, ahead: u64) -> u64 {
        let wanted = self.ledger.used().saturating_add(ahead);
        self.ledger.start_write(wanted)
    }

    /// Starts a write of the root's row that leaves the reservation as it is, or raises it.
    pub fn start_write_keeping(&mut self) -> u64 {
        let wanted = self.ledger.reserved();
        self.ledger.start_write(wanted)
    }

    /// Notes how the write of a reservation ended.
    pub fn end_write(&mut self, reserved: u64, durable: bool) {
        self.ledger.end_write(reserved, durable);
    }

    /// Takes back a call that left no turn.
    pub fn abandon(&mut self, key: Key) {
        if let Some(member) = self.arena.get_mut(key) {
            member.running = None;
        }
    }

    /// Appends the turn of a call that ran; it is not durable yet.
    ///
    /// Returns the position and the hash, or nothing if no call is in progress.
    pub fn finish(&mut self, key: Key, outcome: Outcome) -> Option<(u32, Digest)> {
        let member = self.arena.get_mut(key)?;
        let running = member.running.as_mut()?;
        running.phase = Phase::Committing;
        let ask = member
            .history
            .take_intent()
            .unwrap_or_else(|| running.ask.clone());
        let position = member.history.next_position();
        let hash = member.history.append(ask, outcome);
        Some((position, hash))
    }

    /// Lets the next call start before the turn of this one is durable.
    pub fn overtake(&mut self, key: Key) {
        self.abandon(key);
    }

    /// Notes that the turns before `next` are durable.
    pub fn committed(&mut self, key: Key, next: u32) {
        let Some(member) = self.arena.get_mut(key) else {
            return;
        };
        member.durable = member.durable.max(next);
        let done = member.durable >= member.history.next_position();
        let committing = member.running.as_ref().map(|running| running.phase);
        if done && committing == Some(Phase::Committing) {
            member.running = None;
        }
    }

    /// Notes the intent of a call that may not be repeated, and returns its position.
    pub fn intend(&mut self, key: Key) -> Option<u32> {
        let member = self.arena.get_mut(key)?;
        let ask = member.running.as_ref()?.ask.clone();
        let position = member.history.next_position();
        member.history.append_intent(ask);
        Some(position)
    }

    /// Takes back the intent of a call that was not sent. Its row has to be deleted.
    pub fn withdraw(&mut self, key: Key) {
        self.set_phase(key, Phase::Withdrawing);
    }

    /// Notes that the row of a withdrawn intent does not exist.
    pub fn withdrawn(&mut self, key: Key) {
        let Some(member) = self.arena.get_mut(key) else {
            return;
        };
        member.history.take_intent();
        member.running = None;
    }

    /// Notes that the outcome of the call in progress is not known.
    pub fn doubt(&mut self, key: Key) {
        self.set_phase(key, Phase::Doubt);
    }

    fn set_phase(&mut self, key: Key, phase: Phase) {
        let member = self.arena.get_mut(key);
        if let Some(running) = member.and_then(|member| member.running.as_mut()) {
            running.phase = phase;
        }
    }

    /// Ends a program and its sub-agents, and returns those that had not ended before.
    pub fn end(&mut self, number: u32) -> Vec<id::Program> {
        let Some(key) = self.key(number) else {
            return Vec::new();
        };
        let running = |tree: &Self| -> Vec<u32> {
            let numbers = tree.numbers.iter();
            let live = numbers.filter(|(_, key)| !tree.is_ended(**key));
            live.map(|(number, _)| *number).collect()
        };
        let before = running(self);
        self.arena[key].ended = true;
        let after = running(self);
        let ended = before.into_iter().filter(|one| !after.contains(one));
        ended.map(|one| self.root.member(one)).collect()
    }
}

/// Queries.
impl Tree {
    /// Returns the root program.
    #[must_use]
    pub fn root(&self) -> id::Program {
        self.root
    }

    /// Returns the account.
    #[must_use]
    pub fn account(&self) -> &id::Account {
        &self.account
    }

    /// Returns the tree's budget.
    #[must_use]
    pub fn budget(&self) -> Budget {
        self.budget
    }

    /// Returns the tokens of the tree.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the key of a program.
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

    /// Tells whether the turn at a position is durable.
    #[must_use]
    pub fn is_durable(&self, key: Key, position: u32) -> bool {
        let member = self.arena.get(key);
        member.is_some_and(|member| position < member.durable)
    }

    /// Tells whether a program, or one that it belongs to, has ended.
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

    /// Returns the turns of the whole tree, with calls in progress.
    #[must_use]
    pub fn turns(&self) -> u32 {
        let count = |member: &Member| {
            let running = member.running.as_ref();
            let calling = running.is_some_and(|running| running.phase == Phase::Calling);
            let intended = member.history.intent().is_some();
            member.history.next_position() + u32::from(calling && !intended)
        };
        self.arena.values().map(count).sum()
    }

    /// Returns the wall-clock time of the root's creation.
    #[must_use]
    pub fn created(&self) -> Time {
        let origin = self.key(0).and_then(|key| self.origin(key));
        origin.map_or(Time::ZERO, |origin| origin.created)
    }

    /// Tells whether the tree can run no further call at `now`.
    #[must_use]
    pub fn is_exhausted(&self, now: Time) -> bool {
        self.turns() >= self.budget.turns || budget::expired(&self.budget, self.created(), now)
    }

    /// Tells whether no call of the tree is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.arena.values().all(|member| member.running.is_none())
    }

    /// Returns the numbers of all programs.
    #[must_use]
    pub fn numbers(&self) -> Vec<u32> {
        self.numbers.keys().copied().collect()
    }

    /// Returns what a program's row should say, with `reserved` tokens in the root's.
    #[must_use]
    pub fn head(&self, number: u32, reserved: u64) -> Option<Head> {
        let member = self.arena.get(self.key(number)?)?;
        let shape = Shape {
            root: self.root,
            account: self.account.clone(),
            budget: self.budget,
            reserved,
            members: self.members,
        };
        Some(Head {
            shape,
            number,
            origin: member.origin.clone(),
            ended: member.ended,
        })
    }

    fn child(&self, parent: u32, request: &id::Request) -> Option<(u32, &Origin)> {
        let origins = self
            .numbers
            .iter()
            .map(|(number, key)| (*number, &self.arena[*key].origin));
        let mut matching = origins
            .filter(|(_, origin)| origin.parent == Some(parent) && origin.request == *request);
        matching.next()
    }
}
