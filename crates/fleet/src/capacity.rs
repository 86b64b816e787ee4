//! Plan of the replicas that a service needs, by availability zone and kind.
//!
//! Answers the load pattern of a wave of requests with bursts while the cloud takes back all
//! reclaimable replicas of a zone at once and sells none for a while. Reclaimable replicas are cheap,
//! so more are held than are needed; a few others in each zone stay whatever happens, and more of them
//! are ordered when what is left falls short.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::decay;
use crate::policy;

/// Part of a replica's slots that is in use when it carries its share with its prompts read in time;
/// from the step times of the engines that we have figures of.
const SLOT_FILL: f64 = 0.5;
/// Part of the time that a replica may spend on reading prompts: above it, queues of prompts grow.
const PROMPT_FILL: f64 = 0.6;
/// Reclaimable replicas held for each one that is needed: two zones of four may be taken back before
/// new ones are to be had, and a burst comes faster than a VM starts.
const RECLAIMABLE_SPARE: f64 = 1.7;
/// One other replica stays for so many zones, in the cheapest ones, so that a reclaim of several zones
/// leaves some.
const ZONES_FOR_ONE_STEADY: u32 = 2;
/// Other replicas are ordered while less than this part of the need is covered.
const SHORT_PART: f64 = 0.6;
/// The same while the cloud sells no reclaimable ones: what is left may be taken back as well.
const DRY_PART: f64 = 0.9;
/// They are given back once the rest covers this part of the need, also after the reclaim of the zone
/// that has most.
const ENOUGH_PART: f64 = 0.9;
/// Time in which a measured need fades to about a third; shorter, a queue of a second counts in full.
const NEED_WINDOW: time::Millis = time::Millis::new(2_000);
/// A need counts for this long after it was measured, so that the next crest of a wave finds its replicas;
/// waves of traffic have periods of up to a minute.
const NEED_HELD: time::Millis = time::Millis::new(60_000);
/// Time after which an order that was refused is tried again.
const REFUSED_PAUSE: time::Millis = time::Millis::new(3_000);
/// An order that the fleet does not show is repeated after this time, at least the start of a VM.
const REPEAT_PAUSE: time::Millis = time::Millis::new(6_000);
/// A fleet that was not looked at before is watched for this long: replicas that were there register
/// one after the other after a start of the whole deployment.
const SETTLE_TIME: time::Millis = time::Millis::new(4_000);
/// Part of the replicas that are there at first that counts as needed until load was seen.
const FIRST_PART: f64 = 0.75;
/// Time for which load must have been seen before the measured need goes before that.
const FIRST_LOAD_TIME: time::Millis = time::Millis::new(5_000);
/// Time for which the rest must be enough before other replicas are given back.
const SURPLUS_TIME: time::Millis = time::Millis::new(2_500);

/// Replicas of a service in one zone that take requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ZoneSupply {
    /// Replicas that the cloud does not reclaim.
    pub on_demand: u32,
    /// Replicas that it may reclaim.
    pub reclaimable: u32,
}

/// Load of a service over all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests in progress, those that wait for a slot included.
    pub running: f64,
    /// Replicas that they are at.
    pub replicas: f64,
    /// Time that engines need for the prompts of one second, in seconds.
    pub prefill_seconds: f64,
    /// Slots of one replica.
    pub slots_per_replica: f64,
}

/// An order for replicas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// The service.
    pub service: id::ServiceId,
    /// The availability zone.
    pub zone: id::ZoneId,
    /// Whether the order is for reclaimable replicas.
    pub is_reclaimable: bool,
    /// Replicas of that kind in that zone.
    pub desired: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It was taken.
    Taken,
    /// None are to be had there now.
    Refused,
    /// Not known.
    Unknown,
}

