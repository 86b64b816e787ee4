//! The VMs, notices and offers of a simulated cloud, without I/O. The list of VMs shows changes
//! only after a lag.

use std::collections;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::cloud;

/// The VMs, notices and offers of the cloud.
#[derive(Clone, Debug, Default)]
pub struct VmFleet {
    /// Time after which the list shows a change of a VM.
    list_lag: time::Millis,
    vms: collections::BTreeMap<id::VmId, TrackedVm>,
    notices: Vec<StoredNotice>,
    offers: Vec<cloud::VmOffer>,
    /// Addresses that are not used by a VM yet.
    spares: Vec<SpareAddress>,
    /// Responses to earlier start requests, returned again for a retry.
    start_responses: collections::HashMap<id::WriteId, cloud::StartResponse>,
    /// Whether all starts are refused.
    refuses_starts: bool,
    /// Number of VMs started so far, from which their ids are formed.
    started_count: u64,
}

/// Address of a running process that can become the upstream of a VM that is started later.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SpareAddress {
    /// Availability zone of the process.
    pub zone: id::ZoneId,
    /// Pool of the upstream.
    pub pool: id::RecordId,
    /// Address on which the process listens.
    pub address: net::SocketAddr,
}

/// The VMs that a reclaim affects.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReclaimScope {
    /// One VM.
    Vm(id::VmId),
    /// Every reclaimable VM of an availability zone.
    Zone(id::ZoneId),
}

/// A VM, and the times from which the list shows its changes.
#[derive(Clone, Debug)]
struct TrackedVm {
    entry: cloud::VmEntry,
    /// Time from which the list shows the VM.
    listed_from: time::MonotonicTime,
    /// Time from which the list shows the VM as leaving.
    leaving_from: Option<time::MonotonicTime>,
    /// Time from which the list no longer shows the VM.
    unlisted_from: Option<time::MonotonicTime>,
}

#[derive(Clone, Debug)]
struct StoredNotice {
    vm: id::VmId,
    /// When the VM is reclaimed.
    deadline: time::MonotonicTime,
}

impl VmFleet {
    /// Creates a cloud without VMs. Its list shows each change of a VM after `list_lag`.
    pub fn new(list_lag: time::Millis) -> Self {
        VmFleet { list_lag, ..VmFleet::default() }
    }

    /// Adds a VM, or replaces the VM with the same id. The list shows the VM at once.
    pub fn put(&mut self, entry: cloud::VmEntry, now: time::MonotonicTime) {
        let id = entry.id.clone();
        let tracked =
            TrackedVm { entry, listed_from: now, leaving_from: None, unlisted_from: None };
        self.vms.insert(id, tracked);
    }

    /// Removes a VM. The list shows the VM until the lag has passed.
    pub fn remove(&mut self, id: &id::VmId, now: time::MonotonicTime) {
        let unlisted_from = now + self.list_lag;
        if let Some(tracked) = self.vms.get_mut(id) {
            // A VM that was removed before keeps the earlier time.
            let earlier_time = tracked.unlisted_from.unwrap_or(unlisted_from);
            tracked.unlisted_from = Some(earlier_time.min(unlisted_from));
        }
    }

    /// Announces the reclaim of the VMs in `scope` after `remaining`, and returns their ids.
    pub fn reclaim(
        &mut self,
        scope: &ReclaimScope,
        remaining: time::Millis,
        now: time::MonotonicTime,
    ) -> Vec<id::VmId> {
        let deadline = now + remaining;
        let lag = self.list_lag;
        let mut reclaimed = Vec::new();
        for tracked in self.vms.values_mut().filter(|tracked| is_in_scope(&tracked.entry, scope)) {
            tracked.leaving_from = Some(now + lag);
            tracked.unlisted_from = Some(deadline + lag);
            reclaimed.push(tracked.entry.id.clone());
        }
        self.notices.extend(reclaimed.iter().map(|vm| StoredNotice { vm: vm.clone(), deadline }));
        reclaimed
    }

