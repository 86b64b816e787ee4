//! State machine of the membership, as one daemon sees it.

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
pub use crate::limits::MembershipLimits;
use crate::peers;
use crate::polls;
use crate::probes;
use crate::rendezvous;
use crate::reports;
use crate::update_source;
use crate::upstreams;

/// Membership as seen by one daemon.
#[derive(Debug)]
pub struct MembershipState {
    limits: MembershipLimits,
    daemons: daemons::DaemonTable,
    upstreams: upstreams::UpstreamTable,
    updates: dissemination::UpdateQueue,
    next_gossip_at: time::MonotonicTime,
    last_gossip_at: time::MonotonicTime,
    is_gossip_urgent: bool,
    peer_selector: peers::PeerSelector,
    probes: probes::ProbeTable,
    poll_schedule: polls::PollSchedule,
    report_schedule: reports::ReportSchedule,
    /// Whether reports of unreachable pollers may be stored.
    has_stale_reports: bool,
    /// VMs that operators have marked for draining.
    drained_vms: collections::BTreeSet<id::VmId>,
    /// Changes that the next tick returns for the log.
    pending_changes: Vec<MembershipAction>,
    change_count: u64,
}

impl MembershipState {
    /// Creates the state of a daemon that knows only itself. `seed` determines the random order of
    /// its calls.
    pub fn new(
        local: gossip::DaemonInfo,
        limits: MembershipLimits,
        seed: u64,
        now: time::MonotonicTime,
    ) -> Self {
        MembershipState {
            limits,
            daemons: daemons::DaemonTable::new(local, now),
            upstreams: upstreams::UpstreamTable::default(),
            updates: dissemination::UpdateQueue::default(),
            next_gossip_at: now,
            last_gossip_at: now,
            is_gossip_urgent: true,
            peer_selector: peers::PeerSelector::new(limits, seed, now),
            probes: probes::ProbeTable::default(),
            poll_schedule: polls::PollSchedule::new(limits, now),
            report_schedule: reports::ReportSchedule::new(limits),
            has_stale_reports: false,
            drained_vms: collections::BTreeSet::new(),
            pending_changes: Vec::new(),
            change_count: 0,
        }
    }

    /// Returns the table of daemons.
    pub fn daemons(&self) -> &daemons::DaemonTable {
        &self.daemons
    }

    /// Returns the table of upstreams.
    pub fn upstreams(&self) -> &upstreams::UpstreamTable {
        &self.upstreams
    }

    /// Returns a counter that rises with every change of a daemon or upstream and with every newer
    /// poll report.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns whether this daemon reads the platform at the short interval for its availability
    /// zone.
    pub fn is_reader(&self) -> bool {
        let local = self.daemons.local();
        let zone_daemons = self.daemons.reachable_in(&local.zone);
        rendezvous::is_assigned("reader", &local.id, zone_daemons, rendezvous::READERS_PER_ZONE)
    }

    /// Requests an urgent gossip round. Called when the revision in force has changed.
    pub fn request_urgent_gossip(&mut self) {
        self.is_gossip_urgent = true;
    }

    /// Marks the local daemon as live once its entry daemon serves requests.
    pub fn set_live(&mut self, now: time::MonotonicTime) {
        if self.daemons.advance_local_state(now, zone::UpstreamState::Live) {
            let local = self.daemons.local().id.clone();
            self.daemon_changed(&local);
        }
    }

    /// Applies the platform's VM list.
    pub fn apply_vm_list(&mut self, now: time::MonotonicTime, entries: &[cloud::VmEntry]) {
        for id in self.daemons.apply_vm_list(now, entries) {
            self.daemon_changed(&id);
        }
        for vm in self.upstreams.apply_vm_list(now, entries) {
            self.upstream_changed(&vm);
        }
        let drained: Vec<id::VmId> = self.drained_vms.iter().cloned().collect();
        drained.iter().for_each(|vm| self.mark_leaving(now, vm));
    }

    /// Marks a VM as leaving because the platform announced its reclaim or an operator drains it.
    pub fn mark_leaving(&mut self, now: time::MonotonicTime, vm: &id::VmId) {
        if self.upstreams.mark_leaving(now, vm) {
            self.upstream_changed(vm);
        }
        if let Some(id) = self.daemons.mark_leaving(now, vm) {
            self.daemon_changed(&id);
        }
    }

    /// Applies the drain marks of operators on VMs.
    pub fn apply_drain_marks(&mut self, now: time::MonotonicTime, vms: &[id::VmId]) {
        self.drained_vms = vms.iter().cloned().collect();
        vms.iter().for_each(|vm| self.mark_leaving(now, vm));
    }

