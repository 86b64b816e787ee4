//! Replicas and VMs, as the planner sees them.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;

/// A replica with its VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetReplica {
    /// Id of the replica.
    pub id: id::ReplicaId,
    /// VM of the replica.
    pub vm: id::VmId,
    /// Availability zone of the VM.
    pub zone: id::ZoneId,
    /// Pool of the replica.
    pub pool: id::RecordId,
    /// Class of the VM.
    pub class: id::VmClass,
    /// Whether the cloud may reclaim the VM.
    pub reclaimable: bool,
    /// Price of the VM.
    pub price: quantity::MicroPrice,
    /// State of the replica.
    pub state: zone::UpstreamState,
    /// Models that the replica has loaded.
    pub models: SmallVec<[set::LoadedModel; 2]>,
    /// Models that the replica was instructed to load and has not loaded yet.
    pub loading: SmallVec<[set::LoadedModel; 2]>,
    /// Role of the engine, if it reports one.
    pub role: Option<EngineRole>,
    /// Last load report of the replica.
    pub load: zone::LoadReport,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineRole {
    /// Prefill and decode.
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

impl FleetReplica {
    /// Returns whether the replica serves requests, or will once it is ready.
    pub fn is_active(&self) -> bool {
        matches!(self.state, zone::UpstreamState::Live | zone::UpstreamState::Joining)
    }

    /// Returns the VM of the replica as a VM of its pool.
    pub fn pool_vm(&self) -> PoolVm {
        PoolVm {
            zone: self.zone.clone(),
            reclaimable: self.reclaimable,
            price: self.price,
            vm: self.vm.clone(),
        }
    }
}

/// A VM that a pool has or whose start was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolVm {
    /// Availability zone of the VM.
    pub zone: id::ZoneId,
    /// Whether the cloud may reclaim the VM.
    pub reclaimable: bool,
    /// Price of the VM.
    pub price: quantity::MicroPrice,
    /// Id of the VM.
    pub vm: id::VmId,
}

/// Numbers of VMs in a pool, by availability zone. Purchases depend on these numbers only.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmCounts {
    /// Total number of VMs.
    count: u32,
    zones: collections::BTreeMap<id::ZoneId, ZoneCounts>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ZoneCounts {
    /// Number of VMs in the availability zone, reclaimable or not.
    count: u32,
    /// Number of reclaimable VMs in the availability zone.
    reclaimable: u32,
}

impl VmCounts {
    /// Counts the VMs.
    pub fn from_pool_vms(pool_vms: &[PoolVm]) -> Self {
        let mut counts = VmCounts::default();
        pool_vms.iter().for_each(|pool_vm| counts.add(&pool_vm.zone, pool_vm.reclaimable));
        counts
    }

    /// Returns the total number of VMs.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the number of VMs in an availability zone.
    pub fn in_zone(&self, zone: &id::ZoneId) -> u32 {
        self.zones.get(zone).map_or(0, |counts| counts.count)
    }

    /// Returns the number of VMs that remain if one availability zone, the worst case, loses all
    /// its reclaimable VMs.
    pub fn count_after_zone_loss(&self) -> u32 {
        let lost = self.zones.values().map(|counts| counts.reclaimable).max();
        self.count - lost.unwrap_or(0)
    }

    /// Returns [`count_after_zone_loss`](VmCounts::count_after_zone_loss) as it would be with one
    /// more VM.
    pub fn count_after_loss_with(&self, zone: &id::ZoneId, reclaimable: bool) -> u32 {
        let added_in = |zone_id: &id::ZoneId| u32::from(reclaimable && zone_id == zone);
        let reclaimable_by_zone =
            self.zones.iter().map(|(zone_id, counts)| counts.reclaimable + added_in(zone_id));
        let lost = reclaimable_by_zone.max().unwrap_or(0).max(u32::from(reclaimable));
        self.count + 1 - lost
    }

    /// Returns [`count_after_zone_loss`](VmCounts::count_after_zone_loss) as it would be with one
    /// VM fewer.
    pub fn count_after_loss_without(&self, zone: &id::ZoneId, reclaimable: bool) -> u32 {
        let removed_in = |zone_id: &id::ZoneId| u32::from(reclaimable && zone_id == zone);
        let reclaimable_by_zone = self
            .zones
            .iter()
            .map(|(zone_id, counts)| counts.reclaimable.saturating_sub(removed_in(zone_id)));
        self.count.saturating_sub(1)
            - reclaimable_by_zone.max().unwrap_or(0).min(self.count.saturating_sub(1))
    }

    /// Adds one VM.
    pub fn add(&mut self, zone: &id::ZoneId, reclaimable: bool) {
        self.count += 1;
        let counts = self.zones.entry(zone.clone()).or_default();
        counts.count += 1;
        counts.reclaimable += u32::from(reclaimable);
    }

    /// Removes one VM.
    pub fn remove(&mut self, zone: &id::ZoneId, reclaimable: bool) {
        self.count = self.count.saturating_sub(1);
        let Some(counts) = self.zones.get_mut(zone) else { return };
        counts.count = counts.count.saturating_sub(1);
        counts.reclaimable = counts.reclaimable.saturating_sub(u32::from(reclaimable));
    }
}
