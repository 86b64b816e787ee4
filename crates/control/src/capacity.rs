//! Carries out the plans for an availability zone, while its duties are held.
//!
//! Pure decisions over the planner: which of its actions are this zone's, what is in flight, and
//! when a drained VM is given back. What must survive the holder is in the table: a VM that is to
//! be given back is first marked as leaving there, with this module's name as the author.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_membership::gossip;
use samphiremoor_membership::upstreams;
use samphiremoor_planner::fleet;
use samphiremoor_planner::placement;
use samphiremoor_planner::plan;
use samphiremoor_planner::planner;
use samphiremoor_planner::purchase;
use samphiremoor_platform::cloud;
use samphiremoor_records::set;
use samphiremoor_view::zone;

use crate::sent_orders;

/// Author of the marks on VMs that are given back once they are idle.
pub const CAPACITY_AUTHOR: &str = "capacity";

/// Between two plans.
const PLAN_INTERVAL: time::Millis = time::Millis::new(5_000);

/// A VM that leaves is given back no sooner: by then no daemon sends it new work.
const DRAIN_TIME: time::Millis = time::Millis::new(10_000);

/// A VM that leaves is given back after this time, also where it still reports requests.
const DRAIN_LIMIT: time::Millis = time::Millis::new(600_000);

/// A mark on a VM that leaves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainMark {
    /// The VM.
    pub vm: id::VmId,
    /// Who marked it.
    pub author: std::sync::Arc<str>,
}

/// Something to carry out under the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CapacityStep {
    /// Start a VM.
    Start(cloud::VmStart),
    /// Mark a VM as leaving.
    Mark(id::VmId),
    /// Give a VM back, and take its mark away.
    Release(id::VmId),
    /// Order an upstream.
    Order {
        /// The upstream.
        upstream: gossip::UpstreamInfo,
        /// What is ordered.
        action: plan::PlanAction,
    },
}

/// What is planned and in flight.
pub struct CapacityState {
    planner: planner::FleetPlanner,
    next_plan: time::MonotonicTime,
    orders: sent_orders::SentOrders,
    leaving_since: collections::BTreeMap<id::VmId, time::MonotonicTime>,
    starts: u64,
}

impl std::fmt::Debug for CapacityState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CapacityState").field("next_plan", &self.next_plan).finish_non_exhaustive()
    }
}

/// What a plan is made from.
#[derive(Clone, Copy, Debug)]
pub struct CapacityInput<'a> {
    /// The availability zone whose duties are held.
    pub zone: &'a id::ZoneId,
    /// Life of the daemon, which marks its starts.
    pub incarnation: quantity::Incarnation,
    /// Records in force.
    pub records: &'a set::RecordSet,
    /// The upstreams.
    pub upstreams: &'a upstreams::UpstreamTable,
    /// Offers that were read just now.
    pub offers: &'a [cloud::VmOffer],
}

impl Default for CapacityState {
    fn default() -> Self {
        let policy = Box::new(purchase::BalancedPurchase);
        CapacityState {
            planner: planner::FleetPlanner::new(policy, placement::PlacementLimits::default()),
            next_plan: time::MonotonicTime::default(),
            orders: sent_orders::SentOrders::default(),
            leaving_since: collections::BTreeMap::new(),
            starts: 0,
        }
    }
}

impl CapacityState {
    /// Whether it is time for a plan, which starts with reading the offers.
    pub fn is_due(&mut self, now: time::MonotonicTime) -> bool {
        if now < self.next_plan {
            return false;
        }
        self.next_plan = now + PLAN_INTERVAL;
        true
    }

    /// Makes a plan and returns its steps in this zone.
    pub fn plan(
        &mut self,
        now: time::MonotonicTime,
        input: &CapacityInput<'_>,
    ) -> Vec<CapacityStep> {
        self.orders.forget_old(now);
        let replicas = self.fleet(now, input.upstreams);
        let made = self.planner.plan(&planner::PlanInput {
            records: input.records,
            replicas: &replicas,
            offers: input.offers,
            now,
        });
        let planned = made.actions.into_iter().map(|planned| planned.action);
        planned.filter_map(|action| self.step_of(now, input, action)).collect()
    }

