//! Planning of the replicas of a service, by availability zone and kind (on-demand or reclaimable).
//!
//! The load pattern that matters is a wave of requests with bursts while the cloud reclaims all
//! reclaimable replicas of a zone at once and offers none for a while. Reclaimable replicas are
//! cheap, so more are held than are needed. A few on-demand replicas are always held, and more are
//! ordered when the remaining replicas fall short.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::decay;
use crate::policy;
use crate::replica;

/// Fraction of the slots of a replica that may be in use so that prompts are still prefilled in
/// time.
const SLOT_UTILIZATION: f64 = 0.5;
/// Fraction of the time that a replica may spend on prefill. Above it, queues of prompts grow.
const PREFILL_UTILIZATION: f64 = 0.6;
/// Reclaimable replicas held per replica needed: two zones of four may be reclaimed before
/// replacements are available, and a burst arrives faster than a VM starts.
const RECLAIMABLE_FACTOR: f64 = 1.7;
/// Number of zones per on-demand replica that is always held, in the cheapest zones, so that a
/// reclaim of several zones leaves some replicas.
const ZONES_PER_ON_DEMAND: u32 = 2;
/// On-demand replicas are ordered while the fleet covers less than this fraction of the need.
const SHORTAGE_RATIO: f64 = 0.6;
/// On-demand replicas are ordered below this fraction of the need while the cloud offers no
/// reclaimable replicas, since the remaining ones may be reclaimed as well.
const SOLD_OUT_SHORTAGE_RATIO: f64 = 0.9;
/// Fraction of the need for which on-demand replicas are held during a series of reclaims. Their start
/// takes longer than the notice of a reclaim.
const SERIES_RESERVE_RATIO: f64 = 0.5;
/// Time for which a measured need counts in the reserve of a series of reclaims. Replacements have cold
/// caches, so the need rises with the reclaims.
const SERIES_NEED_TIME: time::Millis = time::Millis::new(20_000);
/// On-demand replicas are released once the other replicas cover this fraction of the need, even
/// after the reclaim of the zone with the most reclaimable replicas.
const SURPLUS_RATIO: f64 = 0.9;
/// Time constant over which the measured need is smoothed. A shorter one would count a queue of one
/// second in full.
const NEED_TIME_CONSTANT: time::Millis = time::Millis::new(2_000);
/// Time for which a measured need counts, so that the replicas are still held at the next crest of
/// a wave. Waves of traffic have periods of up to a minute.
const NEED_RETENTION: time::Millis = time::Millis::new(60_000);
/// Delay before an order that was refused, or whose outcome is unknown, is repeated.
const REFUSED_RETRY_DELAY: time::Millis = time::Millis::new(3_000);
/// Delay before an accepted order that the fleet does not reflect is repeated; at least the start
/// time of a VM.
const ACCEPTED_RETRY_DELAY: time::Millis = time::Millis::new(6_000);
/// Time after the first observation for which nothing is ordered. After a start of the whole
/// deployment, existing replicas register one after the other.
const SETTLE_TIME: time::Millis = time::Millis::new(4_000);
/// Fraction of the initial replicas that counts as needed until load has been measured.
const INITIAL_NEED_RATIO: f64 = 0.75;
/// Time for which load must have been measured before the measured need replaces the initial need
/// in the decision to release on-demand replicas.
const INITIAL_LOAD_TIME: time::Millis = time::Millis::new(5_000);
/// Time for which the other replicas must suffice before on-demand replicas are released.
const SURPLUS_TIME: time::Millis = time::Millis::new(2_500);

/// Replicas of a service in one zone that accept requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ZoneSupply {
    /// On-demand replicas, which the cloud does not reclaim.
    pub on_demand: u32,
    /// Replicas that the cloud may reclaim.
    pub reclaimable: u32,
}

/// Load of a service from all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests in progress, including those waiting for a slot.
    pub running: f64,
    /// Number of replicas that serve these requests.
    pub replicas: f64,
    /// Prefill time that engines need for the prompts of one second, in seconds.
    pub prefill_seconds: f64,
    /// Number of slots of one replica.
    pub slots_per_replica: f64,
}

/// Counts the replicas of a service that are not leaving, by zone. Where zones have prices, others are
/// none of the deployment.
pub fn count_supply<'a>(
    rule: &policy::ScalingRule,
    replicas: impl Iterator<Item = &'a replica::KnownReplica>,
) -> collections::BTreeMap<id::ZoneId, ZoneSupply> {
    let prices = &rule.zone_prices;
    let mut supply: collections::BTreeMap<id::ZoneId, ZoneSupply> =
        prices.keys().map(|zone| (zone.clone(), ZoneSupply::default())).collect();
    for replica in replicas.filter(|replica| !replica.is_leaving()) {
        if !prices.is_empty() && !prices.contains_key(&replica.entry.zone) {
            continue;
        }
        let zone = supply.entry(replica.entry.zone.clone()).or_default();
        match replica.entry.is_reclaimable {
            true => zone.reclaimable += 1,
            false => zone.on_demand += 1,
        }
    }
    supply
}

