//! What the planner would do now.

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

/// Makes a plan of what the daemons see and the cloud offers, without the memory that the holders
/// of the zones' duties have of past demand and refused starts.
pub fn make(
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
