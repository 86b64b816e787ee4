//! Dry run of the planner.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_planner::fleet;
use samphiremoor_planner::placement;
use samphiremoor_planner::plan;
use samphiremoor_planner::planner;
use samphiremoor_planner::purchase;
use samphiremoor_platform::cloud;
use samphiremoor_records::set;
use samphiremoor_view::zone;

/// Builds a plan from the views of the daemons and the offers of the cloud.
///
/// The plan can differ from the plans of the control threads: the holders of the zones' duty leases
/// also consider past demand and refused starts, which are not known here.
pub fn build(
    records: &set::RecordSet,
    replicas: &[&zone::ReplicaView],
    listed: &[cloud::VmEntry],
    offers: &[cloud::VmOffer],
) -> plan::FleetPlan {
    let classes: collections::HashMap<&id::VmId, &id::VmClass> =
        listed.iter().map(|entry| (&entry.id, &entry.class)).collect();
    let known = replicas.iter().filter_map(|view| Some((view, *classes.get(&view.vm)?)));
    let replicas: Vec<fleet::FleetReplica> =
        known.map(|(view, class)| replica(view, class.clone())).collect();
    let policy = Box::new(purchase::BalancedPurchase);
    let mut planner = planner::FleetPlanner::new(policy, placement::PlacementLimits::default());
    let now = time::MonotonicTime::default();
    planner.plan(&planner::PlanInput { records, replicas: &replicas, offers, now })
}

fn replica(view: &zone::ReplicaView, class: id::VmClass) -> fleet::FleetReplica {
    fleet::FleetReplica {
        id: view.id.clone(),
        vm: view.vm.clone(),
        zone: view.zone.clone(),
        pool: view.pool.clone(),
        class,
        reclaimable: view.reclaimable,
        price: view.price,
        state: view.state,
        models: view.models.clone(),
        loading: smallvec::SmallVec::new(),
        role: None,
        load: view.load,
    }
}
