//! The holder of one shard, from taking its lease to losing or releasing it.

mod calls;
mod held;
mod phases;
mod refusals;

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_lease::row;

use crate::journal;
use crate::key;
use crate::ledger;
use crate::opening;
use crate::policy;
use crate::step;
use crate::writer;

/// Phase of a hold.
#[derive(Clone, Debug)]
enum HoldPhase {
    Opening(opening::ShardOpening),
    /// Everything is known; the lease row is being written.
    Adopting,
    Open,
    Releasing,
    Closed,
}

/// Holder of one shard.
#[derive(Clone, Debug)]
pub struct ShardHolder {
    policy: policy::ClaimPolicy,
    phase: HoldPhase,
    writer: writer::JournalWriter,
    ledger: ledger::KeyLedger,
    /// Keys that are being claimed or run.
    active: collections::BTreeSet<key::CallKey>,
    /// Sends that came before the shard was open.
    held: held::HeldSends,
    timers: collections::BTreeMap<CallTimer, key::CallKey>,
    refusals: refusals::RefusalMemory,
    copy_set: row::CopySet,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CallTimer {
    at: time::MonotonicTime,
    call: ledger::CallNumber,
}

impl ShardHolder {
    /// A holder of a lease that was just taken; `copy_set` keeps copies once it is open.
    pub fn new(
        shard: quantity::ShardNumber,
        lease: row::VersionedLease,
        copy_set: row::CopySet,
        policy: policy::ClaimPolicy,
    ) -> Self {
        let opening = opening::ShardOpening::new(&lease.row, policy.lost_copies_wait);
        ShardHolder {
            policy,
            phase: HoldPhase::Opening(opening),
            writer: writer::JournalWriter::new(shard, lease, policy),
            ledger: ledger::KeyLedger::new(policy.retention),
            active: collections::BTreeSet::new(),
            held: held::HeldSends::default(),
            timers: collections::BTreeMap::new(),
            refusals: refusals::RefusalMemory::default(),
            copy_set,
        }
    }

    /// Handles an input and gives what is to be done.
    pub fn handle(
        &mut self,
        now: time::MonotonicTime,
        input: step::ClaimInput,
    ) -> Vec<step::ClaimAction> {
        let mut actions = Vec::new();
        self.apply(now, input, &mut actions);
        self.expire(now, &mut actions);
        self.drive(now, &mut actions);
        actions
    }

    /// Closes for a later holder and gives what is not in the table.
    pub fn seal(&mut self, actions: &mut Vec<step::ClaimAction>) -> Vec<journal::JournalBatch> {
        self.close(step::CloseReason::Lost, actions);
        self.writer.surrender()
    }

    /// The lease as this holder knows it.
    pub fn lease(&self) -> &row::VersionedLease {
        self.writer.lease()
    }

    /// Whether calls are claimed.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, HoldPhase::Open)
    }

    /// Whether the hold has ended.
    pub fn is_closed(&self) -> bool {
        matches!(self.phase, HoldPhase::Closed)
    }

    /// Number of keys that are remembered.
    pub fn key_count(&self) -> usize {
        self.ledger.len()
    }

    /// Number of calls that are being claimed or run.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Whether a call with the key is being claimed or run.
    pub fn is_active(&self, key: &key::CallKey) -> bool {
        self.active.contains(key)
    }

    /// When the holder wants a tick, if no other input comes.
    pub fn next_wakeup(&self, now: time::MonotonicTime) -> Option<time::MonotonicTime> {
        let opening = match &self.phase {
            HoldPhase::Opening(opening) => opening.next_wakeup(),
            HoldPhase::Closed => return self.timers.keys().next().map(|timer| timer.at),
            _ => None,
        };
        let timer = self.timers.keys().next().map(|timer| timer.at);
        [opening, timer, self.held.next_expiry(), self.writer.next_wakeup(now)]
            .into_iter()
            .flatten()
            .min()
    }

