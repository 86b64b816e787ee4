//! The whole membership of one daemon as a state machine.

use std::collections;

use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;
use serde::Deserialize;
use serde::Serialize;

use crate::daemons;
use crate::news;
use crate::share;
use crate::spread;
use crate::upstreams;

/// Bounds of what one daemon sends and polls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembershipLimits {
    /// Between two rounds of messages.
    pub round_interval: time::Millis,
    /// Between a round and one that urgent news set off.
    pub urgent_interval: time::Millis,
    /// Daemons of the own availability zone that a round calls.
    pub zone_fanout: usize,
    /// Daemons of other availability zones that a round calls.
    pub other_fanout: usize,
    /// Between two calls to daemons that are taken for gone.
    pub gone_interval: time::Millis,
    /// Daemons that are asked to try a daemon that did not answer.
    pub indirect_probes: usize,
    /// Bytes of news in one message.
    pub budget: spread::NewsBudget,
    /// Between two polls that a daemon makes.
    pub poll_gap: time::Millis,
    /// Least time between two polls of one upstream by one daemon.
    pub poll_interval: time::Millis,
    /// A report is told again after this time, also where nothing changed.
    pub report_refresh: time::Millis,
    /// Between two reports of one upstream that differ in their load only.
    pub load_interval: time::Millis,
}

impl Default for MembershipLimits {
    fn default() -> Self {
        MembershipLimits {
            round_interval: time::Millis::new(500),
            urgent_interval: time::Millis::new(100),
            zone_fanout: 2,
            other_fanout: 1,
            gone_interval: time::Millis::new(1_000),
            indirect_probes: 2,
            budget: spread::NewsBudget { message_bytes: 400, walk_bytes: 200 },
            poll_gap: time::Millis::new(250),
            poll_interval: time::Millis::new(500),
            report_refresh: time::Millis::new(30_000),
            load_interval: time::Millis::new(1_000),
        }
    }
}

/// Least time between two divisions of the polls.
const SHARING_INTERVAL: time::Millis = time::Millis::new(500);

/// A message between two daemons, as question and as answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GossipMessage {
    /// News on the sender.
    pub sender: news::DaemonNews,
    /// The sender's revision in force.
    pub revision: quantity::RevisionNumber,
    /// What the sender knows of the receiver, where it does not take it for live.
    pub receiver: Option<news::DaemonNews>,
    /// News.
    pub news: Vec<news::NewsItem>,
}

/// A call to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipAction {
    /// Send a message to the daemon.
    Call(id::DaemonId),
    /// Ask `through` whether it reaches `target`.
    ProbeThrough {
        /// The daemon that is asked.
        through: id::DaemonId,
        /// The daemon that did not answer.
        target: id::DaemonId,
    },
    /// Ask the upstream for its state and its load.
    Poll(news::UpstreamNews),
    /// A daemon's standing changed.
    DaemonChanged(news::DaemonNews),
    /// An upstream's state changed.
    UpstreamChanged(news::UpstreamNews),
}

#[derive(Clone, Debug)]
struct ProbeRound {
    left: usize,
}

/// The membership as one daemon knows it.
#[derive(Debug)]
pub struct MembershipState {
    limits: MembershipLimits,
    daemons: daemons::DaemonTable,
    upstreams: upstreams::UpstreamTable,
    queue: spread::NewsQueue,
    random: rand_chacha::ChaCha8Rng,
    next_round: time::MonotonicTime,
    last_round: time::MonotonicTime,
    is_urgent: bool,
    zone_order: Vec<id::DaemonId>,
    other_order: Vec<id::DaemonId>,
    gone_order: Vec<id::DaemonId>,
    next_gone_call: time::MonotonicTime,
    probes: collections::BTreeMap<id::DaemonId, ProbeRound>,
    next_poll: time::MonotonicTime,
    polled_at: collections::BTreeMap<id::VmId, time::MonotonicTime>,
    poll_share: Vec<id::VmId>,
    next_sharing: time::MonotonicTime,
    is_share_old: bool,
    reported_at: collections::BTreeMap<id::VmId, time::MonotonicTime>,
    report_serial: u64,
    drained: collections::BTreeSet<id::VmId>,
    changes: Vec<MembershipAction>,
    change_count: u64,
}

