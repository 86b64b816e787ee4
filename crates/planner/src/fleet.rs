//! What the planner knows of the VMs.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use smallvec::SmallVec;

/// One replica with its VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetReplica {
    /// The replica.
    pub id: id::ReplicaId,
    /// Its VM.
    pub vm: id::VmId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Its pool.
    pub pool: id::RecordId,
    /// Class of its VM.
    pub class: id::VmClass,
    /// Whether the cloud may reclaim its VM.
    pub reclaimable: bool,
    /// Price of its VM.
    pub price: quantity::MicroPrice,
    /// Its state.
    pub state: zone::UpstreamState,
    /// Models that it has loaded.
    pub models: SmallVec<[set::LoadedModel; 2]>,
    /// Models that it was ordered to load and has not loaded yet.
    pub loading: SmallVec<[set::LoadedModel; 2]>,
    /// Its role, where it reports one.
    pub role: Option<EngineRole>,
    /// Its last load report.
    pub load: zone::LoadReport,
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineRole {
    /// Computes prompts and answers.
    Both,
    /// Computes prompts only.
    Prefill,
    /// Computes answers only.
    Decode,
}

impl FleetReplica {
    /// Whether it serves, or will once it is ready.
    pub fn is_active(&self) -> bool {
        matches!(self.state, zone::UpstreamState::Live | zone::UpstreamState::Joining)
    }

    /// The replica as a purchase.
    pub fn pool_vm(&self) -> PoolVm {
        PoolVm {
            zone: self.zone.clone(),
            reclaimable: self.reclaimable,
            price: self.price,
            vm: self.vm.clone(),
        }
    }
}

/// A VM that a pool has, or has ordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolVm {
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Whether the cloud may reclaim it.
    pub reclaimable: bool,
    /// Its price.
    pub price: quantity::MicroPrice,
    /// The VM.
    pub vm: id::VmId,
}

/// Numbers of a pool's VMs, which is all that purchases depend on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VmCounts {
    count: u32,
    zones: collections::BTreeMap<id::ZoneId, ZoneCounts>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct ZoneCounts {
    count: u32,
    reclaimable: u32,
}

impl VmCounts {
    /// Counts the VMs.
    pub fn of(held: &[PoolVm]) -> Self {
        let mut counts = VmCounts::default();
        held.iter().for_each(|holding| counts.add(&holding.zone, holding.reclaimable));
        counts
    }

    /// VMs in all.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// VMs in an availability zone.
    pub fn in_zone(&self, zone: &id::ZoneId) -> u32 {
        self.zones.get(zone).map_or(0, |counts| counts.count)
    }

    /// VMs that are left after the worst loss of one availability zone's reclaimable VMs.
    pub fn count_after_zone_loss(&self) -> u32 {
        let lost = self.zones.values().map(|counts| counts.reclaimable).max();
        self.count - lost.unwrap_or(0)
    }

    /// As [`count_after_zone_loss`](VmCounts::count_after_zone_loss) with one VM more.
    pub fn count_after_loss_with(&self, zone: &id::ZoneId, reclaimable: bool) -> u32 {
        let grown = |known: &id::ZoneId| u32::from(reclaimable && known == zone);
        let lost = self.zones.iter().map(|(known, counts)| counts.reclaimable + grown(known));
        let lost = lost.max().unwrap_or(0).max(u32::from(reclaimable));
        self.count + 1 - lost
    }

    /// As [`count_after_zone_loss`](VmCounts::count_after_zone_loss) with one VM fewer.
    pub fn count_after_loss_without(&self, zone: &id::ZoneId, reclaimable: bool) -> u32 {
        let shrunk = |known: &id::ZoneId| u32::from(reclaimable && known == zone);
        let lost = self
            .zones
            .iter()
            .map(|(known, counts)| counts.reclaimable.saturating_sub(shrunk(known)));
        self.count.saturating_sub(1) - lost.max().unwrap_or(0).min(self.count.saturating_sub(1))
    }

    /// Counts one VM more.
    pub fn add(&mut self, zone: &id::ZoneId, reclaimable: bool) {
        self.count += 1;
        let counts = self.zones.entry(zone.clone()).or_default();
        counts.count += 1;
        counts.reclaimable += u32::from(reclaimable);
    }

    /// Counts one VM fewer.
    pub fn remove(&mut self, zone: &id::ZoneId, reclaimable: bool) {
        self.count = self.count.saturating_sub(1);
        let Some(counts) = self.zones.get_mut(zone) else { return };
        counts.count = counts.count.saturating_sub(1);
        counts.reclaimable = counts.reclaimable.saturating_sub(u32::from(reclaimable));
    }
}
