//! Chooses the upstreams that one daemon polls, and when.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_view::zone;

use crate::daemons;
use crate::gossip;
use crate::limits;
use crate::rendezvous;
use crate::upstreams;

/// Least time between two divisions of the polls.
const SHARING_INTERVAL: time::Millis = time::Millis::new(500);

/// The upstreams that this daemon polls, and when it polled each.
#[derive(Debug)]
pub(crate) struct PollSchedule {
    limits: limits::MembershipLimits,
    share: Vec<id::VmId>,
    /// Daemons among which the polls were divided.
    sharers: Vec<id::DaemonId>,
    is_share_old: bool,
    is_check_due: bool,
    next_sharing: time::MonotonicTime,
    next_poll: time::MonotonicTime,
    polled_at: collections::BTreeMap<id::VmId, time::MonotonicTime>,
}

impl PollSchedule {
    /// A schedule whose share is made at the next division.
    pub(crate) fn new(limits: limits::MembershipLimits, now: time::MonotonicTime) -> Self {
        PollSchedule {
            limits,
            share: Vec::new(),
            sharers: Vec::new(),
            is_share_old: true,
            is_check_due: true,
            next_sharing: now,
            next_poll: now,
            polled_at: collections::BTreeMap::new(),
        }
    }

    /// Upstreams of the own availability zone changed, and the share with them.
    pub(crate) fn outdate(&mut self) {
        self.is_share_old = true;
        self.is_check_due = true;
    }

    /// Daemons changed, and the share with them where others answer now.
    pub(crate) fn recheck_daemons(&mut self) {
        self.is_check_due = true;
    }

    /// Whether the polls are to be divided anew: something changed, and the last division is old
    /// enough.
    pub(crate) fn is_sharing_due(&self, now: time::MonotonicTime) -> bool {
        self.is_check_due && now >= self.next_sharing
    }

    /// Takes the upstreams of the own availability zone that fall to this daemon.
    pub(crate) fn divide(
        &mut self,
        now: time::MonotonicTime,
        daemons: &daemons::DaemonTable,
        upstreams: &upstreams::UpstreamTable,
    ) {
        self.is_check_due = false;
        self.next_sharing = now + SHARING_INTERVAL;
        let own = daemons.own();
        let is_same = daemons.answering_in(&own.zone).eq(&self.sharers);
        if is_same && !self.is_share_old {
            return;
        }
        self.is_share_old = false;
        self.sharers = daemons.answering_in(&own.zone).cloned().collect();
        let is_mine = |upstream: &&gossip::UpstreamInfo| {
            let others = self.sharers.iter();
            upstream.zone == own.zone
                && upstream.status.state != zone::UpstreamState::Gone
                && rendezvous::has_duty(
                    upstream.vm.as_str(),
                    &own.id,
                    others,
                    rendezvous::POLLER_COUNT,
                )
        };
        let mine = upstreams.all().filter(is_mine);
        self.share = mine.map(|upstream| upstream.vm.clone()).collect();
        self.polled_at.retain(|vm, _| upstreams.get(vm).is_some());
    }

    /// The upstream of the own share that was polled longest ago, where its time has come.
    pub(crate) fn next_poll(
        &mut self,
        now: time::MonotonicTime,
        upstreams: &upstreams::UpstreamTable,
    ) -> Option<gossip::UpstreamInfo> {
        if now < self.next_poll {
            return None;
        }
        self.next_poll = now + self.limits.poll_gap;
        let last_poll = |vm: &&id::VmId| self.polled_at.get(*vm).copied();
        let oldest = self.share.iter().min_by_key(last_poll)?.clone();
        let last = self.polled_at.get(&oldest);
        if last.is_some_and(|last| now.since(*last) < self.limits.poll_interval) {
            return None;
        }
        let upstream = upstreams.get(&oldest)?.clone();
        self.polled_at.insert(oldest, now);
        Some(upstream)
    }
}
