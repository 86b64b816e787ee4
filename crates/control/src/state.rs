//! The control state of one daemon, owned by one thread and free of I/O.

use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_head::follow;
use samphiremoor_head::relay;
use samphiremoor_lease::row;
use samphiremoor_membership::daemons;
use samphiremoor_membership::news;
use samphiremoor_membership::state;
use samphiremoor_platform::cloud;
use samphiremoor_platform::table;
use samphiremoor_records::set;
use samphiremoor_view::zone;

use crate::action;
use crate::capacity;
use crate::duty;
use crate::message;

/// How often the platform is read beside the head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadTimes {
    /// Between two reads of the VM list, the notices and the drains by a reader of the zone.
    pub reader_interval: time::Millis,
    /// Between two reads by every other daemon.
    pub other_interval: time::Millis,
    /// Added for each VM of the last list, so that long lists are read less often.
    pub per_vm: time::Millis,
    /// A daemon that reached no peer by then serves without one.
    pub join_limit: time::Millis,
    /// A daemon reports no revision as in force for this long after its start.
    pub report_quiet: time::Millis,
    /// Least time between two views.
    pub view_interval: time::Millis,
    /// Replicas for which a millisecond is added to that time.
    pub replicas_per_milli: usize,
}

impl Default for ReadTimes {
    fn default() -> Self {
        ReadTimes {
            reader_interval: time::Millis::new(1_000),
            other_interval: time::Millis::new(30_000),
            per_vm: time::Millis::new(20),
            join_limit: time::Millis::new(3_000),
            report_quiet: time::Millis::new(2_000),
            view_interval: time::Millis::new(100),
            replicas_per_milli: 4,
        }
    }
}

/// The control state.
#[derive(Debug)]
pub struct ControlState {
    times: ReadTimes,
    membership: state::MembershipState,
    follower: follow::HeadFollower,
    records: Option<set::RecordSet>,
    in_force_since: time::MonotonicTime,
    seeds: Vec<net::SocketAddr>,
    started_at: time::MonotonicTime,
    next_join: time::MonotonicTime,
    is_list_tried: bool,
    next_list_read: time::MonotonicTime,
    next_notice_read: time::MonotonicTime,
    notice_serial: u64,
    listed: usize,
    platform: zone::PlatformState,
    life: quantity::Incarnation,
    serial: u64,
    duty: duty::DutyLease,
    shown_fence: Option<quantity::FenceNumber>,
    capacity: capacity::CapacityState,
    marks: Vec<capacity::DrainMark>,
    shown_changes: Option<ShownChanges>,
    next_view: time::MonotonicTime,
}

/// What the last view was made of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ShownChanges {
    membership: u64,
    revision: quantity::RevisionNumber,
    platform: zone::PlatformState,
}

/// Between two attempts to join.
const JOIN_INTERVAL: time::Millis = time::Millis::new(500);

/// Longest wait of the first view for the first answers of the upstreams.
const FIRST_VIEW_WAIT: time::Millis = time::Millis::new(2_000);

impl ControlState {
    /// A daemon that starts. `seed` orders its calls to peers.
    pub fn new(
        own: news::DaemonNews,
        seeds: Vec<net::SocketAddr>,
        seed: u64,
        now: time::MonotonicTime,
    ) -> Self {
        let limits = state::MembershipLimits::default();
        let life = own.standing.incarnation;
        let holder = row::DaemonLife { daemon: own.id.clone(), incarnation: life };
        let duty = duty::DutyLease::new(&own.zone, holder, duty::DutyTimes::default());
        ControlState {
            times: ReadTimes::default(),
            membership: state::MembershipState::new(own, limits, seed, now),
            follower: follow::HeadFollower::new(follow::FollowTimes::default()),
            records: None,
            in_force_since: now,
            seeds,
            started_at: now,
            next_join: now,
            is_list_tried: false,
            next_list_read: now,
            next_notice_read: now,
            notice_serial: 0,
            listed: 0,
            platform: zone::PlatformState::Unavailable,
            life,
            serial: 0,
            duty,
            shown_fence: None,
            capacity: capacity::CapacityState::default(),
            marks: Vec::new(),
            shown_changes: None,
            next_view: now,
        }
    }

