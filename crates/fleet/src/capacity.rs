//! Plan of the replicas that a service needs, by availability zone and kind.
//!
//! Answers the load pattern of a wave of requests with bursts while the cloud takes back all
//! reclaimable replicas of a zone at once and sells none for a while. Reclaimable replicas are cheap,
//! so more are held than are needed; a few others in each zone stay whatever happens, and more of them
//! are ordered when what is left falls short.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;

use crate::policy;

/// Part of a replica's slots that is in use when it carries its share with its prompts read in time;
/// from the step times of the engines that we have figures of.
const SLOT_FILL: f64 = 0.5;
/// Part of the time that a replica may spend on reading prompts: above it, queues of prompts grow.
const PROMPT_FILL: f64 = 0.6;
/// Reclaimable replicas held for each one that is needed: two zones of four may be taken back before
/// new ones are to be had.
const RECLAIMABLE_SPARE: f64 = 1.7;
/// Other replicas held for each one that is needed.
const STEADY_PART: f64 = 0.1;
/// What is left must cover this part of the need; below it, other replicas are ordered.
const COVERED_PART: f64 = 0.6;
/// Part of the replicas that are there at first that counts as needed until load was seen.
const FIRST_PART: f64 = 0.75;
/// A need counts for this long after it was measured, so that the next crest finds its replicas.
const NEED_HELD: time::Millis = time::Millis::new(20_000);
/// Time after which an order that was refused is tried again.
const REFUSED_PAUSE: time::Millis = time::Millis::new(3_000);
/// An order that the fleet does not show is repeated after this time, at least the start of a VM.
const REPEAT_PAUSE: time::Millis = time::Millis::new(6_000);
/// A fleet that was not looked at before is watched for this long: replicas that were there register
/// one after the other after a start of the whole deployment.
const SETTLE_TIME: time::Millis = time::Millis::new(4_000);
/// Time for which what is left must be enough before other replicas are given back.
const SURPLUS_TIME: time::Millis = time::Millis::new(2_500);

/// Replicas of a service in one zone that take requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ZoneSupply {
    /// Replicas that the cloud does not reclaim.
    pub steady: u32,
    /// Replicas that it may reclaim.
    pub reclaimable: u32,
    /// Reclaimable replicas that are about to leave.
    pub leaving: u32,
}

/// Load of a service over all daemons.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests in progress.
    pub running: f64,
    /// Time that engines need for the prompts of one second, in seconds.
    pub prompt_seconds: f64,
    /// Slots of one replica.
    pub slots: f64,
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
    pub count: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
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
    needs: collections::VecDeque<(time::MonotonicTime, f64)>,
    orders: collections::BTreeMap<(id::ZoneId, bool), PlacedOrder>,
    enough_since: Option<time::MonotonicTime>,
    first_look: Option<time::MonotonicTime>,
}

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    at: time::MonotonicTime,
    answer: OrderAnswer,
}

impl CapacityPlanner {
    /// Replicas needed for a load.
    pub fn need(load: &ServiceLoad) -> f64 {
        let by_slots = load.running / (load.slots.max(1.0) * SLOT_FILL);
        by_slots.max(load.prompt_seconds / PROMPT_FILL)
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
        let total_steady: u32 = supply.values().map(|zone| zone.steady).sum();
        let total_reclaimable: u32 = supply.values().map(|zone| zone.reclaimable).sum();
        if supply.is_empty() {
            return Vec::new();
        }
        let first_look = *self.first_look.get_or_insert(now);
        if now.since(first_look) < SETTLE_TIME {
            return Vec::new();
        }
        let need = self.held_need(Self::need(load), f64::from(total_steady) * FIRST_PART, now);
        let zones = supply.len() as f64;
        let steady_floor = (need * STEADY_PART / zones).ceil().max(f64::from(rule.min)) as u32;
        let reclaimable_each = match rule.reclaimable_price {
            Some(_) => (need * RECLAIMABLE_SPARE / zones).ceil() as u32,
            None => 0,
        };
        let have = f64::from(total_steady + total_reclaimable);
        let floors = steady_floor * supply.len() as u32;
        let without_surplus = f64::from(total_reclaimable + floors.min(total_steady));
        let is_enough = without_surplus >= need * COVERED_PART;
        self.enough_since = match self.enough_since {
            Some(since) if is_enough => Some(since),
            _ => is_enough.then_some(now),
        };
        let may_lower =
            self.enough_since.is_some_and(|since| now.since(since) >= SURPLUS_TIME);
        let missing = (need * COVERED_PART - have).ceil().max(0.0) as u32;
        let mut extra = missing;
        let mut orders = Vec::new();
        for (zone, present) in by_price(supply, rule) {
            let mut steady = match may_lower {
                true => steady_floor,
                false => present.steady.max(steady_floor),
            };
            let reclaimable = reclaimable_each.min(rule.max.saturating_sub(steady_floor));
            let room = rule.max.saturating_sub(steady.max(present.steady) + present.reclaimable);
            let added = extra.min(room).min(missing.div_ceil(supply.len() as u32));
            steady += added;
            extra -= added;
            let reclaimable = reclaimable.min(rule.max.saturating_sub(steady));
            self.order(service, zone, false, steady, present.steady, now, &mut orders);
            if rule.reclaimable_price.is_some() {
                let have = present.reclaimable;
                self.order(service, zone, true, reclaimable, have, now, &mut orders);
            }
        }
        orders
    }

    /// Takes over what became of an order.
    pub fn note_answer(&mut self, order: &CapacityOrder, answer: OrderAnswer) {
        let key = (order.zone.clone(), order.is_reclaimable);
        if let Some(placed) = self.orders.get_mut(&key) {
            placed.answer = answer;
        }
    }

    /// The need that counts now: the greatest one of late, before any load the fleet as it is.
    fn held_need(&mut self, need: f64, present: f64, now: time::MonotonicTime) -> f64 {
        if self.needs.is_empty() {
            self.needs.push_back((now, present));
        }
        if self.needs.back().is_none_or(|(at, _)| now.since(*at).get() >= 500) {
            self.needs.push_back((now, need));
        }
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
                    OrderAnswer::Taken => age >= REPEAT_PAUSE && present < count,
                    OrderAnswer::Refused => age >= REFUSED_PAUSE,
                    OrderAnswer::Unknown => age >= REFUSED_PAUSE,
                };
                placed.count != count || is_open
            }
        };
        if !is_due {
            return;
        }
        let placed = PlacedOrder { count, at: now, answer: OrderAnswer::Unknown };
        self.orders.insert(key, placed);
        let (service, zone) = (service.clone(), zone.clone());
        orders.push(CapacityOrder { service, zone, is_reclaimable, count });
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
