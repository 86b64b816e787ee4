//! Control state of one daemon: a state machine without I/O that a single thread owns.

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
use crate::local_stop;
use crate::message;
use crate::platform_schedule;
use crate::publisher;
use crate::zone_duties;

/// Time after the start in which a daemon reports no revision as in force.
const REVISION_REPORT_DELAY: time::Millis = time::Millis::new(2_000);

/// State machine of the control thread.
#[derive(Debug)]
pub struct ControlState {
    membership: state::MembershipState,
    follower: follow::HeadFollower,
    /// Records in force.
    records: Option<set::RecordSet>,
    in_force_since: time::MonotonicTime,
    started_at: time::MonotonicTime,
    join_attempts: join::JoinAttempts,
    platform_state: zone::PlatformState,
    platform_schedule: platform_schedule::PlatformSchedule,
    local_stop: local_stop::LocalStop,
    duties: zone_duties::ZoneDuties,
    publisher: publisher::ViewPublisher,
}

impl ControlState {
    /// Creates the state of a daemon that starts. `seed` determines the random order of its calls
    /// to peers.
    pub fn new(
        local: gossip::DaemonInfo,
        seeds: Vec<net::SocketAddr>,
        seed: u64,
        now: time::MonotonicTime,
    ) -> Self {
        let limits = state::MembershipLimits::default();
        let incarnation = local.status.incarnation;
        let holder = row::DaemonInstance { daemon: local.id.clone(), incarnation };
        let duties = zone_duties::ZoneDuties::new(local.zone.clone(), holder);
        ControlState {
            membership: state::MembershipState::new(local, limits, seed, now),
            follower: follow::HeadFollower::new(follow::FollowTimings::default()),
            records: None,
            in_force_since: now,
            started_at: now,
            join_attempts: join::JoinAttempts::new(seeds, now),
            platform_state: zone::PlatformState::Unavailable,
            platform_schedule: platform_schedule::PlatformSchedule::new(now),
            local_stop: local_stop::LocalStop::default(),
            duties,
            publisher: publisher::ViewPublisher::new(incarnation, now),
        }
    }

    /// Returns the revision in force, or 0 if there is none.
    pub fn revision(&self) -> quantity::RevisionNumber {
        self.records.as_ref().map(|records| records.revision).unwrap_or_default()
    }

    /// Returns the revision that this daemon reports as in force, or 0 shortly after its start.
    ///
    /// Gossip about the running daemons needs some time to reach a new daemon. A report before that
    /// could name too few daemons to an operator who checks where a change is in force.
    pub fn reported_revision(&self, now: time::MonotonicTime) -> quantity::RevisionNumber {
        if now.since(self.started_at) < REVISION_REPORT_DELAY {
            return quantity::RevisionNumber::default();
        }
        self.revision()
    }

    /// Returns the time since the revision came into force, or since the start if there is none.
    pub fn revision_age(&self, now: time::MonotonicTime) -> time::Millis {
        now.since(self.in_force_since)
    }

    /// Returns the key of the lease row for the duties of the zone.
    pub fn duty_key(&self) -> &table::RowKey {
        self.duties.lease_key()
    }

    /// Returns the membership.
    pub fn membership(&self) -> &state::MembershipState {
        &self.membership
    }

    /// Returns the daemons that may be serving callers, including the local daemon.
    pub fn known_daemons(&self) -> Vec<gossip::DaemonInfo> {
        let serving = self.membership.daemons().all().filter(|info| daemons::may_serve(info));
        serving.cloned().collect()
    }

    /// Handles a gossip request and returns the response.
    pub fn handle_gossip(
        &mut self,
        now: time::MonotonicTime,
        message: state::GossipMessage,
        actions: &mut Vec<action::ControlAction>,
    ) -> state::GossipMessage {
        self.follow_sender(now, &message, actions);
        let revision = self.follower.in_force();
        self.membership.respond(now, message, revision)
    }

    /// Handles a join request. The new daemon is registered before it receives the response, so
    /// that it is included in later reports.
    pub fn handle_join(
        &mut self,
        now: time::MonotonicTime,
        requester: gossip::DaemonInfo,
    ) -> Vec<gossip::DaemonInfo> {
        self.register(now, requester);
        self.known_daemons()
    }

    /// Handles a request for the revision in force, and registers the requester.
    pub fn handle_revision_request(
        &mut self,
        now: time::MonotonicTime,
        requester: gossip::DaemonInfo,
        known_revision: quantity::RevisionNumber,
    ) -> Option<relay::RevisionDelta> {
        self.register(now, requester);
        self.follower.delta_for(known_revision)
    }

    /// Merges the information of a daemon about itself into the membership.
    fn register(&mut self, now: time::MonotonicTime, requester: gossip::DaemonInfo) {
        let message = state::GossipMessage {
            sender: requester,
            revision: quantity::RevisionNumber::default(),
            receiver: None,
            updates: Vec::new(),
        };
        self.membership.receive(now, message);
    }

