//! Table of daemons with SWIM-style failure detection.
//!
//! A daemon that does not respond to one peer is first probed through other daemons, so that a
//! network partition between two daemons affects neither of them. A daemon that no prober reaches
//! is suspected, and considered gone after [`SUSPICION_TIMEOUT`]. A daemon that learns that it is
//! suspected or considered gone refutes this with a higher incarnation.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;

use crate::gossip;

/// A suspected daemon is considered gone if it does not refute the suspicion within this time.
pub const SUSPICION_TIMEOUT: time::Millis = time::Millis::new(4_000);

/// A gone daemon stays in the table for this time, so that outdated updates do not add it again and
/// so that it is contacted again after a long network partition.
pub const GONE_RETENTION: time::Millis = time::Millis::new(3_600_000);

/// Number of consecutive VM lists that must lack a daemon before it is considered gone.
const MISSED_LIST_LIMIT: u32 = 2;

#[derive(Clone, Debug)]
struct DaemonMember {
    info: gossip::DaemonInfo,
    /// Time of the last change of the status.
    changed_at: time::MonotonicTime,
    /// Number of consecutive VM lists that lacked the daemon, or `None` if no list has contained
    /// it.
    missed_lists: Option<u32>,
}

/// All known daemons, including the local daemon.
#[derive(Clone, Debug)]
pub struct DaemonTable {
    local_id: id::DaemonId,
    members: collections::BTreeMap<id::DaemonId, DaemonMember>,
}

impl DaemonTable {
    /// Creates a table that contains only the local daemon.
    pub fn new(local: gossip::DaemonInfo, now: time::MonotonicTime) -> Self {
        let id = local.id.clone();
        let member = DaemonMember { info: local, changed_at: now, missed_lists: None };
        DaemonTable { local_id: id.clone(), members: collections::BTreeMap::from([(id, member)]) }
    }

    /// Returns the local daemon.
    pub fn local(&self) -> &gossip::DaemonInfo {
        &self.members.get(&self.local_id).expect("the local daemon is never removed").info
    }

    /// Returns the daemon with the given id.
    pub fn get(&self, id: &id::DaemonId) -> Option<&gossip::DaemonInfo> {
        self.members.get(id).map(|member| &member.info)
    }

