//! Schedules the polls of the upstreams that are assigned to this daemon.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_view::zone;

use crate::daemons;
use crate::gossip;
use crate::limits;
use crate::rendezvous;
use crate::upstreams;

/// Minimum time between two assignments of the polls.
const ASSIGNMENT_INTERVAL: time::Millis = time::Millis::new(500);

/// Upstreams that are assigned to this daemon, with the time of the last poll of each.
#[derive(Debug)]
pub(crate) struct PollSchedule {
    limits: limits::MembershipLimits,
    assigned_vms: Vec<id::VmId>,
    /// Daemons among which the polls were last assigned.
    candidates: Vec<id::DaemonId>,
    /// Whether upstreams of the local availability zone changed since the last assignment.
    is_assignment_stale: bool,
    /// Whether upstreams or daemons may have changed since the last check.
    is_check_requested: bool,
    next_assignment_at: time::MonotonicTime,
    next_poll_at: time::MonotonicTime,
    last_poll_times: collections::BTreeMap<id::VmId, time::MonotonicTime>,
}

impl PollSchedule {
    /// Creates a schedule without assigned upstreams.
    pub(crate) fn new(limits: limits::MembershipLimits, now: time::MonotonicTime) -> Self {
        PollSchedule {
            limits,
            assigned_vms: Vec::new(),
            candidates: Vec::new(),
            is_assignment_stale: true,
            is_check_requested: true,
            next_assignment_at: now,
            next_poll_at: now,
            last_poll_times: collections::BTreeMap::new(),
        }
    }

    /// Requests a new assignment because upstreams of the local availability zone changed.
    pub(crate) fn invalidate(&mut self) {
        self.is_assignment_stale = true;
        self.is_check_requested = true;
    }

    /// Requests a check of the daemons. Polls are reassigned only if the set of reachable daemons
    /// of the local availability zone has changed.
    pub(crate) fn request_check(&mut self) {
        self.is_check_requested = true;
    }

    /// Returns whether a check was requested and [`ASSIGNMENT_INTERVAL`] has passed since the last
    /// check.
    pub(crate) fn is_assignment_due(&self, now: time::MonotonicTime) -> bool {
        self.is_check_requested && now >= self.next_assignment_at
    }

    /// Recomputes which upstreams of the local availability zone are assigned to this daemon, if
    /// the upstreams or the reachable daemons of the zone have changed.
    pub(crate) fn reassign(
        &mut self,
        now: time::MonotonicTime,
        daemons: &daemons::DaemonTable,
        upstreams: &upstreams::UpstreamTable,
    ) {
        self.is_check_requested = false;
        self.next_assignment_at = now + ASSIGNMENT_INTERVAL;
        let local = daemons.local();
        let is_unchanged = daemons.reachable_in(&local.zone).eq(&self.candidates);
        if is_unchanged && !self.is_assignment_stale {
            return;
        }
        self.is_assignment_stale = false;
        self.candidates = daemons.reachable_in(&local.zone).cloned().collect();
        let is_assigned = |upstream: &&gossip::UpstreamInfo| {
            let candidates = self.candidates.iter();
            upstream.zone == local.zone
                && upstream.status.state != zone::UpstreamState::Gone
                && rendezvous::is_assigned(
                    upstream.vm.as_str(),
                    &local.id,
                    candidates,
                    rendezvous::POLLERS_PER_UPSTREAM,
                )
        };
        let assigned_upstreams = upstreams.all().filter(is_assigned);
        self.assigned_vms = assigned_upstreams.map(|upstream| upstream.vm.clone()).collect();
        self.last_poll_times.retain(|vm, _| upstreams.get(vm).is_some());
    }

    /// Returns the assigned upstream with the oldest last poll if it is due, and records the poll.
    pub(crate) fn next_poll(
        &mut self,
        now: time::MonotonicTime,
        upstreams: &upstreams::UpstreamTable,
    ) -> Option<gossip::UpstreamInfo> {
        if now < self.next_poll_at {
            return None;
        }
        self.next_poll_at = now + self.limits.poll_spacing;
        let last_poll_time = |vm: &&id::VmId| self.last_poll_times.get(*vm).copied();
        let vm = self.assigned_vms.iter().min_by_key(last_poll_time)?.clone();
        let last_poll_at = self.last_poll_times.get(&vm);
        if last_poll_at
            .is_some_and(|polled_at| now.since(*polled_at) < self.limits.upstream_poll_interval)
        {
            return None;
        }
        let upstream = upstreams.get(&vm)?.clone();
        self.last_poll_times.insert(vm, now);
        Some(upstream)
    }
}
