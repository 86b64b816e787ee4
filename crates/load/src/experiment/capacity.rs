//! A simulated cloud, for experiments with the planner.

use std::collections;
use std::fmt;
use std::time::Duration;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_planner::fleet;
use samphiremoor_planner::placement;
use samphiremoor_planner::plan;
use samphiremoor_planner::planner;
use samphiremoor_planner::purchase;
use samphiremoor_platform::cloud;
use samphiremoor_records::set;
use samphiremoor_view::zone;
use serde::Serialize;
use smallvec::SmallVec;

use crate::experiment::deployment;

/// Interval between two plans.
pub const PLAN_INTERVAL: Duration = Duration::from_secs(2);
/// Time from an accepted start of a VM until its replica is live.
pub const START_TIME: Duration = Duration::from_secs(25);
/// Time after the start of a reclaim wave during which no reclaimable VM can be started in its
/// zone.
const WAVE_ZONE_REFUSAL_TIME: Duration = Duration::from_secs(90);
/// Time after the start of a reclaim wave during which no reclaimable VM can be started in other
/// zones.
const OTHER_ZONES_REFUSAL_TIME: Duration = Duration::from_secs(30);
/// Maximum number of plans for the initial fleet.
const MAX_INITIAL_PLANS: usize = 20;

/// Purchase policy for VMs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CapacityKind {
    /// Only VMs that can't be reclaimed.
    OnDemand,
    /// The cheapest offer, reclaimable or not.
    Cheapest,
    /// The balanced policy, which the control threads use.
    Balanced,
}

impl CapacityKind {
    /// All purchase policies, in the order of the tables.
    pub const ALL: [CapacityKind; 3] =
        [CapacityKind::OnDemand, CapacityKind::Cheapest, CapacityKind::Balanced];

    fn planner(self) -> planner::FleetPlanner {
        let policy: Box<dyn purchase::PurchasePolicy> = match self {
            CapacityKind::OnDemand => Box::new(purchase::OnDemandPurchase),
            CapacityKind::Cheapest => Box::new(purchase::CheapestPurchase),
            CapacityKind::Balanced => Box::new(purchase::BalancedPurchase),
        };
        planner::FleetPlanner::new(policy, placement::PlacementLimits::default())
    }
}

impl fmt::Display for CapacityKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            CapacityKind::OnDemand => "on-demand only",
            CapacityKind::Cheapest => "cheapest only",
            CapacityKind::Balanced => "ours",
        })
    }
}

/// A planner and the cloud from which it buys VMs.
pub struct SimCloud {
    planner: planner::FleetPlanner,
    records: set::RecordSet,
    offers: Vec<cloud::VmOffer>,
    started_count: u32,
    wave: Option<ReclaimWave>,
    /// Number of refused starts.
    pub refused_count: u64,
}

struct ReclaimWave {
    zone: id::ZoneId,
    started_at: Duration,
}

/// A change of the fleet that results from a plan.
#[derive(Clone, Debug)]
pub enum CloudChange {
    /// A VM is started.
    Start(Box<zone::ReplicaView>),
    /// A VM is drained and then released.
    Release(id::VmId),
}

impl SimCloud {
    /// Creates a cloud with the deployment's offers and the pools that serve models.
    pub fn new(kind: CapacityKind, deployment: &deployment::Deployment) -> Self {
        let mut records = deployment.records.clone();
        let serves_models = |pool: &set::PoolRecord| {
            !deployment::models_of(&deployment.records, &pool.id).is_empty()
        };
        records.pools.retain(serves_models);
        SimCloud {
            planner: kind.planner(),
            records,
            offers: deployment.offers.clone(),
            started_count: 0,
            wave: None,
            refused_count: 0,
        }
    }

    /// Buys the fleet for a load of `rate_factor` before the run starts.
    pub fn initial_fleet(
        &mut self,
        deployment: &deployment::Deployment,
        rate_factor: f64,
    ) -> Vec<zone::ReplicaView> {
        let mut engines: Vec<zone::ReplicaView> = Vec::new();
        for _ in 0..MAX_INITIAL_PLANS {
            let mut fleet = engines.clone();
            assign_load(&mut fleet, &self.records, deployment, rate_factor);
            let changes = self.plan(&fleet, time::MonotonicTime::new(1), Duration::ZERO);
            let starts: Vec<zone::ReplicaView> = changes
                .into_iter()
                .filter_map(|change| match change {
                    CloudChange::Start(mut view) => {
                        view.state = zone::UpstreamState::Live;
                        Some(*view)
                    }
                    CloudChange::Release(_) => None,
                })
                .collect();
            if starts.is_empty() && !engines.is_empty() {
                break;
            }
            engines.extend(starts);
        }
        let is_plain = |replica: &&zone::ReplicaView| replica.models.is_empty();
        engines.extend(deployment.replicas.iter().filter(is_plain).cloned());
        engines
    }