    /// Merges a request and returns the response to it.
    pub fn respond(
        &mut self,
        now: time::MonotonicTime,
        message: GossipMessage,
        revision: quantity::RevisionNumber,
    ) -> GossipMessage {
        let sender = message.sender.id.clone();
        self.receive(now, message);
        self.message_for(&sender, revision)
    }

    /// Merges a received request or response.
    pub fn receive(&mut self, now: time::MonotonicTime, message: GossipMessage) {
        let sender = message.sender.id.clone();
        self.probes.record_reached(&sender);
        self.merge_daemon(now, message.sender);
        if let Some(local_info) = message.receiver {
            self.merge_daemon(now, local_info);
        }
        for update in message.updates {
            match update {
                gossip::GossipUpdate::Daemon(received) => self.merge_daemon(now, received),
                gossip::GossipUpdate::Upstream(received) => self.merge_upstream(now, received),
                gossip::GossipUpdate::Report(report) => self.apply_report(now, report),
            }
        }
    }

    /// Builds the gossip message for a daemon, and counts a transmission of each fresh update in it.
    pub fn message_for(
        &mut self,
        receiver: &id::DaemonId,
        revision: quantity::RevisionNumber,
    ) -> GossipMessage {
        let local = self.daemons.local().clone();
        let receiver_info = self.daemons.get(receiver);
        let scope = match receiver_info {
            Some(info) if info.zone != local.zone => dissemination::UpdateScope::AllZones,
            _ => dissemination::UpdateScope::LocalZone,
        };
        let receiver = receiver_info.filter(|info| !daemons::is_reachable(info)).cloned();
        let source =
            update_source::UpdateSource { daemons: &self.daemons, upstreams: &self.upstreams };
        let get_update = |key: &_| source.get_update(key);
        let next_key_after = |key: Option<&_>| source.next_key_after(key);
        let updates =
            self.updates.take(self.limits.update_budget, scope, get_update, next_key_after);
        GossipMessage { sender: local, revision, receiver, updates }
    }

    /// Handles a gossip request that got no response from `target`, and returns the indirect probes to send.
    pub fn gossip_failed(
        &mut self,
        now: time::MonotonicTime,
        target: &id::DaemonId,
    ) -> Vec<MembershipAction> {
        let is_reachable = self.daemons.get(target).is_some_and(daemons::is_reachable);
        if !is_reachable || self.probes.contains(target) {
            return Vec::new();
        }
        let probers = self.peer_selector.select_probers(&self.daemons, target);
        if probers.is_empty() {
            self.suspect(now, target);
            return Vec::new();
        }
        self.probes.start(target, probers.len());
        let build_probe =
            |prober| MembershipAction::IndirectProbe { prober, target: target.clone() };
        probers.into_iter().map(build_probe).collect()
    }

    /// Handles the result of an indirect probe.
    pub fn probe_completed(
        &mut self,
        now: time::MonotonicTime,
        target: &id::DaemonId,
        is_reached: bool,
    ) {
        if is_reached {
            self.probes.record_reached(target);
        } else if self.probes.record_missed(target) == probes::ProbeResult::Unreachable {
            self.suspect(now, target);
        }
    }

    /// Handles the result of polling an upstream.
    pub fn poll_completed(
        &mut self,
        now: time::MonotonicTime,
        vm: &id::VmId,
        result: gossip::PollResult,
    ) {
        let local = self.daemons.local();
        let last_report = self.upstreams.report(vm, &local.id);
        if !self.report_schedule.is_report_due(now, vm, last_report, &result) {
            return;
        }
        let poller = local.id.clone();
        let version = self.report_schedule.record(now, vm, local.status.incarnation);
        self.apply_report(now, gossip::PollReport { vm: vm.clone(), poller, version, result });
    }

    /// Handles the passage of time, and returns the calls to make and the changes to log.
    pub fn tick(&mut self, now: time::MonotonicTime) -> Vec<MembershipAction> {
        for id in self.daemons.expire(now) {
            self.daemon_changed(&id);
        }
        let mut actions = std::mem::take(&mut self.pending_changes);
        if self.is_gossip_due(now) {
            actions.extend(self.start_gossip_round(now).into_iter().map(MembershipAction::Gossip));
        }
        if self.poll_schedule.is_assignment_due(now) {
            self.reassign_polls(now);
        }
        actions
            .extend(self.poll_schedule.next_poll(now, &self.upstreams).map(MembershipAction::Poll));
        actions
    }

    /// Marks the local daemon as unreachable on shutdown, and returns the calls that notify peers
    /// so that they need not detect it by a timeout.
    pub fn shut_down(&mut self, now: time::MonotonicTime) -> Vec<MembershipAction> {
        let recipients = self.peer_selector.select_shutdown_recipients(&self.daemons);
        self.daemons.mark_local_unreachable(now);
        recipients.into_iter().map(MembershipAction::Gossip).collect()
    }

