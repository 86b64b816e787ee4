//! Decides which poll results are gossiped.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::gossip;
use crate::limits;
use crate::upstreams;

/// Time of the last poll report on each upstream by this daemon, and the serial number of the last
/// report.
#[derive(Debug)]
pub(crate) struct ReportSchedule {
    limits: limits::MembershipLimits,
    last_report_times: collections::BTreeMap<id::VmId, time::MonotonicTime>,
    last_serial: u64,
}

impl ReportSchedule {
    /// Creates a schedule without reports.
    pub(crate) fn new(limits: limits::MembershipLimits) -> Self {
        ReportSchedule { limits, last_report_times: collections::BTreeMap::new(), last_serial: 0 }
    }

    /// Returns whether a poll result is to be gossiped, given the last report of this daemon on the
    /// upstream.
    pub(crate) fn is_report_due(
        &self,
        now: time::MonotonicTime,
        vm: &id::VmId,
        last_report: Option<&gossip::PollReport>,
        result: &gossip::PollResult,
    ) -> bool {
        let Some(last_report) = last_report else { return true };
        let interval = if last_report.result == *result {
            self.limits.report_refresh_interval
        } else if is_equal_except_load(&last_report.result, result) {
            self.limits.load_report_interval
        } else {
            return true;
        };
        self.last_report_times.get(vm).is_none_or(|reported_at| now.since(*reported_at) >= interval)
    }

    /// Records that a report on the upstream is made now and returns its version.
    pub(crate) fn record(
        &mut self,
        now: time::MonotonicTime,
        vm: &id::VmId,
        incarnation: quantity::Incarnation,
    ) -> gossip::ReportVersion {
        self.last_serial += 1;
        self.last_report_times.insert(vm.clone(), now);
        gossip::ReportVersion { incarnation, serial: self.last_serial }
    }

    /// Drops the report times of upstreams that the table no longer contains.
    pub(crate) fn retain_upstreams(&mut self, upstreams: &upstreams::UpstreamTable) {
        self.last_report_times.retain(|vm, _| upstreams.get(vm).is_some());
    }
}

/// Returns whether two poll results are equal apart from the load.
pub(crate) fn is_equal_except_load(
    first: &gossip::PollResult,
    second: &gossip::PollResult,
) -> bool {
    match (first, second) {
        (
            gossip::PollResult::Ready { models: first, .. },
            gossip::PollResult::Ready { models: second, .. },
        ) => first == second,
        (gossip::PollResult::Draining { .. }, gossip::PollResult::Draining { .. }) => true,
        _ => first == second,
    }
}
