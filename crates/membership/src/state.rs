//! The whole membership of one daemon as a state machine.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;

pub use crate::action::GossipMessage;
pub use crate::action::MembershipAction;
use crate::daemons;
use crate::dissemination;
use crate::gossip;
use crate::known;
pub use crate::limits::MembershipLimits;
use crate::peers;
use crate::polls;
use crate::probes;
use crate::rendezvous;
use crate::reports;
use crate::upstreams;

/// The membership as one daemon knows it.
#[derive(Debug)]
pub struct MembershipState {
    limits: MembershipLimits,
    daemons: daemons::DaemonTable,
    upstreams: upstreams::UpstreamTable,
    queue: dissemination::NewsQueue,
    next_round: time::MonotonicTime,
    last_round: time::MonotonicTime,
    is_urgent: bool,
    peers: peers::PeerPicker,
    probes: probes::ProbeTable,
    polls: polls::PollSchedule,
    reports: reports::ReportLog,
    has_old_reports: bool,
    drained: collections::BTreeSet<id::VmId>,
    changes: Vec<MembershipAction>,
    change_count: u64,
}

impl MembershipState {
    /// A daemon that knows only itself. `seed` orders its calls.
    pub fn new(
        own: gossip::DaemonInfo,
        limits: MembershipLimits,
        seed: u64,
        now: time::MonotonicTime,
    ) -> Self {
        MembershipState {
            limits,
            daemons: daemons::DaemonTable::new(own, now),
            upstreams: upstreams::UpstreamTable::default(),
            queue: dissemination::NewsQueue::default(),
            next_round: now,
            last_round: now,
            is_urgent: true,
            peers: peers::PeerPicker::new(limits, seed, now),
            probes: probes::ProbeTable::default(),
            polls: polls::PollSchedule::new(limits, now),
            reports: reports::ReportLog::new(limits),
            has_old_reports: false,
            drained: collections::BTreeSet::new(),
            changes: Vec::new(),
            change_count: 0,
        }
    }

    /// The daemons.
    pub fn daemons(&self) -> &daemons::DaemonTable {
        &self.daemons
    }

    /// The upstreams.
    pub fn upstreams(&self) -> &upstreams::UpstreamTable {
        &self.upstreams
    }

    /// Number that rises with every change of what an entry daemon is shown.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Whether this daemon reads the platform often for its availability zone.
    pub fn is_reader(&self) -> bool {
        let own = self.daemons.own();
        let zone_daemons = self.daemons.answering_in(&own.zone);
        rendezvous::has_duty("reader", &own.id, zone_daemons, rendezvous::READER_COUNT)
    }

    /// Calls a round at once, since the revision in force changed.
    pub fn hurry(&mut self) {
        self.is_urgent = true;
    }

    /// The own entry daemon serves.
    pub fn set_live(&mut self, now: time::MonotonicTime) {
        if self.daemons.set_own_state(now, zone::UpstreamState::Live) {
            let own = self.daemons.own().id.clone();
            self.daemon_changed(&own);
        }
    }

    /// Takes the platform's list.
    pub fn list_read(&mut self, now: time::MonotonicTime, entries: &[cloud::VmEntry]) {
        for id in self.daemons.list_read(now, entries) {
            self.daemon_changed(&id);
        }
        for vm in self.upstreams.list_read(now, entries) {
            self.upstream_changed(&vm);
        }
        let drained: Vec<id::VmId> = self.drained.iter().cloned().collect();
        drained.iter().for_each(|vm| self.leave(now, vm));
    }

    /// The platform announced the reclaim of a VM, or an operator marked it as leaving.
    pub fn leave(&mut self, now: time::MonotonicTime, vm: &id::VmId) {
        if self.upstreams.leave(now, vm) {
            self.upstream_changed(vm);
        }
        if let Some(id) = self.daemons.leave(now, vm) {
            self.daemon_changed(&id);
        }
    }

    /// VMs that operators marked as leaving.
    pub fn drains_read(&mut self, now: time::MonotonicTime, vms: &[id::VmId]) {
        self.drained = vms.iter().cloned().collect();
        vms.iter().for_each(|vm| self.leave(now, vm));
    }

