//! Processing of a call by the holder of an open shard: claim, run and result or release.

use samphiremoor_base::reason;
use samphiremoor_base::time;

use crate::index;
use crate::journal;
use crate::key;
use crate::shard;
use crate::transition;

impl shard::ShardHolder {
    /// Adds a claim to the journal. The call must not run before the claim is durable.
    pub(super) fn claim(
        &mut self,
        now: time::MonotonicTime,
        submission: transition::CallSubmission,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        if let Some(cause) = self.refusals.cause(&submission.request) {
            return shard::push_response(
                actions,
                submission.id,
                transition::SubmitResponse::NotRun(cause),
            );
        }
        if self.is_full() {
            return self.refuse(
                now,
                &shard::waiting_submission(&submission),
                self.unavailable_cause(),
                actions,
            );
        }
        let entry = journal::JournalEntry::Claimed {
            key: submission.key.clone(),
            digest: submission.digest.clone(),
        };
        let batch = self.writer.push(entry);
        let expires = submission.deadline.min(now + self.policy.claim_timeout);
        for fires_at in [expires, submission.deadline] {
            self.timers.insert(
                shard::SubmissionTimer { fires_at, submission: submission.id },
                submission.key.clone(),
            );
        }
        let waiting =
            index::WaitingSubmissions::from_iter([shard::waiting_submission(&submission)]);
        let state = index::CallState::Claiming { batch, expires, waiting };
        self.active.insert(submission.key.clone());
        self.index.insert(
            submission.key,
            index::CallRecord { digest: submission.digest, state, finished_at: None },
        );
    }

    /// Returns whether the index or the backlog of the journal has reached its limit.
    fn is_full(&self) -> bool {
        self.index.len() >= self.policy.max_keys
            || self.writer.backlog_entries() >= self.policy.max_backlog_entries
    }

    /// Stores the outcome of a run and responds to every submission that waits for it, even if the
    /// lease was lost during the run.
    pub(super) fn handle_run_finished(
        &mut self,
        now: time::MonotonicTime,
        key: &key::CallKey,
        outcome: transition::EncodedOutcome,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        self.active.remove(key);
        match outcome {
            transition::EncodedOutcome::Completed(result) => {
                self.complete_run(now, key, result, actions)
            }
            transition::EncodedOutcome::NotRun(cause) => {
                self.release_claim(now, key, cause, actions)
            }
            transition::EncodedOutcome::MaybeRun(reason) => {
                for waiting in self.index.finish(now, key, index::CallState::OutcomeUnknown) {
                    shard::push_response(
                        actions,
                        waiting.id,
                        transition::SubmitResponse::Unknown(reason),
                    );
                }
            }
        }
    }

    /// Adds the result to the index and the journal, unless it is too large to store, and responds
    /// to the waiting submissions.
    fn complete_run(
        &mut self,
        now: time::MonotonicTime,
        key: &key::CallKey,
        result: journal::EncodedResult,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        let free_bytes = self.policy.max_backlog_bytes.saturating_sub(self.writer.backlog_bytes());
        let max_stored_bytes = self.policy.max_result_bytes.min(free_bytes);
        let stored = Some(result.clone()).filter(|stored| stored.len() <= max_stored_bytes);
        let waiting = self.index.finish(now, key, index::CallState::Finished(stored.clone()));
        for (position, submission) in waiting.into_iter().enumerate() {
            let response = transition::SubmitResponse::Completed {
                result: result.clone(),
                replayed: position > 0,
            };
            shard::push_response(actions, submission.id, response);
        }
        self.writer.push(journal::JournalEntry::Finished { key: key.clone(), result: stored });
    }

    /// Removes a call that is certain not to have run, so that it can be claimed again.
    fn release_claim(
        &mut self,
        now: time::MonotonicTime,
        key: &key::CallKey,
        cause: transition::NotRunCause,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        self.active.remove(key);
        let Some(record) = self.index.remove(key) else { return };
        let waiting = match record.state {
            index::CallState::Claiming { batch, waiting, .. } => {
                // A claim that is not in a closed batch needs no entry that releases it.
                if !self.writer.retract(batch, |entry| is_claim_of(entry, key)) {
                    self.writer.push(journal::JournalEntry::Released { key: key.clone() });
                }
                waiting
            }
            index::CallState::Running { waiting } => {
                self.writer.push(journal::JournalEntry::Released { key: key.clone() });
                waiting
            }
            index::CallState::Finished(_) | index::CallState::OutcomeUnknown => return,
        };
        for submission in &waiting {
            self.refuse(now, submission, cause, actions);
        }
    }

    /// Runs the calls whose claims have become durable.
    pub(super) fn handle_durable(
        &mut self,
        batches: &[journal::JournalBatch],
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        if self.is_closed() {
            return;
        }
        for batch in batches {
            for entry in &batch.entries {
                self.run_durable_claim(batch.id, entry, actions);
            }
        }
    }

    fn run_durable_claim(
        &mut self,
        durable_batch: journal::BatchId,
        entry: &journal::JournalEntry,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        let journal::JournalEntry::Claimed { key, .. } = entry else { return };
        let Some(record) = self.index.get_mut(key) else { return };
        let index::CallState::Claiming { batch, waiting, .. } = &record.state else { return };
        if *batch != durable_batch {
            return;
        }
        let waiting = waiting.clone();
        let Some(first_submission) = waiting.first() else { return };
        actions.push(transition::ClaimAction::Run {
            submission: first_submission.id,
            key: key.clone(),
        });
        record.state = index::CallState::Running { waiting };
    }

    /// Responds to a submission whose deadline has passed, or releases the claim if it did not
    /// become durable in time.
    pub(super) fn expire_submission(
        &mut self,
        now: time::MonotonicTime,
        submission: index::SubmissionId,
        key: &key::CallKey,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        let Some(record) = self.index.get_mut(key) else { return };
        match &mut record.state {
            index::CallState::Claiming { expires, .. } if *expires <= now => {
                let cause = self.unavailable_cause();
                self.release_claim(now, key, cause, actions);
            }
            index::CallState::Claiming { waiting, .. } | index::CallState::Running { waiting } => {
                let is_due = |waiting: &index::WaitingSubmission| {
                    waiting.id == submission && waiting.deadline <= now
                };
                // The call may still run for another submission, so its outcome is unknown rather
                // than not-run.
                if let Some(position) = waiting.iter().position(is_due) {
                    waiting.remove(position);
                    let reason = reason::RefusalReason::DeadlinePassed;
                    shard::push_response(
                        actions,
                        submission,
                        transition::SubmitResponse::Unknown(reason),
                    );
                }
            }
            index::CallState::Finished(_) | index::CallState::OutcomeUnknown => {}
        }
    }

    /// Releases a claim that is not durable yet when the holder closes. A call that is already
    /// running continues, and its submissions get its result.
    pub(super) fn abandon_claim(
        &mut self,
        key: &key::CallKey,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        let record = self.index.get(key);
        let Some(index::CallState::Claiming { waiting, .. }) = record.map(|record| &record.state)
        else {
            return;
        };
        for submission in waiting {
            shard::push_response(actions, submission.id, transition::SubmitResponse::Moved);
        }
        self.index.remove(key);
        self.active.remove(key);
        self.writer.push(journal::JournalEntry::Released { key: key.clone() });
    }
}

fn is_claim_of(entry: &journal::JournalEntry, key: &key::CallKey) -> bool {
    matches!(entry, journal::JournalEntry::Claimed { key: claimed, .. } if claimed == key)
}
