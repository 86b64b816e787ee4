//! The daemons, and which of them are suspected.
//!
//! A daemon that does not answer one peer is asked through others first, so that a cut between two
//! daemons harms neither. One that nobody reaches is suspected, and gone after a while. It refutes
//! both by a higher incarnation as soon as it hears of them.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;

use crate::gossip;

/// A suspected daemon that does not refute it in this time is gone.
pub const SUSPECT_LIMIT: time::Millis = time::Millis::new(4_000);

/// A daemon that is gone is remembered for this long, so that old news do not bring it back, and
/// that it is found again after a long cut.
pub const GONE_RETENTION: time::Millis = time::Millis::new(3_600_000);

/// Lists in a row that must lack a daemon before it is taken for gone.
const ABSENT_LISTS: u32 = 2;

#[derive(Clone, Debug)]
struct DaemonMember {
    news: gossip::DaemonInfo,
    /// Since when it has the standing.
    since: time::MonotonicTime,
    /// Lists in a row that lack it; none where no list had it yet.
    absent_lists: Option<u32>,
}

/// Every daemon that is known, the own one included.
#[derive(Clone, Debug)]
pub struct DaemonTable {
    own: id::DaemonId,
    members: collections::BTreeMap<id::DaemonId, DaemonMember>,
}

impl DaemonTable {
    /// A table that knows its own daemon alone.
    pub fn new(own: gossip::DaemonInfo, now: time::MonotonicTime) -> Self {
        let id = own.id.clone();
        let member = DaemonMember { news: own, since: now, absent_lists: None };
        DaemonTable { own: id.clone(), members: collections::BTreeMap::from([(id, member)]) }
    }

    /// News on the own daemon.
    pub fn own(&self) -> &gossip::DaemonInfo {
        &self.members.get(&self.own).expect("the own daemon is never removed").news
    }

    /// News on a daemon.
    pub fn get(&self, id: &id::DaemonId) -> Option<&gossip::DaemonInfo> {
        self.members.get(id).map(|member| &member.news)
    }

    /// News on every daemon, by id.
    pub fn all(&self) -> impl Iterator<Item = &gossip::DaemonInfo> {
        self.members.values().map(|member| &member.news)
    }

    /// The daemon that follows `id` in the order of ids.
    pub fn next_after(&self, id: Option<&id::DaemonId>) -> Option<&id::DaemonId> {
        match id {
            None => self.members.keys().next(),
            Some(id) => {
                let bounds = (std::ops::Bound::Excluded(id), std::ops::Bound::Unbounded);
                self.members.range::<id::DaemonId, _>(bounds).next().map(|(id, _)| id)
            }
        }
    }

