//! Admission, dispatch, retry and counting of calls at the daemons.

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

/// Maximum number of attempts of one call, including refused attempts.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum number of dispatches of one call.
const MAX_DISPATCHES: u32 = 4;
/// Round-trip delay between the caller and the daemon.
const CLIENT_DELAY_MS: u64 = 2;
/// Round-trip delay between two availability zones.
const ZONE_DELAY_MS: u64 = 2;

impl SimWorld<'_> {
    /// Sends a call to a random daemon, as a load balancer would.
    pub(super) fn attempt(&mut self, call: CallNumber) {
        let daemon = self.generator.random_range(0..self.daemons.len());
        let now = self.daemon_time();
        let deadline_left = self.deadline_left(call);
        let state = &mut self.calls[call.0];
        state.daemon = daemon;
        state.attempts += 1;
        let is_first_attempt = state.attempts == 1;
        let admission = self.daemons[daemon].gate.admit(&gate::AdmissionRequest {
            workspace: &state.planned.workspace,
            service: &state.service.id,
            deadline_left,
            now,
        });
        if is_first_attempt {
            self.schedule_after(deadline_left.to_duration(), SimEvent::Deadline(call));
        }
        match admission {
            Ok(permit) => {
                self.calls[call.0].admission =
                    Some(calls::CallAdmission { permit, admitted_at: now });
                self.dispatch(call);
            }
            Err(refusal) => self.handle_refusal(call, refusal.reason, refusal.retry_after),
        }
    }

    fn handle_refusal(
        &mut self,
        call: CallNumber,
        reason: reason::RefusalReason,
        retry_after: time::Millis,
    ) {
        self.tally.refusals += 1;
        let has_time = retry_after < self.deadline_left(call);
        if has_time && self.calls[call.0].attempts < MAX_ATTEMPTS {
            self.schedule_after(retry_after.to_duration(), SimEvent::Attempt(call));
            return;
        }
        self.finish(call, tally::CallEnd::Refused(reason));
    }

    fn deadline_left(&self, call: CallNumber) -> time::Millis {
        let state = &self.calls[call.0];
        let elapsed = self.now.saturating_sub(state.planned.arrives_at.to_duration());
        state.service.latency.deadline.saturating_sub(time::Millis::from(elapsed))
    }

    /// Selects a replica for an admitted call and sends the call to it.
    pub(super) fn dispatch(&mut self, call: CallNumber) {
        let Some(choice) = self.pick(call) else {
            self.release_permit(call, gate::PermitOutcome::Failed, None);
            const NO_REPLICA_RETRY: time::Millis = time::Millis::new(1_000);
            return self.handle_refusal(call, reason::RefusalReason::NoReplica, NO_REPLICA_RETRY);
        };
        let Some(replica) = self.replicas.iter().position(|replica| replica.view.id == choice)
        else {
            return;
        };
        let now = self.daemon_time();
        self.calls[call.0].dispatch = Some(calls::CallDispatch {
            replica,
            dispatched_at: now,
            sequence: None,
            usage: None,
            ttft: None,
        });
        if !self.replicas[replica].is_alive {
            // The connection is refused, so the call was not run and may be redispatched even if it
            // is not repeatable.
            self.end_dispatch(call, picker::FinishOutcome::Failed);
            return self.dispatch(call);
        }
        self.submit(call, replica);
    }

    /// Selects a replica with the picker of the call's daemon, and reports the dispatch to the
    /// picker.
    fn pick(&mut self, call: CallNumber) -> Option<id::ReplicaId> {
        let now = self.daemon_time();
        let random = self.generator.random();
        let state = &mut self.calls[call.0];
        let daemon = &mut self.daemons[state.daemon];
        let query = picker::RouteQuery {
            service: state.service,
            workspace: &state.planned.workspace,
            prefix: &state.prompt,
            prompt_tokens: state.prompt_tokens,
            excluded: &state.excluded_replicas,
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

    /// Finishes a call whose response is complete.
    pub(super) fn complete(&mut self, call: CallNumber) {
        self.end_dispatch(call, picker::FinishOutcome::Complete);
        let now = self.daemon_time();
        let admitted_at = self.calls[call.0].admission.map(|admission| admission.admitted_at);
        let latency = admitted_at.map(|admitted_at| {
            let elapsed = now.since(admitted_at);
            let decode_time = self.calls[call.0].decode_time();
            elapsed.saturating_sub(time::Millis::from(decode_time))
        });
        self.release_permit(call, gate::PermitOutcome::Complete, latency);
        if let Some(end) = self.compare_with_targets(call) {
            self.finish(call, end);
        }
    }

    /// Compares a complete call with the latency targets of its service.
    fn compare_with_targets(&self, call: CallNumber) -> Option<tally::CallEnd> {
        let state = &self.calls[call.0];
        let target = &state.service.latency;
        let first_token_at = state.first_token_at?;
        let network_delay_ms = CLIENT_DELAY_MS + ZONE_DELAY_MS;
        let time_to_token = first_token_at.saturating_sub(state.planned.arrives_at.to_duration());
        let ttft = time::Millis::new(time_to_token.as_millis() as u64 + network_delay_ms);
        let intervals = state.response_tokens.saturating_sub(1).max(1);
        let between_ms = state.decode_time().as_millis() as u64 / intervals;
        let is_model = state.response_tokens > 1;
        let meets_between_target = !is_model || between_ms <= target.between.get();
        let within_target = ttft <= target.first && meets_between_target;
        Some(tally::CallEnd::Complete { ttft, within_target })
    }

    /// Releases the admission permit of a call.
    pub(super) fn release_permit(
        &mut self,
        call: CallNumber,
        outcome: gate::PermitOutcome,
        latency: Option<time::Millis>,
    ) {
        let now = self.daemon_time();
        let state = &mut self.calls[call.0];
        let Some(admission) = state.admission.take() else { return };
        let report = gate::PermitReport { outcome, latency, now };
        self.daemons[state.daemon].gate.release(admission.permit, &report);
    }

    /// Cancels a call whose deadline passes before its response is complete.
    pub(super) fn on_deadline(&mut self, call: CallNumber) {
        if self.calls[call.0].is_ended {
            return;
        }
        self.end_dispatch(call, picker::FinishOutcome::Cancelled);
        self.release_permit(call, gate::PermitOutcome::TimedOut, None);
        self.finish(call, tally::CallEnd::Refused(reason::RefusalReason::DeadlinePassed));
    }

    /// Finishes a call, and counts it unless it arrived during the warm-up.
    pub(super) fn finish(&mut self, call: CallNumber, end: tally::CallEnd) {
        let state = &mut self.calls[call.0];
        if state.is_ended {
            return;
        }
        state.is_ended = true;
        state.prompt = sync::Arc::from([]);
        let warm_up = self.plan.length.get() * super::WARM_UP_PER_MILLE / 1_000;
        if state.planned.arrives_at.get() >= warm_up {
            self.tally.record_end(state.service, end);
        }
    }
}