    fn is_gossip_due(&self, now: time::MonotonicTime) -> bool {
        let is_urgent_due = self.is_gossip_urgent
            && now.since(self.last_gossip_at) >= self.limits.urgent_gossip_interval;
        now >= self.next_gossip_at || is_urgent_due
    }

    /// Starts a gossip round and selects the daemons that it calls.
    fn start_gossip_round(&mut self, now: time::MonotonicTime) -> Vec<id::DaemonId> {
        self.is_gossip_urgent = false;
        self.last_gossip_at = now;
        self.next_gossip_at = now + self.limits.gossip_interval;
        let mut selected = self.peer_selector.select_round_peers(&self.daemons);
        selected.extend(self.peer_selector.select_gone_daemon(now, &self.daemons));
        selected
    }

    /// Reassigns the polls, and drops the report times of removed upstreams and the reports of
    /// unreachable pollers.
    fn reassign_polls(&mut self, now: time::MonotonicTime) {
        self.poll_schedule.reassign(now, &self.daemons, &self.upstreams);
        self.report_schedule.retain_upstreams(&self.upstreams);
        if std::mem::take(&mut self.has_stale_reports) {
            self.drop_stale_reports();
        }
    }

    fn drop_stale_reports(&mut self) {
        let daemons = &self.daemons;
        let is_poller_reachable =
            |poller: &_| daemons.get(poller).is_some_and(daemons::is_reachable);
        self.upstreams.retain_reports(is_poller_reachable);
    }

    /// Suspects a daemon that neither this daemon nor the probers reached.
    fn suspect(&mut self, now: time::MonotonicTime, target: &id::DaemonId) {
        if self.daemons.suspect(now, target) {
            self.daemon_changed(target);
        }
    }

    fn merge_daemon(&mut self, now: time::MonotonicTime, received: gossip::DaemonInfo) {
        let id = received.id.clone();
        if self.daemons.merge(now, received) {
            self.daemon_changed(&id);
        }
    }

    fn merge_upstream(&mut self, now: time::MonotonicTime, received: gossip::UpstreamInfo) {
        let vm = received.vm.clone();
        if self.upstreams.merge(now, received) {
            self.upstream_changed(&vm);
        }
    }

    fn apply_report(&mut self, now: time::MonotonicTime, report: gossip::PollReport) {
        let vm = report.vm.clone();
        let poller = report.poller.clone();
        // A report of an unreachable poller arrived late and would otherwise be kept indefinitely.
        if !self.daemons.get(&poller).is_some_and(daemons::is_reachable) {
            self.has_stale_reports = true;
            self.poll_schedule.request_check();
        }
        let previous_status = self.upstreams.get(&vm).map(|upstream| upstream.status);
        let last_report = self.upstreams.report(&vm, &poller);
        let is_load_change_only = last_report.is_some_and(|previous| {
            reports::is_equal_except_load(&previous.result, &report.result)
        });
        if !self.upstreams.apply_report(now, report) {
            return;
        }
        self.change_count += 1;
        let scope = match is_load_change_only {
            true => dissemination::UpdateScope::LocalZone,
            false => dissemination::UpdateScope::AllZones,
        };
        let daemon_count = self.daemons.all().count();
        self.updates.push(gossip::UpdateKey::Report(vm.clone(), poller), scope, daemon_count);
        if self.upstreams.get(&vm).map(|upstream| upstream.status) != previous_status {
            self.upstream_changed(&vm);
        }
    }

    fn daemon_changed(&mut self, id: &id::DaemonId) {
        let Some(info) = self.daemons.get(id).cloned() else { return };
        self.queue_update(gossip::UpdateKey::Daemon(id.clone()), info.status.state);
        self.poll_schedule.request_check();
        // This includes daemons of other zones, because their reports are stored here too.
        self.has_stale_reports |= !daemons::is_reachable(&info);
        self.pending_changes.push(MembershipAction::DaemonChanged(info));
    }

    fn upstream_changed(&mut self, vm: &id::VmId) {
        let Some(info) = self.upstreams.get(vm).cloned() else { return };
        self.queue_update(gossip::UpdateKey::Upstream(vm.clone()), info.status.state);
        if info.zone == self.daemons.local().zone {
            self.poll_schedule.invalidate();
        }
        self.pending_changes.push(MembershipAction::UpstreamChanged(info));
    }

    /// Queues an update for all availability zones and counts the change. The update is urgent if
    /// its subject is leaving or gone.
    fn queue_update(&mut self, key: gossip::UpdateKey, state: zone::UpstreamState) {
        let daemon_count = self.daemons.all().count();
        self.updates.push(key, dissemination::UpdateScope::AllZones, daemon_count);
        self.is_gossip_urgent |= state >= zone::UpstreamState::Leaving;
        self.change_count += 1;
    }
}
