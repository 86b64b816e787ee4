//! Claims of the control thread: inputs of the shards' holders, and what they want done.

use std::sync;

use async_std::channel;
use samphiremoor_base::event as log_event;
use samphiremoor_base::log_event;
use samphiremoor_claims::ledger;
use samphiremoor_claims::opening;
use samphiremoor_claims::step;
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
        responder: channel::Sender<step::ClaimAnswer>,
    ) {
        if !self.holders.contains_key(&hold) {
            control::respond(&responder, step::ClaimAnswer::Moved);
            return;
        }
        let received = self.clock.now();
        self.call_count += 1;
        let number = ledger::CallNumber(self.call_count);
        let send = step::CallSend {
            call: number,
            request: call.request.clone(),
            key: call.key.clone(),
            digest: call.digest.clone(),
            deadline: received + call.remaining,
        };
        self.calls.insert(number, control::PendingCall { call, received, responder });
        self.claim_input(hold, step::ClaimInput::Submit(send));
    }

    /// Hands an input to a holder and carries out what it wants.
    pub(super) fn claim_input(&mut self, hold: event::HoldId, input: step::ClaimInput) {
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
    fn note_answer(&mut self, hold: event::HoldId, input: &step::ClaimInput) {
        let step::ClaimInput::TableAnswered(answer) = input else { return };
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

    pub(super) fn claim_actions(&mut self, hold: event::HoldId, actions: Vec<step::ClaimAction>) {
        for action in actions {
            self.claim_action(hold, action);
        }
    }

    fn claim_action(&mut self, hold: event::HoldId, action: step::ClaimAction) {
        match action {
            step::ClaimAction::Write(action) => self.write(hold, action),
            step::ClaimAction::Open(opening::OpeningAction::ReadJournal) => {
                self.effects.read_journal(hold);
            }
            step::ClaimAction::Open(opening::OpeningAction::Seal(member)) => {
                self.seal_member(hold, member);
            }
            step::ClaimAction::Run { call, .. } => self.run_call(hold, call),
            step::ClaimAction::Answer { call, answer } => {
                if let Some(pending) = self.calls.remove(&call) {
                    control::respond(&pending.responder, answer);
                }
            }
            step::ClaimAction::Opened => {
                self.metrics.open_shards.inc();
                self.prefer_copies();
                self.lease_input(manager::LeaseInput::ShardOpened(hold.shard));
            }
            step::ClaimAction::Closed { reason, was_open } => {
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

    fn run_call(&mut self, hold: event::HoldId, number: ledger::CallNumber) {
        let Some(pending) = self.calls.get(&number) else { return };
        let waited = self.clock.now().since(pending.received);
        let mut call = call::KeyedCall::clone(&pending.call);
        call.remaining = call.remaining.saturating_sub(waited);
        self.metrics.runs.inc();
        self.effects.run(hold, sync::Arc::new(call));
    }

    fn closed(&mut self, hold: event::HoldId, reason: step::CloseReason, was_open: bool) {
        if was_open {
            self.metrics.open_shards.dec();
        }
        if reason == step::CloseReason::Lost {
            log_event!(log_event::LogEvent::LeaseLost, shard = hold.shard, fence = hold.fence);
        }
        self.lease_input(manager::LeaseInput::ShardClosed(hold.shard));
        if reason == step::CloseReason::Released {
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
            self.claim_input(hold, step::ClaimInput::CopySetPreferred(copy_set));
        }
    }
}
