//! Rollouts of services' software: applies the operators' orders and, while this daemon holds the duty
//! lease, decides the phases and writes the status rows.

use std::collections;
use std::rc;

use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_fleet::rollout;
use samphiremoor_fleet::rollout::plan;
use samphiremoor_platform::table;

use crate::adapter;
use crate::core;
use crate::metrics;
use crate::rollout_states;

/// Number of verdicts of this daemon between two decisions, if it holds the lease.
const STEPS_PER_DECISION: u64 = 2;
/// Interval between verdicts of this daemon.
const STEP_INTERVAL: time::Millis = time::Millis::new(250);
/// Interval between reads of the status row while the phase is not confirmed.
const STATUS_INTERVAL: time::Millis = time::Millis::new(2_000);

/// Number of refused writes of a final state after which it is written no more: the order is gone.
const MAX_REFUSALS: u32 = 5;

/// How a status row is read or written next.
enum RowStep {
    Read,
    Write(rollout::RowState, Option<quantity::RowVersion>),
}

impl core::GatewayCore {
    /// Applies the orders that were read with the policy.
    pub(crate) fn apply_rollout_orders(&self, records: &adapter::OperatorRecords) {
        self.state.borrow_mut().rollouts.apply_orders(records, self.now());
    }

    /// Observes the rollouts of this daemon's services and returns the services whose status rows are
    /// to be read or written.
    fn step_rollouts(
        &self,
        failing: &collections::BTreeSet<id::ServiceId>,
        decides: bool,
    ) -> Vec<RolloutStep> {
        let now = self.now();
        let limits = self.settings.shared.exposure_limits();
        let lease = self.lease_state.local_position.get();
        let state = &mut *self.state.borrow_mut();
        let (replicas, policy) = (&state.replicas, state.policy.as_ref());
        let (daemons, propagation) = (state.live_daemons, state.propagation);
        let mut steps = Vec::new();
        for (service, known) in &mut state.rollouts.services {
            let is_known = policy.is_some_and(|policy| policy.services.contains_key(service));
            if !is_known {
                if policy.is_some() && !std::mem::replace(&mut known.has_warned, true) {
                    log_event!(event::LogEvent::RolloutIgnored, service = service);
                }
                continue;
            }
            known.state.observe_daemons(daemons);
            known.state.set_old_in_progress(known.old_in_progress(replicas));
            if let Some(reason) = known.state.judge(&limits, now) {
                let to = &known.state.order().to;
                self.metrics.count_bad_version();
                log_event!(
                    event::LogEvent::RolloutVetoed,
                    service = service,
                    to = to,
                    reason = reason
                );
            }
            if lease.is_some() && !decides {
                known.log_phase(&self.metrics, now);
                continue;
            }
            let order = known.state.order().clone();
            let mut push = |step| steps.push(RolloutStep { order: order.clone(), step });
            let is_read_due =
                known.row_read_at.is_none_or(|read_at| now.since(read_at) >= STATUS_INTERVAL);
            match (lease, known.row) {
                (Some(lease), Some((version, row_state))) => {
                    let view = plan::HolderView {
                        lease,
                        daemons,
                        propagation,
                        new_replicas: known.new_replicas(replicas),
                        has_table: row_state.is_some() && !failing.contains(service),
                    };
                    let target = known.state.advance(&limits, &view, now);
                    let is_ended = row_state.is_some_and(|row| row != rollout::RowState::Running);
                    if row_state != Some(target) && !is_ended {
                        push(RowStep::Write(target, version));
                    }
                }
                (Some(_), None)
                    if known.state.phase().is_final() && known.refusals >= MAX_REFUSALS => {}
                (Some(_), None) if known.refusals == 0 || is_read_due => push(RowStep::Read),
                (Some(_), None) => {}
                (None, _) if known.state.phase().is_final() || known.state.is_confirmed(now) => {
                    // Another daemon may write the row meanwhile.
                    known.row = None;
                }
                (None, _) if is_read_due => push(RowStep::Read),
                (None, _) => {}
            }
            known.log_phase(&self.metrics, now);
        }
        steps
    }

    /// Reads or writes a status row.
    async fn run_rollout_step(&self, step: RolloutStep) -> Result<(), table::PlatformError> {
        let RolloutStep { order, step } = step;
        let rows = self.adapter.rollouts.clone();
        self.metrics.count_table_call(metrics::TableCall::Rollouts);
        match step {
            RowStep::Read => {
                let status = rows.status(&order.service).await?;
                self.on_rollout_row(&order, status);
            }
            RowStep::Write(target, expected) => {
                let write_id = self.write_id();
                let written = rows.write_status(write_id, &order, target, expected).await;
                // After a lost response the row is read back.
                let row = match &written {
                    Ok(table::CommitResponse::Committed(version)) => {
                        Some((Some(*version), Some(target)))
                    }
                    _ => None,
                };
                let is_refused = matches!(written, Ok(table::CommitResponse::Refused(_)));
                self.with_rollout(&order, |known, now| {
                    known.row = row;
                    known.refusals = if is_refused { known.refusals + 1 } else { 0 };
                    if row.is_some() {
                        known.state.observe_row(target, now);
                        log_event!(
                            event::LogEvent::RolloutStatus,
                            service = order.service,
                            to = order.to,
                            state = format_args!("{target:?}"),
                        );
                    }
                });
                written?;
            }
        }
        Ok(())
    }

    /// Observes a status row that was read.
    fn on_rollout_row(
        &self,
        order: &rollout::RolloutOrder,
        status: Option<adapter::RolloutStatus>,
    ) {
        let version = status.as_ref().map(|status| status.version);
        // A row that is older than the order shows an earlier rollout.
        let shown = status.filter(|status| status.version > order.position.version);
        let shown = shown.and_then(|status| status.shown);
        let row_state = shown.filter(|(_, to)| *to == order.to).map(|(state, _)| state);
        self.with_rollout(order, |known, now| {
            known.row = Some((version, row_state));
            known.row_read_at = Some(now);
            match row_state {
                Some(rollout::RowState::Running) if !known.state.has_phase() => {
                    // An earlier process of this daemon may have sent requests to the new version.
                    known.state.mark_late();
                }
                Some(state) => known.state.observe_row(state, now),
                None => {}
            }
        });
    }

    fn with_rollout(
        &self,
        order: &rollout::RolloutOrder,
        update: impl FnOnce(&mut rollout_states::KnownRollout, time::MonotonicTime),
    ) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let known = state.rollouts.services.get_mut(&order.service);
        if let Some(known) = known.filter(|known| known.state.order() == order) {
            update(known, now);
            known.log_phase(&self.metrics, now);
        }
    }
}

/// Call for the status row of an order.
struct RolloutStep {
    order: rollout::RolloutOrder,
    step: RowStep,
}

/// Observes the rollouts and, while this daemon holds the duty lease, decides their phases; never
/// returns.
pub(crate) async fn run(core: rc::Rc<core::GatewayCore>) {
    // Services whose last call for the status row failed.
    let mut failing = collections::BTreeSet::new();
    for round in 0_u64.. {
        task::sleep(STEP_INTERVAL.to_duration()).await;
        let decides = round.is_multiple_of(STEPS_PER_DECISION);
        for step in core.step_rollouts(&failing, decides) {
            let service = step.order.service.clone();
            match core.run_rollout_step(step).await {
                Ok(()) => drop(failing.remove(&service)),
                Err(cause) => {
                    log::debug!("the status row of {service} is not known ({cause}); retrying");
                    failing.insert(service);
                }
            }
        }
    }
}