/// Returns the median of the replicas' slots; `None` without replicas. One odd entry does not change it
/// where there are three or more.
pub fn typical_slots(slots: impl Iterator<Item = u32>) -> Option<u32> {
    let mut sorted: Vec<u32> = slots.collect();
    sorted.sort_unstable();
    sorted.get(sorted.len().saturating_sub(1) / 2).copied()
}

/// Order for replicas of one kind in one zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// Service of the replicas.
    pub service: id::ServiceId,
    /// Availability zone of the replicas.
    pub zone: id::ZoneId,
    /// Whether the order is for reclaimable replicas.
    pub is_reclaimable: bool,
    /// Number of replicas of the kind that the zone is to have.
    pub desired: u32,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order was accepted.
    Taken,
    /// The zone has no such replicas available now.
    Refused,
    /// It is unknown whether the order was accepted.
    Unknown,
}

/// Plans the replicas of one service.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlanner {
    /// Smoothed number of replicas that the measured load requires.
    need: f64,
    /// Needs within the retention time.
    recent_needs: collections::VecDeque<(time::MonotonicTime, f64)>,
    /// When the need was last measured.
    planned_at: Option<time::MonotonicTime>,
    /// Last order by zone and by whether it is for reclaimable replicas.
    orders: collections::BTreeMap<(id::ZoneId, bool), PlacedOrder>,
    /// Since when the other replicas have sufficed without the excess on-demand replicas.
    surplus_since: Option<time::MonotonicTime>,
    /// When the load was first observed.
    first_observed_at: Option<time::MonotonicTime>,
    /// When load was first measured.
    first_load_at: Option<time::MonotonicTime>,
    /// On-demand replicas in excess of the floor; `None` before the first plan.
    excess_on_demand: Option<u32>,
}

/// Last order for one kind of replicas in one zone.
#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    desired: u32,
    placed_at: time::MonotonicTime,
    outcome: OrderOutcome,
}

/// Replicas of a service in all zones.
#[derive(Clone, Copy, Debug)]
struct FleetCount {
    on_demand: u32,
    reclaimable: u32,
    /// Reclaimable replicas that remain after the reclaim of one more zone; assumed to be none
    /// while the cloud offers none.
    remaining: u32,
    /// Whether the cloud offers no reclaimable replicas.
    is_sold_out: bool,
    /// Whether half of the zones have no reclaimable replicas, and the cloud offers none.
    is_series: bool,
}

impl CapacityPlanner {
    /// Returns the number of replicas that a load requires.
    pub fn required_replicas(load: &ServiceLoad) -> f64 {
        // Counts at most one request per slot. Further requests are in progress only because they
        // wait for a slot, which is a temporary shortage.
        let slots = load.slots_per_replica.max(1.0);
        let running_in_slots = load.running.min(load.replicas.max(1.0) * slots);
        let replicas_for_slots = running_in_slots / (slots * SLOT_UTILIZATION);
        replicas_for_slots.max(load.prefill_seconds / PREFILL_UTILIZATION)
    }

    /// Observes the load while another daemon places the orders, so that the need is known as soon as
    /// this daemon takes over.
    pub fn observe(
        &mut self,
        supply: &collections::BTreeMap<id::ZoneId, ZoneSupply>,
        load: &ServiceLoad,
        now: time::MonotonicTime,
    ) {
        if supply.is_empty() {
            return;
        }
        let first_observed_at = *self.first_observed_at.get_or_insert(now);
        if now.since(first_observed_at) >= SETTLE_TIME {
            let (on_demand, reclaimable) = count_kinds(supply);
            self.retained_need(load, f64::from(on_demand + reclaimable), now);
        }
    }

    /// Forgets the placed orders, since another daemon may have placed others meanwhile. The measured
    /// need remains.
    pub fn forget_orders(&mut self) {
        self.orders.clear();
        self.surplus_since = None;
        self.excess_on_demand = None;
    }

