//! State that the scored policy keeps for each replica, and the lists from which it draws
//! candidates.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_view::zone;
use smallvec::SmallVec;

use crate::health;
use crate::latency;
use crate::picker;
use crate::prefix_index;
use crate::queue;

/// A request that was dispatched and has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    pub(crate) dispatched_at: time::MonotonicTime,
    pub(crate) prompt_tokens: quantity::TokenCount,
    /// Number of prompt tokens that the replica was expected to have cached at the dispatch.
    pub(crate) expected_hit: quantity::TokenCount,
    /// Reuse distance of the expected hit at the dispatch.
    pub(crate) reuse_distance: quantity::TokenCount,
    /// Forecast of the time to the first token at baseline speed.
    pub(crate) forecast_ttft_ms: f64,
}

/// State of one replica.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    pub(crate) id: id::ReplicaId,
    pub(crate) pool: id::RecordId,
    /// Whether the replica is in the availability zone of the daemon.
    pub(crate) is_local: bool,
    /// Price of the VM, in the unit of [`quantity::MicroPrice`].
    pub(crate) price: f64,
    /// Concurrency of a replica, by the record of the pool.
    pub(crate) concurrency: u32,
    /// Probability that the VM is reclaimed during a request.
    pub(crate) reclaim_risk: f64,
    pub(crate) queue: queue::QueueEstimate,
    pub(crate) latency: latency::LatencyEstimate,
    pub(crate) health: health::HealthTracker,
    pub(crate) open_requests: Vec<OpenRequest>,
    /// Services that the replica is eligible for.
    services: SmallVec<[id::ServiceId; 4]>,
    /// Value of [`ReplicaIndex::sync_count`] at the last view that held the replica.
    last_sync: u64,
}

impl ReplicaState {
    /// Returns whether the replica is eligible for the service.
    pub(crate) fn serves(&self, service: &id::ServiceId) -> bool {
        self.services.contains(service)
    }
}

/// Replicas that may serve one service.
#[derive(Debug, Default)]
pub(crate) struct ServiceList {
    /// Pools of the replicas.
    pub(crate) pools: SmallVec<[id::RecordId; 2]>,
    /// Replicas in the availability zone of the daemon.
    pub(crate) local: Vec<prefix_index::ReplicaSlot>,
    /// Replicas in other availability zones.
    pub(crate) remote: Vec<prefix_index::ReplicaSlot>,
    pub(crate) mean_price: f64,
    price_sum: f64,
}

impl ServiceList {
    /// Returns the number of replicas in all availability zones.
    pub(crate) fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    /// Returns every replica, local ones first.
    pub(crate) fn slots(&self) -> impl Iterator<Item = prefix_index::ReplicaSlot> {
        self.local.iter().chain(&self.remote).copied()
    }
}

/// State of one pool.
#[derive(Debug, Default)]
pub(crate) struct PoolState {
    pub(crate) latency: latency::PoolLatency,
    /// Number of live replicas.
    pub(crate) replica_count: usize,
    /// Replicas that are not healthy: ejected or being probed.
    pub(crate) unhealthy: SmallVec<[prefix_index::ReplicaSlot; 4]>,
}

/// Identity of a view: the incarnation of its publisher and its serial number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ViewVersion {
    incarnation: quantity::Incarnation,
    serial: u64,
}

/// Index of the replicas in the latest view.
#[derive(Debug, Default)]
pub(crate) struct ReplicaIndex {
    view_version: Option<ViewVersion>,
    /// Number of views that were applied.
    sync_count: u64,
    live_daemon_count: u32,
    slots: collections::HashMap<id::ReplicaId, prefix_index::ReplicaSlot>,
    /// State of each replica, indexed by its slot; `None` for a free slot.
    states: Vec<Option<ReplicaState>>,
    free_slots: Vec<prefix_index::ReplicaSlot>,
    services: collections::HashMap<id::ServiceId, ServiceList>,
    pools: collections::HashMap<id::RecordId, PoolState>,
}

/// Share of reclaimable VMs that are reclaimed during a request while no reclaim wave is going on.
const BASE_RECLAIM_RISK: f64 = 0.002;

impl ReplicaIndex {
    /// Applies a view unless it is the current one; returns the slots that were freed.
    pub(crate) fn sync(
        &mut self,
        view: &zone::ZoneView,
        now: time::MonotonicTime,
    ) -> SmallVec<[prefix_index::ReplicaSlot; 4]> {
        let view_version = ViewVersion { incarnation: view.incarnation, serial: view.serial };
        if self.view_version == Some(view_version) {
            return SmallVec::new();
        }
        self.view_version = Some(view_version);
        self.sync_count += 1;
        let daemons = view.daemons.iter();
        let live_daemons =
            daemons.filter(|daemon| daemon.state == zone::UpstreamState::Live).count();
        self.live_daemon_count = u32::try_from(live_daemons).unwrap_or(u32::MAX).max(1);
        let risks = reclaim_risks(view);
        for list in self.services.values_mut() {
            *list = ServiceList::default();
        }
        for pool in self.pools.values_mut() {
            pool.replica_count = 0;
            pool.unhealthy.clear();
        }
        for replica in &view.replicas {
            let risk = risks.get(&replica.zone).copied().unwrap_or(BASE_RECLAIM_RISK);
            let slot = self.update_replica(view, replica, risk, now);
            self.list_for_services(view, replica, slot);
        }
        for list in self.services.values_mut() {
            list.mean_price = list.price_sum / list.len().max(1) as f64;
        }
        self.remove_missing()
    }

    /// Returns the number of live daemons, including this one.
    pub(crate) fn live_daemon_count(&self) -> u32 {
        self.live_daemon_count
    }