/// Planner of one service.
#[derive(Clone, Debug, Default)]
pub struct CapacityPlanner {
    need: f64,
    needs: collections::VecDeque<(time::MonotonicTime, f64)>,
    planned_at: Option<time::MonotonicTime>,
    orders: collections::BTreeMap<(id::ZoneId, bool), PlacedOrder>,
    enough_since: Option<time::MonotonicTime>,
    first_look: Option<time::MonotonicTime>,
    first_load: Option<time::MonotonicTime>,
    /// Other replicas over the floor of each zone; unknown before the first plan.
    extra: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    at: time::MonotonicTime,
    answer: OrderOutcome,
}

/// Replicas of all zones.
#[derive(Clone, Copy, Debug)]
struct FleetCount {
    steady: u32,
    reclaimable: u32,
    /// Reclaimable ones that are left after the reclaim of a further zone; none may be while the
    /// cloud sells none.
    lasting: u32,
    is_dry: bool,
}

impl CapacityPlanner {
    /// Replicas needed for a load.
    pub fn required_replicas(load: &ServiceLoad) -> f64 {
        // What waits for a slot is in progress only because there are too few, for a while.
        let slots = load.slots_per_replica.max(1.0);
        let served = load.running.min(load.replicas.max(1.0) * slots);
        let by_slots = served / (slots * SLOT_FILL);
        by_slots.max(load.prefill_seconds / PROMPT_FILL)
    }