    /// The revision by which this daemon serves; 0 where there is none.
    pub fn revision(&self) -> quantity::RevisionNumber {
        self.records.as_ref().map(|records| records.revision).unwrap_or_default()
    }

    /// The revision that this daemon may report as in force; 0 for a while after its start.
    ///
    /// Until the news of the daemons that ran at its start had the time to reach it, it could name
    /// too few of them to an operator who asks where a change is in force.
    pub fn reported_revision(&self, now: time::MonotonicTime) -> quantity::RevisionNumber {
        if now.since(self.started_at) < self.times.report_quiet {
            return quantity::RevisionNumber::default();
        }
        self.revision()
    }

    /// Time since the revision came into force.
    pub fn revision_age(&self, now: time::MonotonicTime) -> time::Millis {
        now.since(self.in_force_since)
    }

    /// Key of the lease row of the zone's duties.
    pub fn duty_key(&self) -> &table::RowKey {
        self.duty.key()
    }

    /// The membership.
    pub fn membership(&self) -> &state::MembershipState {
        &self.membership
    }

    /// Daemons that may serve callers, the own one included.
    pub fn known_daemons(&self) -> Vec<news::DaemonNews> {
        let present = self.membership.daemons().all().filter(|news| daemons::may_serve(news));
        present.cloned().collect()
    }

    /// Answers a message with news.
    pub fn gossip(
        &mut self,
        now: time::MonotonicTime,
        message: state::GossipMessage,
        actions: &mut Vec<action::ControlAction>,
    ) -> state::GossipMessage {
        self.peer_has(now, &message, actions);
        let revision = self.follower.in_force();
        self.membership.answer(now, message, revision)
    }

    /// A daemon makes itself known; it is asked about from here on, before it is told anything.
    pub fn join(
        &mut self,
        now: time::MonotonicTime,
        asker: news::DaemonNews,
    ) -> Vec<news::DaemonNews> {
        self.register(now, asker);
        self.known_daemons()
    }

    /// The revision in force for a peer, which is known from here on.
    pub fn revision_for(
        &mut self,
        now: time::MonotonicTime,
        asker: news::DaemonNews,
        have: quantity::RevisionNumber,
    ) -> Option<relay::RevisionDelta> {
        self.register(now, asker);
        self.follower.delta_for(have)
    }

    fn register(&mut self, now: time::MonotonicTime, asker: news::DaemonNews) {
        let message = state::GossipMessage {
            sender: asker,
            revision: quantity::RevisionNumber::default(),
            receiver: None,
            news: Vec::new(),
        };
        self.membership.heard(now, message);
    }

    /// Takes an input and says what to do.
    pub fn step(
        &mut self,
        now: time::MonotonicTime,
        input: action::ControlInput,
    ) -> Vec<action::ControlAction> {
        let mut actions = Vec::new();
        self.take(now, input, &mut actions);
        self.publish(now, &mut actions);
        actions
    }