    /// Takes a message, and makes the answer to it.
    pub fn answer(
        &mut self,
        now: time::MonotonicTime,
        message: GossipMessage,
        revision: quantity::RevisionNumber,
    ) -> GossipMessage {
        let sender = message.sender.id.clone();
        self.heard(now, message);
        self.message_for(&sender, revision)
    }

    /// Takes a message or the answer to one.
    pub fn heard(&mut self, now: time::MonotonicTime, message: GossipMessage) {
        let sender = message.sender.id.clone();
        self.probes.reached(&sender);
        self.take_daemon(now, message.sender);
        if let Some(own) = message.receiver {
            self.take_daemon(now, own);
        }
        for item in message.updates {
            match item {
                gossip::GossipUpdate::Daemon(heard) => self.take_daemon(now, heard),
                gossip::GossipUpdate::Upstream(heard) => self.take_upstream(now, heard),
                gossip::GossipUpdate::Report(report) => self.take_report(now, report),
            }
        }
    }

    /// The message for a daemon.
    pub fn message_for(
        &mut self,
        receiver: &id::DaemonId,
        revision: quantity::RevisionNumber,
    ) -> GossipMessage {
        let own = self.daemons.own().clone();
        let known = self.daemons.get(receiver);
        let scope = match known {
            Some(news) if news.zone != own.zone => dissemination::NewsScope::AllZones,
            _ => dissemination::NewsScope::OwnZone,
        };
        let receiver = known.filter(|news| !daemons::is_reachable(news)).cloned();
        let known = known::KnownNews { daemons: &self.daemons, upstreams: &self.upstreams };
        let look_up = |subject: &_| known.look_up(subject);
        let next_after = |subject: Option<&_>| known.next_after(subject);
        let news = self.queue.take(self.limits.budget, scope, look_up, next_after);
        GossipMessage { sender: own, revision, receiver, updates: news }
    }

    /// A daemon did not answer: others are asked to try it.
    pub fn call_failed(
        &mut self,
        now: time::MonotonicTime,
        target: &id::DaemonId,
    ) -> Vec<MembershipAction> {
        let is_answering = self.daemons.get(target).is_some_and(daemons::is_reachable);
        if !is_answering || self.probes.has(target) {
            return Vec::new();
        }
        let probers = self.peers.pick_probers(&self.daemons, target);
        if probers.is_empty() {
            self.suspect(now, target);
            return Vec::new();
        }
        self.probes.start(target, probers.len());
        let probe = |through| MembershipAction::ProbeThrough { through, target: target.clone() };
        probers.into_iter().map(probe).collect()
    }

    /// Another daemon tried one that did not answer here.
    pub fn probe_answered(
        &mut self,
        now: time::MonotonicTime,
        target: &id::DaemonId,
        is_reached: bool,
    ) {
        if is_reached {
            self.probes.reached(target);
        } else if self.probes.missed(target) == probes::ProbeResult::Unreached {
            self.suspect(now, target);
        }
    }

    /// An upstream answered a poll, or did not.
    pub fn polled(&mut self, now: time::MonotonicTime, vm: &id::VmId, answer: gossip::PollResult) {
        let own = self.daemons.own();
        let last = self.upstreams.report(vm, &own.id);
        if !self.reports.is_due(now, vm, last, &answer) {
            return;
        }
        let poller = own.id.clone();
        let number = self.reports.note(now, vm, own.status.incarnation);
        self.take_report(now, gossip::PollReport { vm: vm.clone(), poller, number, answer });
    }

    /// Time passed: says which calls to make and what changed.
    pub fn tick(&mut self, now: time::MonotonicTime) -> Vec<MembershipAction> {
        for id in self.daemons.expire(now) {
            self.daemon_changed(&id);
        }
        let mut actions = std::mem::take(&mut self.changes);
        if self.is_round_due(now) {
            actions.extend(self.start_round(now).into_iter().map(MembershipAction::Call));
        }
        if self.polls.is_sharing_due(now) {
            self.divide_polls(now);
        }
        actions.extend(self.polls.next_poll(now, &self.upstreams).map(MembershipAction::Poll));
        actions
    }

    /// The control thread ends: says whom to tell, so that nobody has to find it silent.
    pub fn end(&mut self, now: time::MonotonicTime) -> Vec<MembershipAction> {
        let told = self.peers.pick_told(&self.daemons);
        self.daemons.end_own(now);
        told.into_iter().map(MembershipAction::Call).collect()
    }

