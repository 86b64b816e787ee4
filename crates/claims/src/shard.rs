//! The holder of one shard, from acquiring the lease until it is lost or released.

mod calls;
mod pending;
mod phases;
mod refusals;

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_lease::row;

use crate::index;
use crate::journal;
use crate::key;
use crate::policy;
use crate::recovery;
use crate::transition;
use crate::writer;

/// Phase of a shard's holder.
#[derive(Clone, Debug)]
enum HolderPhase {
    /// The journal is read and earlier holders are sealed.
    Recovering(recovery::ShardRecovery),
    /// The recovery is complete and the lease row is being written.
    Activating,
    /// The holder accepts claims.
    Open,
    /// No claims are accepted; the lease is released when the running calls have finished.
    Releasing,
    /// The holder writes nothing any more. Calls that are running may still end.
    Closed,
}

/// Holder of one shard's lease.
#[derive(Clone, Debug)]
pub struct ShardHolder {
    policy: policy::ClaimPolicy,
    phase: HolderPhase,
    writer: writer::JournalWriter,
    index: index::CallIndex,
    /// Keys of the calls that are being claimed or run.
    active: collections::BTreeSet<key::CallKey>,
    /// Submissions that arrived before the shard was open.
    pending: pending::PendingSubmissions,
    /// Deadlines of submissions and of claims that are not durable yet.
    timers: collections::BTreeMap<SubmissionTimer, key::CallKey>,
    refusals: refusals::RefusalCache,
    /// The wanted copy set. The lease row may still contain an earlier one.
    copy_set: row::CopySet,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SubmissionTimer {
    fires_at: time::MonotonicTime,
    submission: index::SubmissionId,
}

impl ShardHolder {
    /// Creates a holder of a lease that was just acquired. The peers in `copy_set` store copies
    /// once the shard is open.
    pub fn new(
        shard: quantity::ShardNumber,
        lease: row::VersionedLease,
        copy_set: row::CopySet,
        policy: policy::ClaimPolicy,
    ) -> Self {
        let recovery = recovery::ShardRecovery::new(&lease.row, policy.lost_copies_wait);
        ShardHolder {
            policy,
            phase: HolderPhase::Recovering(recovery),
            writer: writer::JournalWriter::new(shard, lease, policy),
            index: index::CallIndex::new(policy.retention),
            active: collections::BTreeSet::new(),
            pending: pending::PendingSubmissions::default(),
            timers: collections::BTreeMap::new(),
            refusals: refusals::RefusalCache::default(),
            copy_set,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(
        &mut self,
        now: time::MonotonicTime,
        input: transition::ClaimInput,
    ) -> Vec<transition::ClaimAction> {
        let mut actions = Vec::new();
        self.apply(now, input, &mut actions);
        self.expire(now, &mut actions);
        self.push_due_actions(now, &mut actions);
        actions
    }

    /// Closes this holder on behalf of a later one and returns the batches that are not in the
    /// table.
    pub fn seal(
        &mut self,
        actions: &mut Vec<transition::ClaimAction>,
    ) -> Vec<journal::JournalBatch> {
        self.close(transition::CloseReason::Lost, actions);
        self.writer.export_unwritten()
    }

    /// Returns the lease as this holder last wrote or read it.
    pub fn lease(&self) -> &row::VersionedLease {
        self.writer.lease()
    }

    /// Returns whether the shard is open for claims.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, HolderPhase::Open)
    }

    /// Returns whether the holder is closed.
    pub fn is_closed(&self) -> bool {
        matches!(self.phase, HolderPhase::Closed)
    }

    /// Returns the number of calls in the index.
    pub fn key_count(&self) -> usize {
        self.index.len()
    }

    /// Returns the number of calls that are being claimed or run.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Returns whether the call with this key is being claimed or run.
    pub fn is_active(&self, key: &key::CallKey) -> bool {
        self.active.contains(key)
    }

    /// Returns when [`transition::ClaimInput::Tick`] is due if no other event comes first.
    pub fn next_wakeup(&self, now: time::MonotonicTime) -> Option<time::MonotonicTime> {
        let recovery_wakeup = match &self.phase {
            HolderPhase::Recovering(recovery) => recovery.next_wakeup(),
            HolderPhase::Closed => return self.timers.keys().next().map(|timer| timer.fires_at),
            _ => None,
        };
        let next_timer = self.timers.keys().next().map(|timer| timer.fires_at);
        [recovery_wakeup, next_timer, self.pending.next_expiry(), self.writer.next_wakeup(now)]
            .into_iter()
            .flatten()
            .min()
    }

    fn apply(
        &mut self,
        now: time::MonotonicTime,
        input: transition::ClaimInput,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        match input {
            transition::ClaimInput::Submit(submission) => self.submit(now, submission, actions),
            transition::ClaimInput::RunFinished { key, outcome } => {
                self.handle_run_finished(now, &key, outcome, actions)
            }
            transition::ClaimInput::CommitFinished(outcome) => {
                let event = self.writer.handle_commit(now, outcome);
                self.handle_writer_event(now, event, actions);
            }
            transition::ClaimInput::LeaseRead(result) => {
                let event = self.writer.handle_lease_read(now, result);
                self.handle_writer_event(now, event, actions);
            }
            transition::ClaimInput::CopyFinished { round, member, response } => {
                let event = self.writer.handle_copy_response(now, round, &member, response);
                self.handle_writer_event(now, event, actions);
            }
            transition::ClaimInput::JournalRead(journal) => self.handle_journal(now, journal),
            transition::ClaimInput::SealFinished { member, response } => {
                if let HolderPhase::Recovering(recovery) = &mut self.phase {
                    recovery.handle_seal_response(now, &member, &response);
                }
            }
            transition::ClaimInput::SetCopySet(copy_set) => self.set_copy_set(copy_set),
            transition::ClaimInput::Release => self.release(now, actions),
            transition::ClaimInput::LeaseLost => self.close(transition::CloseReason::Lost, actions),
            transition::ClaimInput::Tick => {}
        }
    }

    fn submit(
        &mut self,
        now: time::MonotonicTime,
        submission: transition::CallSubmission,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        if self.respond_if_known(now, &submission, actions) {
            return;
        }
        match self.phase {
            HolderPhase::Recovering(_) | HolderPhase::Activating => {
                let expires = submission.deadline.min(now + self.policy.claim_timeout);
                self.pending.push(submission, expires);
            }
            HolderPhase::Open => self.claim(now, submission, actions),
            HolderPhase::Releasing | HolderPhase::Closed => {
                push_response(actions, submission.id, transition::SubmitResponse::Moved);
            }
        }
    }

    /// Responds to a submission if the outcome of its call is known or its key belongs to another
    /// call, and lets it wait if the call is being claimed or run. Returns false in all other
    /// cases.
    fn respond_if_known(
        &mut self,
        now: time::MonotonicTime,
        submission: &transition::CallSubmission,
        actions: &mut Vec<transition::ClaimAction>,
    ) -> bool {
        let is_recovering =
            matches!(self.phase, HolderPhase::Recovering(_) | HolderPhase::Activating);
        let is_closed = self.is_closed();
        let Some(record) = self.index.get_mut(&submission.key) else { return false };
        if record.digest != submission.digest {
            let reason = reason::RefusalReason::IdempotencyKeyReused;
            let cause = transition::NotRunCause { reason, retry_after: None };
            // The claim of the key may be released later. A delayed duplicate of this request must
            // not run then.
            self.refuse(now, &waiting_submission(submission), cause, actions);
            return true;
        }
        let unknown =
            transition::SubmitResponse::Unknown(reason::RefusalReason::ClaimWithoutResult);
        let response = match &mut record.state {
            index::CallState::Claiming { waiting, .. } | index::CallState::Running { waiting } => {
                let timer =
                    SubmissionTimer { fires_at: submission.deadline, submission: submission.id };
                waiting.push(waiting_submission(submission));
                self.timers.insert(timer, submission.key.clone());
                return true;
            }
            // A later holder may have claimed, released or finished the call since.
            _ if is_closed => return false,
            index::CallState::Finished(Some(result)) => {
                transition::SubmitResponse::Completed { result: result.clone(), replayed: true }
            }
            // Copies that have not been fetched yet may contain the result.
            _ if is_recovering => return false,
            index::CallState::Finished(None) | index::CallState::OutcomeUnknown => unknown,
        };
        push_response(actions, submission.id, response);
        true
    }

    /// Responds to a submission with not-run.
    fn refuse(
        &mut self,
        now: time::MonotonicTime,
        waiting: &index::WaitingSubmission,
        cause: transition::NotRunCause,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        // A delayed duplicate of the request must not run after this response.
        self.refusals.insert(now, &waiting.request, cause);
        push_response(actions, waiting.id, transition::SubmitResponse::NotRun(cause));
    }

    fn unavailable_cause(&self) -> transition::NotRunCause {
        let reason = reason::RefusalReason::ClaimUnavailable;
        transition::NotRunCause { reason, retry_after: Some(self.policy.retry_after) }
    }

    fn handle_writer_event(
        &mut self,
        now: time::MonotonicTime,
        event: writer::WriterEvent,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        match event {
            writer::WriterEvent::NoChange => {}
            writer::WriterEvent::BatchesDurable(batches) => self.handle_durable(&batches, actions),
            writer::WriterEvent::LeaseLost => self.close(transition::CloseReason::Lost, actions),
            writer::WriterEvent::LeaseWritten(batches) => {
                self.handle_durable(&batches, actions);
                self.handle_lease_written(now, actions);
            }
        }
    }

    fn close(
        &mut self,
        reason: transition::CloseReason,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        if self.is_closed() {
            return;
        }
        let was_open = matches!(self.phase, HolderPhase::Open | HolderPhase::Releasing);
        self.phase = HolderPhase::Closed;
        actions.push(transition::ClaimAction::Closed { reason, was_open });
        for submission in self.pending.take_all() {
            push_response(actions, submission.id, transition::SubmitResponse::Moved);
        }
        for key in self.active.clone() {
            self.abandon_claim(&key, actions);
        }
    }

    fn expire(&mut self, now: time::MonotonicTime, actions: &mut Vec<transition::ClaimAction>) {
        self.index.expire(now);
        self.refusals.expire(now);
        self.expire_pending(now, actions);
        while let Some(timer) =
            self.timers.keys().next().copied().filter(|timer| timer.fires_at <= now)
        {
            let Some(key) = self.timers.remove(&timer) else { return };
            self.expire_submission(now, timer.submission, &key, actions);
        }
    }

    fn expire_pending(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        for submission in self.pending.take_expired(now) {
            self.refuse_expired(now, &submission, actions);
        }
    }

    /// Responds to a submission that expired before the shard opened.
    fn refuse_expired(
        &mut self,
        now: time::MonotonicTime,
        submission: &transition::CallSubmission,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        if self.index.get(&submission.key).is_some() {
            let unknown =
                transition::SubmitResponse::Unknown(reason::RefusalReason::ClaimWithoutResult);
            return push_response(actions, submission.id, unknown);
        }
        let reason = reason::RefusalReason::ShardUnavailable;
        let cause = transition::NotRunCause { reason, retry_after: Some(self.policy.retry_after) };
        self.refuse(now, &waiting_submission(submission), cause, actions);
    }

    fn push_due_actions(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        if self.is_closed() {
            return;
        }
        if let HolderPhase::Recovering(recovery) = &mut self.phase {
            let mut due_actions = Vec::new();
            recovery.push_due_actions(now, &mut due_actions);
            actions.extend(due_actions.into_iter().map(transition::ClaimAction::Recover));
            if recovery.is_complete(now) {
                self.activate(now);
            }
        }
        let is_idle = matches!(self.phase, HolderPhase::Releasing) && self.active.is_empty();
        if is_idle && !self.writer.is_changing_lease() {
            self.writer.request_lease_change(writer::LeaseChange::Release);
        }
        if matches!(self.phase, HolderPhase::Recovering(_)) {
            return;
        }
        let mut due_actions = Vec::new();
        self.writer.push_due_actions(now, &mut due_actions);
        actions.extend(due_actions.into_iter().map(transition::ClaimAction::Write));
    }
}

fn waiting_submission(submission: &transition::CallSubmission) -> index::WaitingSubmission {
    index::WaitingSubmission {
        id: submission.id,
        request: submission.request.clone(),
        deadline: submission.deadline,
    }
}

fn push_response(
    actions: &mut Vec<transition::ClaimAction>,
    submission: index::SubmissionId,
    response: transition::SubmitResponse,
) {
    actions.push(transition::ClaimAction::Respond { submission, response });
}