    fn take(
        &mut self,
        now: time::MonotonicTime,
        input: action::ControlInput,
        actions: &mut Vec<action::ControlAction>,
    ) {
        match input {
            action::ControlInput::Tick => self.tick(now, actions),
            action::ControlInput::HeadRead(head) => {
                self.platform = zone::PlatformState::Available;
                self.follow(now, follow::FollowInput::HeadRead(head), actions);
            }
            action::ControlInput::RevisionRead(content) => {
                self.follow(now, follow::FollowInput::RevisionRead(content), actions);
            }
            action::ControlInput::ListRead(entries) => {
                self.is_list_tried = true;
                self.listed = entries.len();
                self.membership.list_read(now, &entries);
            }
            action::ControlInput::NoticesRead(notices) => self.notices_read(now, &notices),
            action::ControlInput::DrainsRead(marks) => {
                let vms: Vec<id::VmId> = marks.iter().map(|mark| mark.vm.clone()).collect();
                self.membership.drains_read(now, &vms);
                self.marks = marks;
            }
            action::ControlInput::OffersRead(offers) => self.plan(now, &offers, actions),
            action::ControlInput::DutyRead(row) => {
                self.hold(now, duty::DutyInput::Read(row), actions)
            }
            action::ControlInput::DutyWritten(answer) => {
                self.hold(now, duty::DutyInput::Written(answer), actions);
            }
            action::ControlInput::StartAnswered(start, answer) => {
                if let Some(until) = self.capacity.start_answered(now, &start, &answer) {
                    let wait = until.since(now);
                    actions.push(action::ControlAction::StartRefused(start.offer, wait));
                }
            }
            action::ControlInput::ReadFailed(read) => self.read_failed(now, read, actions),
            action::ControlInput::GossipAnswered(message) => {
                self.follow(now, follow::FollowInput::Joined, actions);
                self.peer_has(now, &message, actions);
                self.membership.heard(now, *message);
            }
            action::ControlInput::CallFailed(peer) => {
                let probes = self.membership.call_failed(now, &peer);
                self.act(probes, actions);
            }
            action::ControlInput::Joined(known) => {
                known.into_iter().for_each(|news| self.register(now, news));
                self.follow(now, follow::FollowInput::Joined, actions);
            }
            action::ControlInput::PeerSent(delta) => {
                self.follow(now, follow::FollowInput::PeerSent(delta), actions);
            }
            action::ControlInput::ProbeAnswered { target, is_reached } => {
                self.membership.probe_answered(now, &target, is_reached);
            }
            action::ControlInput::Polled { vm, answer } => self.membership.polled(now, &vm, answer),
        }
    }

    fn tick(&mut self, now: time::MonotonicTime, actions: &mut Vec<action::ControlAction>) {
        self.try_to_join(now, actions);
        let is_reader = self.membership.is_reader();
        self.read_platform(now, is_reader, actions);
        let duty = if is_reader { follow::ReaderDuty::Reader } else { follow::ReaderDuty::Other };
        self.follow(now, follow::FollowInput::Tick(duty), actions);
        let ticked = self.membership.tick(now);
        self.act(ticked, actions);
        self.hold(now, duty::DutyInput::Tick { is_candidate: is_reader }, actions);
        self.look_after_capacity(now, actions);
    }

    fn hold(
        &mut self,
        now: time::MonotonicTime,
        input: duty::DutyInput,
        actions: &mut Vec<action::ControlAction>,
    ) {
        match self.duty.step(now, input) {
            None => {}
            Some(duty::DutyAction::Read) => {
                actions.push(action::ControlAction::Read(action::PlatformRead::Duty))
            }
            Some(duty::DutyAction::Write(write)) => {
                actions.push(action::ControlAction::WriteDuty(write))
            }
        }
        let fence = self.duty.fence(now);
        if fence != self.shown_fence {
            self.shown_fence = fence;
            actions.push(action::ControlAction::DutyChanged(fence));
        }
    }

    /// Starts a plan where one is due, and gives marked VMs back that are idle.
    fn look_after_capacity(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<action::ControlAction>,
    ) {
        let Some(fence) = self.duty.fence(now) else { return };
        if self.records.is_none() || !self.capacity.is_due(now) {
            return;
        }
        actions.push(action::ControlAction::Read(action::PlatformRead::Offers));
        let zone = self.membership.daemons().own().zone.clone();
        let upstreams = self.membership.upstreams();
        let steps = self.capacity.releases(now, &zone, &self.marks, upstreams);
        actions.extend(steps.into_iter().map(|step| action::ControlAction::CarryOut(step, fence)));
    }

    fn plan(
        &mut self,
        now: time::MonotonicTime,
        offers: &[cloud::VmOffer],
        actions: &mut Vec<action::ControlAction>,
    ) {
        let Some(fence) = self.duty.fence(now) else { return };
        let Some(records) = &self.records else { return };
        let input = capacity::CapacityInput {
            zone: &self.membership.daemons().own().zone,
            life: self.life,
            records,
            upstreams: self.membership.upstreams(),
            offers,
        };
        let steps = self.capacity.plan(now, &input);
        actions.extend(steps.into_iter().map(|step| action::ControlAction::CarryOut(step, fence)));
    }

