//! The cloud's VMs, notices and offers, as pure state with a lagging list.

use std::collections;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::cloud;

/// The VMs of the cloud.
#[derive(Clone, Debug, Default)]
pub struct VmFleet {
    /// Time by which the list is behind.
    list_lag: time::Millis,
    vms: collections::BTreeMap<id::VmId, TrackedVm>,
    notices: Vec<StoredNotice>,
    offers: Vec<cloud::VmOffer>,
    spares: Vec<SpareAddress>,
    starts: collections::HashMap<id::WriteId, cloud::StartResponse>,
    refuses_starts: bool,
    started_count: u64,
}

/// Address at which a process waits to become the upstream of a VM that is started later.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SpareAddress {
    /// Availability zone of the process.
    pub zone: id::ZoneId,
    /// Pool that it can serve.
    pub pool: id::RecordId,
    /// Where it listens.
    pub address: net::SocketAddr,
}

/// What is reclaimed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReclaimScope {
    /// One VM.
    Vm(id::VmId),
    /// Every reclaimable VM of an availability zone.
    Zone(id::ZoneId),
}

#[derive(Clone, Debug)]
struct TrackedVm {
    entry: cloud::VmEntry,
    shown_from: time::MonotonicTime,
    leaving_from: Option<time::MonotonicTime>,
    hidden_from: Option<time::MonotonicTime>,
}

#[derive(Clone, Debug)]
struct StoredNotice {
    vm: id::VmId,
    deadline: time::MonotonicTime,
}

impl VmFleet {
    /// An empty cloud whose list is behind by `list_lag`.
    pub fn new(list_lag: time::Millis) -> Self {
        VmFleet { list_lag, ..VmFleet::default() }
    }

    /// Adds a VM, or replaces the one with its id, without lag.
    pub fn put(&mut self, entry: cloud::VmEntry, now: time::MonotonicTime) {
        let id = entry.id.clone();
        let tracked = TrackedVm { entry, shown_from: now, leaving_from: None, hidden_from: None };
        self.vms.insert(id, tracked);
    }

    /// Takes a VM out; the list shows it for the lag.
    pub fn remove(&mut self, id: &id::VmId, now: time::MonotonicTime) {
        let hidden_from = now + self.list_lag;
        if let Some(tracked) = self.vms.get_mut(id) {
            // A VM that was removed before keeps its earlier end.
            let earlier = tracked.hidden_from.unwrap_or(hidden_from);
            tracked.hidden_from = Some(earlier.min(hidden_from));
        }
    }

    /// Announces the reclaim of VMs after `remaining` and returns them.
    pub fn reclaim(
        &mut self,
        scope: &ReclaimScope,
        remaining: time::Millis,
        now: time::MonotonicTime,
    ) -> Vec<id::VmId> {
        let deadline = now + remaining;
        let lag = self.list_lag;
        let mut announced = Vec::new();
        for tracked in self.vms.values_mut().filter(|tracked| is_in_scope(&tracked.entry, scope)) {
            tracked.leaving_from = Some(now + lag);
            tracked.hidden_from = Some(deadline + lag);
            announced.push(tracked.entry.id.clone());
        }
        self.notices.extend(announced.iter().map(|vm| StoredNotice { vm: vm.clone(), deadline }));
        announced
    }

    /// The list as it is shown now.
    pub fn list(&self, now: time::MonotonicTime) -> Vec<cloud::VmEntry> {
        self.vms.values().filter_map(|tracked| tracked.shown(now)).collect()
    }

    /// Notices after `serial`.
    pub fn notices(&self, serial: u64, now: time::MonotonicTime) -> Vec<cloud::ReclaimNotice> {
        let numbered = (1_u64..).zip(&self.notices);
        numbered
            .filter(|(number, _)| *number > serial)
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

    /// Present offers.
    pub fn offers(&self) -> &[cloud::VmOffer] {
        &self.offers
    }

    /// Adds an address for a VM that is started later.
    pub fn add_spare(&mut self, spare: SpareAddress) {
        self.spares.push(spare);
    }

    /// From now on refuses starts, or accepts them again.
    pub fn refuse_starts(&mut self, refuses: bool) {
        self.refuses_starts = refuses;
    }

    /// Starts a VM at a spare address; without one there is no capacity. Idempotent by write id.
    pub fn start(
        &mut self,
        start: &cloud::StartRequest,
        now: time::MonotonicTime,
    ) -> cloud::StartResponse {
        if let Some(answer) = self.starts.get(&start.write_id) {
            return answer.clone();
        }
        let answer = self.start_new(start, now);
        self.starts.insert(start.write_id.clone(), answer.clone());
        answer
    }

    fn start_new(
        &mut self,
        start: &cloud::StartRequest,
        now: time::MonotonicTime,
    ) -> cloud::StartResponse {
        if self.refuses_starts {
            return cloud::StartResponse::Refused;
        }
        let wanted =
            |spare: &SpareAddress| spare.zone == start.offer.zone && spare.pool == start.pool;
        let Some(index) = self.spares.iter().position(wanted) else {
            return cloud::StartResponse::Refused;
        };
        let spare = self.spares.remove(index);
        self.started_count += 1;
        let id: id::VmId = format!("{}-started-{}", spare.zone, self.started_count)
            .parse()
            .expect("a zone and a number make an identifier");
        let role = cloud::VmRole::Upstream { pool: spare.pool, address: spare.address };
        let entry = cloud::VmEntry {
            id: id.clone(),
            zone: spare.zone,
            class: start.offer.class.clone(),
            reclaimable: start.offer.reclaimable,
            price: start.offer.price,
            state: cloud::VmState::Live,
            role,
        };
        self.put(entry, now + self.list_lag);
        cloud::StartResponse::Started(id)
    }

    /// Gives a VM back.
    pub fn release(&mut self, id: &id::VmId, now: time::MonotonicTime) {
        self.remove(id, now);
    }
}

impl TrackedVm {
    fn shown(&self, now: time::MonotonicTime) -> Option<cloud::VmEntry> {
        let is_hidden = self.hidden_from.is_some_and(|hidden_from| hidden_from <= now);
        if is_hidden || self.shown_from > now {
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