    /// Returns the list of VMs at `now`.
    pub fn list(&self, now: time::MonotonicTime) -> Vec<cloud::VmEntry> {
        self.vms.values().filter_map(|tracked| tracked.listed_entry(now)).collect()
    }

    /// Returns the notices with sequence numbers greater than `after_serial`.
    pub fn notices(
        &self,
        after_serial: u64,
        now: time::MonotonicTime,
    ) -> Vec<cloud::ReclaimNotice> {
        let numbered = (1_u64..).zip(&self.notices);
        numbered
            .filter(|(number, _)| *number > after_serial)
            .map(|(number, stored)| cloud::ReclaimNotice {
                serial: number,
                vm: stored.vm.clone(),
                remaining: stored.deadline.since(now),
            })
            .collect()
    }

    /// Replaces the offers.
    pub fn set_offers(&mut self, offers: Vec<cloud::VmOffer>) {
        self.offers = offers;
    }

    /// Returns the current offers.
    pub fn offers(&self) -> &[cloud::VmOffer] {
        &self.offers
    }

    /// Adds the address of a process for a VM that is started later.
    pub fn add_spare(&mut self, spare: SpareAddress) {
        self.spares.push(spare);
    }

    /// Sets whether all starts are refused.
    pub fn refuse_starts(&mut self, refuses_all: bool) {
        self.refuses_starts = refuses_all;
    }

    /// Starts a VM at a spare address, or refuses if there is none for the zone and the pool.
    ///
    /// A request with the write id of an earlier one gets the same response again.
    pub fn start(
        &mut self,
        request: &cloud::StartRequest,
        now: time::MonotonicTime,
    ) -> cloud::StartResponse {
        if let Some(response) = self.start_responses.get(&request.write_id) {
            return response.clone();
        }
        let response = self.start_new(request, now);
        self.start_responses.insert(request.write_id.clone(), response.clone());
        response
    }

    /// Starts a VM for a request that is not a retry.
    fn start_new(
        &mut self,
        request: &cloud::StartRequest,
        now: time::MonotonicTime,
    ) -> cloud::StartResponse {
        if self.refuses_starts {
            return cloud::StartResponse::Refused;
        }
        let is_match =
            |spare: &SpareAddress| spare.zone == request.offer.zone && spare.pool == request.pool;
        let Some(index) = self.spares.iter().position(is_match) else {
            return cloud::StartResponse::Refused;
        };
        let spare = self.spares.remove(index);
        self.started_count += 1;
        let id: id::VmId = format!("{}-started-{}", spare.zone, self.started_count)
            .parse()
            .expect("a zone and a number form an identifier");
        let role = cloud::VmRole::Upstream { pool: spare.pool, address: spare.address };
        let entry = cloud::VmEntry {
            id: id.clone(),
            zone: spare.zone,
            class: request.offer.class.clone(),
            reclaimable: request.offer.reclaimable,
            price: request.offer.price,
            state: cloud::VmState::Live,
            role,
        };
        self.put(entry, now + self.list_lag);
        cloud::StartResponse::Started(id)
    }

    /// Releases a VM.
    pub fn release(&mut self, id: &id::VmId, now: time::MonotonicTime) {
        self.remove(id, now);
    }
}

impl TrackedVm {
    /// Returns the entry of the VM in the list at `now`, if the list shows the VM.
    fn listed_entry(&self, now: time::MonotonicTime) -> Option<cloud::VmEntry> {
        let is_unlisted = self.unlisted_from.is_some_and(|unlisted_from| unlisted_from <= now);
        if is_unlisted || self.listed_from > now {
            return None;
        }
        let is_leaving = self.leaving_from.is_some_and(|leaving_from| leaving_from <= now);
        let state = if is_leaving { cloud::VmState::Leaving } else { self.entry.state };
        Some(cloud::VmEntry { state, ..self.entry.clone() })
    }
}

fn is_in_scope(entry: &cloud::VmEntry, scope: &ReclaimScope) -> bool {
    match scope {
        ReclaimScope::Vm(id) => entry.id == *id,
        ReclaimScope::Zone(zone) => entry.zone == *zone && entry.reclaimable,
    }
}