    /// Orders that bring the fleet to what the load needs.
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
        let first_look = *self.first_look.get_or_insert(now);
        if now.since(first_look) < SETTLE_TIME {
            return Vec::new();
        }
        let steady: u32 = supply.values().map(|zone| zone.on_demand).sum();
        let reclaimable: u32 = supply.values().map(|zone| zone.reclaimable).sum();
        let zones = supply.len() as u32;
        let floors = match rule.reclaimable_price_ratio {
            Some(_) => zones.div_ceil(ZONES_FOR_ONE_STEADY),
            None => rule.min_per_zone * zones,
        };
        let held = self.held_need(load, f64::from(steady + reclaimable), now);
        // What is given back while none are sold can't be had again when it is needed.
        let is_dry = self.orders.iter().any(|((_, is_reclaimable), placed)| {
            *is_reclaimable && placed.answer == OrderOutcome::Refused
        });
        let most = supply.values().map(|zone| zone.reclaimable).max().unwrap_or(0);
        let lasting = if is_dry { 0 } else { reclaimable - most };
        let fleet = FleetCount { steady, reclaimable, lasting, is_dry };
        let extra = self.extra_steady(fleet, held, floors, now);
        let reclaimable_each = match rule.reclaimable_price_ratio {
            Some(_) => (held * RECLAIMABLE_SPARE / f64::from(zones)).ceil() as u32,
            None => 0,
        };
        let mut wanted_steady = match rule.reclaimable_price_ratio {
            Some(_) => floors + extra,
            None => floors.max(held.ceil() as u32),
        };
        let mut left = zones;
        let mut orders = Vec::new();
        for (zone, present) in by_price(supply, rule) {
            // The cheapest zones take their part first, and what the others have no room for.
            let part = wanted_steady.div_ceil(left);
            left -= 1;
            let steady = part.min(rule.max_per_zone.saturating_sub(present.reclaimable));
            wanted_steady -= steady;
            self.order(service, zone, false, steady, present.on_demand, now, &mut orders);
            if rule.reclaimable_price_ratio.is_some() {
                let kept = if is_dry { present.reclaimable } else { 0 };
                let wanted =
                    reclaimable_each.max(kept).min(rule.max_per_zone.saturating_sub(steady));
                self.order(service, zone, true, wanted, present.reclaimable, now, &mut orders);
            }
        }
        orders
    }

    /// Takes over what became of an order.
    pub fn on_order_outcome(&mut self, order: &CapacityOrder, answer: OrderOutcome) {
        let key = (order.zone.clone(), order.is_reclaimable);
        if let Some(placed) = self.orders.get_mut(&key) {
            placed.answer = answer;
        }
    }

    /// Other replicas over the floors: ordered while too little is left, given back after a while with
    /// enough.
    fn extra_steady(
        &mut self,
        fleet: FleetCount,
        held: f64,
        floors: u32,
        now: time::MonotonicTime,
    ) -> u32 {
        let FleetCount { steady, reclaimable, lasting, is_dry } = fleet;
        let extra = self.extra.unwrap_or(steady.saturating_sub(floors));
        let have = f64::from(steady + reclaimable);
        let part = if is_dry { DRY_PART } else { SHORT_PART };
        let missing = (self.need * part - have).ceil().max(0.0) as u32;
        let is_loaded = self.first_load.is_some_and(|since| now.since(since) >= FIRST_LOAD_TIME);
        let need = if is_loaded { self.need } else { held };
        let is_enough = f64::from(lasting + floors.min(steady)) >= need * ENOUGH_PART;
        self.enough_since = is_enough.then(|| self.enough_since.unwrap_or(now));
        let is_surplus = self.enough_since.is_some_and(|since| now.since(since) >= SURPLUS_TIME);
        let extra = match (missing, is_surplus) {
            (0, true) => 0,
            (0, false) => extra,
            (missing, _) => extra.max((steady + missing).saturating_sub(floors)),
        };
        self.extra = Some(extra);
        extra
    }

    /// The need that counts now: the greatest one of late, before any load the fleet as it is.
    fn held_need(&mut self, load: &ServiceLoad, present: f64, now: time::MonotonicTime) -> f64 {
        let passed = self.planned_at.map_or(time::Millis::new(0), |at| now.since(at));
        self.planned_at = Some(now);
        let kept = decay::remaining_fraction(passed, NEED_WINDOW);
        self.need =
            Self::required_replicas(load) + (self.need - Self::required_replicas(load)) * kept;
        if load.running > 0.0 {
            self.first_load.get_or_insert(now);
        }
        if self.needs.is_empty() {
            self.needs.push_back((now, present * FIRST_PART));
        }
        self.needs.push_back((now, self.need));
        while self.needs.front().is_some_and(|(at, _)| now.since(*at) > NEED_HELD) {
            self.needs.pop_front();
        }
        self.needs.iter().map(|(_, need)| *need).fold(1.0, f64::max)
    }

    #[expect(clippy::too_many_arguments, reason = "one call site; a struct would only rename them")]
    fn order(
        &mut self,
        service: &id::ServiceId,
        zone: &id::ZoneId,
        is_reclaimable: bool,
        count: u32,
        present: u32,
        now: time::MonotonicTime,
        orders: &mut Vec<CapacityOrder>,
    ) {
        let key = (zone.clone(), is_reclaimable);
        let is_due = match self.orders.get(&key) {
            None => count != present,
            Some(placed) => {
                let age = now.since(placed.at);
                let is_open = match placed.answer {
                    OrderOutcome::Taken => age >= REPEAT_PAUSE && present != count,
                    OrderOutcome::Refused => age >= REFUSED_PAUSE,
                    OrderOutcome::Unknown => age >= REFUSED_PAUSE,
                };
                placed.count != count || is_open
            }
        };
        if !is_due {
            return;
        }
        let placed = PlacedOrder { count, at: now, answer: OrderOutcome::Unknown };
        self.orders.insert(key, placed);
        let (service, zone) = (service.clone(), zone.clone());
        orders.push(CapacityOrder { service, zone, is_reclaimable, desired: count });
    }
}

/// Zones with their supply, the cheapest first.
fn by_price<'a>(
    supply: &'a collections::BTreeMap<id::ZoneId, ZoneSupply>,
    rule: &policy::ScalingRule,
) -> Vec<(&'a id::ZoneId, ZoneSupply)> {
    let price = |zone: &id::ZoneId| rule.zone_prices.get(zone).copied().unwrap_or(1.0);
    let mut zones: Vec<_> = supply.iter().map(|(zone, present)| (zone, *present)).collect();
    zones.sort_by(|(left, _), (right, _)| price(left).total_cmp(&price(right)));
    zones
}