    /// Returns the orders that bring the fleet to the number of replicas that the load requires.
    pub fn plan(
        &mut self,
        service: &id::ServiceId,
        rule: &policy::ScalingRule,
        supply: &collections::BTreeMap<id::ZoneId, ZoneSupply>,
        load: &ServiceLoad,
        now: time::MonotonicTime,
    ) -> Vec<CapacityOrder> {
        if supply.is_empty() {
            return Vec::new();
        }
        let first_observed_at = *self.first_observed_at.get_or_insert(now);
        if now.since(first_observed_at) < SETTLE_TIME {
            return Vec::new();
        }
        let (on_demand, reclaimable) = count_kinds(supply);
        let zone_count = supply.len() as u32;
        // On-demand replicas that are always held.
        let floor = match rule.reclaimable_price_ratio {
            Some(_) => zone_count.div_ceil(ZONES_PER_ON_DEMAND),
            None => rule.min_per_zone * zone_count,
        };
        let need = self.retained_need(load, f64::from(on_demand + reclaimable), now);
        // A refused order shows that the cloud offers no reclaimable replicas. None are released
        // then, since they could not be replaced when needed.
        let is_sold_out = self.orders.iter().any(|((_, is_reclaimable), order)| {
            *is_reclaimable && order.outcome == OrderOutcome::Refused
        });
        let largest_zone_count = supply.values().map(|zone| zone.reclaimable).max().unwrap_or(0);
        let remaining = if is_sold_out { 0 } else { reclaimable - largest_zone_count };
        let reclaimed_zones = supply.values().filter(|zone| zone.reclaimable == 0).count();
        let is_series = is_sold_out && 2 * reclaimed_zones >= supply.len();
        let fleet = FleetCount { on_demand, reclaimable, remaining, is_sold_out, is_series };
        let excess = self.excess_on_demand(fleet, need, floor, now);
        let reclaimable_per_zone = match rule.reclaimable_price_ratio {
            Some(_) => (need * RECLAIMABLE_FACTOR / f64::from(zone_count)).ceil() as u32,
            None => 0,
        };
        let mut unassigned = match rule.reclaimable_price_ratio {
            Some(_) => floor + excess,
            None => floor.max(need.ceil() as u32),
        };
        let mut unplanned_zones = zone_count;
        let mut orders = Vec::new();
        for (zone, zone_supply) in by_price(supply, rule) {
            // The remaining on-demand replicas are divided equally, with the rounding in favour of
            // the cheapest zones. Replicas that a zone has no room for pass on to the zones after
            // it.
            let equal_part = unassigned.div_ceil(unplanned_zones);
            unplanned_zones -= 1;
            // On-demand replicas make up the zone's minimum while the cloud offers no reclaimable
            // ones, and are not released before reclaimable ones do.
            let missing_count = rule.min_per_zone.saturating_sub(zone_supply.reclaimable);
            let min_on_demand =
                if is_sold_out { missing_count } else { missing_count.min(zone_supply.on_demand) };
            let on_demand = equal_part
                .max(min_on_demand)
                .min(rule.max_per_zone.saturating_sub(zone_supply.reclaimable));
            unassigned = unassigned.saturating_sub(on_demand);
            self.order(service, zone, false, on_demand, zone_supply.on_demand, now, &mut orders);
            if rule.reclaimable_price_ratio.is_some() {
                let min_reclaimable = if is_sold_out { zone_supply.reclaimable } else { 0 };
                let reclaimable = reclaimable_per_zone
                    .max(min_reclaimable)
                    .max(rule.min_per_zone.saturating_sub(equal_part))
                    .min(rule.max_per_zone.saturating_sub(on_demand));
                self.order(
                    service,
                    zone,
                    true,
                    reclaimable,
                    zone_supply.reclaimable,
                    now,
                    &mut orders,
                );
            }
        }
        orders
    }

    /// Handles the outcome of an order.
    pub fn on_order_outcome(&mut self, order: &CapacityOrder, outcome: OrderOutcome) {
        let key = (order.zone.clone(), order.is_reclaimable);
        if let Some(placed) = self.orders.get_mut(&key) {
            placed.outcome = outcome;
        }
    }

    /// Returns the on-demand replicas to hold in excess of the floor. They are ordered while the
    /// fleet falls short, and released after the other replicas have sufficed for a while.
    fn excess_on_demand(
        &mut self,
        fleet: FleetCount,
        retained_need: f64,
        on_demand_floor: u32,
        now: time::MonotonicTime,
    ) -> u32 {
        let FleetCount { on_demand, reclaimable, remaining, is_sold_out, is_series } = fleet;
        let excess = self.excess_on_demand.unwrap_or(on_demand.saturating_sub(on_demand_floor));
        let present_count = f64::from(on_demand + reclaimable);
        let shortage_ratio = if is_sold_out { SOLD_OUT_SHORTAGE_RATIO } else { SHORTAGE_RATIO };
        let reserve = if is_series { self.peak_need(now) * SERIES_RESERVE_RATIO } else { 0.0 };
        let missing_count = (self.need * shortage_ratio - present_count)
            .max(reserve - f64::from(on_demand))
            .ceil()
            .max(0.0) as u32;
        let is_load_known =
            self.first_load_at.is_some_and(|loaded_at| now.since(loaded_at) >= INITIAL_LOAD_TIME);
        let need = if is_load_known { self.need } else { retained_need };
        let is_sufficient =
            f64::from(remaining + on_demand_floor.min(on_demand)) >= need * SURPLUS_RATIO;
        self.surplus_since = is_sufficient.then(|| self.surplus_since.unwrap_or(now));
        let is_surplus = self.surplus_since.is_some_and(|since| now.since(since) >= SURPLUS_TIME);
        let excess = match (missing_count, is_surplus) {
            (0, true) => 0,
            (0, false) => excess,
            (missing_count, _) => {
                excess.max((on_demand + missing_count).saturating_sub(on_demand_floor))
            }
        };
        self.excess_on_demand = Some(excess);
        excess
    }