    /// Iterates over all daemons in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &gossip::DaemonInfo> {
        self.members.values().map(|member| &member.info)
    }

    /// Returns the id that follows `id` in the order of ids, or the first id if `id` is `None`.
    pub fn next_after(&self, id: Option<&id::DaemonId>) -> Option<&id::DaemonId> {
        match id {
            None => self.members.keys().next(),
            Some(id) => {
                let range = (std::ops::Bound::Excluded(id), std::ops::Bound::Unbounded);
                self.members.range::<id::DaemonId, _>(range).next().map(|(id, _)| id)
            }
        }
    }

    /// Iterates over the ids of the reachable daemons of an availability zone.
    pub fn reachable_in<'a>(
        &'a self,
        zone: &'a id::ZoneId,
    ) -> impl Iterator<Item = &'a id::DaemonId> {
        self.all().filter(move |info| info.zone == *zone && is_reachable(info)).map(|info| &info.id)
    }

    /// Merges a received update and returns whether it was newer than the stored status, which it
    /// always is for a daemon that the table lacks. A newer update on the local daemon is refuted.
    pub fn merge(&mut self, now: time::MonotonicTime, received: gossip::DaemonInfo) -> bool {
        if received.id == self.local_id {
            return self.refute(now, received.status);
        }
        let Some(member) = self.members.get_mut(&received.id) else {
            let member = DaemonMember { info: received, changed_at: now, missed_lists: None };
            self.members.insert(member.info.id.clone(), member);
            return true;
        };
        if received.status <= member.info.status {
            return false;
        }
        if is_reachable(&received) {
            // The daemon is reachable again, so earlier lists without it no longer count.
            member.missed_lists = None;
        }
        member.info = received;
        member.changed_at = now;
        true
    }

    /// Refutes a status of the local daemon that others report, by raising the incarnation of the
    /// local daemon. Returns whether the reported status was newer than the local one.
    fn refute(&mut self, now: time::MonotonicTime, reported: gossip::DaemonStatus) -> bool {
        let member =
            self.members.get_mut(&self.local_id).expect("the local daemon is never removed");
        let local_status = &mut member.info.status;
        if reported <= *local_status {
            return false;
        }
        // `Leaving` comes from the platform and is accepted. Every other status is refuted.
        if reported.state == zone::UpstreamState::Leaving {
            local_status.state = zone::UpstreamState::Leaving;
        }
        local_status.incarnation = local_status.incarnation.max(reported.incarnation).next();
        local_status.suspicion = gossip::DaemonSuspicion::None;
        member.changed_at = now;
        true
    }

    /// Sets the state of the local daemon to `state` if that is a later one, and returns whether it
    /// changed.
    pub fn advance_local_state(
        &mut self,
        now: time::MonotonicTime,
        state: zone::UpstreamState,
    ) -> bool {
        let member =
            self.members.get_mut(&self.local_id).expect("the local daemon is never removed");
        if member.info.status.state >= state {
            return false;
        }
        member.info.status.state = state;
        member.changed_at = now;
        true
    }

    /// Marks the local daemon as unreachable when it stops. It is not marked as gone because it may
    /// be restarted.
    pub fn mark_local_unreachable(&mut self, now: time::MonotonicTime) {
        let member =
            self.members.get_mut(&self.local_id).expect("the local daemon is never removed");
        member.info.status.suspicion = gossip::DaemonSuspicion::Unreachable;
        member.changed_at = now;
    }

    /// Marks a daemon that no prober reaches as unreachable, and returns whether its status
    /// changed.
    pub fn suspect(&mut self, now: time::MonotonicTime, id: &id::DaemonId) -> bool {
        let Some(member) = self.members.get_mut(id) else { return false };
        if *id == self.local_id || !is_reachable(&member.info) {
            return false;
        }
        member.info.status.suspicion = gossip::DaemonSuspicion::Unreachable;
        member.changed_at = now;
        true
    }

    /// Marks the daemon on a VM as leaving and returns its id if its status changed.
    pub fn mark_leaving(
        &mut self,
        now: time::MonotonicTime,
        vm: &id::VmId,
    ) -> Option<id::DaemonId> {
        let member = self.members.values_mut().find(|member| member.info.vm == *vm)?;
        if member.info.status.state >= zone::UpstreamState::Leaving {
            return None;
        }
        member.info.status.state = zone::UpstreamState::Leaving;
        member.changed_at = now;
        Some(member.info.id.clone())
    }

    /// Marks daemons as gone whose suspicion has timed out, removes gone daemons after
    /// [`GONE_RETENTION`], and returns the ids of the daemons whose status changed.
    pub fn expire(&mut self, now: time::MonotonicTime) -> Vec<id::DaemonId> {
        let mut changed_ids = Vec::new();
        for member in self.members.values_mut() {
            let status = &mut member.info.status;
            let is_timed_out = now.since(member.changed_at) >= SUSPICION_TIMEOUT;
            let is_suspected = status.suspicion != gossip::DaemonSuspicion::None;
            if is_suspected && is_timed_out && status.state != zone::UpstreamState::Gone {
                status.state = zone::UpstreamState::Gone;
                member.changed_at = now;
                changed_ids.push(member.info.id.clone());
            }
        }
        self.members.retain(|_, member| {
            member.info.status.state != zone::UpstreamState::Gone
                || now.since(member.changed_at) < GONE_RETENTION
        });
        changed_ids
    }

    /// Applies the platform's VM list and returns the ids of the daemons whose status changed.
    pub fn apply_vm_list(
        &mut self,
        now: time::MonotonicTime,
        entries: &[cloud::VmEntry],
    ) -> Vec<id::DaemonId> {
        let mut changed_ids = Vec::new();
        let mut listed_ids = collections::HashSet::new();
        for entry in entries {
            let Some(listed) = from_vm_entry(entry) else { continue };
            let id = listed.id.clone();
            listed_ids.insert(id.clone());
            if self.apply_listed(now, listed) {
                changed_ids.push(id);
            }
        }
        self.count_missed_lists(now, &listed_ids, &mut changed_ids);
        changed_ids
    }

    /// Applies one listed daemon and returns whether its status changed. The list contains no
    /// incarnation, so it only adds daemons that the table lacks and marks the others as leaving.
    fn apply_listed(&mut self, now: time::MonotonicTime, listed: gossip::DaemonInfo) -> bool {
        let Some(member) = self.members.get_mut(&listed.id) else {
            let member = DaemonMember { info: listed, changed_at: now, missed_lists: Some(0) };
            self.members.insert(member.info.id.clone(), member);
            return true;
        };
        member.missed_lists = Some(0);
        let is_leaving = listed.status.state == zone::UpstreamState::Leaving;
        if !is_leaving || member.info.status.state >= zone::UpstreamState::Leaving {
            return false;
        }
        member.info.status.state = zone::UpstreamState::Leaving;
        member.changed_at = now;
        true
    }

    /// Counts the list for each daemon that an earlier list contained and this one lacks. After
    /// [`MISSED_LIST_LIMIT`] such lists, marks the daemon as gone unless it is reachable and not
    /// leaving.
    fn count_missed_lists(
        &mut self,
        now: time::MonotonicTime,
        listed_ids: &collections::HashSet<id::DaemonId>,
        changed_ids: &mut Vec<id::DaemonId>,
    ) {
        for (id, member) in &mut self.members {
            if listed_ids.contains(id) || *id == self.local_id {
                continue;
            }
            let Some(missed_lists) = member.missed_lists.as_mut() else { continue };
            *missed_lists += 1;
            // A reachable daemon stays even if the lists lack it, unless it is leaving.
            let status = &mut member.info.status;
            let may_be_gone = status.suspicion == gossip::DaemonSuspicion::Unreachable
                || status.state == zone::UpstreamState::Leaving;
            if *missed_lists >= MISSED_LIST_LIMIT && may_be_gone {
                status.state = zone::UpstreamState::Gone;
                status.suspicion = gossip::DaemonSuspicion::Unlisted;
                member.changed_at = now;
                changed_ids.push(id.clone());
            }
        }
    }
}

