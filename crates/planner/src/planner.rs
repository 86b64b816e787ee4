//! Planner of purchases, releases and placement.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::cloud;
use samphiremoor_records::set;

use crate::backoff;
use crate::demand;
use crate::fleet;
use crate::placement;
use crate::plan;
use crate::purchase;

/// Capacity relative to the demand, in hundredths. The demand is sampled, so the true peak can be
/// higher than the recorded one.
const HEADROOM_PERCENT: u32 = 125;
/// Maximum number of starts of one pool in one plan.
const MAX_STARTS: usize = 16;
/// Maximum number of releases of one pool in one plan. It is low because each release drains a VM,
/// and the demand may return.
const MAX_RELEASES: usize = 1;
/// Time for which a pool must have had a surplus before a VM is released.
const MIN_SURPLUS_TIME: time::Millis = time::Millis::new(60_000);
/// Time after which a started VM that has not appeared as a replica is no longer counted.
const START_TIMEOUT: time::Millis = time::Millis::new(120_000);
/// A VM is replaced if the new one costs less than this percentage of its price.
const CHEAPER_PERCENT: u64 = 80;

/// Input of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Current records.
    pub records: &'a set::RecordSet,
    /// Every replica.
    pub replicas: &'a [fleet::FleetReplica],
    /// Current offers of the cloud.
    pub offers: &'a [cloud::VmOffer],
    /// Current time.
    pub now: time::MonotonicTime,
}

/// A start that the cloud accepted and whose VM has not appeared as a replica yet.
#[derive(Clone, Debug)]
struct PendingStart {
    pool: id::RecordId,
    pool_vm: fleet::PoolVm,
    expires_at: time::MonotonicTime,
}

/// Makes plans and tracks their pending starts and refused offers.
pub struct FleetPlanner {
    policy: Box<dyn purchase::PurchasePolicy>,
    placement_limits: placement::PlacementLimits,
    backoff: backoff::OfferBackoff,
    demand: demand::DemandTracker,
    pending_starts: Vec<PendingStart>,
    /// Time since which each pool has had VMs that could be released.
    surplus_since: collections::BTreeMap<id::RecordId, time::MonotonicTime>,
}

impl FleetPlanner {
    /// Creates a planner that buys VMs by the given policy.
    pub fn new(
        policy: Box<dyn purchase::PurchasePolicy>,
        placement_limits: placement::PlacementLimits,
    ) -> Self {
        FleetPlanner {
            policy,
            placement_limits,
            backoff: backoff::OfferBackoff::default(),
            demand: demand::DemandTracker::default(),
            pending_starts: Vec::new(),
            surplus_since: collections::BTreeMap::new(),
        }
    }

    /// Records that the cloud accepted a start.
    pub fn on_start_accepted(
        &mut self,
        pool: &id::RecordId,
        offer: &cloud::VmOffer,
        vm: id::VmId,
        now: time::MonotonicTime,
    ) {
        self.backoff.on_start_accepted(offer);
        let pool_vm = fleet::PoolVm {
            zone: offer.zone.clone(),
            reclaimable: offer.reclaimable,
            price: offer.price,
            vm,
        };
        let expires_at = now + START_TIMEOUT;
        self.pending_starts.push(PendingStart { pool: pool.clone(), pool_vm, expires_at });
    }

    /// Records that the cloud refused a start; returns when the offer may be tried again.
    pub fn on_start_refused(
        &mut self,
        offer: &cloud::VmOffer,
        now: time::MonotonicTime,
    ) -> time::MonotonicTime {
        self.backoff.on_start_refused(offer, now)
    }