    /// Marked VMs of the zone that are idle, or have left for too long.
    pub fn releases(
        &mut self,
        now: time::MonotonicTime,
        zone: &id::ZoneId,
        marks: &[DrainMark],
        upstreams: &upstreams::UpstreamTable,
    ) -> Vec<CapacityStep> {
        let mine = marks.iter().filter(|mark| &*mark.author == CAPACITY_AUTHOR);
        let mut steps = Vec::new();
        let mut marked = collections::BTreeSet::new();
        for mark in mine {
            let Some(known) = upstreams.get(&mark.vm) else { continue };
            if known.zone != *zone {
                continue;
            }
            marked.insert(mark.vm.clone());
            let since = *self.leaving_since.entry(mark.vm.clone()).or_insert(now);
            if is_releasable(now.since(since), known, upstreams) {
                steps.push(CapacityStep::Release(mark.vm.clone()));
            }
        }
        self.leaving_since.retain(|vm, _| marked.contains(vm));
        steps
    }

    /// The cloud answered a start; returns when a refused offer is tried again.
    pub fn start_answered(
        &mut self,
        now: time::MonotonicTime,
        start: &cloud::VmStart,
        answer: &cloud::StartResponse,
    ) -> Option<time::MonotonicTime> {
        match answer {
            cloud::StartResponse::Started(vm) => {
                self.planner.on_start_accepted(&start.pool, &start.offer, vm.clone(), now);
                None
            }
            cloud::StartResponse::Refused => Some(self.planner.on_start_refused(&start.offer, now)),
        }
    }

    fn fleet(
        &self,
        now: time::MonotonicTime,
        upstreams: &upstreams::UpstreamTable,
    ) -> Vec<fleet::FleetReplica> {
        upstreams.views(now).into_iter().map(|view| self.replica(view, upstreams)).collect()
    }

    fn replica(
        &self,
        view: zone::ReplicaView,
        upstreams: &upstreams::UpstreamTable,
    ) -> fleet::FleetReplica {
        let loading = self.orders.loads(&view.id);
        let loading = loading.filter(|model| !view.models.contains(*model)).cloned().collect();
        let class = upstreams.get(&view.vm).map(|news| news.class.clone());
        fleet::FleetReplica {
            class: class.expect("views are made of the table's upstreams"),
            id: view.id,
            vm: view.vm,
            zone: view.zone,
            pool: view.pool,
            reclaimable: view.reclaimable,
            price: view.price,
            state: view.state,
            models: view.models,
            loading,
            role: None,
            load: view.load,
        }
    }

    /// The step of an action; none where it is another zone's, or was ordered already.
    fn step_of(
        &mut self,
        now: time::MonotonicTime,
        input: &CapacityInput<'_>,
        action: plan::PlanAction,
    ) -> Option<CapacityStep> {
        match action {
            plan::PlanAction::Start { pool, offer } if offer.zone == *input.zone => {
                self.starts += 1;
                let write_id =
                    format!("start-{}-{}-{}", input.zone, input.incarnation, self.starts);
                let write_id = write_id.parse().expect("a zone's id and numbers make an id");
                Some(CapacityStep::Start(cloud::VmStart { write_id, offer, pool }))
            }
            plan::PlanAction::Release { vm, zone, .. } if zone == *input.zone => {
                Some(CapacityStep::Mark(vm))
            }
            plan::PlanAction::Start { .. } | plan::PlanAction::Release { .. } => None,
            order => self.order(now, input, order),
        }
    }

    fn order(
        &mut self,
        now: time::MonotonicTime,
        input: &CapacityInput<'_>,
        action: plan::PlanAction,
    ) -> Option<CapacityStep> {
        let replica = match &action {
            plan::PlanAction::Load { replica, .. }
            | plan::PlanAction::Unload { replica, .. }
            | plan::PlanAction::UnifyRole { replica } => replica.clone(),
            plan::PlanAction::Start { .. } | plan::PlanAction::Release { .. } => return None,
        };
        let vm: id::VmId = replica.as_str().parse().expect("every id type accepts the same texts");
        let upstream = input.upstreams.get(&vm).filter(|news| news.zone == *input.zone)?.clone();
        if !self.orders.note(now, replica, &action) {
            return None;
        }
        Some(CapacityStep::Order { upstream, action })
    }
}

/// Whether a marked VM is given back, which has been leaving for this long.
fn is_releasable(
    leaving_for: time::Millis,
    known: &gossip::UpstreamInfo,
    upstreams: &upstreams::UpstreamTable,
) -> bool {
    let is_gone = known.status.state == zone::UpstreamState::Gone;
    let is_over = leaving_for >= DRAIN_LIMIT;
    let is_idle = leaving_for >= DRAIN_TIME && upstreams.is_idle(&known.vm);
    is_gone || is_over || is_idle
}
