//! Turns plans into steps for an availability zone while the lease on its duties is held.
//!
//! A state machine without I/O on top of the planner. It selects the actions for this zone, tracks
//! the orders in flight and decides when a drained VM is released. State that must survive a change
//! of the lease holder is in the platform's table: before a VM is released, it gets a drain mark
//! with [`CAPACITY_AUTHOR`] as the author.

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

/// Author of the drain marks on VMs that are released once they are idle.
pub const CAPACITY_AUTHOR: &str = "capacity";

/// Time between two plans.
const PLAN_INTERVAL: time::Millis = time::Millis::new(5_000);

/// Minimum time between the drain mark on a VM and its release. After this time no daemon sends new
/// requests to it.
const MIN_DRAIN_TIME: time::Millis = time::Millis::new(10_000);

/// A VM with a drain mark is released after this time, even if it still reports requests.
const MAX_DRAIN_TIME: time::Millis = time::Millis::new(600_000);

/// The drain mark on an unknown VM is deleted after this time. A daemon that starts may know no VMs
/// for as long as the cloud is unavailable.
const UNKNOWN_VM_TIMEOUT: time::Millis = time::Millis::new(600_000);

/// Drain mark on a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainMark {
    /// The marked VM.
    pub vm: id::VmId,
    /// Author of the mark.
    pub author: std::sync::Arc<str>,
}

/// Plan step that is executed under the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanStep {
    /// Start a VM.
    Start(cloud::StartRequest),
    /// Write a drain mark on a VM.
    MarkDraining(id::VmId),
    /// Release a VM and delete its drain mark.
    Release(id::VmId),
    /// Delete the drain mark on a VM that no longer exists.
    DeleteMark(id::VmId),
    /// Send an order to an upstream.
    Order {
        /// The upstream.
        upstream: gossip::UpstreamInfo,
        /// The action to execute.
        action: plan::PlanAction,
    },
}

/// State of the capacity plans of a zone.
pub struct CapacityPlanner {
    planner: planner::FleetPlanner,
    next_plan_at: time::MonotonicTime,
    sent_orders: sent_orders::SentOrders,
    /// Time at which this planner first saw the drain mark on a VM.
    mark_seen_at: collections::BTreeMap<id::VmId, time::MonotonicTime>,
    /// Number of VM starts so far, part of their write ids.
    start_count: u64,
}

impl std::fmt::Debug for CapacityPlanner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CapacityPlanner")
            .field("next_plan_at", &self.next_plan_at)
            .finish_non_exhaustive()
    }
}

/// Inputs of a plan.
#[derive(Clone, Copy, Debug)]
pub struct CapacityInput<'a> {
    /// Availability zone whose duties are held.
    pub zone: &'a id::ZoneId,
    /// Incarnation of the daemon, part of the write ids of its VM starts.
    pub incarnation: quantity::Incarnation,
    /// Records in force.
    pub records: &'a set::RecordSet,
    /// Known upstreams.
    pub upstreams: &'a upstreams::UpstreamTable,
    /// Current VM offers.
    pub offers: &'a [cloud::VmOffer],
}

impl Default for CapacityPlanner {
    fn default() -> Self {
        let policy = Box::new(purchase::BalancedPurchase);
        CapacityPlanner {
            planner: planner::FleetPlanner::new(policy, placement::PlacementLimits::default()),
            next_plan_at: time::MonotonicTime::default(),
            sent_orders: sent_orders::SentOrders::default(),
            mark_seen_at: collections::BTreeMap::new(),
            start_count: 0,
        }
    }
}

impl CapacityPlanner {
    /// Returns whether a plan is due and schedules the next one. The caller then reads the offers.
    pub fn schedule_if_due(&mut self, now: time::MonotonicTime) -> bool {
        if now < self.next_plan_at {
            return false;
        }
        self.next_plan_at = now + PLAN_INTERVAL;
        true
    }

    /// Makes a plan and returns its steps in this zone.
    pub fn plan(&mut self, now: time::MonotonicTime, input: &CapacityInput<'_>) -> Vec<PlanStep> {
        self.sent_orders.remove_expired(now);
        let replicas = self.fleet_replicas(now, input.upstreams);
        let plan = self.planner.plan(&planner::PlanInput {
            records: input.records,
            replicas: &replicas,
            offers: input.offers,
            now,
        });
        let planned_actions = plan.actions.into_iter().map(|planned| planned.action);
        planned_actions.filter_map(|action| self.plan_step(now, input, action)).collect()
    }