    /// Returns the highest need that was measured recently.
    fn peak_need(&self, now: time::MonotonicTime) -> f64 {
        let is_measured = |observed_at| {
            self.first_load_at.is_some_and(|loaded_at| observed_at > loaded_at)
                && now.since(observed_at) < SERIES_NEED_TIME
        };
        let measured =
            self.recent_needs.iter().filter(|(observed_at, _)| is_measured(*observed_at));
        measured.map(|(_, need)| *need).fold(self.need, f64::max)
    }

    /// Returns the need that counts now: the maximum over the retention time. Its first value is a
    /// fraction of the initial fleet, which counts before any load.
    fn retained_need(
        &mut self,
        load: &ServiceLoad,
        present_count: f64,
        now: time::MonotonicTime,
    ) -> f64 {
        let elapsed =
            self.planned_at.map_or(time::Millis::new(0), |planned_at| now.since(planned_at));
        self.planned_at = Some(now);
        let fraction = decay::remaining_fraction(elapsed, NEED_TIME_CONSTANT);
        self.need =
            Self::required_replicas(load) + (self.need - Self::required_replicas(load)) * fraction;
        if load.running > 0.0 {
            self.first_load_at.get_or_insert(now);
        }
        if self.recent_needs.is_empty() {
            self.recent_needs.push_back((now, present_count * INITIAL_NEED_RATIO));
        }
        self.recent_needs.push_back((now, self.need));
        while self
            .recent_needs
            .front()
            .is_some_and(|(observed_at, _)| now.since(*observed_at) > NEED_RETENTION)
        {
            self.recent_needs.pop_front();
        }
        self.recent_needs.iter().map(|(_, need)| *need).fold(1.0, f64::max)
    }

    /// Adds an order for `desired` replicas to `orders` if the number differs from the last order,
    /// or from the `present` replicas before the first order, or if a retry is due.
    #[expect(
        clippy::too_many_arguments,
        reason = "private helper; a parameter struct would add nothing"
    )]
    fn order(
        &mut self,
        service: &id::ServiceId,
        zone: &id::ZoneId,
        is_reclaimable: bool,
        desired: u32,
        present_count: u32,
        now: time::MonotonicTime,
        orders: &mut Vec<CapacityOrder>,
    ) {
        let key = (zone.clone(), is_reclaimable);
        let is_due = match self.orders.get(&key) {
            None => desired != present_count,
            Some(placed) => {
                let age = now.since(placed.placed_at);
                let is_retry_due = match placed.outcome {
                    OrderOutcome::Taken => age >= ACCEPTED_RETRY_DELAY && present_count != desired,
                    OrderOutcome::Refused => age >= REFUSED_RETRY_DELAY,
                    OrderOutcome::Unknown => age >= REFUSED_RETRY_DELAY,
                };
                placed.desired != desired || is_retry_due
            }
        };
        if !is_due {
            return;
        }
        let placed = PlacedOrder { desired, placed_at: now, outcome: OrderOutcome::Unknown };
        self.orders.insert(key, placed);
        let (service, zone) = (service.clone(), zone.clone());
        orders.push(CapacityOrder { service, zone, is_reclaimable, desired });
    }
}

/// Returns the number of on-demand and of reclaimable replicas in all zones.
fn count_kinds(supply: &collections::BTreeMap<id::ZoneId, ZoneSupply>) -> (u32, u32) {
    let on_demand = supply.values().map(|zone| zone.on_demand).sum();
    (on_demand, supply.values().map(|zone| zone.reclaimable).sum())
}

/// Returns the zones with their supply, cheapest first.
fn by_price<'a>(
    supply: &'a collections::BTreeMap<id::ZoneId, ZoneSupply>,
    rule: &policy::ScalingRule,
) -> Vec<(&'a id::ZoneId, ZoneSupply)> {
    let price = |zone: &id::ZoneId| rule.zone_prices.get(zone).copied().unwrap_or(1.0);
    let mut zones: Vec<_> = supply.iter().map(|(zone, zone_supply)| (zone, *zone_supply)).collect();
    zones.sort_by(|(left, _), (right, _)| price(left).total_cmp(&price(right)));
    zones
}
