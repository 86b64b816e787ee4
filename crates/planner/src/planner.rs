//! The planner: needs of pools, then purchases, releases and placement.

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

/// Room over the demand, in hundredths: the peak of a minute is above what was seen of it.
const HEADROOM_PERCENT: u32 = 125;
/// Starts of one pool in one plan.
const MAX_STARTS: usize = 16;
/// Releases of one pool in one plan: each is a drain, and the demand may come back.
const MAX_RELEASES: usize = 1;
/// Time for which a pool must have had a surplus before a VM is given back.
const SURPLUS_TIME: time::Millis = time::Millis::new(60_000);
/// Time after which a started VM that has not appeared no longer counts.
const START_TIMEOUT: time::Millis = time::Millis::new(120_000);
/// A VM is replaced where the new one costs less than this share of it, in hundredths.
const CHEAPER_PERCENT: u64 = 80;

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Records in force.
    pub records: &'a set::RecordSet,
    /// Every replica.
    pub replicas: &'a [fleet::FleetReplica],
    /// Present offers.
    pub offers: &'a [cloud::VmOffer],
    /// The present instant.
    pub now: time::MonotonicTime,
}

/// A start that the cloud accepted and whose VM has not appeared.
#[derive(Clone, Debug)]
struct PendingStart {
    pool: id::RecordId,
    holding: fleet::PoolVm,
    until: time::MonotonicTime,
}

/// Makes plans and remembers what became of them.
pub struct FleetPlanner {
    policy: Box<dyn purchase::PurchasePolicy>,
    limits: placement::PlacementLimits,
    backoff: backoff::OfferBackoff,
    demand: demand::DemandTracker,
    pending: Vec<PendingStart>,
    surplus_since: collections::BTreeMap<id::RecordId, time::MonotonicTime>,
}

impl FleetPlanner {
    /// A planner that buys by the policy.
    pub fn new(
        policy: Box<dyn purchase::PurchasePolicy>,
        limits: placement::PlacementLimits,
    ) -> Self {
        FleetPlanner {
            policy,
            limits,
            backoff: backoff::OfferBackoff::default(),
            demand: demand::DemandTracker::default(),
            pending: Vec::new(),
            surplus_since: collections::BTreeMap::new(),
        }
    }

    /// Notes that the cloud accepted a start.
    pub fn on_start_accepted(
        &mut self,
        pool: &id::RecordId,
        offer: &cloud::VmOffer,
        vm: id::VmId,
        now: time::MonotonicTime,
    ) {
        self.backoff.on_start_accepted(offer);
        let holding = fleet::PoolVm {
            zone: offer.zone.clone(),
            reclaimable: offer.reclaimable,
            price: offer.price,
            vm,
        };
        let until = now + START_TIMEOUT;
        self.pending.push(PendingStart { pool: pool.clone(), holding, until });
    }

    /// Notes that the cloud refused a start; returns when the offer may be tried again.
    pub fn on_start_refused(
        &mut self,
        offer: &cloud::VmOffer,
        now: time::MonotonicTime,
    ) -> time::MonotonicTime {
        self.backoff.on_start_refused(offer, now)
    }