    /// Handles an input and returns the actions to perform.
    pub fn step(
        &mut self,
        now: time::MonotonicTime,
        input: action::ControlInput,
    ) -> Vec<action::ControlAction> {
        let mut actions = Vec::new();
        self.handle_input(now, input, &mut actions);
        self.check_local_stop(now);
        self.publish_view(now, &mut actions);
        actions
    }

    /// Shuts down and returns the gossip messages that notify peers of the shutdown.
    pub fn shut_down(&mut self, now: time::MonotonicTime) -> Vec<action::ControlAction> {
        let mut actions = Vec::new();
        let notifications = self.membership.shut_down(now);
        self.push_membership_actions(notifications, &mut actions);
        actions
    }

    fn handle_input(
        &mut self,
        now: time::MonotonicTime,
        input: action::ControlInput,
        actions: &mut Vec<action::ControlAction>,
    ) {
        match input {
            action::ControlInput::Tick => self.tick(now, actions),
            action::ControlInput::HeadRead(head) => {
                self.platform_state = zone::PlatformState::Available;
                self.step_follower(now, follow::FollowInput::HeadRead(head), actions);
            }
            action::ControlInput::RevisionRead(content) => {
                self.step_follower(now, follow::FollowInput::RevisionRead(content), actions);
            }
            action::ControlInput::ListRead(entries) => self.apply_vm_list(now, &entries),
            action::ControlInput::NoticesRead(notices) => self.apply_notices(now, &notices),
            action::ControlInput::DrainMarksRead(marks) => self.apply_drain_marks(now, marks),
            action::ControlInput::OffersRead(offers) => self.plan(now, &offers, actions),
            action::ControlInput::DutyRead(row) => {
                self.duties.step_lease(now, duty::DutyInput::Read(row), actions);
            }
            action::ControlInput::DutyWritten(outcome) => {
                self.duties.step_lease(now, duty::DutyInput::Written(outcome), actions);
            }
            action::ControlInput::StartCompleted(start, response) => {
                self.duties.start_completed(now, start, &response, actions);
            }
            action::ControlInput::ReadFailed(read) => self.handle_read_failure(now, read, actions),
            action::ControlInput::GossipCompleted(message) => {
                self.step_follower(now, follow::FollowInput::Joined, actions);
                self.follow_sender(now, &message, actions);
                self.membership.receive(now, *message);
            }
            action::ControlInput::GossipFailed(peer) => {
                let probes = self.membership.gossip_failed(now, &peer);
                self.push_membership_actions(probes, actions);
            }
            action::ControlInput::Joined(known_daemons) => {
                known_daemons.into_iter().for_each(|info| self.register(now, info));
                self.step_follower(now, follow::FollowInput::Joined, actions);
            }
            action::ControlInput::RevisionReceived(delta) => {
                self.step_follower(now, follow::FollowInput::PeerResponse(delta), actions);
            }
            action::ControlInput::ProbeCompleted { target, is_reached } => {
                self.membership.probe_completed(now, &target, is_reached);
            }
            action::ControlInput::PollCompleted { vm, result } => {
                self.membership.poll_completed(now, &vm, result)
            }
        }
    }

    fn tick(&mut self, now: time::MonotonicTime, actions: &mut Vec<action::ControlAction>) {
        self.try_to_join(now, actions);
        let is_reader = self.membership.is_reader();
        let reads_often = is_reader || self.local_stop.is_leaving();
        let reads = self.platform_schedule.due_reads(now, reader_role(reads_often));
        actions.extend(reads.into_iter().map(action::ControlAction::Read));
        self.step_follower(now, follow::FollowInput::Tick(reader_role(is_reader)), actions);
        let membership_actions = self.membership.tick(now);
        self.push_membership_actions(membership_actions, actions);
        let lease_tick = duty::DutyInput::Tick { is_candidate: is_reader };
        self.duties.step_lease(now, lease_tick, actions);
        // Planning needs records.
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
        match self.join_attempts.step(now, daemons.all().count()) {
            join::JoinStep::Wait => {}
            join::JoinStep::SendRequests(seeds) => {
                let local = daemons.local();
                let build_join = |seed| action::ControlAction::Join(seed, local.clone());
                actions.extend(seeds.into_iter().map(build_join));
            }
            join::JoinStep::Continue => {
                self.step_follower(now, follow::FollowInput::Joined, actions)
            }
        }
    }

    fn handle_read_failure(
        &mut self,
        now: time::MonotonicTime,
        read: action::PlatformRead,
        actions: &mut Vec<action::ControlAction>,
    ) {
        self.platform_state = zone::PlatformState::Unavailable;
        match read {
            action::PlatformRead::Head => {
                self.step_follower(now, follow::FollowInput::HeadFailed, actions)
            }
            action::PlatformRead::Revision(_) => {
                self.step_follower(now, follow::FollowInput::RevisionRead(None), actions);
            }
            action::PlatformRead::List => self.join_attempts.record_list_read(),
            action::PlatformRead::Duty => {
                self.duties.step_lease(now, duty::DutyInput::ReadFailed, actions);
            }
            action::PlatformRead::Notices(_)
            | action::PlatformRead::DrainMarks
            | action::PlatformRead::Offers => {}
        }
    }

