//! State of one upstream, and the poll reports on it.

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;

use crate::gossip;

/// A gone upstream stays in the table for this time. A VM list that still contains it within this
/// time is assumed to be outdated.
pub(crate) const GONE_RETENTION: time::Millis = time::Millis::new(120_000);

/// An upstream with the last poll report of each daemon that polls it.
#[derive(Clone, Debug)]
pub(crate) struct KnownUpstream {
    /// Id of the replica on the VM, parsed once because every view contains it.
    pub(crate) replica: id::ReplicaId,
    pub(crate) info: gossip::UpstreamInfo,
    /// Time of the last state change or merged update.
    pub(crate) changed_at: time::MonotonicTime,
    /// Number of consecutive VM lists that lacked the upstream, or `None` if no list has contained
    /// it.
    pub(crate) missed_lists: Option<u32>,
    /// Last poll report of each poller, in no particular order.
    pub(crate) reports: SmallVec<[ReceivedReport; 2]>,
}

/// A poll report with the time of its receipt.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedReport {
    pub(crate) report: gossip::PollReport,
    pub(crate) received_at: time::MonotonicTime,
}

impl KnownUpstream {
    /// Sets the state to `state` if that is a later one, and returns whether it changed.
    pub(crate) fn advance(&mut self, now: time::MonotonicTime, state: zone::UpstreamState) -> bool {
        if self.info.status.state >= state {
            return false;
        }
        self.info.status.state = state;
        self.changed_at = now;
        true
    }

    /// Applies an entry of a VM list for a gone upstream and returns whether the upstream changed.
    /// If the VM is listed after [`GONE_RETENTION`], the upstream gets a new incarnation.
    pub(crate) fn apply_relisted(
        &mut self,
        now: time::MonotonicTime,
        listed: gossip::UpstreamInfo,
    ) -> bool {
        if now.since(self.changed_at) < GONE_RETENTION {
            return false;
        }
        let incarnation = self.info.status.incarnation.next();
        self.info = listed;
        self.info.status.incarnation = incarnation;
        self.changed_at = now;
        self.missed_lists = Some(0);
        self.reports.clear();
        true
    }

    /// Applies a poll report and returns whether it was newer than the last one of the same poller.
    pub(crate) fn apply_report(
        &mut self,
        now: time::MonotonicTime,
        report: gossip::PollReport,
    ) -> bool {
        let state = implied_state(&report.result);
        let received = ReceivedReport { report, received_at: now };
        let mut reports = self.reports.iter_mut();
        match reports.find(|stored| stored.report.poller == received.report.poller) {
            Some(stored) if stored.report.version >= received.report.version => return false,
            Some(stored) => *stored = received,
            None => self.reports.push(received),
        }
        self.advance(now, state);
        true
    }

    /// Returns whether no poll report shows a running or queued request.
    pub(crate) fn is_idle(&self) -> bool {
        !self.reports.iter().any(|received| is_busy(&received.report.result))
    }

    /// Builds the view for the entry daemon, with the load of the latest ready poll result.
    pub(crate) fn view(&self, now: time::MonotonicTime) -> zone::ReplicaView {
        let ready = self.latest_ready();
        let load = ready.as_ref().map_or_else(unknown_load, |ready| zone::LoadReport {
            age: now.since(ready.received_at),
            ..ready.load.to_report()
        });
        zone::ReplicaView {
            id: self.replica.clone(),
            vm: self.info.vm.clone(),
            zone: self.info.zone.clone(),
            pool: self.info.pool.clone(),
            address: self.info.address,
            state: self.visible_state(ready.is_some()),
            models: ready.map(|ready| ready.models.clone()).unwrap_or_default(),
            price: self.info.price,
            reclaimable: self.info.reclaimable,
            load,
        }
    }

    /// Returns the state for the view. A live upstream that has poll reports but no ready one is
    /// shown as joining, so that it gets no new requests.
    fn visible_state(&self, is_ready: bool) -> zone::UpstreamState {
        let lacks_ready_result = !is_ready && !self.reports.is_empty();
        match self.info.status.state {
            zone::UpstreamState::Live if lacks_ready_result => zone::UpstreamState::Joining,
            state => state,
        }
    }

    /// Returns the ready poll result that was received last.
    fn latest_ready(&self) -> Option<ReadyResult<'_>> {
        let ready = self.reports.iter().filter_map(|received| match &received.report.result {
            gossip::PollResult::Ready { models, load } => {
                Some(ReadyResult { received_at: received.received_at, models, load })
            }
            _ => None,
        });
        ready.max_by_key(|ready| ready.received_at)
    }
}

/// A ready poll result with the time of its receipt.
#[derive(Clone, Copy, Debug)]
struct ReadyResult<'a> {
    received_at: time::MonotonicTime,
    models: &'a SmallVec<[set::LoadedModel; 2]>,
    load: &'a gossip::QuantizedLoad,
}

/// Returns the state that a poll result implies: a ready upstream is live, and a draining one is
/// leaving.
fn implied_state(result: &gossip::PollResult) -> zone::UpstreamState {
    match result {
        gossip::PollResult::Ready { .. } => zone::UpstreamState::Live,
        gossip::PollResult::Draining { .. } => zone::UpstreamState::Leaving,
        gossip::PollResult::NoResponse | gossip::PollResult::NotReady => {
            zone::UpstreamState::Joining
        }
    }
}

/// Returns whether a poll result shows a running or queued request.
fn is_busy(result: &gossip::PollResult) -> bool {
    match result {
        gossip::PollResult::Ready { load, .. } | gossip::PollResult::Draining { load } => {
            load.running > 0 || load.queued > 0
        }
        gossip::PollResult::NoResponse | gossip::PollResult::NotReady => false,
    }
}

/// Returns the load that is shown without a ready poll result. Its age is the maximum.
fn unknown_load() -> zone::LoadReport {
    zone::LoadReport { age: time::Millis::new(u64::MAX), ..zone::LoadReport::default() }
}
