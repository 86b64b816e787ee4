//! Placement of models whose replicas have room for one model only.

#[allow(dead_code, reason = "some items are used by other tests only")]
mod common;

use samphiremoor_planner::fleet;
use samphiremoor_planner::placement;
use samphiremoor_planner::plan;
use samphiremoor_view::zone;

const LIMITS: placement::PlacementLimits =
    placement::PlacementLimits { models_per_replica: 1, max_loading: 4 };

fn place(replicas: &[fleet::FleetReplica]) -> Vec<plan::PlanAction> {
    let records = common::records(&["a@1", "b@1"]);
    let replicas: Vec<&fleet::FleetReplica> = replicas.iter().collect();
    let mut loading = replicas.iter().map(|replica| replica.loading.len()).sum();
    let pool = &records.pools[0];
    let planned = placement::plan_placement(&records, pool, &replicas, &LIMITS, &mut loading);
    planned.into_iter().map(|planned| planned.action).collect()
}

fn replica(name: &str, models: &[&str]) -> fleet::FleetReplica {
    common::replica(name, &common::offer("small", "a", false, 100), models)
}

fn load(replica: &str, model: &str) -> plan::PlanAction {
    let replica = replica.parse().expect("the name is an identifier");
    plan::PlanAction::Load { replica, model: common::model(model) }
}

fn unload(replica: &str, model: &str) -> plan::PlanAction {
    let replica = replica.parse().expect("the name is an identifier");
    plan::PlanAction::Unload { replica, model: common::model(model) }
}

// A wanted model stays loaded on its last replica until another one serves it.
#[test]
fn last_replica_keeps_a_wanted_model_until_another_has_loaded_it() {
    let mut replicas = [replica("r1", &[]), replica("r2", &["a@1"])];
    assert_eq!(place(&replicas), [load("r1", "a@1")]);
    replicas[0].loading.push(common::model("a@1"));
    assert_eq!(place(&replicas), []);
    replicas[0] = replica("r1", &["a@1"]);
    replicas[0].state = zone::UpstreamState::Joining;
    assert_eq!(place(&replicas), []);
    replicas[0].state = zone::UpstreamState::Live;
    assert_eq!(place(&replicas), [unload("r2", "a@1")]);
}

// With enough replicas, several may replace models in one plan, but not all that have a model.
#[test]
fn one_plan_does_not_unload_a_wanted_model_everywhere() {
    let mut replicas: Vec<fleet::FleetReplica> =
        (0..8).map(|number| replica(&format!("r{number}"), &["c@1"])).collect();
    replicas.extend([replica("r8", &["a@1"]), replica("r9", &["a@1"])]);
    for round in 0..40 {
        for action in place(&replicas) {
            match action {
                plan::PlanAction::Load { replica, model } => {
                    let found = replicas.iter_mut().find(|found| found.id == replica);
                    found.expect("the replica exists").loading.push(model);
                }
                plan::PlanAction::Unload { replica, model } => {
                    let found = replicas.iter_mut().find(|found| found.id == replica);
                    found.expect("the replica exists").models.retain(|loaded| *loaded != model);
                }
                action => panic!("placement returned {action}"),
            }
        }
        let is_loaded =
            |replica: &fleet::FleetReplica| replica.models.contains(&common::model("a@1"));
        assert!(replicas.iter().any(is_loaded), "no replica has the model in round {round}");
        // Loads take two rounds.
        if round % 2 == 1 {
            for replica in &mut replicas {
                let loaded: Vec<_> = replica.loading.drain(..).collect();
                replica.models.extend(loaded);
            }
        }
    }
    let count = |model: &str| {
        replicas.iter().filter(|replica| replica.models.contains(&common::model(model))).count()
    };
    assert_eq!((count("a@1"), count("b@1"), count("c@1")), (5, 5, 0));
}