    /// Makes a plan.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> plan::FleetPlan {
        self.drop_settled_starts(input);
        let mut plan = plan::FleetPlan::default();
        let mut loading = input.replicas.iter().map(|replica| replica.loading.len()).sum();
        for pool in &input.records.pools {
            self.plan_purchases(input, pool, &mut plan);
            let replicas: Vec<&fleet::FleetReplica> =
                input.replicas.iter().filter(|replica| replica.pool == pool.id).collect();
            let actions = placement::plan_placement(
                input.records,
                pool,
                &replicas,
                &self.placement_limits,
                &mut loading,
            );
            plan.actions.extend(actions);
        }
        plan
    }

    /// Removes the pending starts whose VM has appeared as a replica or that have timed out.
    fn drop_settled_starts(&mut self, input: &PlanInput<'_>) {
        let vms: collections::BTreeSet<&id::VmId> =
            input.replicas.iter().map(|replica| &replica.vm).collect();
        let now = input.now;
        self.pending_starts
            .retain(|start| !vms.contains(&start.pool_vm.vm) && now < start.expires_at);
    }

    /// Adds the size of a pool, its starts and its releases to the plan.
    fn plan_purchases(
        &mut self,
        input: &PlanInput<'_>,
        pool: &set::PoolRecord,
        plan: &mut plan::FleetPlan,
    ) {
        let demand = self.demand.update(&pool.id, input.replicas, input.now);
        let target = pool_target(pool, demand);
        let pool_vms = self.pool_vms(input, pool);
        let mut counts = fleet::VmCounts::from_pool_vms(&pool_vms);
        plan.pools.push(pool_plan(pool, &target, &pool_vms, demand));
        let offers = self.usable_offers(input, pool);
        let starts = self.choose_starts(&target, &mut counts, &offers);
        let has_starts = !starts.is_empty();
        for choice in starts {
            let action = plan::PlanAction::Start { pool: pool.id.clone(), offer: choice.offer };
            plan.actions.push(plan::PlannedAction { action, reason: choice.reason });
        }
        if has_starts || counts.count() < target.wanted {
            self.surplus_since.remove(&pool.id);
            return;
        }
        let releases = self.choose_releases(input, pool, &target, &pool_vms, &counts);
        if releases.is_empty()
            && let Some(offer) = self.cheaper_offer(&target, &pool_vms, &counts, &offers)
        {
            let action = plan::PlanAction::Start { pool: pool.id.clone(), offer };
            plan.actions.push(plan::PlannedAction { action, reason: plan::PlanReason::Cheaper });
        }
        plan.actions.extend(releases);
    }

    /// Returns the VMs of the active replicas of the pool and of its pending starts.
    fn pool_vms(&self, input: &PlanInput<'_>, pool: &set::PoolRecord) -> Vec<fleet::PoolVm> {
        let is_counted =
            |replica: &&fleet::FleetReplica| replica.pool == pool.id && replica.is_active();
        let pending_starts = self.pending_starts.iter().filter(|start| start.pool == pool.id);
        let replicas = input.replicas.iter().filter(is_counted).map(fleet::FleetReplica::pool_vm);
        replicas.chain(pending_starts.map(|start| start.pool_vm.clone())).collect()
    }

    /// Returns the offers that the pool may use and that are not in backoff. For each availability
    /// zone and kind of VM (reclaimable or not), this is the offer of the class that comes first in
    /// the record of the pool.
    fn usable_offers(&self, input: &PlanInput<'_>, pool: &set::PoolRecord) -> Vec<cloud::VmOffer> {
        let allowed = input.offers.iter().filter(|offer| {
            pool.zones.contains(&offer.zone)
                && pool.classes.contains(&offer.class)
                && self.backoff.allows(offer, input.now)
        });
        let mut chosen: collections::BTreeMap<(&id::ZoneId, bool), &cloud::VmOffer> =
            collections::BTreeMap::new();
        let class_rank =
            |offer: &cloud::VmOffer| pool.classes.iter().position(|class| *class == offer.class);
        for offer in allowed {
            let entry = chosen.entry((&offer.zone, offer.reclaimable)).or_insert(offer);
            if class_rank(offer) < class_rank(entry) {
                *entry = offer;
            }
        }
        chosen.into_values().cloned().collect()
    }

    /// Returns at most [`MAX_STARTS`] purchases that bring the pool closer to its target, and adds
    /// their VMs to `counts`.
    fn choose_starts(
        &self,
        target: &purchase::PoolTarget,
        counts: &mut fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Vec<purchase::PurchaseChoice> {
        let mut starts = Vec::new();
        while starts.len() < MAX_STARTS && counts.count() < target.maximum {
            let Some(choice) = self.policy.next_purchase(target, counts, offers) else { break };
            counts.add(&choice.offer.zone, choice.offer.reclaimable);
            starts.push(choice);
        }
        starts
    }

    /// Returns releases of the most expensive VMs that the pool can do without, once it has had a
    /// surplus for long enough or at once if it is above its maximum.
    fn choose_releases(
        &mut self,
        input: &PlanInput<'_>,
        pool: &set::PoolRecord,
        target: &purchase::PoolTarget,
        pool_vms: &[fleet::PoolVm],
        counts: &fleet::VmCounts,
    ) -> Vec<plan::PlannedAction> {
        let is_above_maximum = counts.count() > target.maximum;
        let mut counts = counts.clone();
        let mut vms_by_price: Vec<&fleet::PoolVm> = pool_vms.iter().collect();
        vms_by_price.sort_by(|left, right| {
            right.price.cmp(&left.price).then_with(|| left.vm.cmp(&right.vm))
        });
        let mut releases = Vec::new();
        for pool_vm in vms_by_price {
            if releases.len() >= MAX_RELEASES {
                break;
            }
            let is_pending = self.pending_starts.iter().any(|start| start.pool_vm.vm == pool_vm.vm);
            if is_pending || !self.policy.can_release(target, &counts, pool_vm) {
                continue;
            }
            counts.remove(&pool_vm.zone, pool_vm.reclaimable);
            let (pool, vm, zone) = (pool.id.clone(), pool_vm.vm.clone(), pool_vm.zone.clone());
            let reason = if is_above_maximum {
                plan::PlanReason::AboveMaximum
            } else {
                plan::PlanReason::Surplus
            };
            let action = plan::PlanAction::Release { pool, vm, zone };
            releases.push(plan::PlannedAction { action, reason });
        }
        if releases.is_empty() {
            self.surplus_since.remove(&pool.id);
            return releases;
        }
        let has_surplus_since = *self.surplus_since.entry(pool.id.clone()).or_insert(input.now);
        if !is_above_maximum && input.now.since(has_surplus_since) < MIN_SURPLUS_TIME {
            return Vec::new();
        }
        releases
    }

    /// Returns an offer whose purchase would allow the release of a more expensive VM.
    fn cheaper_offer(
        &self,
        target: &purchase::PoolTarget,
        pool_vms: &[fleet::PoolVm],
        counts: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<cloud::VmOffer> {
        if !self.pending_starts.is_empty() || counts.count() >= target.maximum {
            return None;
        }
        let most_expensive = pool_vms.iter().max_by_key(|pool_vm| pool_vm.price)?;
        let mut offers_by_price: Vec<&cloud::VmOffer> = offers.iter().collect();
        offers_by_price.sort_by_key(|offer| offer.price);
        offers_by_price.into_iter().find_map(|offer| {
            let price_bound = most_expensive.price.get() * CHEAPER_PERCENT / 100;
            let mut counts_with_offer = counts.clone();
            counts_with_offer.add(&offer.zone, offer.reclaimable);
            let is_cheaper = offer.price.get() < price_bound;
            // A VM that is already surplus is released without another purchase.
            let is_still_needed = !self.policy.can_release(target, counts, most_expensive);
            let can_release = self.policy.can_release(target, &counts_with_offer, most_expensive);
            (is_cheaper && is_still_needed && can_release).then(|| offer.clone())
        })
    }
}

/// Returns the target size of a pool by its record and its demand, the peak number of requests.
fn pool_target(pool: &set::PoolRecord, demand: f64) -> purchase::PoolTarget {
    let concurrency = f64::from(pool.concurrency.max(1));
    let replicas_at_peak = (demand / concurrency).ceil() as u32;
    let replicas_with_headroom =
        (demand * f64::from(HEADROOM_PERCENT) / 100.0 / concurrency).ceil() as u32;
    let wanted = replicas_with_headroom.clamp(pool.min_replicas, pool.max_replicas);
    purchase::PoolTarget {
        wanted,
        after_loss: replicas_at_peak.clamp(1.min(pool.max_replicas), pool.max_replicas),
        minimum: pool.min_replicas,
        maximum: pool.max_replicas,
    }
}

/// Returns the target and actual size of a pool for the plan.
fn pool_plan(
    pool: &set::PoolRecord,
    target: &purchase::PoolTarget,
    pool_vms: &[fleet::PoolVm],
    demand: f64,
) -> plan::PoolPlan {
    let price = pool_vms.iter().map(|pool_vm| pool_vm.price.get()).sum();
    plan::PoolPlan {
        pool: pool.id.clone(),
        demand: demand.ceil() as u32,
        wanted: target.wanted,
        after_loss: target.after_loss,
        held: pool_vms.len() as u32,
        price: quantity::MicroPrice::new(price),
    }
}