    fn apply(
        &mut self,
        now: time::MonotonicTime,
        input: step::ClaimInput,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        match input {
            step::ClaimInput::Submit(send) => self.submit(now, send, actions),
            step::ClaimInput::RunEnded { key, end } => self.run_ended(now, &key, end, actions),
            step::ClaimInput::TableAnswered(answer) => {
                let event = self.writer.table_answered(now, answer);
                self.writer_event(now, event, actions);
            }
            step::ClaimInput::LeaseRead(reading) => {
                let event = self.writer.lease_read(now, reading);
                self.writer_event(now, event, actions);
            }
            step::ClaimInput::CopyAnswered { round, member, answer } => {
                let event = self.writer.copy_answered(now, round, &member, answer);
                self.writer_event(now, event, actions);
            }
            step::ClaimInput::JournalRead(journal) => self.journal_read(now, journal),
            step::ClaimInput::SealAnswered { member, answer } => {
                if let HoldPhase::Opening(opening) = &mut self.phase {
                    opening.seal_answered(now, &member, &answer);
                }
            }
            step::ClaimInput::CopySetPreferred(copy_set) => self.prefer_copies(copy_set),
            step::ClaimInput::Release => self.release(now, actions),
            step::ClaimInput::LeaseLost => self.close(step::CloseReason::Lost, actions),
            step::ClaimInput::Tick => {}
        }
    }

    fn submit(
        &mut self,
        now: time::MonotonicTime,
        send: step::CallSend,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        if self.answer_known(now, &send, actions) {
            return;
        }
        match self.phase {
            HoldPhase::Opening(_) | HoldPhase::Adopting => {
                let expires = send.deadline.min(now + self.policy.claim_timeout);
                self.held.push(send, expires);
            }
            HoldPhase::Open => self.claim(now, send, actions),
            HoldPhase::Releasing | HoldPhase::Closed => {
                push_answer(actions, send.call, step::ClaimAnswer::Moved);
            }
        }
    }

    /// Answers or joins where the key is known; false where it is not.
    fn answer_known(
        &mut self,
        now: time::MonotonicTime,
        send: &step::CallSend,
        actions: &mut Vec<step::ClaimAction>,
    ) -> bool {
        let is_opening = matches!(self.phase, HoldPhase::Opening(_) | HoldPhase::Adopting);
        let is_closed = self.is_closed();
        let Some(record) = self.ledger.get_mut(&send.key) else { return false };
        if record.digest != send.digest {
            let reason = reason::RefusalReason::IdempotencyKeyReused;
            let cause = step::NotRunCause { reason, retry_after: None };
            // The key may be given back, and a late copy of this request must not run then.
            self.refuse(now, &waiting_call(send), cause, actions);
            return true;
        }
        let unknown = step::ClaimAnswer::Unknown(reason::RefusalReason::ClaimWithoutResult);
        let answer = match &mut record.state {
            ledger::CallState::Claiming { waiting, .. }
            | ledger::CallState::Running { waiting } => {
                let timer = CallTimer { at: send.deadline, call: send.call };
                waiting.push(waiting_call(send));
                self.timers.insert(timer, send.key.clone());
                return true;
            }
            // A later holder may know more than a closed one.
            _ if is_closed => return false,
            ledger::CallState::Finished(Some(result)) => {
                step::ClaimAnswer::Completed { result: result.clone(), replayed: true }
            }
            // Copies that are not fetched yet may have the result.
            _ if is_opening => return false,
            ledger::CallState::Finished(None) | ledger::CallState::Uncertain => unknown,
        };
        push_answer(actions, send.call, answer);
        true
    }

    fn refuse(
        &mut self,
        now: time::MonotonicTime,
        waiting: &ledger::WaitingCall,
        cause: step::NotRunCause,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        // A copy of the request that arrives late must not be run after this answer.
        self.refusals.note(now, &waiting.request, cause);
        push_answer(actions, waiting.call, step::ClaimAnswer::NotRun(cause));
    }

