//! Methods that change a tree.

use super::{CallStart, Key, Origin, Phase, Rejection, Running, SpawnOutcome, Tree};
use crate::budget::{self, Allocation, Exceeded};
use crate::clock::Time;
use crate::history::{Digest, History, Outcome, TurnRequest};
use crate::id;

impl Tree {
    /// Creates a sub-agent, or finds the one that the same request created.
    ///
    /// # Errors
    ///
    /// Fails if the parent has ended, the depth or time budget is exceeded, or the request id was
    /// used with another body.
    pub fn spawn(&mut self, parent: u32, origin: Origin) -> Result<SpawnOutcome, Rejection> {
        if let Some((number, existing)) = self.child(parent, &origin.request_id) {
            if existing.body_digest != origin.body_digest {
                return Err(Rejection::Conflict);
            }
            return Ok(SpawnOutcome::Existing(self.root.member(number)));
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
        Ok(SpawnOutcome::New(id))
    }

    /// Removes a sub-agent whose creation was not written. Its number is not reused.
    pub fn remove(&mut self, number: u32) {
        if let Some(key) = self.numbers.remove(&number) {
            self.arena.remove(key);
        }
    }

    /// Starts a call, or finds the recorded answer of the same request.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call is rejected. The tree is unchanged in that case.
    pub fn begin_call(
        &mut self,
        number: u32,
        position: u32,
        request: TurnRequest,
        now: Time,
    ) -> Result<CallStart, Rejection> {
        let key = self.key(number).ok_or(Rejection::NotFound)?;
        if let Some(found) = self.find_recorded(key, position, &request)? {
            return Ok(CallStart::Recorded(key, found));
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
        Ok(CallStart::Started(key))
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

    /// Allocates tokens for a call, or returns the reservation that must become durable first.
    ///
    /// # Errors
    ///
    /// Fails if the budget of the tree does not cover the tokens.
    pub fn allocate_tokens(&mut self, tokens: u64) -> Result<Allocation, Rejection> {
        self.ledger.allocate(tokens).map_err(Rejection::Exceeded)
    }

    /// Releases `allocated` tokens, of which `spent` were used.
    pub fn settle_tokens(&mut self, allocated: u64, spent: u64) {
        self.ledger.settle(allocated, spent);
    }

    /// Starts a write of the root's row and returns the token reservation to write.
    ///
    /// `advance` is the number of tokens to reserve beyond those in use.
    pub fn start_write(&mut self, advance: u64) -> u64 {
        let wanted = self.ledger.used().saturating_add(advance);
        self.ledger.start_write(wanted)
    }

    /// Starts a write of the root's row that does not lower the reservation, and returns the
    /// reservation to write.
    pub fn start_write_keeping_reservation(&mut self) -> u64 {
        let wanted = self.ledger.reserved();
        self.ledger.start_write(wanted)
    }

    /// Records the end of a write of the root's row.
    pub fn end_write(&mut self, reserved: u64, durable: bool) {
        self.ledger.end_write(reserved, durable);
    }

    /// Ends the call in progress without a turn.
    pub fn cancel_call(&mut self, key: Key) {
        if let Some(member) = self.arena.get_mut(key) {
            member.running = None;
        }
    }

    /// Appends the turn of a completed call, which is not durable yet.
    ///
    /// Returns its position and hash, or `None` if no call is in progress.
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

    /// Allows the next call to start before the turn of this call is durable.
    pub fn release_call(&mut self, key: Key) {
        self.cancel_call(key);
    }

    /// Records that all turns before position `next` are durable.
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

    /// Appends the intent of a call that is not idempotent and returns its position.
    pub fn record_intent(&mut self, key: Key) -> Option<u32> {
        let member = self.arena.get_mut(key)?;
        let request = member.running.as_ref()?.request.clone();
        let position = member.history.next_position();
        member.history.append_intent(request);
        Some(position)
    }

    /// Starts to withdraw the intent of a call that was not sent. The caller must delete its row.
    pub fn start_withdrawal(&mut self, key: Key) {
        self.set_phase(key, Phase::Withdrawing);
    }

    /// Removes a withdrawn intent after its row was deleted.
    pub fn finish_withdrawal(&mut self, key: Key) {
        let Some(member) = self.arena.get_mut(key) else {
            return;
        };
        member.history.pop_intent();
        member.running = None;
    }

    /// Records that the outcome of the call in progress is unknown.
    pub fn mark_in_doubt(&mut self, key: Key) {
        self.set_phase(key, Phase::InDoubt);
    }

    fn set_phase(&mut self, key: Key, phase: Phase) {
        let member = self.arena.get_mut(key);
        if let Some(running) = member.and_then(|member| member.running.as_mut()) {
            running.phase = phase;
        }
    }

    /// Ends a program and its sub-agents and returns those that had not ended before.
    pub fn end(&mut self, number: u32) -> Vec<id::Program> {
        let Some(key) = self.key(number) else {
            return Vec::new();
        };
        let live_numbers = |tree: &Self| -> Vec<u32> {
            let numbers = tree.numbers.iter();
            let live = numbers.filter(|(_, key)| !tree.is_ended(**key));
            live.map(|(number, _)| *number).collect()
        };
        let before = live_numbers(self);
        self.arena[key].ended = true;
        let after = live_numbers(self);
        let ended = before.into_iter().filter(|number| !after.contains(number));
        ended.map(|number| self.root.member(number)).collect()
    }
}