impl MembershipState {
    /// A daemon that knows only itself. `seed` orders its calls.
    pub fn new(
        own: news::DaemonNews,
        limits: MembershipLimits,
        seed: u64,
        now: time::MonotonicTime,
    ) -> Self {
        MembershipState {
            limits,
            daemons: daemons::DaemonTable::new(own, now),
            upstreams: upstreams::UpstreamTable::default(),
            queue: spread::NewsQueue::default(),
            random: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            next_round: now,
            last_round: now,
            is_urgent: true,
            zone_order: Vec::new(),
            other_order: Vec::new(),
            gone_order: Vec::new(),
            next_gone_call: now,
            probes: collections::BTreeMap::new(),
            next_poll: now,
            polled_at: collections::BTreeMap::new(),
            poll_share: Vec::new(),
            next_sharing: now,
            is_share_old: true,
            reported_at: collections::BTreeMap::new(),
            report_serial: 0,
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
        share::has_duty("reader", &own.id, zone_daemons, share::READER_COUNT)
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
        self.probes.remove(&sender);
        self.take_daemon(now, message.sender);
        if let Some(own) = message.receiver {
            self.take_daemon(now, own);
        }
        for item in message.news {
            match item {
                news::NewsItem::Daemon(heard) => self.take_daemon(now, heard),
                news::NewsItem::Upstream(heard) => self.take_upstream(now, heard),
                news::NewsItem::Report(report) => self.take_report(now, report),
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
            Some(news) if news.zone != own.zone => spread::NewsScope::AllZones,
            _ => spread::NewsScope::OwnZone,
        };
        let receiver = known.filter(|news| !daemons::is_answering(news)).cloned();
        let daemons = &self.daemons;
        let upstreams = &self.upstreams;
        let news = self.queue.take(
            self.limits.budget,
            scope,
            |subject| look_up(daemons, upstreams, subject),
            |subject| next_after(daemons, upstreams, subject),
        );
        GossipMessage { sender: own, revision, receiver, news }
    }

    /// A daemon did not answer: others are asked to try it.
    pub fn call_failed(
        &mut self,
        now: time::MonotonicTime,
        target: &id::DaemonId,
    ) -> Vec<MembershipAction> {
        let is_answering = self.daemons.get(target).is_some_and(daemons::is_answering);
        if !is_answering || self.probes.contains_key(target) {
            return Vec::new();
        }
        let own = self.daemons.own().id.clone();
        let zone = self.daemons.own().zone.clone();
        let helpers = self.daemons.answering_in(&zone);
        let mut helpers: Vec<id::DaemonId> =
            helpers.filter(|id| **id != own && *id != target).cloned().collect();
        helpers.shuffle(&mut self.random);
        helpers.truncate(self.limits.indirect_probes);
        if helpers.is_empty() {
            self.suspect(now, target);
            return Vec::new();
        }
        self.probes.insert(target.clone(), ProbeRound { left: helpers.len() });
        let target = target.clone();
        let probe = |through| MembershipAction::ProbeThrough { through, target: target.clone() };
        helpers.into_iter().map(probe).collect()
    }

    /// Another daemon tried one that did not answer here.
    pub fn probe_answered(
        &mut self,
        now: time::MonotonicTime,
        target: &id::DaemonId,
        is_reached: bool,
    ) {
        if is_reached {
            self.probes.remove(target);
            return;
        }
        let Some(round) = self.probes.get_mut(target) else { return };
        round.left -= 1;
        if round.left == 0 {
            self.probes.remove(target);
            self.suspect(now, target);
        }
    }

    /// An upstream answered a poll, or did not.
    pub fn polled(&mut self, now: time::MonotonicTime, vm: &id::VmId, answer: news::ReplicaAnswer) {
        let own = self.daemons.own().clone();
        let last = self.upstreams.report(vm, &own.id);
        let sent = self.reported_at.get(vm).copied();
        let is_due = |length| sent.is_none_or(|at| now.since(at) >= length);
        let is_load_only = last.is_some_and(|last| is_same_but_load(&last.answer, &answer));
        let is_news = match last {
            Some(last) if last.answer == answer => is_due(self.limits.report_refresh),
            Some(_) if is_load_only => is_due(self.limits.load_interval),
            _ => true,
        };
        if !is_news {
            return;
        }
        self.report_serial += 1;
        let incarnation = own.standing.incarnation;
        let number = news::ReportNumber { incarnation, serial: self.report_serial };
        self.reported_at.insert(vm.clone(), now);
        self.take_report(
            now,
            news::ReplicaReport { vm: vm.clone(), poller: own.id, number, answer },
        );
    }

    /// Time passed: says which calls to make and what changed.
    pub fn tick(&mut self, now: time::MonotonicTime) -> Vec<MembershipAction> {
        for id in self.daemons.expire(now) {
            self.daemon_changed(&id);
        }
        let mut actions = std::mem::take(&mut self.changes);
        let is_hurried =
            self.is_urgent && now.since(self.last_round) >= self.limits.urgent_interval;
        if now >= self.next_round || is_hurried {
            self.is_urgent = false;
            self.last_round = now;
            self.next_round = now + self.limits.round_interval;
            actions.extend(self.pick_peers().into_iter().map(MembershipAction::Call));
            actions.extend(self.next_of_gone(now).map(MembershipAction::Call));
        }
        actions.extend(self.next_poll(now).map(MembershipAction::Poll));
        actions
    }

    /// Walks over shuffled lists, so that every peer is called within one pass of them.
    fn pick_peers(&mut self) -> Vec<id::DaemonId> {
        let mut picked = Vec::new();
        for _ in 0..self.limits.zone_fanout {
            picked.extend(self.next_of_zone());
        }
        for _ in 0..self.limits.other_fanout {
            picked.extend(self.next_of_others());
        }
        picked.sort();
        picked.dedup();
        picked
    }

    fn next_of_zone(&mut self) -> Option<id::DaemonId> {
        if self.zone_order.is_empty() {
            let zone = self.daemons.own().zone.clone();
            self.zone_order = self.shuffled(|news| !daemons::is_gone(news) && news.zone == zone);
        }
        self.zone_order.pop()
    }

    fn next_of_others(&mut self) -> Option<id::DaemonId> {
        if self.other_order.is_empty() {
            let zone = self.daemons.own().zone.clone();
            self.other_order = self.shuffled(|news| !daemons::is_gone(news) && news.zone != zone);
        }
        self.other_order.pop()
    }

    /// Daemons that are gone are called at times: after a cut in which each side took the other
    /// for gone, nobody else would end it.
    fn next_of_gone(&mut self, now: time::MonotonicTime) -> Option<id::DaemonId> {
        if now < self.next_gone_call {
            return None;
        }
        self.next_gone_call = now + self.limits.gone_interval;
        if self.gone_order.is_empty() {
            self.gone_order = self.shuffled(daemons::is_gone);
        }
        self.gone_order.pop()
    }

    /// Suspected daemons are called too: that is how they learn of it.
    fn shuffled(&mut self, is_wanted: impl Fn(&news::DaemonNews) -> bool) -> Vec<id::DaemonId> {
        let own = self.daemons.own().id.clone();
        let wanted = self.daemons.all().filter(|news| news.id != own && is_wanted(news));
        let mut ids: Vec<id::DaemonId> = wanted.map(|news| news.id.clone()).collect();
        ids.shuffle(&mut self.random);
        ids
    }

    /// The upstream of the own share that was polled longest ago, where its time has come.
    fn next_poll(&mut self, now: time::MonotonicTime) -> Option<news::UpstreamNews> {
        self.divide_polls(now);
        if now < self.next_poll {
            return None;
        }
        self.next_poll = now + self.limits.poll_gap;
        let last_poll = |vm: &&id::VmId| self.polled_at.get(*vm).copied();
        let oldest = self.poll_share.iter().min_by_key(last_poll)?.clone();
        let last = self.polled_at.get(&oldest);
        if last.is_some_and(|last| now.since(*last) < self.limits.poll_interval) {
            return None;
        }
        let upstream = self.upstreams.get(&oldest)?.clone();
        self.polled_at.insert(oldest, now);
        Some(upstream)
    }

    /// Divides the polls anew where daemons or upstreams changed, and not too often.
    fn divide_polls(&mut self, now: time::MonotonicTime) {
        if !self.is_share_old || now < self.next_sharing {
            return;
        }
        self.is_share_old = false;
        self.next_sharing = now + SHARING_INTERVAL;
        let own = self.daemons.own();
        let zone_daemons: Vec<&id::DaemonId> = self.daemons.answering_in(&own.zone).collect();
        let is_mine = |upstream: &&news::UpstreamNews| {
            let others = zone_daemons.iter().copied();
            upstream.zone == own.zone
                && upstream.standing.state != zone::UpstreamState::Gone
                && share::has_duty(upstream.vm.as_str(), &own.id, others, share::POLLER_COUNT)
        };
        let mine = self.upstreams.all().filter(is_mine);
        self.poll_share = mine.map(|upstream| upstream.vm.clone()).collect();
        let daemons = &self.daemons;
        let is_polling = |poller: &_| daemons.get(poller).is_some_and(daemons::is_answering);
        self.upstreams.keep_reports_of(is_polling);
        let upstreams = &self.upstreams;
        self.polled_at.retain(|vm, _| upstreams.get(vm).is_some());
        self.reported_at.retain(|vm, _| upstreams.get(vm).is_some());
    }

    fn suspect(&mut self, now: time::MonotonicTime, target: &id::DaemonId) {
        if self.daemons.suspect(now, target) {
            self.daemon_changed(target);
        }
    }

    fn take_daemon(&mut self, now: time::MonotonicTime, heard: news::DaemonNews) {
        let id = heard.id.clone();
        if self.daemons.merge(now, heard) {
            self.daemon_changed(&id);
        }
    }

    fn take_upstream(&mut self, now: time::MonotonicTime, heard: news::UpstreamNews) {
        let vm = heard.vm.clone();
        if self.upstreams.merge(now, heard) {
            self.upstream_changed(&vm);
        }
    }

    fn take_report(&mut self, now: time::MonotonicTime, report: news::ReplicaReport) {
        let vm = report.vm.clone();
        let poller = report.poller.clone();
        let before = self.upstreams.get(&vm).map(|upstream| upstream.standing);
        let last = self.upstreams.report(&vm, &poller);
        let is_load_only = last.is_some_and(|last| is_same_but_load(&last.answer, &report.answer));
        if !self.upstreams.take_report(now, report) {
            return;
        }
        self.change_count += 1;
        let scope = match is_load_only {
            true => spread::NewsScope::OwnZone,
            false => spread::NewsScope::AllZones,
        };
        let count = self.daemons.all().count();
        self.queue.push(news::NewsSubject::Report(vm.clone(), poller), scope, count);
        if self.upstreams.get(&vm).map(|upstream| upstream.standing) != before {
            self.upstream_changed(&vm);
        }
    }

    fn daemon_changed(&mut self, id: &id::DaemonId) {
        let Some(news) = self.daemons.get(id).cloned() else { return };
        let count = self.daemons.all().count();
        let subject = news::NewsSubject::Daemon(id.clone());
        self.queue.push(subject, spread::NewsScope::AllZones, count);
        self.is_urgent |= news.standing.state >= zone::UpstreamState::Leaving;
        self.is_share_old = true;
        self.change_count += 1;
        self.changes.push(MembershipAction::DaemonChanged(news));
    }

    fn upstream_changed(&mut self, vm: &id::VmId) {
        let Some(news) = self.upstreams.get(vm).cloned() else { return };
        let count = self.daemons.all().count();
        let subject = news::NewsSubject::Upstream(vm.clone());
        self.queue.push(subject, spread::NewsScope::AllZones, count);
        self.is_urgent |= news.standing.state >= zone::UpstreamState::Leaving;
        self.is_share_old = true;
        self.change_count += 1;
        self.changes.push(MembershipAction::UpstreamChanged(news));
    }
}

fn is_same_but_load(first: &news::ReplicaAnswer, second: &news::ReplicaAnswer) -> bool {
    match (first, second) {
        (
            news::ReplicaAnswer::Ready { models: first, .. },
            news::ReplicaAnswer::Ready { models: second, .. },
        ) => first == second,
        (news::ReplicaAnswer::Draining { .. }, news::ReplicaAnswer::Draining { .. }) => true,
        _ => first == second,
    }
}

fn look_up(
    daemons: &daemons::DaemonTable,
    upstreams: &upstreams::UpstreamTable,
    subject: &news::NewsSubject,
) -> Option<news::NewsItem> {
    match subject {
        news::NewsSubject::Daemon(id) => daemons.get(id).cloned().map(news::NewsItem::Daemon),
        news::NewsSubject::Upstream(vm) => upstreams.get(vm).cloned().map(news::NewsItem::Upstream),
        news::NewsSubject::Report(vm, poller) => {
            upstreams.report(vm, poller).cloned().map(news::NewsItem::Report)
        }
    }
}

/// Daemons first, then each upstream with the reports on it.
fn next_after(
    daemons: &daemons::DaemonTable,
    upstreams: &upstreams::UpstreamTable,
    subject: Option<&news::NewsSubject>,
) -> Option<news::NewsSubject> {
    let first_upstream = || upstreams.next_after(None).cloned().map(news::NewsSubject::Upstream);
    let next_daemon = |id| daemons.next_after(id).cloned().map(news::NewsSubject::Daemon);
    let next_report = |vm: &id::VmId, after: Option<&id::DaemonId>| {
        let pollers = upstreams.pollers(vm);
        let next = pollers.into_iter().find(|poller| after.is_none_or(|after| *poller > after));
        match next {
            Some(poller) => Some(news::NewsSubject::Report(vm.clone(), poller.clone())),
            None => upstreams.next_after(Some(vm)).cloned().map(news::NewsSubject::Upstream),
        }
    };
    match subject {
        None => next_daemon(None).or_else(first_upstream),
        Some(news::NewsSubject::Daemon(id)) => next_daemon(Some(id)).or_else(first_upstream),
        Some(news::NewsSubject::Upstream(vm)) => next_report(vm, None),
        Some(news::NewsSubject::Report(vm, poller)) => next_report(vm, Some(poller)),
    }
}