    fn unavailable(&self) -> step::NotRunCause {
        let reason = reason::RefusalReason::ClaimUnavailable;
        step::NotRunCause { reason, retry_after: Some(self.policy.retry_after) }
    }

    fn writer_event(
        &mut self,
        now: time::MonotonicTime,
        event: writer::WriterEvent,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        match event {
            writer::WriterEvent::Nothing => {}
            writer::WriterEvent::Secured(batches) => self.secured(&batches, actions),
            writer::WriterEvent::Lost => self.close(step::CloseReason::Lost, actions),
            writer::WriterEvent::LeaseWritten(batches) => {
                self.secured(&batches, actions);
                self.lease_written(now, actions);
            }
        }
    }

    fn close(&mut self, reason: step::CloseReason, actions: &mut Vec<step::ClaimAction>) {
        if self.is_closed() {
            return;
        }
        let was_open = matches!(self.phase, HoldPhase::Open | HoldPhase::Releasing);
        self.phase = HoldPhase::Closed;
        actions.push(step::ClaimAction::Closed { reason, was_open });
        for send in self.held.take_all() {
            push_answer(actions, send.call, step::ClaimAnswer::Moved);
        }
        for key in self.active.clone() {
            self.drop_claim(&key, actions);
        }
    }

    fn expire(&mut self, now: time::MonotonicTime, actions: &mut Vec<step::ClaimAction>) {
        self.ledger.expire(now);
        self.refusals.expire(now);
        self.expire_held(now, actions);
        while let Some(timer) = self.timers.keys().next().copied().filter(|timer| timer.at <= now) {
            let Some(key) = self.timers.remove(&timer) else { return };
            self.expire_call(now, timer.call, &key, actions);
        }
    }

    fn expire_held(&mut self, now: time::MonotonicTime, actions: &mut Vec<step::ClaimAction>) {
        for send in self.held.take_due(now) {
            self.refuse_held(now, &send, actions);
        }
    }

    fn refuse_held(
        &mut self,
        now: time::MonotonicTime,
        send: &step::CallSend,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        if self.ledger.get(&send.key).is_some() {
            let unknown = step::ClaimAnswer::Unknown(reason::RefusalReason::ClaimWithoutResult);
            return push_answer(actions, send.call, unknown);
        }
        let reason = reason::RefusalReason::ShardUnavailable;
        let cause = step::NotRunCause { reason, retry_after: Some(self.policy.retry_after) };
        self.refuse(now, &waiting_call(send), cause, actions);
    }

    fn drive(&mut self, now: time::MonotonicTime, actions: &mut Vec<step::ClaimAction>) {
        if self.is_closed() {
            return;
        }
        if let HoldPhase::Opening(opening) = &mut self.phase {
            let mut wanted = Vec::new();
            opening.drive(now, &mut wanted);
            actions.extend(wanted.into_iter().map(step::ClaimAction::Open));
            if opening.is_complete(now) {
                self.adopt(now);
            }
        }
        let is_done = matches!(self.phase, HoldPhase::Releasing) && self.active.is_empty();
        if is_done && !self.writer.is_changing_lease() {
            self.writer.change_lease(writer::LeaseChange::Release);
        }
        if matches!(self.phase, HoldPhase::Opening(_)) {
            return;
        }
        let mut wanted = Vec::new();
        self.writer.drive(now, &mut wanted);
        actions.extend(wanted.into_iter().map(step::ClaimAction::Write));
    }
}

fn waiting_call(send: &step::CallSend) -> ledger::WaitingCall {
    ledger::WaitingCall { call: send.call, request: send.request.clone(), deadline: send.deadline }
}

fn push_answer(
    actions: &mut Vec<step::ClaimAction>,
    call: ledger::CallNumber,
    answer: step::ClaimAnswer,
) {
    actions.push(step::ClaimAction::Answer { call, answer });
}
