//! The duties of an availability zone: the lease on them, and the plans that its holder carries out.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::row;
use samphiremoor_membership::state as membership;
use samphiremoor_platform::cloud;
use samphiremoor_platform::table;
use samphiremoor_records::set;

use crate::action;
use crate::capacity;
use crate::duty;

/// The lease on the zone's duties, and what is done while it is held.
#[derive(Debug)]
pub(crate) struct ZoneDuties {
    zone: id::ZoneId,
    incarnation: quantity::Incarnation,
    lease: duty::DutyLease,
    shown_fence: Option<quantity::FencingToken>,
    capacity: capacity::CapacityState,
    marks: Vec<capacity::DrainMark>,
}

impl ZoneDuties {
    /// The duties as a daemon's new life finds them.
    pub(crate) fn new(zone: id::ZoneId, holder: row::DaemonInstance) -> Self {
        let incarnation = holder.incarnation;
        ZoneDuties {
            lease: duty::DutyLease::new(&zone, holder, duty::DutyTimes::default()),
            zone,
            incarnation,
            shown_fence: None,
            capacity: capacity::CapacityState::default(),
            marks: Vec::new(),
        }
    }

    /// Key of the lease row.
    pub(crate) fn key(&self) -> &table::RowKey {
        self.lease.key()
    }

    /// Takes the marks on VMs that leave.
    pub(crate) fn set_marks(&mut self, marks: Vec<capacity::DrainMark>) {
        self.marks = marks;
    }

    /// Takes an input of the lease.
    pub(crate) fn step_lease(
        &mut self,
        now: time::MonotonicTime,
        input: duty::DutyInput,
        actions: &mut Vec<action::ControlAction>,
    ) {
        match self.lease.step(now, input) {
            None => {}
            Some(duty::DutyAction::Read) => {
                actions.push(action::ControlAction::Read(action::PlatformRead::Duty));
            }
            Some(duty::DutyAction::Write(write)) => {
                actions.push(action::ControlAction::WriteDuty(write));
            }
        }
        let fence = self.lease.fence(now);
        if fence != self.shown_fence {
            self.shown_fence = fence;
            actions.push(action::ControlAction::DutyChanged(fence));
        }
    }

    /// Starts a plan where one is due, and gives marked VMs back that are idle.
    pub(crate) fn tick(
        &mut self,
        now: time::MonotonicTime,
        membership: &membership::MembershipState,
        actions: &mut Vec<action::ControlAction>,
    ) {
        let Some(fence) = self.lease.fence(now) else { return };
        if !self.capacity.is_due(now) {
            return;
        }
        actions.push(action::ControlAction::Read(action::PlatformRead::Offers));
        let upstreams = membership.upstreams();
        let steps = self.capacity.releases(now, &self.zone, &self.marks, upstreams);
        actions.extend(steps.into_iter().map(|step| action::ControlAction::CarryOut(step, fence)));
    }

    /// Plans with the offers that were read for it.
    pub(crate) fn plan(
        &mut self,
        now: time::MonotonicTime,
        records: &set::RecordSet,
        membership: &membership::MembershipState,
        offers: &[cloud::VmOffer],
        actions: &mut Vec<action::ControlAction>,
    ) {
        let Some(fence) = self.lease.fence(now) else { return };
        let input = capacity::CapacityInput {
            zone: &self.zone,
            incarnation: self.incarnation,
            records,
            upstreams: membership.upstreams(),
            offers,
        };
        let steps = self.capacity.plan(now, &input);
        actions.extend(steps.into_iter().map(|step| action::ControlAction::CarryOut(step, fence)));
    }

    /// Takes the answer to the start of a VM; a refusal is told with the time until the next try.
    pub(crate) fn start_answered(
        &mut self,
        now: time::MonotonicTime,
        start: cloud::VmStart,
        answer: &cloud::StartResponse,
        actions: &mut Vec<action::ControlAction>,
    ) {
        if let Some(until) = self.capacity.start_answered(now, &start, answer) {
            let wait = until.since(now);
            actions.push(action::ControlAction::StartRefused(start.offer, wait));
        }
    }
}