    /// Schedules reads of the notices and drain marks when the local VM starts to leave, because
    /// the membership does not contain the cause.
    fn check_local_stop(&mut self, now: time::MonotonicTime) {
        let is_leaving =
            self.membership.daemons().local().status.state == zone::UpstreamState::Leaving;
        if is_leaving && self.local_stop.record_leaving(now) {
            self.platform_schedule.request_notices(now);
        }
    }

    fn apply_vm_list(&mut self, now: time::MonotonicTime, entries: &[cloud::VmEntry]) {
        self.join_attempts.record_list_read();
        self.platform_schedule.record_list(entries.len());
        self.membership.apply_vm_list(now, entries);
    }

    fn apply_drain_marks(&mut self, now: time::MonotonicTime, marks: Vec<capacity::DrainMark>) {
        let vms: Vec<id::VmId> = marks.iter().map(|mark| mark.vm.clone()).collect();
        let is_marked = vms.contains(&self.membership.daemons().local().vm);
        self.local_stop.record_drain_marks(is_marked);
        self.membership.apply_drain_marks(now, &vms);
        self.duties.set_drain_marks(marks);
    }

    fn apply_notices(&mut self, now: time::MonotonicTime, notices: &[cloud::ReclaimNotice]) {
        for notice in notices {
            self.platform_schedule.record_notice(notice);
            if notice.vm == self.membership.daemons().local().vm {
                self.local_stop.record_reclaim();
            }
            self.membership.mark_leaving(now, &notice.vm);
        }
    }

    /// Passes the revision that is in force at the sender of a message to the follower.
    fn follow_sender(
        &mut self,
        now: time::MonotonicTime,
        message: &state::GossipMessage,
        actions: &mut Vec<action::ControlAction>,
    ) {
        let peer = message.sender.id.clone();
        self.step_follower(now, follow::FollowInput::PeerRevision(peer, message.revision), actions);
    }

    /// Passes an input to the follower and performs or adds the action that it returns.
    fn step_follower(
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
            Some(follow::FollowAction::RequestFromPeer(peer)) => {
                let Some(peer) = self.membership.daemons().get(&peer).cloned() else { return };
                let requester = self.membership.daemons().local().clone();
                let known_revision = self.follower.in_force();
                let request = message::PeerRequest::Revision { requester, known_revision };
                actions.push(action::ControlAction::RequestRevision(peer, request));
            }
            Some(follow::FollowAction::PutInForce(content)) => {
                self.put_in_force(now, &content, actions);
            }
        }
    }

    /// Puts the records of a revision in force, or refuses them if they are invalid.
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

    fn push_membership_actions(
        &mut self,
        membership_actions: Vec<state::MembershipAction>,
        actions: &mut Vec<action::ControlAction>,
    ) {
        actions.extend(
            membership_actions.into_iter().filter_map(|action| self.convert_action(action)),
        );
    }

    /// Converts a membership action, or returns `None` if one of its daemons is no longer known.
    fn convert_action(&mut self, action: state::MembershipAction) -> Option<action::ControlAction> {
        let daemons = self.membership.daemons();
        let action = match action {
            state::MembershipAction::Gossip(peer) => {
                let info = daemons.get(&peer).cloned()?;
                let message = self.membership.message_for(&peer, self.follower.in_force());
                action::ControlAction::Gossip(info, message)
            }
            state::MembershipAction::IndirectProbe { prober, target } => {
                let prober = daemons.get(&prober).cloned()?;
                let target = daemons.get(&target).cloned()?;
                action::ControlAction::IndirectProbe { prober, target }
            }
            state::MembershipAction::Poll(upstream) => action::ControlAction::Poll(upstream),
            state::MembershipAction::DaemonChanged(info) => {
                action::ControlAction::DaemonChanged(info)
            }
            state::MembershipAction::UpstreamChanged(info) => {
                // New requests to a leaving upstream must stop within seconds, regardless of the
                // interval between views.
                if info.status.state >= zone::UpstreamState::Leaving {
                    self.publisher.publish_immediately();
                }
                action::ControlAction::UpstreamChanged(info)
            }
        };
        Some(action)
    }

    fn publish_view(&mut self, now: time::MonotonicTime, actions: &mut Vec<action::ControlAction>) {
        let Some(records) = &self.records else { return };
        let membership = &self.membership;
        let local_stop = self.local_stop.cause(now);
        let platform = self.platform_state;
        let source = publisher::ViewSource { records, membership, platform, local_stop };
        let view = self.publisher.build_due_view(now, source);
        actions.extend(view.map(|view| action::ControlAction::Publish(Box::new(view))));
    }
}

fn reader_role(is_reader: bool) -> follow::ReaderRole {
    if is_reader { follow::ReaderRole::Reader } else { follow::ReaderRole::NonReader }
}
