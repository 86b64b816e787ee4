//! What is known of one upstream, and the reports on it.

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;

use crate::gossip;

/// An upstream that is gone is remembered for this long; a list that still has it is taken to lag.
pub(crate) const GONE_RETENTION: time::Millis = time::Millis::new(120_000);

/// An upstream and the last report of each daemon that polls it.
#[derive(Clone, Debug)]
pub(crate) struct KnownUpstream {
    /// The replica on the VM; made once, as each view names it.
    pub(crate) replica: id::ReplicaId,
    pub(crate) news: gossip::UpstreamInfo,
    /// When it came into its state, or when the last news on it were taken.
    pub(crate) since: time::MonotonicTime,
    /// Lists in a row that lacked it; none where no list had it yet.
    pub(crate) absent_lists: Option<u32>,
    pub(crate) reports: SmallVec<[KnownReport; 2]>,
}

/// A report and when it was heard.
#[derive(Clone, Debug)]
pub(crate) struct KnownReport {
    pub(crate) report: gossip::PollReport,
    pub(crate) heard_at: time::MonotonicTime,
}

impl KnownUpstream {
    /// Moves the state forward; true where it moved.
    pub(crate) fn advance(&mut self, now: time::MonotonicTime, state: zone::UpstreamState) -> bool {
        if self.news.status.state >= state {
            return false;
        }
        self.news.status.state = state;
        self.since = now;
        true
    }

    /// A VM that is listed long after it was gone has come back in a new life.
    pub(crate) fn take_returned(
        &mut self,
        now: time::MonotonicTime,
        heard: gossip::UpstreamInfo,
    ) -> bool {
        if now.since(self.since) < GONE_RETENTION {
            return false;
        }
        let incarnation = self.news.status.incarnation.next();
        self.news = heard;
        self.news.status.incarnation = incarnation;
        self.since = now;
        self.absent_lists = Some(0);
        self.reports.clear();
        true
    }

    /// Takes a report; true where it is newer than the last one of its daemon.
    pub(crate) fn take_report(
        &mut self,
        now: time::MonotonicTime,
        report: gossip::PollReport,
    ) -> bool {
        let state = state_after(&report.answer);
        let entry = KnownReport { report, heard_at: now };
        let mut reports = self.reports.iter_mut();
        match reports.find(|known| known.report.poller == entry.report.poller) {
            Some(last) if last.report.number >= entry.report.number => return false,
            Some(last) => *last = entry,
            None => self.reports.push(entry),
        }
        self.advance(now, state);
        true
    }

    /// Whether no report says that it has a request.
    pub(crate) fn is_idle(&self) -> bool {
        !self.reports.iter().any(|known| is_busy(&known.report.answer))
    }

    /// The upstream as the entry daemon sees it, with the load of the latest ready answer.
    pub(crate) fn view(&self, now: time::MonotonicTime) -> zone::ReplicaView {
        let ready = self.latest_ready();
        let load = ready.as_ref().map_or_else(unknown_load, |ready| zone::LoadReport {
            age: now.since(ready.heard_at),
            ..ready.load.to_load()
        });
        zone::ReplicaView {
            id: self.replica.clone(),
            vm: self.news.vm.clone(),
            zone: self.news.zone.clone(),
            pool: self.news.pool.clone(),
            address: self.news.address,
            state: self.shown_state(ready.is_some()),
            models: ready.map(|ready| ready.models.clone()).unwrap_or_default(),
            price: self.news.price,
            reclaimable: self.news.reclaimable,
            load,
        }
    }

    /// The state; who was live and answers no poller is not offered for new work.
    fn shown_state(&self, is_ready: bool) -> zone::UpstreamState {
        let is_unready = !is_ready && !self.reports.is_empty();
        match self.news.status.state {
            zone::UpstreamState::Live if is_unready => zone::UpstreamState::Joining,
            state => state,
        }
    }

    fn latest_ready(&self) -> Option<ReadyAnswer<'_>> {
        let ready = self.reports.iter().filter_map(|known| match &known.report.answer {
            gossip::PollResult::Ready { models, load } => {
                Some(ReadyAnswer { heard_at: known.heard_at, models, load })
            }
            _ => None,
        });
        ready.max_by_key(|ready| ready.heard_at)
    }
}

/// An answer of an upstream that is ready.
#[derive(Clone, Copy, Debug)]
struct ReadyAnswer<'a> {
    heard_at: time::MonotonicTime,
    models: &'a SmallVec<[set::LoadedModel; 2]>,
    load: &'a gossip::LoadLevel,
}

/// The state that an answer speaks for: a ready one makes a joining upstream live, and one that
/// drains makes it leaving.
fn state_after(answer: &gossip::PollResult) -> zone::UpstreamState {
    match answer {
        gossip::PollResult::Ready { .. } => zone::UpstreamState::Live,
        gossip::PollResult::Draining { .. } => zone::UpstreamState::Leaving,
        gossip::PollResult::Silent | gossip::PollResult::NotReady => zone::UpstreamState::Joining,
    }
}

fn is_busy(answer: &gossip::PollResult) -> bool {
    match answer {
        gossip::PollResult::Ready { load, .. } | gossip::PollResult::Draining { load } => {
            load.running > 0 || load.queued > 0
        }
        gossip::PollResult::Silent | gossip::PollResult::NotReady => false,
    }
}

fn unknown_load() -> zone::LoadReport {
    zone::LoadReport { age: time::Millis::new(u64::MAX), ..zone::LoadReport::default() }
}
