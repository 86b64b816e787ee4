//! Table of upstreams and their states.
//!
//! Within one incarnation the state of an upstream only advances: joining, live, leaving, gone. A
//! late message or an outdated VM list cannot bring a leaving upstream back.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;
use samphiremoor_view::zone;
use smallvec::SmallVec;

use crate::gossip;
use crate::known_upstream;

/// Number of consecutive VM lists that must lack an upstream before it is considered gone.
const MISSED_LIST_LIMIT: u32 = 2;

/// All known upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    known: collections::BTreeMap<id::VmId, known_upstream::KnownUpstream>,
}

impl UpstreamTable {
    /// Iterates over all upstreams in the order of their VM ids.
    pub fn all(&self) -> impl Iterator<Item = &gossip::UpstreamInfo> {
        self.known.values().map(|known| &known.info)
    }

    /// Returns the upstream on the given VM.
    pub fn get(&self, vm: &id::VmId) -> Option<&gossip::UpstreamInfo> {
        self.known.get(vm).map(|known| &known.info)
    }

    /// Returns the last poll report of a daemon on an upstream.
    pub fn report(&self, vm: &id::VmId, poller: &id::DaemonId) -> Option<&gossip::PollReport> {
        let known = self.known.get(vm)?;
        known.reports.iter().map(|known| &known.report).find(|report| report.poller == *poller)
    }

    /// Returns the daemons whose poll reports on the upstream are stored, sorted by id.
    pub fn pollers(&self, vm: &id::VmId) -> SmallVec<[&id::DaemonId; 2]> {
        let reports = self.known.get(vm).map(|known| known.reports.as_slice()).unwrap_or_default();
        let mut pollers: SmallVec<_> = reports.iter().map(|known| &known.report.poller).collect();
        pollers.sort();
        pollers
    }

    /// Returns whether the last report of every poller shows no running or queued request.
    pub fn is_idle(&self, vm: &id::VmId) -> bool {
        self.known.get(vm).is_none_or(known_upstream::KnownUpstream::is_idle)
    }

    /// Returns whether the zone has a live upstream without a poll report. Its loaded models are
    /// unknown until the first report arrives.
    pub fn has_unreported(&self, zone: &id::ZoneId) -> bool {
        self.known.values().any(|known| {
            known.info.zone == *zone
                && known.info.status.state == zone::UpstreamState::Live
                && known.reports.is_empty()
        })
    }

    /// Returns the VM id that follows `vm` in the order of ids, or the first id if `vm` is `None`.
    pub fn next_after(&self, vm: Option<&id::VmId>) -> Option<&id::VmId> {
        match vm {
            None => self.known.keys().next(),
            Some(vm) => {
                let range = (std::ops::Bound::Excluded(vm), std::ops::Bound::Unbounded);
                self.known.range::<id::VmId, _>(range).next().map(|(vm, _)| vm)
            }
        }
    }

    /// Merges a received update and returns whether it was newer than the known status.
    pub fn merge(&mut self, now: time::MonotonicTime, received: gossip::UpstreamInfo) -> bool {
        let Some(known) = self.known.get_mut(&received.vm) else {
            self.insert(now, received, None);
            return true;
        };
        if received.status <= known.info.status {
            return false;
        }
        if received.status.incarnation > known.info.status.incarnation {
            known.reports.clear();
        }
        known.info = received;
        known.changed_at = now;
        true
    }

    /// Applies a poll report and returns whether it was newer than the last one of the same poller.
    ///
    /// A ready result makes a joining upstream live, and a draining result makes it leaving.
    pub fn apply_report(&mut self, now: time::MonotonicTime, report: gossip::PollReport) -> bool {
        let known = self.known.get_mut(&report.vm);
        known.is_some_and(|known| known.apply_report(now, report))
    }

    /// Drops the reports of daemons that no longer poll, unless an upstream would lose its last
    /// report.
    pub fn retain_reports(&mut self, is_polling: impl Fn(&id::DaemonId) -> bool) {
        for known in self.known.values_mut() {
            // An outdated report is better than none.
            if known.reports.iter().any(|known| is_polling(&known.report.poller)) {
                known.reports.retain(|known| is_polling(&known.report.poller));
            }
        }
    }

    /// Marks the upstream on a VM as leaving and returns whether its status changed.
    pub fn mark_leaving(&mut self, now: time::MonotonicTime, vm: &id::VmId) -> bool {
        let known = self.known.get_mut(vm);
        known.is_some_and(|known| known.advance(now, zone::UpstreamState::Leaving))
    }

    /// Applies the platform's VM list and returns the VM ids of the upstreams whose status changed.
    pub fn apply_vm_list(
        &mut self,
        now: time::MonotonicTime,
        entries: &[cloud::VmEntry],
    ) -> Vec<id::VmId> {
        let mut changed = Vec::new();
        let mut listed = collections::HashSet::new();
        for entry in entries {
            let Some(received) = from_vm_entry(entry) else { continue };
            let vm = received.vm.clone();
            listed.insert(vm.clone());
            if self.apply_listed(now, received) {
                changed.push(vm);
            }
        }
        self.count_missed_lists(now, &listed, &mut changed);
        changed
    }

    fn apply_listed(&mut self, now: time::MonotonicTime, received: gossip::UpstreamInfo) -> bool {
        let Some(known) = self.known.get_mut(&received.vm) else {
            self.insert(now, received, Some(0));
            return true;
        };
        if known.info.status.state == zone::UpstreamState::Gone {
            return known.apply_relisted(now, received);
        }
        known.missed_lists = Some(0);
        known.advance(now, received.status.state)
    }

    fn count_missed_lists(
        &mut self,
        now: time::MonotonicTime,
        listed: &collections::HashSet<id::VmId>,
        changed: &mut Vec<id::VmId>,
    ) {
        for (vm, known) in &mut self.known {
            if listed.contains(vm) {
                continue;
            }
            // An upstream that is known only from peers may be newer than the list.
            let Some(count) = known.missed_lists.as_mut() else { continue };
            *count += 1;
            if *count >= MISSED_LIST_LIMIT && known.advance(now, zone::UpstreamState::Gone) {
                changed.push(vm.clone());
            }
        }
        self.known.retain(|vm, known| {
            known.info.status.state != zone::UpstreamState::Gone
                || listed.contains(vm)
                || now.since(known.changed_at) < known_upstream::GONE_RETENTION
        });
    }

    fn insert(
        &mut self,
        now: time::MonotonicTime,
        info: gossip::UpstreamInfo,
        missed_lists: Option<u32>,
    ) {
        let vm = info.vm.clone();
        let known = known_upstream::KnownUpstream {
            replica: vm.as_str().parse().expect("all id types accept the same strings"),
            info,
            changed_at: now,
            missed_lists,
            reports: SmallVec::new(),
        };
        self.known.insert(vm, known);
    }

    /// Builds the views of all upstreams for the entry daemon, ordered by VM id and without gone
    /// upstreams.
    pub fn views(&self, now: time::MonotonicTime) -> Vec<zone::ReplicaView> {
        let present = self
            .known
            .values()
            .filter(|known| known.info.status.state != zone::UpstreamState::Gone);
        present.map(|known| known.view(now)).collect()
    }
}

/// Converts an entry of the platform's VM list, or returns `None` for the VM of an entry daemon.
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
