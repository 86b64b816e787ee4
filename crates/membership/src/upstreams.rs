//! The upstreams and their states.
//!
//! Within one incarnation an upstream's state only advances: joining, live, leaving, gone. What is
//! heard late or from a lagging list can't bring a leaving upstream back.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;
use smallvec::SmallVec;

use crate::gossip;
use crate::known_upstream;

/// Lists in a row that must lack an upstream before it is gone.
const ABSENT_LISTS: u32 = 2;

/// Every upstream that is known.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    known: collections::BTreeMap<id::VmId, known_upstream::KnownUpstream>,
}

impl UpstreamTable {
    /// News on every upstream, by id.
    pub fn all(&self) -> impl Iterator<Item = &gossip::UpstreamInfo> {
        self.known.values().map(|known| &known.news)
    }

    /// News on an upstream.
    pub fn get(&self, vm: &id::VmId) -> Option<&gossip::UpstreamInfo> {
        self.known.get(vm).map(|known| &known.news)
    }

    /// The last report of a daemon on an upstream.
    pub fn report(&self, vm: &id::VmId, poller: &id::DaemonId) -> Option<&gossip::PollReport> {
        let known = self.known.get(vm)?;
        known.reports.iter().map(|known| &known.report).find(|report| report.poller == *poller)
    }

    /// Daemons that reported on the upstream, by their ids.
    pub fn pollers(&self, vm: &id::VmId) -> SmallVec<[&id::DaemonId; 2]> {
        let reports = self.known.get(vm).map(|known| known.reports.as_slice()).unwrap_or_default();
        let mut pollers: SmallVec<_> = reports.iter().map(|known| &known.report.poller).collect();
        pollers.sort();
        pollers
    }

    /// Whether every daemon that polls the upstream last heard that it has no request.
    pub fn is_idle(&self, vm: &id::VmId) -> bool {
        self.known.get(vm).is_none_or(known_upstream::KnownUpstream::is_idle)
    }

    /// Whether an upstream of the zone is known to be live by its state alone: what it has loaded
    /// comes with the first report on it.
    pub fn has_unreported(&self, zone: &id::ZoneId) -> bool {
        self.known.values().any(|known| {
            known.news.zone == *zone
                && known.news.status.state == zone::UpstreamState::Live
                && known.reports.is_empty()
        })
    }

    /// The upstream that follows `vm` in the order of ids.
    pub fn next_after(&self, vm: Option<&id::VmId>) -> Option<&id::VmId> {
        match vm {
            None => self.known.keys().next(),
            Some(vm) => {
                let bounds = (std::ops::Bound::Excluded(vm), std::ops::Bound::Unbounded);
                self.known.range::<id::VmId, _>(bounds).next().map(|(vm, _)| vm)
            }
        }
    }

    /// Takes news; true where they are newer than what is known.
    pub fn merge(&mut self, now: time::MonotonicTime, heard: gossip::UpstreamInfo) -> bool {
        let Some(known) = self.known.get_mut(&heard.vm) else {
            self.insert(now, heard, None);
            return true;
        };
        if heard.status <= known.news.status {
            return false;
        }
        if heard.status.incarnation > known.news.status.incarnation {
            known.reports.clear();
        }
        known.news = heard;
        known.since = now;
        true
    }

    /// Takes a report; true where it is newer than the last one of its daemon.
    ///
    /// A ready answer makes a joining upstream live, and one that drains makes it leaving.
    pub fn take_report(&mut self, now: time::MonotonicTime, report: gossip::PollReport) -> bool {
        let known = self.known.get_mut(&report.vm);
        known.is_some_and(|known| known.take_report(now, report))
    }

    /// Forgets the reports of daemons that do not poll any more.
    pub fn keep_reports_of(&mut self, is_polling: impl Fn(&id::DaemonId) -> bool) {
        for known in self.known.values_mut() {
            // The last report is better than none.
            if known.reports.iter().any(|known| is_polling(&known.report.poller)) {
                known.reports.retain(|known| is_polling(&known.report.poller));
            }
        }
    }