    fn try_to_join(&mut self, now: time::MonotonicTime, actions: &mut Vec<action::ControlAction>) {
        if self.follower.is_joined() {
            return;
        }
        let is_alone = self.is_list_tried
            && self.seeds.is_empty()
            && self.membership.daemons().all().count() == 1;
        if is_alone || now.since(self.started_at) >= self.times.join_limit {
            return self.follow(now, follow::FollowInput::Joined, actions);
        }
        if now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_INTERVAL;
        let own = self.membership.daemons().own();
        let join = |seed: &net::SocketAddr| action::ControlAction::Join(*seed, own.clone());
        actions.extend(self.seeds.iter().map(join));
    }

    fn read_platform(
        &mut self,
        now: time::MonotonicTime,
        is_reader: bool,
        actions: &mut Vec<action::ControlAction>,
    ) {
        let interval =
            if is_reader { self.times.reader_interval } else { self.times.other_interval };
        let list_length = u64::try_from(self.listed).unwrap_or(u64::MAX);
        let list_time = list_length.saturating_mul(self.times.per_vm.get());
        let list_interval = interval.max(time::Millis::new(list_time));
        self.next_list_read = self.next_list_read.min(now + list_interval);
        if now >= self.next_list_read {
            self.next_list_read = now + list_interval;
            actions.push(action::ControlAction::Read(action::PlatformRead::List));
        }
        self.next_notice_read = self.next_notice_read.min(now + interval);
        if now >= self.next_notice_read {
            self.next_notice_read = now + interval;
            actions.push(action::ControlAction::Read(action::PlatformRead::Notices(
                self.notice_serial,
            )));
            actions.push(action::ControlAction::Read(action::PlatformRead::Drains));
        }
    }

    fn read_failed(
        &mut self,
        now: time::MonotonicTime,
        read: action::PlatformRead,
        actions: &mut Vec<action::ControlAction>,
    ) {
        self.platform = zone::PlatformState::Unavailable;
        match read {
            action::PlatformRead::Head => {
                self.follow(now, follow::FollowInput::HeadFailed, actions)
            }
            action::PlatformRead::Revision(_) => {
                self.follow(now, follow::FollowInput::RevisionRead(None), actions);
            }
            action::PlatformRead::List => self.is_list_tried = true,
            action::PlatformRead::Duty => self.hold(now, duty::DutyInput::ReadFailed, actions),
            action::PlatformRead::Notices(_)
            | action::PlatformRead::Drains
            | action::PlatformRead::Offers => {}
        }
    }

    fn notices_read(&mut self, now: time::MonotonicTime, notices: &[cloud::ReclaimNotice]) {
        for notice in notices {
            self.notice_serial = self.notice_serial.max(notice.serial);
            self.membership.leave(now, &notice.vm);
        }
    }

    fn peer_has(
        &mut self,
        now: time::MonotonicTime,
        message: &state::GossipMessage,
        actions: &mut Vec<action::ControlAction>,
    ) {
        let peer = message.sender.id.clone();
        self.follow(now, follow::FollowInput::PeerHas(peer, message.revision), actions);
    }

    fn follow(
        &mut self,
        now: time::MonotonicTime,
        input: follow::FollowInput,
        actions: &mut Vec<action::ControlAction>,
    ) {
        match self.follower.step(now, input) {
            None => {}
            Some(follow::FollowAction::ReadHead) => {
                actions.push(action::ControlAction::Read(action::PlatformRead::Head));
            }
            Some(follow::FollowAction::ReadRevision(revision)) => {
                actions.push(action::ControlAction::Read(action::PlatformRead::Revision(revision)));
            }
            Some(follow::FollowAction::AskPeer(peer)) => {
                let Some(peer) = self.membership.daemons().get(&peer).cloned() else { return };
                let asker = self.membership.daemons().own().clone();
                let have = self.follower.in_force();
                let question = message::PeerQuestion::Revision { asker, have };
                actions.push(action::ControlAction::AskRevision(peer, question));
            }
            Some(follow::FollowAction::PutInForce(content)) => {
                self.put_in_force(now, &content, actions);
            }
        }
    }

