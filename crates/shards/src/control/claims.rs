//! Claims of the control thread: inputs of the shards' holders, and what they want done.

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
    /// Hands a call to the hold that it was sent to, if that is still here.
    pub(super) fn submit(
        &mut self,
        hold: event::HoldId,
        call: sync::Arc<call::KeyedCall>,
        responder: channel::Sender<transition::SubmitResponse>,
    ) {
        if !self.holders.contains_key(&hold) {
            control::respond(&responder, transition::SubmitResponse::Moved);
            return;
        }
        let received = self.clock.now();
        self.call_count += 1;
        let number = index::SubmissionId(self.call_count);
        let send = transition::CallSubmission {
            id: number,
            request: call.request.clone(),
            key: call.key.clone(),
            digest: call.digest.clone(),
            deadline: received + call.remaining,
        };
        self.calls.insert(number, control::PendingCall { call, received, responder });
        self.claim_input(hold, transition::ClaimInput::Submit(send));
    }

    /// Hands an input to a holder and carries out what it wants.
    pub(super) fn claim_input(&mut self, hold: event::HoldId, input: transition::ClaimInput) {
        let now = self.clock.now();
        self.note_answer(hold, &input);
        let Some(holder) = self.holders.get_mut(&hold) else { return };
        let actions = holder.handle(now, input);
        match holder.next_wakeup(now) {
            Some(wakeup) => self.wakeups.insert(hold, wakeup),
            None => self.wakeups.remove(&hold),
        };
        self.claim_actions(hold, actions);
        self.retire(hold);
    }

    /// Logs the table's answers.
    fn note_answer(&mut self, hold: event::HoldId, input: &transition::ClaimInput) {
        let transition::ClaimInput::CommitFinished(answer) = input else { return };
        self.note_outage(hold, *answer);
        match answer {
            commit_outcome::CommitOutcome::Committed(_) => {
                self.copying.remove(&hold);
                log_event!(log_event::LogEvent::ClaimsWritten, shard = hold.shard);
            }
            commit_outcome::CommitOutcome::Conflict => {
                log_event!(log_event::LogEvent::ClaimsRefused, shard = hold.shard);
            }
            commit_outcome::CommitOutcome::Unknown => {
                log_event!(log_event::LogEvent::ClaimsUnsettled, shard = hold.shard);
            }
            commit_outcome::CommitOutcome::NotApplied => {}
        }
    }

    /// Logs an outage of the table once when it begins and once when it ends.
    fn note_outage(&mut self, hold: event::HoldId, answer: commit_outcome::CommitOutcome) {
        let is_down = answer == commit_outcome::CommitOutcome::NotApplied;
        if is_down && !self.is_table_down {
            log_event!(log_event::LogEvent::PlatformUnavailable, shard = hold.shard);
        }
        if !is_down && self.is_table_down {
            log_event!(log_event::LogEvent::PlatformBack, shard = hold.shard);
        }
        self.is_table_down = is_down;
    }

    pub(super) fn claim_actions(
        &mut self,
        hold: event::HoldId,
        actions: Vec<transition::ClaimAction>,
    ) {
        for action in actions {
            self.claim_action(hold, action);
        }
    }

    fn claim_action(&mut self, hold: event::HoldId, action: transition::ClaimAction) {
        match action {
            transition::ClaimAction::Write(action) => self.write(hold, action),
            transition::ClaimAction::Recover(recovery::RecoveryAction::ReadJournal) => {
                self.effects.read_journal(hold);
            }
            transition::ClaimAction::Recover(recovery::RecoveryAction::Seal(member)) => {
                self.seal_member(hold, member);
            }
            transition::ClaimAction::Run { submission, .. } => self.run_call(hold, submission),
            transition::ClaimAction::Respond { submission, response } => {
                if let Some(pending) = self.calls.remove(&submission) {
                    control::respond(&pending.responder, response);
                }
            }
            transition::ClaimAction::Opened => {
                self.metrics.open_shards.inc();
                self.prefer_copies();
                self.lease_input(manager::LeaseInput::ShardOpened(hold.shard));
            }
            transition::ClaimAction::Closed { reason, was_open } => {
                self.closed(hold, reason, was_open);
            }
        }
    }

    fn write(&mut self, hold: event::HoldId, action: writer::WriterAction) {
        match &action {
            writer::WriterAction::Commit(_) => self.metrics.table_writes.inc(),
            writer::WriterAction::Copy { batches, .. } => {
                self.metrics.copies.inc();
                if !batches.is_empty() && self.copying.insert(hold) {
                    log_event!(log_event::LogEvent::ClaimsCopied, shard = hold.shard);
                }
            }
            writer::WriterAction::ReadLease => {}
        }
        self.effects.write(hold, action);
    }

    fn run_call(&mut self, hold: event::HoldId, number: index::SubmissionId) {
        let Some(pending) = self.calls.get(&number) else { return };
        let waited = self.clock.now().since(pending.received);
        let mut call = call::KeyedCall::clone(&pending.call);
        call.remaining = call.remaining.saturating_sub(waited);
        self.metrics.runs.inc();
        self.effects.run(hold, sync::Arc::new(call));
    }

    fn closed(&mut self, hold: event::HoldId, reason: transition::CloseReason, was_open: bool) {
        if was_open {
            self.metrics.open_shards.dec();
        }
        if reason == transition::CloseReason::Lost {
            log_event!(log_event::LogEvent::LeaseLost, shard = hold.shard, fence = hold.fence);
        }
        self.lease_input(manager::LeaseInput::ShardClosed(hold.shard));
        if reason == transition::CloseReason::Released {
            self.effects.notify_released(self.peers.copy_peers());
        }
    }

    /// Tells each holder which peers should keep its copies.
    pub(super) fn prefer_copies(&mut self) {
        let open = self.holders.iter().filter(|(_, holder)| holder.is_open());
        let wanted: Vec<_> = open
            .map(|(hold, holder)| {
                let present = &holder.lease().row.copy_set;
                (*hold, self.peers.preferred_copies(hold.shard, present))
            })
            .collect();
        for (hold, copy_set) in wanted {
            self.claim_input(hold, transition::ClaimInput::SetCopySet(copy_set));
        }
    }
}