    /// The upstream's VM leaves; true where that is new.
    pub fn leave(&mut self, now: time::MonotonicTime, vm: &id::VmId) -> bool {
        let known = self.known.get_mut(vm);
        known.is_some_and(|known| known.advance(now, zone::UpstreamState::Leaving))
    }

    /// Takes the platform's list; returns the upstreams on which there are news.
    pub fn list_read(
        &mut self,
        now: time::MonotonicTime,
        entries: &[cloud::VmEntry],
    ) -> Vec<id::VmId> {
        let mut changed = Vec::new();
        let mut listed = collections::HashSet::new();
        for entry in entries {
            let Some(heard) = from_vm_entry(entry) else { continue };
            let vm = heard.vm.clone();
            listed.insert(vm.clone());
            if self.take_listed(now, heard) {
                changed.push(vm);
            }
        }
        self.count_absences(now, &listed, &mut changed);
        changed
    }

    fn take_listed(&mut self, now: time::MonotonicTime, heard: gossip::UpstreamInfo) -> bool {
        let Some(known) = self.known.get_mut(&heard.vm) else {
            self.insert(now, heard, Some(0));
            return true;
        };
        if known.news.status.state == zone::UpstreamState::Gone {
            return known.take_returned(now, heard);
        }
        known.absent_lists = Some(0);
        known.advance(now, heard.status.state)
    }

    fn count_absences(
        &mut self,
        now: time::MonotonicTime,
        listed: &collections::HashSet<id::VmId>,
        changed: &mut Vec<id::VmId>,
    ) {
        for (vm, known) in &mut self.known {
            if listed.contains(vm) {
                continue;
            }
            // An upstream that only peers told of may be newer than the list.
            let Some(count) = known.absent_lists.as_mut() else { continue };
            *count += 1;
            if *count >= ABSENT_LISTS && known.advance(now, zone::UpstreamState::Gone) {
                changed.push(vm.clone());
            }
        }
        self.known.retain(|vm, known| {
            known.news.status.state != zone::UpstreamState::Gone
                || listed.contains(vm)
                || now.since(known.since) < known_upstream::GONE_RETENTION
        });
    }

    fn insert(
        &mut self,
        now: time::MonotonicTime,
        news: gossip::UpstreamInfo,
        absent_lists: Option<u32>,
    ) {
        let vm = news.vm.clone();
        let known = known_upstream::KnownUpstream {
            replica: vm.as_str().parse().expect("every id type accepts the same texts"),
            news,
            since: now,
            absent_lists,
            reports: SmallVec::new(),
        };
        self.known.insert(vm, known);
    }

    /// The upstreams as the entry daemon sees them, by id; those that are gone are left out.
    pub fn views(&self, now: time::MonotonicTime) -> Vec<zone::ReplicaView> {
        let present = self
            .known
            .values()
            .filter(|known| known.news.status.state != zone::UpstreamState::Gone);
        present.map(|known| known.view(now)).collect()
    }
}

/// News on the upstream of an entry of the platform's list; none for a VM of the daemons.
pub fn from_vm_entry(entry: &cloud::VmEntry) -> Option<gossip::UpstreamInfo> {
    let cloud::VmRole::Upstream { pool, address } = &entry.role else { return None };
    let state = match entry.state {
        cloud::VmState::Live => zone::UpstreamState::Joining,
        cloud::VmState::Leaving => zone::UpstreamState::Leaving,
    };
    Some(gossip::UpstreamInfo {
        vm: entry.id.clone(),
        zone: entry.zone.clone(),
        pool: pool.clone(),
        class: entry.class.clone(),
        address: *address,
        price: entry.price,
        reclaimable: entry.reclaimable,
        status: gossip::UpstreamStatus { incarnation: quantity::Incarnation::new(1), state },
    })
}
