//! Duties of an availability zone: the lease on them, and the plans that the lease holder executes.

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

/// The lease on the duties of the zone, and the capacity plans that are executed while it is held.
#[derive(Debug)]
pub(crate) struct ZoneDuties {
    zone: id::ZoneId,
    incarnation: quantity::Incarnation,
    lease: duty::DutyLease,
    /// Value of the last [`action::ControlAction::DutyChanged`], or `None` before the first.
    reported_token: Option<quantity::FencingToken>,
    planner: capacity::CapacityPlanner,
    /// Drain marks as last read from the table.
    drain_marks: Vec<capacity::DrainMark>,
}

impl ZoneDuties {
    /// Creates the state of a daemon that does not hold the lease.
    pub(crate) fn new(zone: id::ZoneId, holder: row::DaemonInstance) -> Self {
        let incarnation = holder.incarnation;
        ZoneDuties {
            lease: duty::DutyLease::new(&zone, holder, duty::DutyTimings::default()),
            zone,
            incarnation,
            reported_token: None,
            planner: capacity::CapacityPlanner::default(),
            drain_marks: Vec::new(),
        }
    }

    /// Returns the key of the lease row.
    pub(crate) fn lease_key(&self) -> &table::RowKey {
        self.lease.key()
    }

    /// Replaces the drain marks with those that were read from the table.
    pub(crate) fn set_drain_marks(&mut self, drain_marks: Vec<capacity::DrainMark>) {
        self.drain_marks = drain_marks;
    }

    /// Handles an input of the lease state machine, and reports when the lease was taken or lost.
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
        let token = self.lease.fencing_token(now);
        if token != self.reported_token {
            self.reported_token = token;
            actions.push(action::ControlAction::DutyChanged(token));
        }
    }

    /// If the lease is held and a plan is due, requests the offers for the plan and releases the
    /// VMs with a drain mark whose release is due.
    pub(crate) fn tick(
        &mut self,
        now: time::MonotonicTime,
        membership: &membership::MembershipState,
        actions: &mut Vec<action::ControlAction>,
    ) {
        let Some(token) = self.lease.fencing_token(now) else { return };
        if !self.planner.schedule_if_due(now) {
            return;
        }
        actions.push(action::ControlAction::Read(action::PlatformRead::Offers));
        let upstreams = membership.upstreams();
        let steps = self.planner.due_releases(now, &self.zone, &self.drain_marks, upstreams);
        actions
            .extend(steps.into_iter().map(|step| action::ControlAction::ExecuteStep(step, token)));
    }

    /// Makes a plan from the offers that were read and executes its steps, if the lease is still
    /// held.
    pub(crate) fn plan(
        &mut self,
        now: time::MonotonicTime,
        records: &set::RecordSet,
        membership: &membership::MembershipState,
        offers: &[cloud::VmOffer],
        actions: &mut Vec<action::ControlAction>,
    ) {
        let Some(token) = self.lease.fencing_token(now) else { return };
        let input = capacity::CapacityInput {
            zone: &self.zone,
            incarnation: self.incarnation,
            records,
            upstreams: membership.upstreams(),
            offers,
        };
        let steps = self.planner.plan(now, &input);
        actions
            .extend(steps.into_iter().map(|step| action::ControlAction::ExecuteStep(step, token)));
    }

    /// Handles the response to the start of a VM. A refusal is reported with the time until the
    /// offer is used again.
    pub(crate) fn start_completed(
        &mut self,
        now: time::MonotonicTime,
        request: cloud::StartRequest,
        response: &cloud::StartResponse,
        actions: &mut Vec<action::ControlAction>,
    ) {
        if let Some(usable_at) = self.planner.start_completed(now, &request, response) {
            let wait = usable_at.since(now);
            actions.push(action::ControlAction::StartRefused(request.offer, wait));
        }
    }
}
