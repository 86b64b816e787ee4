//! The way of one call through an open shard: claimed, run, ended or given back.

use samphiremoor_base::reason;
use samphiremoor_base::time;

use crate::journal;
use crate::key;
use crate::ledger;
use crate::shard;
use crate::step;

impl shard::ShardHolder {
    /// Puts a claim in the journal: the call must not run before the claim is durable.
    pub(super) fn claim(
        &mut self,
        now: time::MonotonicTime,
        send: step::CallSend,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        if let Some(cause) = self.refusals.cause(&send.request) {
            return shard::push_answer(actions, send.call, step::ClaimAnswer::NotRun(cause));
        }
        if self.is_full() {
            return self.refuse(now, &shard::waiting_call(&send), self.unavailable(), actions);
        }
        let entry =
            journal::JournalEntry::Claimed { key: send.key.clone(), digest: send.digest.clone() };
        let batch = self.writer.push(entry);
        let expires = send.deadline.min(now + self.policy.claim_timeout);
        for at in [expires, send.deadline] {
            self.timers.insert(shard::CallTimer { at, call: send.call }, send.key.clone());
        }
        let waiting = ledger::WaitingCalls::from_iter([shard::waiting_call(&send)]);
        let state = ledger::CallState::Claiming { batch, expires, waiting };
        self.active.insert(send.key.clone());
        self.ledger
            .insert(send.key, ledger::KeyRecord { digest: send.digest, state, ended_at: None });
    }

    fn is_full(&self) -> bool {
        self.ledger.len() >= self.policy.max_keys
            || self.writer.backlog() >= self.policy.max_backlog
    }

    /// Answers everyone who waits for a run, also when the shard was lost meanwhile.
    pub(super) fn run_ended(
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
                    shard::push_answer(actions, waiting.call, step::ClaimAnswer::Unknown(reason));
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
            shard::push_answer(actions, waiting.call, answer);
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
                // A claim that is in no batch yet leaves no trace.
                if !self.writer.retract(batch, |entry| is_claim_of(entry, key)) {
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

    /// Runs the calls whose claims have become durable.
    pub(super) fn secured(
        &mut self,
        batches: &[journal::JournalBatch],
        actions: &mut Vec<step::ClaimAction>,
    ) {
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

    /// Ends the wait of one send, or the claim itself when it took too long.
    pub(super) fn expire_call(
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
                    shard::push_answer(actions, call, step::ClaimAnswer::Unknown(reason));
                }
            }
            ledger::CallState::Finished(_) | ledger::CallState::Uncertain => {}
        }
    }

    /// Gives up a claim of a shard that was lost; a run goes on and is answered.
    pub(super) fn drop_claim(&mut self, key: &key::CallKey, actions: &mut Vec<step::ClaimAction>) {
        let record = self.ledger.get(key);
        let Some(ledger::CallState::Claiming { waiting, .. }) = record.map(|record| &record.state)
        else {
            return;
        };
        for waiting in waiting {
            shard::push_answer(actions, waiting.call, step::ClaimAnswer::Moved);
        }
        self.ledger.remove(key);
        self.active.remove(key);
        self.writer.push(journal::JournalEntry::Released { key: key.clone() });
    }
}

fn is_claim_of(entry: &journal::JournalEntry, key: &key::CallKey) -> bool {
    matches!(entry, journal::JournalEntry::Claimed { key: claimed, .. } if claimed == key)
}