/// Returns whether the daemon is neither suspected nor gone.
pub fn is_reachable(info: &gossip::DaemonInfo) -> bool {
    info.status.suspicion == gossip::DaemonSuspicion::None && !is_gone(info)
}

/// Returns whether the daemon may be serving callers, even if no peer reaches it.
pub fn may_serve(info: &gossip::DaemonInfo) -> bool {
    info.status.suspicion != gossip::DaemonSuspicion::Unlisted
}

/// Returns whether the daemon is considered gone.
pub fn is_gone(info: &gossip::DaemonInfo) -> bool {
    info.status.state == zone::UpstreamState::Gone
}

/// Converts an entry of the platform's VM list, or returns `None` for the VM of an upstream.
pub fn from_vm_entry(entry: &cloud::VmEntry) -> Option<gossip::DaemonInfo> {
    let cloud::VmRole::Entry { http_address, peer_address, control_address } = entry.role else {
        return None;
    };
    let state = match entry.state {
        cloud::VmState::Live => zone::UpstreamState::Joining,
        cloud::VmState::Leaving => zone::UpstreamState::Leaving,
    };
    let id: id::DaemonId = entry.id.as_str().parse().expect("all id types accept the same strings");
    Some(gossip::DaemonInfo {
        id: id.clone(),
        entry: id,
        vm: entry.id.clone(),
        zone: entry.zone.clone(),
        http_address,
        peer_address,
        control_address,
        status: gossip::DaemonStatus {
            incarnation: quantity::Incarnation::default(),
            state,
            suspicion: gossip::DaemonSuspicion::None,
        },
    })
}
