//! Commands on a tree.

use super::{Begin, Key, Origin, Phase, Rejection, Running, Spawn, Tree};
use crate::budget::{self, Allocation, Exceeded};
use crate::clock::Time;
use crate::history::{Digest, History, Outcome, TurnRequest};
use crate::id;

impl Tree {
    /// Starts the creation of a sub-agent.
    ///
    /// # Errors
    ///
    /// Fails if the parent has ended or lies too deep, or the request id stands for another body.
    pub fn spawn(&mut self, parent: u32, origin: Origin) -> Result<Spawn, Rejection> {
        if let Some((number, existing)) = self.child(parent, &origin.request_id) {
            if existing.body_digest != origin.body_digest {
                return Err(Rejection::Conflict);
            }
            return Ok(Spawn::Existing(self.root.member(number)));
        }
        let key = self.key(parent).ok_or(Rejection::NotFound)?;
        if self.is_ended(key) {
            return Err(Rejection::Ended);
        }
        let depth = self.arena[key].origin.depth + 1;
        if depth > self.budget.depth {
            return Err(Rejection::Exceeded(Exceeded::Depth));
        }
        if budget::is_expired(&self.budget, self.created_at(), origin.created_at) {
            return Err(Rejection::Exceeded(Exceeded::Wall));
        }
        self.members += 1;
        let number = self.members;
        let id = self.root.member(number);
        let origin = Origin {
            parent: Some(parent),
            depth,
            ..origin
        };
        self.insert(number, origin, false, History::new(id));
        Ok(Spawn::New(id))
    }

    /// Forgets a sub-agent whose creation was not written. Its number is not used again.
    pub fn remove(&mut self, number: u32) {
        if let Some(key) = self.numbers.remove(&number) {
            self.arena.remove(key);
        }
    }

    /// Starts a call.
    ///
    /// # Errors
    ///
    /// Says why the call is refused; then nothing has changed.
    pub fn begin_call(
        &mut self,
        number: u32,
        position: u32,
        request: TurnRequest,
        now: Time,
    ) -> Result<Begin, Rejection> {
        let key = self.key(number).ok_or(Rejection::NotFound)?;
        if let Some(found) = self.find_recorded(key, position, &request)? {
            return Ok(Begin::Recorded(key, found));
        }
        self.check_position(key, position)?;
        if self.is_ended(key) {
            return Err(Rejection::Ended);
        }
        if self.turns() >= self.budget.turns {
            return Err(Rejection::Exceeded(Exceeded::Turns));
        }
        if budget::is_expired(&self.budget, self.created_at(), now) {
            return Err(Rejection::Exceeded(Exceeded::Wall));
        }
        self.arena[key].running = Some(Running {
            request,
            phase: Phase::Calling,
        });
        Ok(Begin::Started(key))
    }

    fn find_recorded(
        &self,
        key: Key,
        position: u32,
        request: &TurnRequest,
    ) -> Result<Option<u32>, Rejection> {
        let member = &self.arena[key];
        if let Some(running) = &member.running
            && running.request.id == request.id
        {
            return Err(match running.phase {
                _ if running.request.body_digest != request.body_digest => Rejection::Conflict,
                Phase::InDoubt => Rejection::InDoubt,
                Phase::Withdrawing => Rejection::Withdrawing,
                Phase::Calling | Phase::Committing => Rejection::InProgress,
            });
        }
        match member.history.find(&request.id) {
            Some((found, turn))
                if turn.request.body_digest == request.body_digest && found == position =>
            {
                Ok(Some(found))
            }
            Some(_) => Err(Rejection::Conflict),
            None => Ok(None),
        }
    }

    fn check_position(&self, key: Key, position: u32) -> Result<(), Rejection> {
        let member = &self.arena[key];
        let next = member.history.next_position();
        match &member.running {
            Some(running) if running.phase == Phase::InDoubt => {
                return Err(Rejection::Blocked(next.saturating_sub(1)));
            }
            Some(running) if running.phase == Phase::Withdrawing => {
                return Err(Rejection::Withdrawing);
            }
            Some(_) => return Err(Rejection::OutOfOrder(next)),
            None => {}
        }
        if position > next && next == member.loaded && next > 0 {
            return Err(Rejection::HistoryBehind(next));
        }
        if position != next {
            return Err(Rejection::OutOfOrder(next));
        }
        Ok(())
    }

    /// Holds tokens for a call, or tells what has to be reserved first.
    ///
    /// # Errors
    ///
    /// Fails if the tree's budget does not cover them.
    pub fn allocate_tokens(&mut self, tokens: u64) -> Result<Allocation, Rejection> {
        self.ledger.allocate(tokens).map_err(Rejection::Exceeded)
    }

    /// Lets go of `held` tokens, of which `spent` were used.
    pub fn settle_tokens(&mut self, allocated: u64, spent: u64) {
        self.ledger.settle(allocated, spent);
    }

    /// Starts a write of the root's row and returns the reservation to write.
    ///
    /// `ahead` is how much more than what is used should be reserved.
    pub fn start_write(&mut self, advance: u64) -> u64 {
        let wanted = self.ledger.used().saturating_add(advance);
        self.ledger.start_write(wanted)
    }

    /// Starts a write of the root's row that leaves the reservation as it is, or raises it.
    pub fn start_write_keeping_reservation(&mut self) -> u64 {
        let wanted = self.ledger.reserved();
        self.ledger.start_write(wanted)
    }

    /// Notes how the write of a reservation ended.
    pub fn end_write(&mut self, reserved: u64, durable: bool) {
        self.ledger.end_write(reserved, durable);
    }

    /// Takes back a call that left no turn.
    pub fn cancel_call(&mut self, key: Key) {
        if let Some(member) = self.arena.get_mut(key) {
            member.running = None;
        }
    }

    /// Appends the turn of a call that ran; it is not durable yet.
    ///
    /// Returns the position and the hash, or nothing if no call is in progress.
    pub fn finish_call(&mut self, key: Key, outcome: Outcome) -> Option<(u32, Digest)> {
        let member = self.arena.get_mut(key)?;
        let running = member.running.as_mut()?;
        running.phase = Phase::Committing;
        let request = member
            .history
            .pop_intent()
            .unwrap_or_else(|| running.request.clone());
        let position = member.history.next_position();
        let hash = member.history.append(request, outcome);
        Some((position, hash))
    }

    /// Lets the next call start before the turn of this one is durable.
    pub fn release_call(&mut self, key: Key) {
        self.cancel_call(key);
    }

    /// Notes that the turns before `next` are durable.
    pub fn mark_durable(&mut self, key: Key, next: u32) {
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
    pub fn record_intent(&mut self, key: Key) -> Option<u32> {
        let member = self.arena.get_mut(key)?;
        let request = member.running.as_ref()?.request.clone();
        let position = member.history.next_position();
        member.history.append_intent(request);
        Some(position)
    }

    /// Takes back the intent of a call that was not sent. Its row has to be deleted.
    pub fn start_withdrawal(&mut self, key: Key) {
        self.set_phase(key, Phase::Withdrawing);
    }

    /// Notes that the row of a withdrawn intent does not exist.
    pub fn finish_withdrawal(&mut self, key: Key) {
        let Some(member) = self.arena.get_mut(key) else {
            return;
        };
        member.history.pop_intent();
        member.running = None;
    }

    /// Notes that the outcome of the call in progress is not known.
    pub fn mark_in_doubt(&mut self, key: Key) {
        self.set_phase(key, Phase::InDoubt);
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