    fn put_in_force(
        &mut self,
        now: time::MonotonicTime,
        content: &relay::RevisionContent,
        actions: &mut Vec<action::ControlAction>,
    ) {
        match content.bundle.to_set(content.revision) {
            Ok(records) => {
                self.records = Some(records);
                self.in_force_since = now;
                self.membership.set_live(now);
                actions.push(action::ControlAction::RevisionChanged(content.revision));
            }
            Err(cause) => {
                let cause = cause.to_string();
                actions.push(action::ControlAction::RevisionRefused(content.revision, cause));
            }
        }
        self.membership.hurry();
    }

    fn act(
        &mut self,
        steps: Vec<state::MembershipAction>,
        actions: &mut Vec<action::ControlAction>,
    ) {
        for step in steps {
            match step {
                state::MembershipAction::Call(peer) => {
                    let Some(news) = self.membership.daemons().get(&peer).cloned() else {
                        continue;
                    };
                    let revision = self.follower.in_force();
                    let message = self.membership.message_for(&peer, revision);
                    actions.push(action::ControlAction::Gossip(news, message));
                }
                state::MembershipAction::ProbeThrough { through, target } => {
                    let daemons = self.membership.daemons();
                    let through = daemons.get(&through).cloned();
                    let target = daemons.get(&target).cloned();
                    let Some((through, target)) = through.zip(target) else { continue };
                    actions.push(action::ControlAction::Probe { through, target });
                }
                state::MembershipAction::Poll(upstream) => {
                    actions.push(action::ControlAction::Poll(upstream));
                }
                state::MembershipAction::DaemonChanged(news) => {
                    actions.push(action::ControlAction::DaemonChanged(news));
                }
                state::MembershipAction::UpstreamChanged(news) => {
                    // New work must stop within seconds, whatever the view's interval.
                    if news.standing.state >= zone::UpstreamState::Leaving {
                        self.next_view = time::MonotonicTime::default();
                    }
                    actions.push(action::ControlAction::UpstreamChanged(news));
                }
            }
        }
    }

    /// Whether the first view is put off: an entry daemon takes requests from its first view on,
    /// and would refuse them all while no upstream is known to be live.
    fn waits_for_upstreams(&self, now: time::MonotonicTime) -> bool {
        if self.shown_changes.is_some() || now.since(self.started_at) >= FIRST_VIEW_WAIT {
            return false;
        }
        let replicas = self.membership.upstreams().views(now);
        let is_joining =
            |replica: &zone::ReplicaView| replica.state == zone::UpstreamState::Joining;
        replicas.is_empty() || replicas.iter().any(is_joining)
    }

    /// Makes a view where something changed and the last one is old enough.
    fn publish(&mut self, now: time::MonotonicTime, actions: &mut Vec<action::ControlAction>) {
        let Some(records) = &self.records else { return };
        let changes = ShownChanges {
            membership: self.membership.change_count(),
            revision: records.revision,
            platform: self.platform,
        };
        let is_new_revision =
            self.shown_changes.is_none_or(|shown| shown.revision != changes.revision);
        let is_due = is_new_revision || now >= self.next_view;
        if self.shown_changes == Some(changes) || !is_due || self.waits_for_upstreams(now) {
            return;
        }
        self.shown_changes = Some(changes);
        self.serial += 1;
        let own = self.membership.daemons().own();
        let replicas = self.membership.upstreams().views(now);
        let stretch = u64::try_from(replicas.len() / self.times.replicas_per_milli);
        let stretch = time::Millis::new(stretch.unwrap_or(u64::MAX));
        self.next_view = now + self.times.view_interval.max(stretch);
        actions.push(action::ControlAction::Publish(Box::new(zone::ZoneView {
            zone: own.zone.clone(),
            serial: self.serial,
            incarnation: self.life,
            records: records.clone(),
            replicas,
            daemons: self.membership.daemons().all().filter_map(daemon_view).collect(),
            platform: self.platform,
        })));
    }
}

/// The daemon as an entry daemon sees it; none for one that does not answer.
fn daemon_view(news: &news::DaemonNews) -> Option<zone::DaemonView> {
    if !daemons::is_answering(news) {
        return None;
    }
    Some(zone::DaemonView {
        id: news.entry.clone(),
        vm: news.vm.clone(),
        zone: news.zone.clone(),
        http_address: news.http_address,
        peer_address: news.peer_address,
        state: news.standing.state,
    })
}
