//! Properties of plans for random fleets.

mod common;

use proptest::prelude::*;
use proptest::test_runner;
use samphiremoor_base::time;
use samphiremoor_planner::fleet;
use samphiremoor_planner::placement;
use samphiremoor_planner::plan;
use samphiremoor_planner::planner;
use samphiremoor_planner::purchase;
use samphiremoor_platform::cloud;
use samphiremoor_records::set;
use samphiremoor_view::zone;

fn config() -> test_runner::Config {
    samphiremoor_testkit::config(128)
}

fn any_replica(number: usize) -> impl Strategy<Value = fleet::FleetReplica> {
    let state = prop_oneof![
        5 => Just(zone::UpstreamState::Live),
        1 => Just(zone::UpstreamState::Joining),
        1 => Just(zone::UpstreamState::Leaving),
    ];
    let models = prop::sample::subsequence(vec!["m@1", "m@2", "n@1"], 0..=2);
    (0usize..12, state, 0u32..15, models).prop_map(move |(offer_index, state, running, models)| {
        let offer = &common::offers()[offer_index];
        let mut replica = common::replica(&format!("r{number}"), offer, &models);
        replica.state = state;
        replica.load.running = running;
        replica
    })
}

fn any_fleet() -> impl Strategy<Value = Vec<fleet::FleetReplica>> {
    (0usize..14).prop_flat_map(|count| (0..count).map(any_replica).collect::<Vec<_>>())
}

fn any_offers() -> impl Strategy<Value = Vec<cloud::VmOffer>> {
    prop::sample::subsequence(common::offers(), 0..=12)
}

fn make_plan(
    records: &set::RecordSet,
    replicas: &[fleet::FleetReplica],
    offers: &[cloud::VmOffer],
) -> plan::FleetPlan {
    let policy = Box::new(purchase::BalancedPurchase);
    let mut planner = planner::FleetPlanner::new(policy, placement::PlacementLimits::default());
    let now = time::MonotonicTime::new(1);
    planner.plan(&planner::PlanInput { records, replicas, offers, now })
}

fn starts(plan: &plan::FleetPlan) -> Vec<&cloud::VmOffer> {
    let is_start =
        |planned: &'_ plan::PlannedAction| matches!(planned.action, plan::PlanAction::Start { .. });
    plan.actions
        .iter()
        .filter(|planned| is_start(planned))
        .filter_map(|planned| match &planned.action {
            plan::PlanAction::Start { offer, .. } => Some(offer),
            _ => None,
        })
        .collect()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn plan_keeps_the_maximum_and_buys_only_current_offers(
        replicas in any_fleet(),
        offers in any_offers(),
    ) {
        let records = common::records(&["m@1"]);
        let plan = make_plan(&records, &replicas, &offers);
        let active_count = replicas.iter().filter(|replica| replica.is_active()).count();
        let started_offers = starts(&plan);
        prop_assert!(started_offers.is_empty() || active_count + started_offers.len() <= 12);
        prop_assert!(started_offers.iter().all(|offer| offers.contains(offer)));
    }

    #[test]
    fn starts_cover_the_demand_and_a_zone_loss(replicas in any_fleet()) {
        let records = common::records(&["m@1"]);
        let plan = make_plan(&records, &replicas, &common::offers());
        let pool_vms: Vec<fleet::PoolVm> = replicas
            .iter()
            .filter(|replica| replica.is_active())
            .map(fleet::FleetReplica::pool_vm)
            .collect();
        let mut counts = fleet::VmCounts::from_pool_vms(&pool_vms);
        starts(&plan).iter().for_each(|offer| counts.add(&offer.zone, offer.reclaimable));
        let pool = &plan.pools[0];
        prop_assert!(counts.count() >= pool.wanted);
        prop_assert!(counts.count_after_zone_loss() >= pool.after_loss || counts.count() >= 12);
    }

    #[test]
    fn releases_keep_the_wanted_replicas(replicas in any_fleet()) {
        let records = common::records(&["m@1"]);
        let policy = Box::new(purchase::BalancedPurchase);
        let mut planner = planner::FleetPlanner::new(policy, placement::PlacementLimits::default());
        let offers = common::offers();
        for round in 0..4 {
            let now = time::MonotonicTime::new(1 + round * 70_000);
            let input =
                planner::PlanInput { records: &records, replicas: &replicas, offers: &offers, now };
            let plan = planner.plan(&input);
            let releases = plan.actions.iter().filter(|planned| {
                matches!(planned.action, plan::PlanAction::Release { .. })
            });
            let active_count = replicas.iter().filter(|replica| replica.is_active()).count();
            prop_assert!(
                active_count - releases.count()
                    >= (plan.pools[0].wanted as usize).min(active_count)
            );
        }
    }

    /// Checks that carrying out placement actions ends with the model of every service on some live
    /// replica, and that the last replica with a wanted model never loses it.
    #[test]
    fn placement_converges_without_losing_a_model(replicas in any_fleet()) {
        const ROUNDS: usize = 60;
        let records = common::records(&["m@1", "m@2", "n@1"]);
        let wanted: Vec<_> = ["m@1", "m@2", "n@1"].map(common::model).into();
        let mut live_replicas: Vec<fleet::FleetReplica> = replicas;
        live_replicas.retain(|replica| replica.state == zone::UpstreamState::Live);
        prop_assume!(live_replicas.len() >= 3);
        let pool = records.pools[0].clone();
        for _ in 0..ROUNDS {
            let were_loaded: Vec<bool> =
                wanted.iter().map(|model| is_loaded(&live_replicas, model)).collect();
            let references: Vec<&fleet::FleetReplica> = live_replicas.iter().collect();
            let limits = placement::PlacementLimits::default();
            let mut loading = 0;
            let actions =
                placement::plan_placement(&records, &pool, &references, &limits, &mut loading);
            prop_assert!(loading <= limits.max_loading);
            if actions.is_empty() {
                break;
            }
            actions.iter().for_each(|planned| apply_action(&mut live_replicas, &planned.action));
            for (model, was_loaded) in wanted.iter().zip(were_loaded) {
                prop_assert!(
                    !was_loaded || is_loaded(&live_replicas, model),
                    "no replica has {model:?} any more"
                );
            }
        }
        prop_assert!(wanted.iter().all(|model| is_loaded(&live_replicas, model)));
    }
}

fn is_loaded(replicas: &[fleet::FleetReplica], model: &set::LoadedModel) -> bool {
    replicas.iter().any(|replica| replica.models.contains(model))
}

fn apply_action(replicas: &mut [fleet::FleetReplica], action: &plan::PlanAction) {
    for candidate in replicas {
        match action {
            plan::PlanAction::Load { replica, model } if candidate.id == *replica => {
                candidate.models.push(model.clone());
            }
            plan::PlanAction::Unload { replica, model } if candidate.id == *replica => {
                candidate.models.retain(|loaded| loaded != model);
            }
            _ => {}
        }
    }
}
