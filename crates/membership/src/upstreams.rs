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
    upstreams: collections::BTreeMap<id::VmId, known_upstream::KnownUpstream>,
}

impl UpstreamTable {
    /// Iterates over all upstreams in the order of their VM ids.
    pub fn all(&self) -> impl Iterator<Item = &gossip::UpstreamInfo> {
        self.upstreams.values().map(|upstream| &upstream.info)
    }

    /// Returns the upstream on the given VM.
    pub fn get(&self, vm: &id::VmId) -> Option<&gossip::UpstreamInfo> {
        self.upstreams.get(vm).map(|upstream| &upstream.info)
    }

    /// Returns the last poll report of a daemon on an upstream.
    pub fn report(&self, vm: &id::VmId, poller: &id::DaemonId) -> Option<&gossip::PollReport> {
        let upstream = self.upstreams.get(vm)?;
        upstream
            .reports
            .iter()
            .map(|received| &received.report)
            .find(|report| report.poller == *poller)
    }

    /// Returns the daemons whose poll reports on the upstream are stored, sorted by id.
    pub fn pollers(&self, vm: &id::VmId) -> SmallVec<[&id::DaemonId; 2]> {
        let reports =
            self.upstreams.get(vm).map(|upstream| upstream.reports.as_slice()).unwrap_or_default();
        let mut pollers: SmallVec<_> =
            reports.iter().map(|received| &received.report.poller).collect();
        pollers.sort();
        pollers
    }

    /// Returns whether the last report of every poller shows no running or queued request.
    pub fn is_idle(&self, vm: &id::VmId) -> bool {
        self.upstreams.get(vm).is_none_or(known_upstream::KnownUpstream::is_idle)
    }

    /// Returns whether the zone has a live upstream without a poll report. Its loaded models are
    /// unknown until the first report arrives.
    pub fn has_unreported_upstream(&self, zone: &id::ZoneId) -> bool {
        self.upstreams.values().any(|upstream| {
            upstream.info.zone == *zone
                && upstream.info.status.state == zone::UpstreamState::Live
                && upstream.reports.is_empty()
        })
    }

    /// Returns whether a live upstream of a pool has a poll report.
    pub fn has_reported_upstream(&self, pool: &id::RecordId) -> bool {
        self.upstreams.values().any(|upstream| {
            upstream.info.pool == *pool
                && upstream.info.status.state == zone::UpstreamState::Live
                && !upstream.reports.is_empty()
        })
    }

    /// Returns the VM id that follows `vm` in the order of ids, or the first id if `vm` is `None`.
    pub fn next_after(&self, vm: Option<&id::VmId>) -> Option<&id::VmId> {
        match vm {
            None => self.upstreams.keys().next(),
            Some(vm) => {
                let range = (std::ops::Bound::Excluded(vm), std::ops::Bound::Unbounded);
                self.upstreams.range::<id::VmId, _>(range).next().map(|(vm, _)| vm)
            }
        }
    }

    /// Merges a received update and returns whether it was newer than the stored status, which it
    /// always is for an upstream that the table lacks.
    pub fn merge(&mut self, now: time::MonotonicTime, received: gossip::UpstreamInfo) -> bool {
        let Some(upstream) = self.upstreams.get_mut(&received.vm) else {
            self.insert(now, received, None);
            return true;
        };
        if received.status <= upstream.info.status {
            return false;
        }
        if received.status.incarnation > upstream.info.status.incarnation {
            upstream.reports.clear();
        }
        upstream.info = received;
        upstream.changed_at = now;
        true
    }

    /// Applies a poll report and returns whether it was newer than the last one of the same poller.
    ///
    /// A ready result makes a joining upstream live, and a draining result makes it leaving.
    pub fn apply_report(&mut self, now: time::MonotonicTime, report: gossip::PollReport) -> bool {
        let upstream = self.upstreams.get_mut(&report.vm);
        upstream.is_some_and(|upstream| upstream.apply_report(now, report))
    }