    /// Returns release steps for the VMs of the zone with a mark by [`CAPACITY_AUTHOR`] that are
    /// idle, gone or have had the mark for too long, and deletes of marks whose VM has long been
    /// unknown. The time counts from the first call with the mark.
    pub fn due_releases(
        &mut self,
        now: time::MonotonicTime,
        zone: &id::ZoneId,
        marks: &[DrainMark],
        upstreams: &upstreams::UpstreamTable,
    ) -> Vec<PlanStep> {
        let capacity_marks = marks.iter().filter(|mark| &*mark.author == CAPACITY_AUTHOR);
        let mut steps = Vec::new();
        let mut marked_vms = collections::BTreeSet::new();
        for mark in capacity_marks {
            let upstream = upstreams.get(&mark.vm);
            if upstream.is_some_and(|upstream| upstream.zone != *zone) {
                continue;
            }
            marked_vms.insert(mark.vm.clone());
            let marked_for = now.since(*self.mark_seen_at.entry(mark.vm.clone()).or_insert(now));
            match upstream {
                Some(upstream) if is_releasable(marked_for, upstream, upstreams) => {
                    steps.push(PlanStep::Release(mark.vm.clone()));
                }
                None if marked_for >= UNKNOWN_VM_TIMEOUT => {
                    steps.push(PlanStep::DeleteMark(mark.vm.clone()));
                }
                _ => {}
            }
        }
        self.mark_seen_at.retain(|vm, _| marked_vms.contains(vm));
        steps
    }

    /// Handles the response to the start of a VM, and returns when a refused offer may be used
    /// again.
    pub fn start_completed(
        &mut self,
        now: time::MonotonicTime,
        request: &cloud::StartRequest,
        response: &cloud::StartResponse,
    ) -> Option<time::MonotonicTime> {
        match response {
            cloud::StartResponse::Started(vm) => {
                self.planner.on_start_accepted(&request.pool, &request.offer, vm.clone(), now);
                None
            }
            cloud::StartResponse::Refused => {
                Some(self.planner.on_start_refused(&request.offer, now))
            }
        }
    }

    fn fleet_replicas(
        &self,
        now: time::MonotonicTime,
        upstreams: &upstreams::UpstreamTable,
    ) -> Vec<fleet::FleetReplica> {
        upstreams.views(now).into_iter().map(|view| self.fleet_replica(view, upstreams)).collect()
    }

    fn fleet_replica(
        &self,
        view: zone::ReplicaView,
        upstreams: &upstreams::UpstreamTable,
    ) -> fleet::FleetReplica {
        let loading = self.sent_orders.pending_loads(&view.id);
        let loading = loading.filter(|model| !view.models.contains(*model)).cloned().collect();
        let class = upstreams.get(&view.vm).map(|info| info.class.clone());
        fleet::FleetReplica {
            class: class.expect("views are built from the upstream table"),
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

    /// Converts a planned action to a step, or returns `None` if it is for another zone or was
    /// already ordered.
    fn plan_step(
        &mut self,
        now: time::MonotonicTime,
        input: &CapacityInput<'_>,
        action: plan::PlanAction,
    ) -> Option<PlanStep> {
        match action {
            plan::PlanAction::Start { pool, offer } if offer.zone == *input.zone => {
                self.start_count += 1;
                let write_id =
                    format!("start-{}-{}-{}", input.zone, input.incarnation, self.start_count);
                let write_id = write_id.parse().expect("a zone id with numbers is a valid id");
                Some(PlanStep::Start(cloud::StartRequest { write_id, offer, pool }))
            }
            plan::PlanAction::Release { vm, zone, .. } if zone == *input.zone => {
                Some(PlanStep::MarkDraining(vm))
            }
            plan::PlanAction::Start { .. } | plan::PlanAction::Release { .. } => None,
            order_action => self.order_step(now, input, order_action),
        }
    }

    /// Converts an action on a replica to an order, or returns `None` if it is for another zone or
    /// was already ordered.
    fn order_step(
        &mut self,
        now: time::MonotonicTime,
        input: &CapacityInput<'_>,
        action: plan::PlanAction,
    ) -> Option<PlanStep> {
        let replica = match &action {
            plan::PlanAction::Load { replica, .. }
            | plan::PlanAction::Unload { replica, .. }
            | plan::PlanAction::UnifyRole { replica } => replica.clone(),
            plan::PlanAction::Start { .. } | plan::PlanAction::Release { .. } => return None,
        };
        let vm: id::VmId = replica.as_str().parse().expect("all id types accept the same strings");
        let upstream = input.upstreams.get(&vm).filter(|info| info.zone == *input.zone)?.clone();
        if !self.sent_orders.record(now, replica, &action) {
            return None;
        }
        Some(PlanStep::Order { upstream, action })
    }
}

/// Returns whether a VM may be released whose drain mark was first seen this long ago.
fn is_releasable(
    marked_for: time::Millis,
    upstream: &gossip::UpstreamInfo,
    upstreams: &upstreams::UpstreamTable,
) -> bool {
    let is_gone = upstream.status.state == zone::UpstreamState::Gone;
    let is_overdue = marked_for >= MAX_DRAIN_TIME;
    let is_idle = marked_for >= MIN_DRAIN_TIME && upstreams.is_idle(&upstream.vm);
    is_gone || is_overdue || is_idle
}