    /// Daemons that answer, of one availability zone.
    pub fn answering_in<'a>(
        &'a self,
        zone: &'a id::ZoneId,
    ) -> impl Iterator<Item = &'a id::DaemonId> {
        self.all().filter(move |news| news.zone == *zone && is_reachable(news)).map(|news| &news.id)
    }

    /// Takes news; true where they are newer than what is known.
    pub fn merge(&mut self, now: time::MonotonicTime, heard: gossip::DaemonInfo) -> bool {
        if heard.id == self.own {
            return self.refute(now, heard.status);
        }
        let Some(member) = self.members.get_mut(&heard.id) else {
            let member = DaemonMember { news: heard, since: now, absent_lists: None };
            self.members.insert(member.news.id.clone(), member);
            return true;
        };
        if heard.status <= member.news.status {
            return false;
        }
        if is_reachable(&heard) {
            // It speaks again, so an older list that lacks it counts no more.
            member.absent_lists = None;
        }
        member.news = heard;
        member.since = now;
        true
    }

    /// A higher incarnation overrides what others say of this daemon.
    fn refute(&mut self, now: time::MonotonicTime, heard: gossip::DaemonStatus) -> bool {
        let member = self.members.get_mut(&self.own).expect("the own daemon is never removed");
        let own = &mut member.news.status;
        if heard <= *own {
            return false;
        }
        // Leaving is the truth where the platform says it; the rest is refuted.
        if heard.state == zone::UpstreamState::Leaving {
            own.state = zone::UpstreamState::Leaving;
        }
        own.incarnation = own.incarnation.max(heard.incarnation).next();
        own.suspicion = gossip::DaemonSuspicion::None;
        member.since = now;
        true
    }

    /// Sets the state of the own daemon; true where it changed.
    pub fn set_own_state(&mut self, now: time::MonotonicTime, state: zone::UpstreamState) -> bool {
        let member = self.members.get_mut(&self.own).expect("the own daemon is never removed");
        if member.news.status.state >= state {
            return false;
        }
        member.news.status.state = state;
        member.since = now;
        true
    }

    /// The own daemon ends; it may be started again, so that it is silent, not gone.
    pub fn end_own(&mut self, now: time::MonotonicTime) {
        let member = self.members.get_mut(&self.own).expect("the own daemon is never removed");
        member.news.status.suspicion = gossip::DaemonSuspicion::Silent;
        member.since = now;
    }

    /// Nobody reaches the daemon; true where that is new.
    pub fn suspect(&mut self, now: time::MonotonicTime, id: &id::DaemonId) -> bool {
        let Some(member) = self.members.get_mut(id) else { return false };
        if *id == self.own || !is_reachable(&member.news) {
            return false;
        }
        member.news.status.suspicion = gossip::DaemonSuspicion::Silent;
        member.since = now;
        true
    }

    /// The daemon's VM leaves; true where that is new.
    pub fn leave(&mut self, now: time::MonotonicTime, vm: &id::VmId) -> Option<id::DaemonId> {
        let member = self.members.values_mut().find(|member| member.news.vm == *vm)?;
        if member.news.status.state >= zone::UpstreamState::Leaving {
            return None;
        }
        member.news.status.state = zone::UpstreamState::Leaving;
        member.since = now;
        Some(member.news.id.clone())
    }

    /// Suspected daemons whose time is over become gone, and gone ones are forgotten in the end.
    pub fn expire(&mut self, now: time::MonotonicTime) -> Vec<id::DaemonId> {
        let mut changed = Vec::new();
        for member in self.members.values_mut() {
            let standing = &mut member.news.status;
            let is_over = now.since(member.since) >= SUSPECT_LIMIT;
            let is_silent = standing.suspicion != gossip::DaemonSuspicion::None;
            if is_silent && is_over && standing.state != zone::UpstreamState::Gone {
                standing.state = zone::UpstreamState::Gone;
                member.since = now;
                changed.push(member.news.id.clone());
            }
        }
        self.members.retain(|_, member| {
            member.news.status.state != zone::UpstreamState::Gone
                || now.since(member.since) < GONE_RETENTION
        });
        changed
    }

    /// Takes the platform's list; returns the daemons on which there are news.
    pub fn list_read(
        &mut self,
        now: time::MonotonicTime,
        entries: &[cloud::VmEntry],
    ) -> Vec<id::DaemonId> {
        let mut changed = Vec::new();
        let mut listed = collections::HashSet::new();
        for entry in entries {
            let Some(heard) = from_vm_entry(entry) else { continue };
            let id = heard.id.clone();
            listed.insert(id.clone());
            if self.take_listed(now, heard) {
                changed.push(id);
            }
        }
        self.count_absences(now, &listed, &mut changed);
        changed
    }

    /// The list knows no incarnation: it brings new daemons in and says who leaves, no more.
    fn take_listed(&mut self, now: time::MonotonicTime, heard: gossip::DaemonInfo) -> bool {
        let Some(member) = self.members.get_mut(&heard.id) else {
            let member = DaemonMember { news: heard, since: now, absent_lists: Some(0) };
            self.members.insert(member.news.id.clone(), member);
            return true;
        };
        member.absent_lists = Some(0);
        let is_leaving = heard.status.state == zone::UpstreamState::Leaving;
        if !is_leaving || member.news.status.state >= zone::UpstreamState::Leaving {
            return false;
        }
        member.news.status.state = zone::UpstreamState::Leaving;
        member.since = now;
        true
    }

    fn count_absences(
        &mut self,
        now: time::MonotonicTime,
        listed: &collections::HashSet<id::DaemonId>,
        changed: &mut Vec<id::DaemonId>,
    ) {
        for (id, member) in &mut self.members {
            if listed.contains(id) || *id == self.own {
                continue;
            }
            let Some(count) = member.absent_lists.as_mut() else { continue };
            *count += 1;
            // A daemon that answers is there, whatever the list says; a leaving one is believed gone.
            let standing = &mut member.news.status;
            let is_silent = standing.suspicion == gossip::DaemonSuspicion::Silent
                || standing.state == zone::UpstreamState::Leaving;
            if *count >= ABSENT_LISTS && is_silent {
                standing.state = zone::UpstreamState::Gone;
                standing.suspicion = gossip::DaemonSuspicion::Unlisted;
                member.since = now;
                changed.push(id.clone());
            }
        }
    }
}

/// Whether the daemon is neither silent nor gone.
pub fn is_reachable(news: &gossip::DaemonInfo) -> bool {
    news.status.suspicion == gossip::DaemonSuspicion::None && !is_gone(news)
}

/// Whether the daemon may serve callers, though perhaps nobody here reaches it.
pub fn may_serve(news: &gossip::DaemonInfo) -> bool {
    news.status.suspicion != gossip::DaemonSuspicion::Unlisted
}

/// Whether the daemon is gone.
pub fn is_gone(news: &gossip::DaemonInfo) -> bool {
    news.status.state == zone::UpstreamState::Gone
}

/// News on the daemon of an entry of the platform's list; none for an upstream.
pub fn from_vm_entry(entry: &cloud::VmEntry) -> Option<gossip::DaemonInfo> {
    let cloud::VmRole::Entry { http_address, peer_address, control_address } = entry.role else {
        return None;
    };
    let state = match entry.state {
        cloud::VmState::Live => zone::UpstreamState::Joining,
        cloud::VmState::Leaving => zone::UpstreamState::Leaving,
    };
    let id: id::DaemonId = entry.id.as_str().parse().expect("every id type accepts the same texts");
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
