//! Decides which answers of polled upstreams are worth a report.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::gossip;
use crate::limits;
use crate::upstreams;

/// The reports that this daemon made: when on which upstream, and the last one's number.
#[derive(Debug)]
pub(crate) struct ReportLog {
    limits: limits::MembershipLimits,
    reported_at: collections::BTreeMap<id::VmId, time::MonotonicTime>,
    serial: u64,
}

impl ReportLog {
    /// A log without a report.
    pub(crate) fn new(limits: limits::MembershipLimits) -> Self {
        ReportLog { limits, reported_at: collections::BTreeMap::new(), serial: 0 }
    }

    /// Whether an answer is reported, given this daemon's last report on the upstream.
    pub(crate) fn is_due(
        &self,
        now: time::MonotonicTime,
        vm: &id::VmId,
        last: Option<&gossip::PollReport>,
        answer: &gossip::PollResult,
    ) -> bool {
        let Some(last) = last else { return true };
        let interval = if last.answer == *answer {
            self.limits.report_refresh
        } else if differs_in_load_only(&last.answer, answer) {
            self.limits.load_interval
        } else {
            return true;
        };
        self.reported_at.get(vm).is_none_or(|at| now.since(*at) >= interval)
    }

    /// Notes a report on the upstream, and numbers it.
    pub(crate) fn note(
        &mut self,
        now: time::MonotonicTime,
        vm: &id::VmId,
        incarnation: quantity::Incarnation,
    ) -> gossip::ReportNumber {
        self.serial += 1;
        self.reported_at.insert(vm.clone(), now);
        gossip::ReportNumber { incarnation, serial: self.serial }
    }

    /// Forgets the upstreams that are not known any more.
    pub(crate) fn keep_known(&mut self, upstreams: &upstreams::UpstreamTable) {
        self.reported_at.retain(|vm, _| upstreams.get(vm).is_some());
    }
}

/// Whether two answers say the same but for the load; also where they are equal.
pub(crate) fn differs_in_load_only(
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
