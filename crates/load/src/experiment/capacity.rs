//! A cloud with simulated time, for experiments with the planner.

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

/// How often the planner is asked.
pub const PLAN_INTERVAL: Duration = Duration::from_secs(2);
/// Time from an accepted start until the replica takes requests.
pub const START_TIME: Duration = Duration::from_secs(25);
/// Time from the first notice for which no reclaimable VM is to be had in the zone that is hit.
const HIT_ZONE_REFUSAL: Duration = Duration::from_secs(90);
/// The same for the other zones.
const OTHER_ZONES_REFUSAL: Duration = Duration::from_secs(30);
/// Plans after which the first fleet must be complete.
const MAX_FIRST_PLANS: usize = 20;

/// A way to buy VMs.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CapacityKind {
    /// VMs that can't be reclaimed.
    OnDemand,
    /// Whatever is cheapest.
    Cheapest,
    /// What the control threads do.
    Balanced,
}

impl CapacityKind {
    /// Every way, in the order of the tables.
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

/// The planner and the cloud that it buys from.
pub struct SimCloud {
    planner: planner::FleetPlanner,
    records: set::RecordSet,
    offers: Vec<cloud::VmOffer>,
    started: u32,
    hit: Option<WaveState>,
    /// Starts that were refused.
    pub refused: u64,
}

struct WaveState {
    zone: id::ZoneId,
    since: Duration,
}

/// What a plan comes to.
#[derive(Clone, Debug)]
pub enum CloudChange {
    /// A VM is started.
    Start(Box<zone::ReplicaView>),
    /// A VM is to be drained and given back.
    Release(id::VmId),
}

impl SimCloud {
    /// A cloud with the deployment's offers, for the pools that serve models.
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
            started: 0,
            hit: None,
            refused: 0,
        }
    }

    /// Buys the fleet for a rate, as it stands before anything is reclaimed.
    pub fn first_fleet(
        &mut self,
        deployment: &deployment::Deployment,
        rate_factor: f64,
    ) -> Vec<zone::ReplicaView> {
        let mut engines: Vec<zone::ReplicaView> = Vec::new();
        for _ in 0..MAX_FIRST_PLANS {
            let mut fleet = engines.clone();
            spread_demand(&mut fleet, &self.records, deployment, rate_factor);
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

    /// Notes that a zone's reclaimable VMs are reclaimed from now on.
    pub fn wave(&mut self, zone: id::ZoneId, now: Duration) {
        self.hit = Some(WaveState { zone, since: now });
    }

    /// Makes a plan and carries out its purchases.
    pub fn plan(
        &mut self,
        replicas: &[zone::ReplicaView],
        now: time::MonotonicTime,
        sim_now: Duration,
    ) -> Vec<CloudChange> {
        let fleet: Vec<fleet::FleetReplica> = replicas.iter().map(fleet_replica).collect();
        let input = planner::PlanInput {
            records: &self.records,
            replicas: &fleet,
            offers: &self.offers,
            now,
        };
        let made = self.planner.plan(&input);
        let mut changes = Vec::new();
        for planned in made.actions {
            match planned.action {
                plan::PlanAction::Start { pool, offer } if self.refuses(&offer, sim_now) => {
                    let _ = pool;
                    self.refused += 1;
                    self.planner.on_start_refused(&offer, now);
                }
                plan::PlanAction::Start { pool, offer } => {
                    let view = self.start(&pool, &offer);
                    self.planner.on_start_accepted(&pool, &offer, view.vm.clone(), now);
                    changes.push(CloudChange::Start(Box::new(view)));
                }
                plan::PlanAction::Release { vm, .. } => changes.push(CloudChange::Release(vm)),
                // Replicas start with every model of their pool.
                _ => {}
            }
        }
        changes
    }

    fn refuses(&self, offer: &cloud::VmOffer, now: Duration) -> bool {
        let Some(hit) = &self.hit else { return false };
        let length = if offer.zone == hit.zone { HIT_ZONE_REFUSAL } else { OTHER_ZONES_REFUSAL };
        offer.reclaimable && now.saturating_sub(hit.since) < length
    }

    fn start(&mut self, pool: &id::RecordId, offer: &cloud::VmOffer) -> zone::ReplicaView {
        const ADDRESS: std::net::SocketAddr =
            std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
        self.started += 1;
        let name = format!("{}-{}-{}", offer.zone, pool, self.started);
        let vm: id::VmId = name.parse().expect("ids and numbers make an id");
        zone::ReplicaView {
            id: name.parse().expect("ids and numbers make an id"),
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

/// The zone that has the most reclaimable engines.
pub fn most_exposed_zone(replicas: &[zone::ReplicaView]) -> Option<id::ZoneId> {
    let mut counts: collections::BTreeMap<&id::ZoneId, usize> = collections::BTreeMap::new();
    let is_exposed =
        |replica: &&zone::ReplicaView| replica.reclaimable && !replica.models.is_empty();
    for replica in replicas.iter().filter(is_exposed) {
        *counts.entry(&replica.zone).or_default() += 1;
    }
    counts.into_iter().max_by_key(|(_, count)| *count).map(|(zone, _)| zone.clone())
}

/// Loads the fleet as the deployment's own would be at the rate.
fn spread_demand(
    fleet: &mut [zone::ReplicaView],
    records: &set::RecordSet,
    deployment: &deployment::Deployment,
    rate_factor: f64,
) {
    for pool in &records.pools {
        let usual = deployment.replicas.iter().filter(|replica| replica.pool == pool.id).count();
        let demand = usual as f64 * f64::from(pool.concurrency) * rate_factor;
        let held = fleet.iter().filter(|replica| replica.pool == pool.id).count();
        let each = (demand / held.max(1) as f64).ceil() as u32;
        for replica in fleet.iter_mut().filter(|replica| replica.pool == pool.id) {
            replica.load.running = each;
        }
    }
}

fn fleet_replica(view: &zone::ReplicaView) -> fleet::FleetReplica {
    let class: id::VmClass = "simulated".parse().expect("the name is an id");
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
