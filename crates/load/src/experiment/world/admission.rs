//! Calls at their daemons: admitted, dispatched, tried again, counted.

use std::sync;

use rand::Rng as _;
use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_limits::gate;
use samphiremoor_routing::picker;

use super::SimEvent;
use super::SimWorld;
use super::calls;
use crate::experiment::replica::CallNumber;
use crate::tally;

/// Tries of one call, refused ones included.
const MAX_TRIES: u32 = 4;
/// Dispatches of one call.
const MAX_DISPATCHES: u32 = 4;
/// Delay of a call from the caller to the daemon and back.
const CLIENT_DELAY_MS: u64 = 2;
/// Delay of a call into another availability zone and back.
const ZONE_DELAY_MS: u64 = 2;

impl SimWorld<'_> {
    /// Sends a call to a daemon that is drawn, as a balancer before the daemons would.
    pub(super) fn try_call(&mut self, call: CallNumber) {
        let daemon = self.generator.random_range(0..self.daemons.len());
        let now = self.monotonic();
        let deadline_left = self.deadline_left(call);
        let state = &mut self.calls[call.0];
        state.daemon = daemon;
        state.tries += 1;
        let is_first = state.tries == 1;
        let admitted = self.daemons[daemon].gate.admit(&gate::AdmissionRequest {
            workspace: &state.planned.workspace,
            service: &state.service.id,
            priority: state.service.priority,
            deadline_left,
            now,
        });
        if is_first {
            self.after(deadline_left.to_duration(), SimEvent::Deadline(call));
        }
        match admitted {
            Ok(permit) => {
                self.calls[call.0].admission = Some(calls::CallAdmission { permit, at: now });
                self.dispatch(call);
            }
            Err(refusal) => self.refused(call, refusal.reason, refusal.retry_after),
        }
    }

    fn refused(
        &mut self,
        call: CallNumber,
        reason: reason::RefusalReason,
        retry_after: time::Millis,
    ) {
        self.tally.refusals += 1;
        let has_time = retry_after < self.deadline_left(call);
        if has_time && self.calls[call.0].tries < MAX_TRIES {
            self.after(retry_after.to_duration(), SimEvent::Try(call));
            return;
        }
        self.end(call, tally::CallEnd::Refused(reason));
    }

    fn deadline_left(&self, call: CallNumber) -> time::Millis {
        let state = &self.calls[call.0];
        let waited = self.now.saturating_sub(state.planned.at.to_duration());
        state.service.latency.deadline.saturating_sub(time::Millis::from(waited))
    }

    /// Picks a replica for an admitted call and sends it there.
    pub(super) fn dispatch(&mut self, call: CallNumber) {
        let Some(choice) = self.pick(call) else {
            self.release(call, gate::PermitOutcome::Failed, None);
            const NO_REPLICA_RETRY: time::Millis = time::Millis::new(1_000);
            return self.refused(call, reason::RefusalReason::NoReplica, NO_REPLICA_RETRY);
        };
        let Some(replica) = self.replicas.iter().position(|replica| replica.shown.id == choice)
        else {
            return;
        };
        let now = self.monotonic();
        self.calls[call.0].dispatch = Some(calls::CallDispatch {
            replica,
            at: now,
            sequence: None,
            usage: None,
            first: None,
        });
        if !self.replicas[replica].is_alive {
            // No connection: the call certainly did not run, so any call may be tried again.
            self.leave_replica(call, picker::FinishOutcome::Failed);
            return self.dispatch(call);
        }
        self.submit(call, replica);
    }

    /// Picks a replica as the call's daemon does, and tells its picker of the dispatch.
    fn pick(&mut self, call: CallNumber) -> Option<id::ReplicaId> {
        let now = self.monotonic();
        let random = self.generator.random();
        let state = &mut self.calls[call.0];
        let daemon = &mut self.daemons[state.daemon];
        let query = picker::RouteQuery {
            service: state.service,
            workspace: &state.planned.workspace,
            prefix: &state.prompt,
            prompt_tokens: state.prompt_tokens,
            excluded: &state.avoid,
            now,
            seed: random,
        };
        state.dispatches += 1;
        if state.dispatches > MAX_DISPATCHES {
            return None;
        }
        let choice = daemon.picker.pick(&self.views[&daemon.zone], &query)?;
        daemon.picker.on_dispatch(&picker::DispatchReport {
            replica: &choice.replica,
            service: state.service,
            prefix: &state.prompt,
            prompt_tokens: state.prompt_tokens,
            now,
        });
        Some(choice.replica)
    }

    /// Ends a call whose answer is whole.
    pub(super) fn complete(&mut self, call: CallNumber) {
        self.leave_replica(call, picker::FinishOutcome::Complete);
        let now = self.monotonic();
        let admitted = self.calls[call.0].admission.map(|admission| admission.at);
        let waited = admitted.map(|at| {
            let ended = now.since(at);
            let after_first = self.calls[call.0].after_first();
            ended.saturating_sub(time::Millis::from(after_first))
        });
        self.release(call, gate::PermitOutcome::Complete, waited);
        if let Some(end) = self.complete_end(call) {
            self.end(call, end);
        }
    }

    /// How a complete call compares with its service's latency targets.
    fn complete_end(&self, call: CallNumber) -> Option<tally::CallEnd> {
        let state = &self.calls[call.0];
        let target = &state.service.latency;
        let first_at = state.first?;
        let delay = CLIENT_DELAY_MS + ZONE_DELAY_MS;
        let first = first_at.saturating_sub(state.planned.at.to_duration());
        let first = time::Millis::new(first.as_millis() as u64 + delay);
        let steps = state.answer_tokens.saturating_sub(1).max(1);
        let between = state.after_first().as_millis() as u64 / steps;
        let is_model = state.answer_tokens > 1;
        let keeps_between = !is_model || between <= target.between.get();
        let within_target = first <= target.first && keeps_between;
        Some(tally::CallEnd::Complete { first, within_target })
    }

    /// Ends the admission of a call.
    pub(super) fn release(
        &mut self,
        call: CallNumber,
        outcome: gate::PermitOutcome,
        first: Option<time::Millis>,
    ) {
        let now = self.monotonic();
        let state = &mut self.calls[call.0];
        let Some(admission) = state.admission.take() else { return };
        let report = gate::PermitReport { outcome, latency: first, now };
        self.daemons[state.daemon].gate.release(admission.permit, &report);
    }

    /// Cancels a call whose deadline passes before its answer is whole.
    pub(super) fn deadline(&mut self, call: CallNumber) {
        if self.calls[call.0].is_ended {
            return;
        }
        self.leave_replica(call, picker::FinishOutcome::Cancelled);
        self.release(call, gate::PermitOutcome::TimedOut, None);
        self.end(call, tally::CallEnd::Refused(reason::RefusalReason::DeadlinePassed));
    }

    /// Ends a call, and counts it unless it arrived in the warm-up.
    pub(super) fn end(&mut self, call: CallNumber, end: tally::CallEnd) {
        let state = &mut self.calls[call.0];
        if state.is_ended {
            return;
        }
        state.is_ended = true;
        state.prompt = sync::Arc::from([]);
        let warm_up = self.plan.length.get() * super::WARM_UP_PER_MILLE / 1_000;
        if state.planned.at.get() >= warm_up {
            self.tally.end(state.service, end);
        }
    }
}
