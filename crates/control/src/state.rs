//! The control state of one daemon, owned by one thread and free of I/O.

use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_head::follow;
use samphiremoor_head::relay;
use samphiremoor_lease::row;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state;
use samphiremoor_platform::cloud;
use samphiremoor_platform::table;
use samphiremoor_records::set;
use samphiremoor_view::zone;

use crate::action;
use crate::capacity;
use crate::duty;
use crate::join;
use crate::message;
use crate::own_stop;
use crate::platform_schedule;
use crate::publisher;
use crate::zone_duties;

/// A daemon reports no revision as in force for this long after its start.
const REPORT_QUIET: time::Millis = time::Millis::new(2_000);

/// The control state.
#[derive(Debug)]
pub struct ControlState {
    membership: state::MembershipState,
    follower: follow::HeadFollower,
    records: Option<set::RecordSet>,
    in_force_since: time::MonotonicTime,
    started_at: time::MonotonicTime,
    joining: join::JoinAttempts,
    platform: zone::PlatformState,
    schedule: platform_schedule::PlatformSchedule,
    own_stop: own_stop::OwnStop,
    duties: zone_duties::ZoneDuties,
    publisher: publisher::ViewPublisher,
}

impl ControlState {
    /// A daemon that starts. `seed` orders its calls to peers.
    pub fn new(
        own: gossip::DaemonInfo,
        seeds: Vec<net::SocketAddr>,
        seed: u64,
        now: time::MonotonicTime,
    ) -> Self {
        let limits = state::MembershipLimits::default();
        let incarnation = own.status.incarnation;
        let holder = row::DaemonInstance { daemon: own.id.clone(), incarnation };
        let duties = zone_duties::ZoneDuties::new(own.zone.clone(), holder);
        ControlState {
            membership: state::MembershipState::new(own, limits, seed, now),
            follower: follow::HeadFollower::new(follow::FollowTimings::default()),
            records: None,
            in_force_since: now,
            started_at: now,
            joining: join::JoinAttempts::new(seeds, now),
            platform: zone::PlatformState::Unavailable,
            schedule: platform_schedule::PlatformSchedule::new(now),
            own_stop: own_stop::OwnStop::default(),
            duties,
            publisher: publisher::ViewPublisher::new(incarnation, now),
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
        if now.since(self.started_at) < REPORT_QUIET {
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
        self.duties.key()
    }

    /// The membership.
    pub fn membership(&self) -> &state::MembershipState {
        &self.membership
    }

    /// Daemons that may serve callers, the own one included.
    pub fn known_daemons(&self) -> Vec<gossip::DaemonInfo> {
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
        self.membership.respond(now, message, revision)
    }

    /// A daemon makes itself known; it is asked about from here on, before it is told anything.
    pub fn join(
        &mut self,
        now: time::MonotonicTime,
        asker: gossip::DaemonInfo,
    ) -> Vec<gossip::DaemonInfo> {
        self.register(now, asker);
        self.known_daemons()
    }

    /// The revision in force for a peer, which is known from here on.
    pub fn revision_for(
        &mut self,
        now: time::MonotonicTime,
        asker: gossip::DaemonInfo,
        have: quantity::RevisionNumber,
    ) -> Option<relay::RevisionDelta> {
        self.register(now, asker);
        self.follower.delta_for(have)
    }

    fn register(&mut self, now: time::MonotonicTime, asker: gossip::DaemonInfo) {
        let message = state::GossipMessage {
            sender: asker,
            revision: quantity::RevisionNumber::default(),
            receiver: None,
            updates: Vec::new(),
        };
        self.membership.receive(now, message);
    }

    /// Takes an input and says what to do.
    pub fn step(
        &mut self,
        now: time::MonotonicTime,
        input: action::ControlInput,
    ) -> Vec<action::ControlAction> {
        let mut actions = Vec::new();
        self.take(now, input, &mut actions);
        self.watch_own_stop(now);
        self.publish(now, &mut actions);
        actions
    }

    /// The daemon ends: the messages by which its peers learn of it.
    pub fn end(&mut self, now: time::MonotonicTime) -> Vec<action::ControlAction> {
        let mut actions = Vec::new();
        let calls = self.membership.shut_down(now);
        self.act(calls, &mut actions);
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
            action::ControlInput::ListRead(entries) => self.list_read(now, &entries),
            action::ControlInput::NoticesRead(notices) => self.notices_read(now, &notices),
            action::ControlInput::DrainsRead(marks) => self.drains_read(now, marks),
            action::ControlInput::OffersRead(offers) => self.plan(now, &offers, actions),
            action::ControlInput::DutyRead(row) => {
                self.duties.step_lease(now, duty::DutyInput::Read(row), actions);
            }
            action::ControlInput::DutyWritten(answer) => {
                self.duties.step_lease(now, duty::DutyInput::Written(answer), actions);
            }
            action::ControlInput::StartAnswered(start, answer) => {
                self.duties.start_answered(now, start, &answer, actions);
            }
            action::ControlInput::ReadFailed(read) => self.read_failed(now, read, actions),
            action::ControlInput::GossipAnswered(message) => {
                self.follow(now, follow::FollowInput::Joined, actions);
                self.peer_has(now, &message, actions);
                self.membership.receive(now, *message);
            }
            action::ControlInput::CallFailed(peer) => {
                let probes = self.membership.gossip_failed(now, &peer);
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
                self.membership.probe_completed(now, &target, is_reached);
            }
            action::ControlInput::Polled { vm, answer } => {
                self.membership.poll_completed(now, &vm, answer)
            }
        }
    }

    fn tick(&mut self, now: time::MonotonicTime, actions: &mut Vec<action::ControlAction>) {
        self.try_to_join(now, actions);
        let is_reader = self.membership.is_reader();
        let reads_often = is_reader || self.own_stop.is_leaving();
        let reads = self.schedule.due_reads(now, duty_of(reads_often));
        actions.extend(reads.into_iter().map(action::ControlAction::Read));
        self.follow(now, follow::FollowInput::Tick(duty_of(is_reader)), actions);
        let ticked = self.membership.tick(now);
        self.act(ticked, actions);
        let tick = duty::DutyInput::Tick { is_candidate: is_reader };
        self.duties.step_lease(now, tick, actions);
        // Without records there is nothing to plan for.
        if self.records.is_some() {
            self.duties.tick(now, &self.membership, actions);
        }
    }

    fn plan(
        &mut self,
        now: time::MonotonicTime,
        offers: &[cloud::VmOffer],
        actions: &mut Vec<action::ControlAction>,
    ) {
        let Some(records) = &self.records else { return };
        self.duties.plan(now, records, &self.membership, offers, actions);
    }

    fn try_to_join(&mut self, now: time::MonotonicTime, actions: &mut Vec<action::ControlAction>) {
        if self.follower.is_joined() {
            return;
        }
        let daemons = self.membership.daemons();
        match self.joining.step(now, daemons.all().count()) {
            join::JoinStep::Wait => {}
            join::JoinStep::Ask(seeds) => {
                let own = daemons.local();
                let ask = |seed| action::ControlAction::Join(seed, own.clone());
                actions.extend(seeds.into_iter().map(ask));
            }
            join::JoinStep::GoOn => self.follow(now, follow::FollowInput::Joined, actions),
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
            action::PlatformRead::List => self.joining.list_tried(),
            action::PlatformRead::Duty => {
                self.duties.step_lease(now, duty::DutyInput::ReadFailed, actions);
            }
            action::PlatformRead::Notices(_)
            | action::PlatformRead::Drains
            | action::PlatformRead::Offers => {}
        }
    }

    /// A daemon whose VM leaves reads itself why.
    fn watch_own_stop(&mut self, now: time::MonotonicTime) {
        let is_leaving =
            self.membership.daemons().local().status.state == zone::UpstreamState::Leaving;
        if is_leaving && self.own_stop.note_leaving(now) {
            self.schedule.hurry_notices(now);
        }
    }

    fn list_read(&mut self, now: time::MonotonicTime, entries: &[cloud::VmEntry]) {
        self.joining.list_tried();
        self.schedule.list_read(entries.len());
        self.membership.apply_vm_list(now, entries);
    }

    fn drains_read(&mut self, now: time::MonotonicTime, marks: Vec<capacity::DrainMark>) {
        let vms: Vec<id::VmId> = marks.iter().map(|mark| mark.vm.clone()).collect();
        let is_marked = vms.contains(&self.membership.daemons().local().vm);
        self.own_stop.drains_read(is_marked);
        self.membership.apply_drain_marks(now, &vms);
        self.duties.set_marks(marks);
    }

    fn notices_read(&mut self, now: time::MonotonicTime, notices: &[cloud::ReclaimNotice]) {
        for notice in notices {
            self.schedule.notice_read(notice);
            if notice.vm == self.membership.daemons().local().vm {
                self.own_stop.notice_read();
            }
            self.membership.mark_leaving(now, &notice.vm);
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
                let asker = self.membership.daemons().local().clone();
                let have = self.follower.in_force();
                let question =
                    message::PeerRequest::Revision { requester: asker, known_revision: have };
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
        self.membership.request_urgent_gossip();
    }

    fn act(
        &mut self,
        steps: Vec<state::MembershipAction>,
        actions: &mut Vec<action::ControlAction>,
    ) {
        actions.extend(steps.into_iter().filter_map(|step| self.action_for(step)));
    }

    /// The action for a step of the membership; none where a daemon of it is not known any more.
    fn action_for(&mut self, step: state::MembershipAction) -> Option<action::ControlAction> {
        let daemons = self.membership.daemons();
        let action = match step {
            state::MembershipAction::Gossip(peer) => {
                let news = daemons.get(&peer).cloned()?;
                let message = self.membership.message_for(&peer, self.follower.in_force());
                action::ControlAction::Gossip(news, message)
            }
            state::MembershipAction::IndirectProbe { prober, target } => {
                let through = daemons.get(&prober).cloned()?;
                let target = daemons.get(&target).cloned()?;
                action::ControlAction::Probe { through, target }
            }
            state::MembershipAction::Poll(upstream) => action::ControlAction::Poll(upstream),
            state::MembershipAction::DaemonChanged(news) => {
                action::ControlAction::DaemonChanged(news)
            }
            state::MembershipAction::UpstreamChanged(news) => {
                // New work must stop within seconds, whatever the view's interval.
                if news.status.state >= zone::UpstreamState::Leaving {
                    self.publisher.hurry();
                }
                action::ControlAction::UpstreamChanged(news)
            }
        };
        Some(action)
    }

    fn publish(&mut self, now: time::MonotonicTime, actions: &mut Vec<action::ControlAction>) {
        let Some(records) = &self.records else { return };
        let membership = &self.membership;
        let own_stop = self.own_stop.cause(now);
        let platform = self.platform;
        let source = publisher::ViewSource { records, membership, platform, own_stop };
        let view = self.publisher.publish(now, source);
        actions.extend(view.map(|view| action::ControlAction::Publish(Box::new(view))));
    }
}

fn duty_of(is_reader: bool) -> follow::ReaderRole {
    if is_reader { follow::ReaderRole::Reader } else { follow::ReaderRole::Other }
}