    /// Starts a reclaim wave: starts of reclaimable VMs are refused for some time.
    pub fn start_wave(&mut self, zone: id::ZoneId, now: Duration) {
        self.wave = Some(ReclaimWave { zone, started_at: now });
    }

    /// Makes a plan and executes its starts and releases.
    pub fn plan(
        &mut self,
        replicas: &[zone::ReplicaView],
        now: time::MonotonicTime,
        sim_time: Duration,
    ) -> Vec<CloudChange> {
        let fleet: Vec<fleet::FleetReplica> = replicas.iter().map(fleet_replica).collect();
        let input = planner::PlanInput {
            records: &self.records,
            replicas: &fleet,
            offers: &self.offers,
            now,
        };
        let plan = self.planner.plan(&input);
        let mut changes = Vec::new();
        for planned in plan.actions {
            match planned.action {
                plan::PlanAction::Start { pool, offer } if self.is_refused(&offer, sim_time) => {
                    let _ = pool;
                    self.refused_count += 1;
                    self.planner.on_start_refused(&offer, now);
                }
                plan::PlanAction::Start { pool, offer } => {
                    let view = self.start(&pool, &offer);
                    self.planner.on_start_accepted(&pool, &offer, view.vm.clone(), now);
                    changes.push(CloudChange::Start(Box::new(view)));
                }
                plan::PlanAction::Release { vm, .. } => changes.push(CloudChange::Release(vm)),
                // Replicas start with every model of their pool, so model and role changes are not
                // simulated.
                _ => {}
            }
        }
        changes
    }

    fn is_refused(&self, offer: &cloud::VmOffer, now: Duration) -> bool {
        let Some(wave) = &self.wave else { return false };
        let refusal_time =
            if offer.zone == wave.zone { WAVE_ZONE_REFUSAL_TIME } else { OTHER_ZONES_REFUSAL_TIME };
        offer.reclaimable && now.saturating_sub(wave.started_at) < refusal_time
    }

    fn start(&mut self, pool: &id::RecordId, offer: &cloud::VmOffer) -> zone::ReplicaView {
        const ADDRESS: std::net::SocketAddr =
            std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
        self.started_count += 1;
        let name = format!("{}-{}-{}", offer.zone, pool, self.started_count);
        let vm: id::VmId = name.parse().expect("the name has only characters of an id");
        zone::ReplicaView {
            id: name.parse().expect("the name has only characters of an id"),
            vm,
            zone: offer.zone.clone(),
            pool: pool.clone(),
            address: ADDRESS,
            state: zone::UpstreamState::Joining,
            models: deployment::models_of(&self.records, pool),
            price: offer.price,
            reclaimable: offer.reclaimable,
            load: zone::LoadReport::default(),
        }
    }
}

/// Returns the zone with the most reclaimable engines.
pub fn most_reclaimable_zone(replicas: &[zone::ReplicaView]) -> Option<id::ZoneId> {
    let mut counts: collections::BTreeMap<&id::ZoneId, usize> = collections::BTreeMap::new();
    let is_reclaimable_engine =
        |replica: &&zone::ReplicaView| replica.reclaimable && !replica.models.is_empty();
    for replica in replicas.iter().filter(is_reclaimable_engine) {
        *counts.entry(&replica.zone).or_default() += 1;
    }
    counts.into_iter().max_by_key(|(_, count)| *count).map(|(zone, _)| zone.clone())
}

/// Distributes over the fleet the load that the deployment's own replicas would have at the rate.
fn assign_load(
    fleet: &mut [zone::ReplicaView],
    records: &set::RecordSet,
    deployment: &deployment::Deployment,
    rate_factor: f64,
) {
    for pool in &records.pools {
        let deployed_count =
            deployment.replicas.iter().filter(|replica| replica.pool == pool.id).count();
        let demand = deployed_count as f64 * f64::from(pool.concurrency) * rate_factor;
        let fleet_count = fleet.iter().filter(|replica| replica.pool == pool.id).count();
        let load_per_replica = (demand / fleet_count.max(1) as f64).ceil() as u32;
        for replica in fleet.iter_mut().filter(|replica| replica.pool == pool.id) {
            replica.load.running = load_per_replica;
        }
    }
}

fn fleet_replica(view: &zone::ReplicaView) -> fleet::FleetReplica {
    let class: id::VmClass = "simulated".parse().expect("the name is a valid id");
    fleet::FleetReplica {
        id: view.id.clone(),
        vm: view.vm.clone(),
        zone: view.zone.clone(),
        pool: view.pool.clone(),
        class,
        reclaimable: view.reclaimable,
        price: quantity::MicroPrice::new(view.price.get()),
        state: view.state,
        models: view.models.clone(),
        loading: SmallVec::new(),
        role: None,
        load: view.load,
    }
}