    pub(crate) fn service(&self, service: &id::ServiceId) -> Option<&ServiceList> {
        self.services.get(service)
    }

    pub(crate) fn slot(&self, replica: &id::ReplicaId) -> Option<prefix_index::ReplicaSlot> {
        self.slots.get(replica).copied()
    }

    pub(crate) fn state(&self, slot: prefix_index::ReplicaSlot) -> Option<&ReplicaState> {
        self.states.get(slot.0 as usize)?.as_ref()
    }

    pub(crate) fn state_mut(
        &mut self,
        slot: prefix_index::ReplicaSlot,
    ) -> Option<&mut ReplicaState> {
        self.states.get_mut(slot.0 as usize)?.as_mut()
    }

    pub(crate) fn pool_mut(&mut self, pool: &id::RecordId) -> &mut PoolState {
        self.pools.entry(pool.clone()).or_default()
    }

    pub(crate) fn pool(&self, pool: &id::RecordId) -> Option<&PoolState> {
        self.pools.get(pool)
    }

    fn update_replica(
        &mut self,
        view: &zone::ZoneView,
        replica: &zone::ReplicaView,
        zone_reclaim_risk: f64,
        now: time::MonotonicTime,
    ) -> prefix_index::ReplicaSlot {
        let slot = self.slot_for(replica);
        let sync_count = self.sync_count;
        let concurrency = view.records.pool(&replica.pool).map_or(1, |pool| pool.concurrency);
        if let Some(state) = self.state_mut(slot) {
            state.last_sync = sync_count;
            state.services.clear();
            state.pool = replica.pool.clone();
            state.is_local = replica.zone == view.zone;
            state.price = replica.price.get() as f64;
            state.concurrency = concurrency;
            state.reclaim_risk = if replica.reclaimable { zone_reclaim_risk } else { 0.0 };
            state.queue.on_load_report(&replica.load, now);
        }
        slot
    }

    /// Returns the slot of the replica, and assigns one to a new replica.
    fn slot_for(&mut self, replica: &zone::ReplicaView) -> prefix_index::ReplicaSlot {
        if let Some(slot) = self.slots.get(&replica.id) {
            return *slot;
        }
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.states.push(None);
            prefix_index::ReplicaSlot(self.states.len() as u32 - 1)
        });
        self.slots.insert(replica.id.clone(), slot);
        self.states[slot.0 as usize] = Some(ReplicaState {
            id: replica.id.clone(),
            pool: replica.pool.clone(),
            is_local: false,
            price: 0.0,
            concurrency: 1,
            reclaim_risk: 0.0,
            queue: queue::QueueEstimate::default(),
            latency: latency::LatencyEstimate::default(),
            health: health::HealthTracker::default(),
            open_requests: Vec::new(),
            services: SmallVec::new(),
            last_sync: 0,
        });
        slot
    }

    /// Adds a live replica to its pool and to the lists of the services that it is eligible for.
    fn list_for_services(
        &mut self,
        view: &zone::ZoneView,
        replica: &zone::ReplicaView,
        slot: prefix_index::ReplicaSlot,
    ) {
        if replica.state != zone::UpstreamState::Live {
            return;
        }
        let Some(pool) = view.records.pool(&replica.pool) else { return };
        let is_unhealthy = self.state(slot).is_some_and(|state| !state.health.is_healthy());
        let pool_state = self.pool_mut(&replica.pool);
        pool_state.replica_count += 1;
        if is_unhealthy {
            pool_state.unhealthy.push(slot);
        }
        for service in &pool.services {
            let Some(record) = view.records.service(service) else { continue };
            if !picker::is_eligible(&view.records, record, replica) {
                continue;
            }
            let list = self.services.entry(service.clone()).or_default();
            list.price_sum += replica.price.get() as f64;
            if !list.pools.contains(&replica.pool) {
                list.pools.push(replica.pool.clone());
            }
            let is_local = replica.zone == view.zone;
            let slots = if is_local { &mut list.local } else { &mut list.remote };
            slots.push(slot);
            if let Some(state) = self.state_mut(slot) {
                state.services.push(service.clone());
            }
        }
    }

    /// Removes the replicas that the latest view does not hold; returns their slots.
    fn remove_missing(&mut self) -> SmallVec<[prefix_index::ReplicaSlot; 4]> {
        let mut removed = SmallVec::new();
        for (slot_index, entry) in self.states.iter_mut().enumerate() {
            let is_missing = entry.as_ref().is_some_and(|state| state.last_sync != self.sync_count);
            if !is_missing {
                continue;
            }
            let slot = prefix_index::ReplicaSlot(slot_index as u32);
            if let Some(state) = entry.take() {
                self.slots.remove(&state.id);
            }
            self.free_slots.push(slot);
            removed.push(slot);
        }
        removed
    }
}

/// Returns, for each availability zone, the share of its reclaimable replicas that is leaving, but
/// at least [`BASE_RECLAIM_RISK`]. Reclaims come in waves, so the remaining reclaimable replicas
/// are likely to follow.
fn reclaim_risks(view: &zone::ZoneView) -> collections::BTreeMap<id::ZoneId, f64> {
    let mut counts: collections::BTreeMap<&id::ZoneId, (u32, u32)> = collections::BTreeMap::new();
    for replica in view.replicas.iter().filter(|replica| replica.reclaimable) {
        let (leaving, total) = counts.entry(&replica.zone).or_default();
        *total += 1;
        *leaving += u32::from(replica.state == zone::UpstreamState::Leaving);
    }
    let reclaim_risk = |(leaving, total): (u32, u32)| {
        (f64::from(leaving) / f64::from(total.max(1))).max(BASE_RECLAIM_RISK)
    };
    counts.into_iter().map(|(zone, count)| (zone.clone(), reclaim_risk(count))).collect()
}