    /// Drops the reports of the pollers that `is_polling` rejects, unless an upstream would lose
    /// all its reports.
    pub fn retain_reports(&mut self, is_polling: impl Fn(&id::DaemonId) -> bool) {
        for upstream in self.upstreams.values_mut() {
            // An outdated report is better than none.
            if upstream.reports.iter().any(|received| is_polling(&received.report.poller)) {
                upstream.reports.retain(|received| is_polling(&received.report.poller));
            }
        }
    }

    /// Marks the upstream on a VM as leaving and returns whether its status changed.
    pub fn mark_leaving(&mut self, now: time::MonotonicTime, vm: &id::VmId) -> bool {
        let upstream = self.upstreams.get_mut(vm);
        upstream.is_some_and(|upstream| upstream.advance(now, zone::UpstreamState::Leaving))
    }

    /// Applies the platform's VM list and returns the VM ids of the upstreams whose status changed.
    pub fn apply_vm_list(
        &mut self,
        now: time::MonotonicTime,
        entries: &[cloud::VmEntry],
    ) -> Vec<id::VmId> {
        let mut changed_vms = Vec::new();
        let mut listed_vms = collections::HashSet::new();
        for entry in entries {
            let Some(listed) = from_vm_entry(entry) else { continue };
            let vm = listed.vm.clone();
            listed_vms.insert(vm.clone());
            if self.apply_listed(now, listed) {
                changed_vms.push(vm);
            }
        }
        self.count_missed_lists(now, &listed_vms, &mut changed_vms);
        changed_vms
    }

    /// Applies one entry of a VM list and returns whether the status of the upstream changed.
    fn apply_listed(&mut self, now: time::MonotonicTime, listed: gossip::UpstreamInfo) -> bool {
        let Some(upstream) = self.upstreams.get_mut(&listed.vm) else {
            self.insert(now, listed, Some(0));
            return true;
        };
        if upstream.info.status.state == zone::UpstreamState::Gone {
            return upstream.apply_relisted(now, listed);
        }
        upstream.missed_lists = Some(0);
        upstream.advance(now, listed.status.state)
    }

    /// Counts the list for each upstream that an earlier list contained and this one lacks, marks
    /// the upstream as gone after [`MISSED_LIST_LIMIT`] such lists, and removes gone upstreams
    /// after the retention time.
    fn count_missed_lists(
        &mut self,
        now: time::MonotonicTime,
        listed_vms: &collections::HashSet<id::VmId>,
        changed_vms: &mut Vec<id::VmId>,
    ) {
        for (vm, upstream) in &mut self.upstreams {
            if listed_vms.contains(vm) {
                continue;
            }
            // An upstream that is known only from peers may be newer than the list.
            let Some(missed_lists) = upstream.missed_lists.as_mut() else { continue };
            *missed_lists += 1;
            if *missed_lists >= MISSED_LIST_LIMIT
                && upstream.advance(now, zone::UpstreamState::Gone)
            {
                changed_vms.push(vm.clone());
            }
        }
        self.upstreams.retain(|vm, upstream| {
            upstream.info.status.state != zone::UpstreamState::Gone
                || listed_vms.contains(vm)
                || now.since(upstream.changed_at) < known_upstream::GONE_RETENTION
        });
    }

    /// Adds an upstream without poll reports. `missed_lists` is `None` if no VM list has contained
    /// the upstream.
    fn insert(
        &mut self,
        now: time::MonotonicTime,
        info: gossip::UpstreamInfo,
        missed_lists: Option<u32>,
    ) {
        let vm = info.vm.clone();
        let upstream = known_upstream::KnownUpstream {
            replica: vm.as_str().parse().expect("all id types accept the same strings"),
            info,
            changed_at: now,
            missed_lists,
            reports: SmallVec::new(),
        };
        self.upstreams.insert(vm, upstream);
    }

    /// Builds the views of all upstreams for the entry daemon, ordered by VM id and without gone
    /// upstreams.
    pub fn views(&self, now: time::MonotonicTime) -> Vec<zone::ReplicaView> {
        let present = self
            .upstreams
            .values()
            .filter(|upstream| upstream.info.status.state != zone::UpstreamState::Gone);
        present.map(|upstream| upstream.view(now)).collect()
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
