//! Claim handling of the control thread: passes events to the holders of shards and executes their
//! actions.

use std::sync;

use async_std::channel;
use samphiremoor_base::event as log_event;
use samphiremoor_base::log_event;
use samphiremoor_claims::index;
use samphiremoor_claims::recovery;
use samphiremoor_claims::transition;
use samphiremoor_claims::writer;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::manager;

use crate::call;
use crate::control;
use crate::event;

impl control::ShardControl {
    /// Passes a call to the holder that it was sent to. If this daemon no longer has that holder,
    /// the response is that the shard has moved.
    pub(super) fn submit(
        &mut self,
        holder_id: event::HolderId,
        call: sync::Arc<call::KeyedCall>,
        responder: channel::Sender<transition::SubmitResponse>,
    ) {
        if !self.holders.contains_key(&holder_id) {
            control::respond(&responder, transition::SubmitResponse::Moved);
            return;
        }
        let received_at = self.clock.now();
        self.submission_count += 1;
        let id = index::SubmissionId(self.submission_count);
        let submission = transition::CallSubmission {
            id,
            request: call.request.clone(),
            key: call.key.clone(),
            digest: call.digest.clone(),
            deadline: received_at + call.remaining,
        };
        self.pending_calls.insert(id, control::PendingCall { call, received_at, responder });
        self.handle_claim_input(holder_id, transition::ClaimInput::Submit(submission));
    }

    /// Passes an event to a holder and executes the resulting actions.
    pub(super) fn handle_claim_input(
        &mut self,
        holder_id: event::HolderId,
        input: transition::ClaimInput,
    ) {
        let now = self.clock.now();
        self.log_commit(holder_id, &input);
        let Some(holder) = self.holders.get_mut(&holder_id) else { return };
        let actions = holder.handle(now, input);
        match holder.next_wakeup(now) {
            Some(wakeup) => self.wakeups.insert(holder_id, wakeup),
            None => self.wakeups.remove(&holder_id),
        };
        self.execute_claim_actions(holder_id, actions);
        self.retire_closed(holder_id);
    }

    /// Logs the outcome of a journal transaction if the event contains one.
    fn log_commit(&mut self, holder_id: event::HolderId, input: &transition::ClaimInput) {
        let transition::ClaimInput::CommitFinished(outcome) = input else { return };
        self.log_outage(holder_id, *outcome);
        match outcome {
            commit_outcome::CommitOutcome::Committed(_) => {
                self.copying_holders.remove(&holder_id);
                log_event!(log_event::LogEvent::ClaimsWritten, shard = holder_id.shard);
            }
            commit_outcome::CommitOutcome::Conflict => {
                log_event!(log_event::LogEvent::ClaimsRefused, shard = holder_id.shard);
            }
            commit_outcome::CommitOutcome::Unknown => {
                log_event!(log_event::LogEvent::ClaimsUnsettled, shard = holder_id.shard);
            }
            commit_outcome::CommitOutcome::NotApplied => {}
        }
    }

    /// Logs the start and the end of a table outage once each.
    fn log_outage(&mut self, holder_id: event::HolderId, outcome: commit_outcome::CommitOutcome) {
        let is_unavailable = outcome == commit_outcome::CommitOutcome::NotApplied;
        if is_unavailable && !self.is_table_unavailable {
            log_event!(log_event::LogEvent::PlatformUnavailable, shard = holder_id.shard);
        }
        if !is_unavailable && self.is_table_unavailable {
            log_event!(log_event::LogEvent::PlatformBack, shard = holder_id.shard);
        }
        self.is_table_unavailable = is_unavailable;
    }

    pub(super) fn execute_claim_actions(
        &mut self,
        holder_id: event::HolderId,
        actions: Vec<transition::ClaimAction>,
    ) {
        for action in actions {
            self.execute_claim_action(holder_id, action);
        }
    }

    fn execute_claim_action(
        &mut self,
        holder_id: event::HolderId,
        action: transition::ClaimAction,
    ) {
        match action {
            transition::ClaimAction::Write(action) => self.execute_write(holder_id, action),
            transition::ClaimAction::Recover(recovery::RecoveryAction::ReadJournal) => {
                self.effects.read_journal(holder_id);
            }
            transition::ClaimAction::Recover(recovery::RecoveryAction::Seal(member)) => {
                self.seal_member(holder_id, member);
            }
            transition::ClaimAction::Run { submission, .. } => self.run_call(holder_id, submission),
            transition::ClaimAction::Respond { submission, response } => {
                if let Some(pending) = self.pending_calls.remove(&submission) {
                    control::respond(&pending.responder, response);
                }
            }
            transition::ClaimAction::Opened => {
                self.metrics.open_shards.inc();
                self.update_copy_sets();
                self.handle_lease_input(manager::LeaseInput::ShardOpened(holder_id.shard));
            }
            transition::ClaimAction::Closed { reason, was_open } => {
                self.handle_closed(holder_id, reason, was_open);
            }
        }
    }

    fn execute_write(&mut self, holder_id: event::HolderId, action: writer::WriterAction) {
        match &action {
            writer::WriterAction::Commit(_) => self.metrics.table_writes.inc(),
            writer::WriterAction::Copy { batches, .. } => {
                self.metrics.copies.inc();
                if !batches.is_empty() && self.copying_holders.insert(holder_id) {
                    log_event!(log_event::LogEvent::ClaimsCopied, shard = holder_id.shard);
                }
            }
            writer::WriterAction::ReadLease => {}
        }
        self.effects.write(holder_id, action);
    }

    /// Starts the run of a submitted call with the time that remains until its deadline.
    fn run_call(&mut self, holder_id: event::HolderId, submission: index::SubmissionId) {
        let Some(pending) = self.pending_calls.get(&submission) else { return };
        let wait_time = self.clock.now().since(pending.received_at);
        let mut call = call::KeyedCall::clone(&pending.call);
        call.remaining = call.remaining.saturating_sub(wait_time);
        self.metrics.runs.inc();
        self.effects.run(holder_id, sync::Arc::new(call));
    }

    /// Reports a closed holder to the lease manager and, after a release, to the peers.
    fn handle_closed(
        &mut self,
        holder_id: event::HolderId,
        reason: transition::CloseReason,
        was_open: bool,
    ) {
        if was_open {
            self.metrics.open_shards.dec();
        }
        if reason == transition::CloseReason::Lost {
            log_event!(
                log_event::LogEvent::LeaseLost,
                shard = holder_id.shard,
                fence = holder_id.fence
            );
        }
        self.handle_lease_input(manager::LeaseInput::ShardClosed(holder_id.shard));
        if reason == transition::CloseReason::Released {
            self.effects.notify_released(self.peers.copy_peers());
        }
    }

    /// Chooses the copy set of each open holder again and passes it to the holder.
    pub(super) fn update_copy_sets(&mut self) {
        let open_holders = self.holders.iter().filter(|(_, holder)| holder.is_open());
        let copy_sets: Vec<_> = open_holders
            .map(|(holder_id, holder)| {
                let current = &holder.lease().row.copy_set;
                (*holder_id, self.peers.choose_copy_set(holder_id.shard, current))
            })
            .collect();
        for (holder_id, copy_set) in copy_sets {
            self.handle_claim_input(holder_id, transition::ClaimInput::SetCopySet(copy_set));
        }
    }
}