    /// Makes a plan.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> plan::FleetPlan {
        self.forget_pending(input);
        let mut made = plan::FleetPlan::default();
        let mut loading = input.replicas.iter().map(|replica| replica.loading.len()).sum();
        for pool in &input.records.pools {
            self.plan_purchases(input, pool, &mut made);
            let replicas: Vec<&fleet::FleetReplica> =
                input.replicas.iter().filter(|replica| replica.pool == pool.id).collect();
            let orders = placement::plan_placement(
                input.records,
                pool,
                &replicas,
                &self.limits,
                &mut loading,
            );
            made.actions.extend(orders);
        }
        made
    }

    fn forget_pending(&mut self, input: &PlanInput<'_>) {
        let known: collections::BTreeSet<&id::VmId> =
            input.replicas.iter().map(|replica| &replica.vm).collect();
        let now = input.now;
        self.pending.retain(|start| !known.contains(&start.holding.vm) && now < start.until);
    }

    fn plan_purchases(
        &mut self,
        input: &PlanInput<'_>,
        pool: &set::PoolRecord,
        made: &mut plan::FleetPlan,
    ) {
        let demand = self.demand.update(&pool.id, input.replicas, input.now);
        let need = need(pool, demand);
        let held = self.held(input, pool);
        let mut counts = fleet::VmCounts::of(&held);
        made.pools.push(pool_plan(pool, &need, &held, demand));
        let offers = self.usable_offers(input, pool);
        let starts = self.starts(&need, &mut counts, &offers);
        let is_short = !starts.is_empty();
        for choice in starts {
            let action = plan::PlanAction::Start { pool: pool.id.clone(), offer: choice.offer };
            made.actions.push(plan::PlannedAction { action, reason: choice.reason });
        }
        if is_short || counts.count() < need.wanted {
            self.surplus_since.remove(&pool.id);
            return;
        }
        let release = self.release(input, pool, &need, &held, &counts);
        if release.is_empty()
            && let Some(offer) = self.cheaper(&need, &held, &counts, &offers)
        {
            let action = plan::PlanAction::Start { pool: pool.id.clone(), offer };
            made.actions.push(plan::PlannedAction { action, reason: plan::PlanReason::Cheaper });
        }
        made.actions.extend(release);
    }

    fn held(&self, input: &PlanInput<'_>, pool: &set::PoolRecord) -> Vec<fleet::PoolVm> {
        let counted =
            |replica: &&fleet::FleetReplica| replica.pool == pool.id && replica.is_active();
        let pending = self.pending.iter().filter(|start| start.pool == pool.id);
        let replicas = input.replicas.iter().filter(counted).map(fleet::FleetReplica::pool_vm);
        replicas.chain(pending.map(|start| start.holding.clone())).collect()
    }

    /// Offers that the pool may use and that are not held back; of each availability zone's kind
    /// the first of the record's classes that is left.
    fn usable_offers(&self, input: &PlanInput<'_>, pool: &set::PoolRecord) -> Vec<cloud::VmOffer> {
        let allowed = input.offers.iter().filter(|offer| {
            pool.zones.contains(&offer.zone)
                && pool.classes.contains(&offer.class)
                && self.backoff.allows(offer, input.now)
        });
        let mut chosen: collections::BTreeMap<(&id::ZoneId, bool), &cloud::VmOffer> =
            collections::BTreeMap::new();
        let rank =
            |offer: &cloud::VmOffer| pool.classes.iter().position(|class| *class == offer.class);
        for offer in allowed {
            let entry = chosen.entry((&offer.zone, offer.reclaimable)).or_insert(offer);
            if rank(offer) < rank(entry) {
                *entry = offer;
            }
        }
        chosen.into_values().cloned().collect()
    }

    fn starts(
        &self,
        need: &purchase::PoolTarget,
        counts: &mut fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Vec<purchase::PurchaseChoice> {
        let mut starts = Vec::new();
        while starts.len() < MAX_STARTS && counts.count() < need.maximum {
            let Some(choice) = self.policy.next_purchase(need, counts, offers) else { break };
            counts.add(&choice.offer.zone, choice.offer.reclaimable);
            starts.push(choice);
        }
        starts
    }

    /// Gives back the dearest VMs that the pool can do without for long.
    fn release(
        &mut self,
        input: &PlanInput<'_>,
        pool: &set::PoolRecord,
        need: &purchase::PoolTarget,
        held: &[fleet::PoolVm],
        counts: &fleet::VmCounts,
    ) -> Vec<plan::PlannedAction> {
        let is_over = counts.count() > need.maximum;
        let mut counts = counts.clone();
        let mut dearest: Vec<&fleet::PoolVm> = held.iter().collect();
        dearest.sort_by(|left, right| {
            right.price.cmp(&left.price).then_with(|| left.vm.cmp(&right.vm))
        });
        let mut releases = Vec::new();
        for holding in dearest {
            if releases.len() >= MAX_RELEASES {
                break;
            }
            let is_pending = self.pending.iter().any(|start| start.holding.vm == holding.vm);
            if is_pending || !self.policy.can_release(need, &counts, holding) {
                continue;
            }
            counts.remove(&holding.zone, holding.reclaimable);
            let (pool, vm, zone) = (pool.id.clone(), holding.vm.clone(), holding.zone.clone());
            let reason =
                if is_over { plan::PlanReason::AboveMaximum } else { plan::PlanReason::Surplus };
            let action = plan::PlanAction::Release { pool, vm, zone };
            releases.push(plan::PlannedAction { action, reason });
        }
        if releases.is_empty() {
            self.surplus_since.remove(&pool.id);
            return releases;
        }
        let since = *self.surplus_since.entry(pool.id.clone()).or_insert(input.now);
        if !is_over && input.now.since(since) < SURPLUS_TIME {
            return Vec::new();
        }
        releases
    }

    /// An offer that would make a dearer VM superfluous.
    fn cheaper(
        &self,
        need: &purchase::PoolTarget,
        held: &[fleet::PoolVm],
        counts: &fleet::VmCounts,
        offers: &[cloud::VmOffer],
    ) -> Option<cloud::VmOffer> {
        if !self.pending.is_empty() || counts.count() >= need.maximum {
            return None;
        }
        let dearest = held.iter().max_by_key(|holding| holding.price)?;
        let mut sorted: Vec<&cloud::VmOffer> = offers.iter().collect();
        sorted.sort_by_key(|offer| offer.price);
        sorted.into_iter().find_map(|offer| {
            let bound = dearest.price.get() * CHEAPER_PERCENT / 100;
            let mut grown = counts.clone();
            grown.add(&offer.zone, offer.reclaimable);
            let is_worth = offer.price.get() < bound;
            // A VM that is surplus now is given back by itself, without another purchase.
            let is_needed = !self.policy.can_release(need, counts, dearest);
            let can_release = self.policy.can_release(need, &grown, dearest);
            (is_worth && is_needed && can_release).then(|| offer.clone())
        })
    }
}

/// Replicas that the record and the demand ask for.
fn need(pool: &set::PoolRecord, demand: f64) -> purchase::PoolTarget {
    let concurrency = f64::from(pool.concurrency.max(1));
    let at_peak = (demand / concurrency).ceil() as u32;
    let with_room = (demand * f64::from(HEADROOM_PERCENT) / 100.0 / concurrency).ceil() as u32;
    let wanted = with_room.clamp(pool.min_replicas, pool.max_replicas);
    purchase::PoolTarget {
        wanted,
        after_loss: at_peak.clamp(1.min(pool.max_replicas), pool.max_replicas),
        minimum: pool.min_replicas,
        maximum: pool.max_replicas,
    }
}

fn pool_plan(
    pool: &set::PoolRecord,
    need: &purchase::PoolTarget,
    held: &[fleet::PoolVm],
    demand: f64,
) -> plan::PoolPlan {
    let price = held.iter().map(|holding| holding.price.get()).sum();
    plan::PoolPlan {
        pool: pool.id.clone(),
        demand: demand.ceil() as u32,
        wanted: need.wanted,
        after_loss: need.after_loss,
        held: held.len() as u32,
        price: quantity::MicroPrice::new(price),
    }
}
