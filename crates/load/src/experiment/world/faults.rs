//! Faults and purchases of a run.

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

/// Part of a run after which a wave of reclaims comes: one in so many.
const WAVE_DIVISOR: u32 = 3;

impl SimWorld<'_> {
    pub(super) fn schedule_faults(&mut self) {
        if self.cloud.is_some() {
            self.after(capacity::PLAN_INTERVAL, SimEvent::PlanTick);
            self.at(self.plan.length.to_duration() / WAVE_DIVISOR, SimEvent::Wave);
            return;
        }
        for fault in self.plan.situation.faults(self.deployment, self.plan.length) {
            self.at(fault.at.to_duration(), SimEvent::Fault(fault.kind, fault.replica));
        }
    }

    pub(super) fn fault(&mut self, kind: situation::FaultKind, replica: usize) {
        let state = &mut self.replicas[replica];
        match kind {
            situation::FaultKind::Pace(percent) => state.pace_percent = percent,
            situation::FaultKind::Leave => state.shown.state = zone::UpstreamState::Leaving,
            situation::FaultKind::Die => {
                if !state.is_alive {
                    return;
                }
                state.is_alive = false;
                state.epoch += 1;
                state.ended = Some(self.now);
                self.move_calls(replica);
            }
        }
    }

    pub(super) fn plan_tick(&mut self) {
        let now = self.monotonic();
        let alive = self.replicas.iter().filter(|replica| replica.is_alive);
        let shown: Vec<zone::ReplicaView> = alive.map(|replica| replica.shown.clone()).collect();
        let Some(cloud) = &mut self.cloud else { return };
        for change in cloud.plan(&shown, now, self.now) {
            match change {
                capacity::CloudChange::Start(view) => {
                    let mut started = replica::SimReplica::new(*view, self.plan.ages);
                    started.started = self.now;
                    self.replicas.push(started);
                    let number = self.replicas.len() - 1;
                    self.after(capacity::START_TIME, SimEvent::Ready(number));
                }
                capacity::CloudChange::Release(vm) => {
                    let released = self.replicas.iter_mut().find(|known| known.shown.vm == vm);
                    if let Some(released) = released {
                        released.shown.state = zone::UpstreamState::Leaving;
                        released.is_released = true;
                    }
                }
            }
        }
        self.give_back_drained();
        self.after(capacity::PLAN_INTERVAL, SimEvent::PlanTick);
    }

    /// A released VM goes when its last request has ended.
    pub(super) fn give_back_drained(&mut self) {
        for number in 0..self.replicas.len() {
            let replica = &self.replicas[number];
            if replica.is_released && replica.is_alive && replica.is_idle() {
                self.fault(situation::FaultKind::Die, number);
            }
        }
    }

    pub(super) fn ready(&mut self, replica: usize) {
        let replica = &mut self.replicas[replica];
        if replica.shown.state == zone::UpstreamState::Joining {
            replica.shown.state = zone::UpstreamState::Live;
        }
    }

    /// Every reclaimable engine of the most exposed zone gets notice.
    pub(super) fn wave(&mut self) {
        let alive = self.replicas.iter().filter(|replica| replica.is_alive);
        let shown: Vec<zone::ReplicaView> = alive.map(|replica| replica.shown.clone()).collect();
        let Some(zone) = capacity::most_exposed_zone(&shown) else { return };
        for number in 0..self.replicas.len() {
            let view = &self.replicas[number].shown;
            if view.zone == zone && view.reclaimable && !view.models.is_empty() {
                for fault in situation::reclaim(number, time::Millis::from(self.now)) {
                    let event = SimEvent::Fault(fault.kind, fault.replica);
                    self.at(fault.at.to_duration(), event);
                }
            }
        }
        if let Some(cloud) = &mut self.cloud {
            cloud.wave(zone, self.now);
        }
    }

    /// Sends the calls of a dead replica elsewhere.
    pub(super) fn move_calls(&mut self, replica: usize) {
        let calls: Vec<CallNumber> = match &self.replicas[replica].work {
            replica::ReplicaWork::Engine(engine) => engine.calls.values().copied().collect(),
            replica::ReplicaWork::Plain(plain) => {
                plain.queue.iter().chain(&plain.running).copied().collect()
            }
        };
        for call in calls {
            self.leave_replica(call, picker::FinishOutcome::Failed);
            if self.calls[call.0].service.repeatable {
                self.tally.moved += 1;
                self.dispatch(call);
            } else {
                self.release(call, gate::PermitOutcome::Failed, None);
                self.end(call, tally::CallEnd::Failed);
            }
        }
    }
}
