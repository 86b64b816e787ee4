//! Faults, reclaims and VM purchases of a run.

use samphiremoor_base::time;
use samphiremoor_limits::gate;
use samphiremoor_routing::picker;
use samphiremoor_view::zone;

use super::SimEvent;
use super::SimWorld;
use crate::experiment::capacity;
use crate::experiment::replica;
use crate::experiment::replica::CallNumber;
use crate::experiment::situation;
use crate::tally;

/// Divisor of the length of a run; the quotient is the time at which the reclaim wave starts.
const WAVE_DIVISOR: u32 = 3;

impl SimWorld<'_> {
    pub(super) fn schedule_faults(&mut self) {
        if self.cloud.is_some() {
            self.schedule_after(capacity::PLAN_INTERVAL, SimEvent::PlanTick);
            self.schedule_at(self.plan.length.to_duration() / WAVE_DIVISOR, SimEvent::ReclaimWave);
            return;
        }
        for fault in self.plan.situation.faults(self.deployment, self.plan.length) {
            self.schedule_at(
                fault.injected_at.to_duration(),
                SimEvent::Fault(fault.kind, fault.replica),
            );
        }
    }

    pub(super) fn inject_fault(&mut self, kind: situation::FaultKind, replica: usize) {
        let state = &mut self.replicas[replica];
        match kind {
            situation::FaultKind::Slowdown(percent) => state.step_percent = percent,
            situation::FaultKind::ShowLeaving => state.view.state = zone::UpstreamState::Leaving,
            situation::FaultKind::Stop => {
                if !state.is_alive {
                    return;
                }
                state.is_alive = false;
                state.epoch += 1;
                state.ended_at = Some(self.now);
                self.redispatch_calls(replica);
            }
        }
    }

    /// Makes a purchase plan, applies it and schedules the next one.
    pub(super) fn run_planner(&mut self) {
        let now = self.daemon_time();
        let alive_replicas = self.replicas.iter().filter(|replica| replica.is_alive);
        let views: Vec<zone::ReplicaView> =
            alive_replicas.map(|replica| replica.view.clone()).collect();
        let Some(cloud) = &mut self.cloud else { return };
        for change in cloud.plan(&views, now, self.now) {
            match change {
                capacity::CloudChange::Start(view) => {
                    let mut started = replica::SimReplica::new(*view, self.plan.ages);
                    started.started_at = self.now;
                    self.replicas.push(started);
                    let replica_index = self.replicas.len() - 1;
                    self.schedule_after(
                        capacity::START_TIME,
                        SimEvent::ReplicaReady(replica_index),
                    );
                }
                capacity::CloudChange::Release(vm) => {
                    let released = self.replicas.iter_mut().find(|replica| replica.view.vm == vm);
                    if let Some(released) = released {
                        released.view.state = zone::UpstreamState::Leaving;
                        released.is_released = true;
                    }
                }
            }
        }
        self.release_drained();
        self.schedule_after(capacity::PLAN_INTERVAL, SimEvent::PlanTick);
    }

    /// Stops the released replicas whose last request has ended.
    pub(super) fn release_drained(&mut self) {
        for replica_index in 0..self.replicas.len() {
            let replica = &self.replicas[replica_index];
            if replica.is_released && replica.is_alive && replica.is_idle() {
                self.inject_fault(situation::FaultKind::Stop, replica_index);
            }
        }
    }

    pub(super) fn on_replica_ready(&mut self, replica: usize) {
        let replica = &mut self.replicas[replica];
        if replica.view.state == zone::UpstreamState::Joining {
            replica.view.state = zone::UpstreamState::Live;
        }
    }

    /// Announces the reclaim of all reclaimable engines in the zone that has the most of them.
    pub(super) fn start_reclaim_wave(&mut self) {
        let alive_replicas = self.replicas.iter().filter(|replica| replica.is_alive);
        let views: Vec<zone::ReplicaView> =
            alive_replicas.map(|replica| replica.view.clone()).collect();
        let Some(zone) = capacity::most_reclaimable_zone(&views) else { return };
        for replica_index in 0..self.replicas.len() {
            let view = &self.replicas[replica_index].view;
            if view.zone == zone && view.reclaimable && !view.models.is_empty() {
                for fault in situation::reclaim_faults(replica_index, time::Millis::from(self.now))
                {
                    let event = SimEvent::Fault(fault.kind, fault.replica);
                    self.schedule_at(fault.injected_at.to_duration(), event);
                }
            }
        }
        if let Some(cloud) = &mut self.cloud {
            cloud.start_wave(zone, self.now);
        }
    }

    /// Redispatches the calls of a stopped replica; calls that are not repeatable fail.
    pub(super) fn redispatch_calls(&mut self, replica: usize) {
        let calls: Vec<CallNumber> = match &self.replicas[replica].work {
            replica::ReplicaWork::Engine(engine) => engine.calls.values().copied().collect(),
            replica::ReplicaWork::Plain(plain) => {
                plain.queue.iter().chain(&plain.running).copied().collect()
            }
        };
        for call in calls {
            self.end_dispatch(call, picker::FinishOutcome::Failed);
            if self.calls[call.0].service.repeatable {
                self.tally.moved_calls += 1;
                self.dispatch(call);
            } else {
                self.release_permit(call, gate::PermitOutcome::Failed, None);
                self.finish(call, tally::CallEnd::Failed);
            }
        }
    }
}