    fn is_round_due(&self, now: time::MonotonicTime) -> bool {
        let is_hurried =
            self.is_urgent && now.since(self.last_round) >= self.limits.urgent_interval;
        now >= self.next_round || is_hurried
    }

    /// Picks the daemons that a round calls.
    fn start_round(&mut self, now: time::MonotonicTime) -> Vec<id::DaemonId> {
        self.is_urgent = false;
        self.last_round = now;
        self.next_round = now + self.limits.round_interval;
        let mut picked = self.peers.pick_round(&self.daemons);
        picked.extend(self.peers.pick_gone(now, &self.daemons));
        picked
    }

    /// Divides the polls anew, and forgets what no longer takes part.
    fn divide_polls(&mut self, now: time::MonotonicTime) {
        self.polls.divide(now, &self.daemons, &self.upstreams);
        self.reports.keep_known(&self.upstreams);
        if std::mem::take(&mut self.has_old_reports) {
            self.drop_old_reports();
        }
    }

    fn drop_old_reports(&mut self) {
        let daemons = &self.daemons;
        let is_polling = |poller: &_| daemons.get(poller).is_some_and(daemons::is_reachable);
        self.upstreams.keep_reports_of(is_polling);
    }

    fn suspect(&mut self, now: time::MonotonicTime, target: &id::DaemonId) {
        if self.daemons.suspect(now, target) {
            self.daemon_changed(target);
        }
    }

    fn take_daemon(&mut self, now: time::MonotonicTime, heard: gossip::DaemonInfo) {
        let id = heard.id.clone();
        if self.daemons.merge(now, heard) {
            self.daemon_changed(&id);
        }
    }

    fn take_upstream(&mut self, now: time::MonotonicTime, heard: gossip::UpstreamInfo) {
        let vm = heard.vm.clone();
        if self.upstreams.merge(now, heard) {
            self.upstream_changed(&vm);
        }
    }

    fn take_report(&mut self, now: time::MonotonicTime, report: gossip::PollReport) {
        let vm = report.vm.clone();
        let poller = report.poller.clone();
        // It came late, and would count for as long as it is kept.
        if !self.daemons.get(&poller).is_some_and(daemons::is_reachable) {
            self.has_old_reports = true;
            self.polls.recheck_daemons();
        }
        let before = self.upstreams.get(&vm).map(|upstream| upstream.status);
        let last = self.upstreams.report(&vm, &poller);
        let is_load_only =
            last.is_some_and(|last| reports::differs_in_load_only(&last.answer, &report.answer));
        if !self.upstreams.take_report(now, report) {
            return;
        }
        self.change_count += 1;
        let scope = match is_load_only {
            true => dissemination::NewsScope::OwnZone,
            false => dissemination::NewsScope::AllZones,
        };
        let count = self.daemons.all().count();
        self.queue.push(gossip::UpdateKey::Report(vm.clone(), poller), scope, count);
        if self.upstreams.get(&vm).map(|upstream| upstream.status) != before {
            self.upstream_changed(&vm);
        }
    }

    fn daemon_changed(&mut self, id: &id::DaemonId) {
        let Some(news) = self.daemons.get(id).cloned() else { return };
        self.announce(gossip::UpdateKey::Daemon(id.clone()), news.status.state);
        // Daemons of other zones poll nothing here, but their reports are kept here too.
        self.polls.recheck_daemons();
        self.has_old_reports |= !daemons::is_reachable(&news);
        self.changes.push(MembershipAction::DaemonChanged(news));
    }

    fn upstream_changed(&mut self, vm: &id::VmId) {
        let Some(news) = self.upstreams.get(vm).cloned() else { return };
        self.announce(gossip::UpdateKey::Upstream(vm.clone()), news.status.state);
        if news.zone == self.daemons.own().zone {
            self.polls.outdate();
        }
        self.changes.push(MembershipAction::UpstreamChanged(news));
    }

    /// Tells every daemon of a change, at once where something leaves.
    fn announce(&mut self, subject: gossip::UpdateKey, state: zone::UpstreamState) {
        let count = self.daemons.all().count();
        self.queue.push(subject, dissemination::NewsScope::AllZones, count);
        self.is_urgent |= state >= zone::UpstreamState::Leaving;
        self.change_count += 1;
    }
}
