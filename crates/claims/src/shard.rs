//! The holder of one shard, from taking its lease to losing or releasing it.

use std::collections;
use std::mem;

use samphiremoor_base::id;
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
    held: Vec<HeldSend>,
    timers: collections::BTreeMap<CallTimer, key::CallKey>,
    refused: collections::BTreeMap<id::RequestId, step::NotRunCause>,
    refusals: collections::VecDeque<RefusedRequest>,
    copy_set: row::CopySet,
}

#[derive(Clone, Debug)]
struct HeldSend {
    send: step::CallSend,
    expires: time::MonotonicTime,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct CallTimer {
    at: time::MonotonicTime,
    call: ledger::CallNumber,
}

#[derive(Clone, Debug)]
struct RefusedRequest {
    at: time::MonotonicTime,
    request: id::RequestId,
}

impl ShardHolder {
    /// A holder of a lease that was just taken; `copy_set` keeps copies once it is open.
    pub fn new(
        shard: quantity::ShardNumber,
        lease: row::HeldLease,
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
            held: Vec::new(),
            timers: collections::BTreeMap::new(),
            refused: collections::BTreeMap::new(),
            refusals: collections::VecDeque::new(),
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
    pub fn lease(&self) -> &row::HeldLease {
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
        let held = self.held.iter().map(|held| held.expires).min();
        [opening, timer, held, self.writer.next_wakeup(now)].into_iter().flatten().min()
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
        if self.answer_known(&send, actions) {
            return;
        }
        match self.phase {
            HoldPhase::Opening(_) | HoldPhase::Adopting => {
                let expires = send.deadline.min(now + self.policy.claim_timeout);
                self.held.push(HeldSend { send, expires });
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
        send: &step::CallSend,
        actions: &mut Vec<step::ClaimAction>,
    ) -> bool {
        let is_opening = matches!(self.phase, HoldPhase::Opening(_) | HoldPhase::Adopting);
        let is_closed = self.is_closed();
        let Some(record) = self.ledger.get_mut(&send.key) else { return false };
        if record.digest != send.digest {
            let reason = reason::RefusalReason::IdempotencyKeyReused;
            let cause = step::NotRunCause { reason, retry_after: None };
            push_answer(actions, send.call, step::ClaimAnswer::NotRun(cause));
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

    fn claim(
        &mut self,
        now: time::MonotonicTime,
        send: step::CallSend,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        if let Some(cause) = self.refused.get(&send.request) {
            return push_answer(actions, send.call, step::ClaimAnswer::NotRun(*cause));
        }
        let is_full = self.ledger.len() >= self.policy.max_keys
            || self.writer.backlog() >= self.policy.max_backlog;
        if is_full {
            return self.refuse(now, &waiting_call(&send), self.unavailable(), actions);
        }
        let entry =
            journal::JournalEntry::Claimed { key: send.key.clone(), digest: send.digest.clone() };
        let batch = self.writer.push(entry);
        let expires = send.deadline.min(now + self.policy.claim_timeout);
        self.timers.insert(CallTimer { at: expires, call: send.call }, send.key.clone());
        self.timers.insert(CallTimer { at: send.deadline, call: send.call }, send.key.clone());
        let waiting = ledger::WaitingCalls::from_iter([waiting_call(&send)]);
        let state = ledger::CallState::Claiming { batch, expires, waiting };
        self.active.insert(send.key.clone());
        self.ledger
            .insert(send.key, ledger::KeyRecord { digest: send.digest, state, ended_at: None });
    }

    fn run_ended(
        &mut self,
        now: time::MonotonicTime,
        key: &key::CallKey,
        end: step::RunEnd,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        self.active.remove(key);
        match end {
            step::RunEnd::Completed(result) => self.run_completed(now, key, result, actions),
            step::RunEnd::NotRun(cause) => self.give_back(now, key, cause, actions),
            step::RunEnd::MaybeRun(reason) => {
                for waiting in self.ledger.end(now, key, ledger::CallState::Uncertain) {
                    push_answer(actions, waiting.call, step::ClaimAnswer::Unknown(reason));
                }
            }
        }
    }

    fn run_completed(
        &mut self,
        now: time::MonotonicTime,
        key: &key::CallKey,
        result: journal::EncodedResult,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        let room = self.policy.max_backlog_bytes.saturating_sub(self.writer.backlog_bytes());
        let limit = self.policy.max_result_bytes.min(room);
        let kept = Some(result.clone()).filter(|kept| kept.len() <= limit);
        let waiting = self.ledger.end(now, key, ledger::CallState::Finished(kept.clone()));
        for (index, waiting) in waiting.into_iter().enumerate() {
            let answer =
                step::ClaimAnswer::Completed { result: result.clone(), replayed: index > 0 };
            push_answer(actions, waiting.call, answer);
        }
        self.writer.push(journal::JournalEntry::Finished { key: key.clone(), result: kept });
    }

    /// Forgets a key whose call was certainly not run, so that it can be run later.
    fn give_back(
        &mut self,
        now: time::MonotonicTime,
        key: &key::CallKey,
        cause: step::NotRunCause,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        self.active.remove(key);
        let Some(record) = self.ledger.remove(key) else { return };
        let waiting = match record.state {
            ledger::CallState::Claiming { batch, waiting, .. } => {
                let is_claim = |entry: &journal::JournalEntry| matches!(entry, journal::JournalEntry::Claimed { key: claimed, .. } if claimed == key);
                if !self.writer.retract(batch, is_claim) {
                    self.writer.push(journal::JournalEntry::Released { key: key.clone() });
                }
                waiting
            }
            ledger::CallState::Running { waiting } => {
                self.writer.push(journal::JournalEntry::Released { key: key.clone() });
                waiting
            }
            ledger::CallState::Finished(_) | ledger::CallState::Uncertain => return,
        };
        for waiting in &waiting {
            self.refuse(now, waiting, cause, actions);
        }
    }

    fn refuse(
        &mut self,
        now: time::MonotonicTime,
        waiting: &ledger::WaitingCall,
        cause: step::NotRunCause,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        // A copy of the request that arrives late must not be run after this answer.
        self.refused.insert(waiting.request.clone(), cause);
        self.refusals.push_back(RefusedRequest { at: now, request: waiting.request.clone() });
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

    /// Runs the calls whose claims have become durable.
    fn secured(&mut self, batches: &[journal::JournalBatch], actions: &mut Vec<step::ClaimAction>) {
        if self.is_closed() {
            return;
        }
        for batch in batches {
            for entry in &batch.entries {
                self.entry_secured(batch.id, entry, actions);
            }
        }
    }

    fn entry_secured(
        &mut self,
        id: journal::BatchId,
        entry: &journal::JournalEntry,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        let journal::JournalEntry::Claimed { key, .. } = entry else { return };
        let Some(record) = self.ledger.get_mut(key) else { return };
        let ledger::CallState::Claiming { batch, waiting, .. } = &record.state else { return };
        if *batch != id {
            return;
        }
        let waiting = waiting.clone();
        let Some(first) = waiting.first() else { return };
        actions.push(step::ClaimAction::Run { call: first.call, key: key.clone() });
        record.state = ledger::CallState::Running { waiting };
    }

    fn lease_written(&mut self, now: time::MonotonicTime, actions: &mut Vec<step::ClaimAction>) {
        match self.phase {
            HoldPhase::Adopting => {
                self.phase = HoldPhase::Open;
                actions.push(step::ClaimAction::Opened);
                for held in mem::take(&mut self.held) {
                    self.submit(now, held.send, actions);
                }
            }
            HoldPhase::Releasing => self.close(step::CloseReason::Released, actions),
            HoldPhase::Opening(_) | HoldPhase::Open | HoldPhase::Closed => {}
        }
    }

    fn journal_read(
        &mut self,
        now: time::MonotonicTime,
        journal: Option<Vec<journal::JournalBatch>>,
    ) {
        let HoldPhase::Opening(opening) = &mut self.phase else { return };
        for batch in journal.iter().flatten() {
            self.writer.note_row(now, batch.id);
            for entry in &batch.entries {
                self.ledger.replay(now, entry);
            }
        }
        opening.journal_read(now, journal);
    }

    /// Builds the ledger from everything that is known and writes what only peers kept.
    fn adopt(&mut self, now: time::MonotonicTime) {
        let HoldPhase::Opening(opening) = &self.phase else { return };
        let copies = opening.unwritten_copies();
        let mut batches = opening.journal().unwrap_or_default().to_vec();
        batches.extend(copies.iter().cloned());
        batches.sort_by_key(|batch| batch.id);
        self.ledger = ledger::KeyLedger::new(self.policy.retention);
        for entry in batches.iter().flat_map(|batch| &batch.entries) {
            self.ledger.replay(now, entry);
        }
        for copy in copies {
            self.writer.adopt(copy);
        }
        self.writer.change_lease(writer::LeaseChange::Open(self.copy_set.clone()));
        self.phase = HoldPhase::Adopting;
    }

    fn prefer_copies(&mut self, copy_set: row::CopySet) {
        self.copy_set = copy_set;
        let is_same = self.writer.lease().row.copy_set == self.copy_set;
        if self.is_open() && !is_same && !self.writer.is_changing_lease() {
            self.writer.change_lease(writer::LeaseChange::Copies(self.copy_set.clone()));
        }
    }

    fn release(&mut self, now: time::MonotonicTime, actions: &mut Vec<step::ClaimAction>) {
        match self.phase {
            HoldPhase::Open => self.phase = HoldPhase::Releasing,
            HoldPhase::Opening(_) | HoldPhase::Adopting => {
                // What earlier holders left is still in the lease row, for the next holder.
                self.close(step::CloseReason::Lost, actions);
            }
            HoldPhase::Releasing | HoldPhase::Closed => {}
        }
        self.expire(now, actions);
    }

    fn close(&mut self, reason: step::CloseReason, actions: &mut Vec<step::ClaimAction>) {
        if self.is_closed() {
            return;
        }
        let was_open = matches!(self.phase, HoldPhase::Open | HoldPhase::Releasing);
        self.phase = HoldPhase::Closed;
        actions.push(step::ClaimAction::Closed { reason, was_open });
        for held in mem::take(&mut self.held) {
            push_answer(actions, held.send.call, step::ClaimAnswer::Moved);
        }
        for key in self.active.clone() {
            self.drop_claim(&key, actions);
        }
    }

    /// Gives up a claim of a shard that was lost; a run goes on and is answered.
    fn drop_claim(&mut self, key: &key::CallKey, actions: &mut Vec<step::ClaimAction>) {
        let record = self.ledger.get(key);
        let Some(ledger::CallState::Claiming { waiting, .. }) = record.map(|record| &record.state)
        else {
            return;
        };
        for waiting in waiting {
            push_answer(actions, waiting.call, step::ClaimAnswer::Moved);
        }
        self.ledger.remove(key);
        self.active.remove(key);
        self.writer.push(journal::JournalEntry::Released { key: key.clone() });
    }

    fn expire(&mut self, now: time::MonotonicTime, actions: &mut Vec<step::ClaimAction>) {
        self.ledger.expire(now);
        self.expire_refusals(now);
        self.expire_held(now, actions);
        while let Some(timer) = self.timers.keys().next().copied().filter(|timer| timer.at <= now) {
            let Some(key) = self.timers.remove(&timer) else { return };
            self.expire_call(now, timer.call, &key, actions);
        }
    }

    fn expire_call(
        &mut self,
        now: time::MonotonicTime,
        call: ledger::CallNumber,
        key: &key::CallKey,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        let Some(record) = self.ledger.get_mut(key) else { return };
        match &mut record.state {
            ledger::CallState::Claiming { expires, .. } if *expires <= now => {
                let cause = self.unavailable();
                self.give_back(now, key, cause, actions);
            }
            ledger::CallState::Claiming { waiting, .. }
            | ledger::CallState::Running { waiting } => {
                let is_due =
                    |waiting: &ledger::WaitingCall| waiting.call == call && waiting.deadline <= now;
                // The call may yet run for another send, so this one can't be told that it did not.
                if let Some(index) = waiting.iter().position(is_due) {
                    waiting.remove(index);
                    let reason = reason::RefusalReason::DeadlinePassed;
                    push_answer(actions, call, step::ClaimAnswer::Unknown(reason));
                }
            }
            ledger::CallState::Finished(_) | ledger::CallState::Uncertain => {}
        }
    }

    fn expire_held(&mut self, now: time::MonotonicTime, actions: &mut Vec<step::ClaimAction>) {
        let is_due = |held: &HeldSend| held.expires <= now;
        if !self.held.iter().any(is_due) {
            return;
        }
        let (due, kept) = mem::take(&mut self.held).into_iter().partition(is_due);
        self.held = kept;
        let due: Vec<HeldSend> = due;
        for held in due {
            self.refuse_held(now, &held.send, actions);
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

    fn expire_refusals(&mut self, now: time::MonotonicTime) {
        let is_old = |refused: &RefusedRequest| now.since(refused.at) >= policy::REFUSAL_MEMORY;
        while self.refusals.front().is_some_and(is_old) {
            let Some(refused) = self.refusals.pop_front() else { return };
            self.refused.remove(&refused.request);
        }
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
