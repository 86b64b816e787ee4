//! Which models are loaded where.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_records::set;
use samphiremoor_view::zone;

use crate::fleet;
use crate::plan;

/// Bounds of placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementLimits {
    /// Models that fit on a replica at the same time.
    pub models_per_replica: usize,
    /// Loads from the weight store at the same time, over all replicas.
    pub max_loading: usize,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        PlacementLimits { models_per_replica: 2, max_loading: 4 }
    }
}

/// Share of a pool's replicas that may be without a wanted model's old version while it is
/// replaced: one in so many.
const REPLACED_ONE_IN: usize = 4;

/// Orders that bring the pool's replicas to the models of its services.
///
/// A model is loaded before the one that it replaces is unloaded, as long as both fit. Where they
/// don't, replicas are changed a few at a time, and the last ones with a model that is still wanted
/// keep it until others have it.
pub fn plan_placement(
    records: &set::RecordSet,
    pool: &set::PoolRecord,
    replicas: &[&fleet::FleetReplica],
    limits: &PlacementLimits,
    loading: &mut usize,
) -> Vec<plan::PlannedAction> {
    let live: Vec<&fleet::FleetReplica> =
        replicas.iter().copied().filter(|replica| replica.is_active()).collect();
    let wanted = wanted_models(records, pool);
    let targets = targets(&wanted, &live, limits);
    let mut orders = Vec::new();
    let mut replaced = live.iter().filter(|replica| !replica.loading.is_empty()).count();
    let most_replaced = (live.len() / REPLACED_ONE_IN).max(1);
    for replica in &live {
        orders.extend(role_order(replica));
        let Some(target) = targets.get(&replica.id) else { continue };
        let missing = target
            .iter()
            .find(|model| !replica.models.contains(model) && !replica.loading.contains(model));
        let surplus: Vec<&set::LoadedModel> =
            replica.models.iter().filter(|model| !target.contains(model)).collect();
        let Some(model) = missing else {
            orders.extend(surplus.iter().filter_map(|model| unused(replica, model, &wanted)));
            continue;
        };
        let used = replica.models.len() + replica.loading.len();
        if used < limits.models_per_replica {
            if *loading < limits.max_loading {
                *loading += 1;
                orders.push(load(replica, model));
            }
            continue;
        }
        let can_replace = replaced < most_replaced && *loading < limits.max_loading;
        if let Some(out) = surplus.first()
            && can_replace
        {
            replaced += 1;
            let action =
                plan::PlanAction::Unload { replica: replica.id.clone(), model: (*out).clone() };
            let reason = plan::PlanReason::ModelReplaced;
            orders.push(plan::PlannedAction { action, reason });
        }
    }
    orders
}

/// Models of the pool's services.
fn wanted_models(
    records: &set::RecordSet,
    pool: &set::PoolRecord,
) -> collections::BTreeSet<set::LoadedModel> {
    let services = pool.services.iter().filter_map(|service| records.service(service));
    let models = services.filter_map(|service| match &service.target {
        set::ServiceTarget::Model(model) => Some(model.clone()),
        set::ServiceTarget::Plain => None,
    });
    models.collect()
}

type ModelTargets = collections::BTreeMap<id::ReplicaId, Vec<set::LoadedModel>>;

/// Models that each replica is to have: all where they fit, else those that the fewest others have,
/// and what it has loaded already first.
fn targets(
    wanted: &collections::BTreeSet<set::LoadedModel>,
    live: &[&fleet::FleetReplica],
    limits: &PlacementLimits,
) -> ModelTargets {
    let mut holders: collections::BTreeMap<&set::LoadedModel, usize> =
        wanted.iter().map(|model| (model, 0)).collect();
    let mut targets = ModelTargets::new();
    let mut sorted: Vec<&&fleet::FleetReplica> = live.iter().collect();
    // Zone by zone in turn, so that each model is spread over zones.
    sorted.sort_by(|left, right| (&left.id, &left.zone).cmp(&(&right.id, &right.zone)));
    for replica in sorted {
        let mut order: Vec<&set::LoadedModel> = wanted.iter().collect();
        let has = |model: &set::LoadedModel| {
            replica.models.contains(model) || replica.loading.contains(model)
        };
        let fair = (live.len() * limits.models_per_replica).div_ceil(wanted.len().max(1));
        order.sort_by_key(|model| {
            let count = holders[model];
            // Keeping what is loaded costs nothing, unless others lack holders for it.
            (!(has(model) && count < fair), count)
        });
        let chosen: Vec<set::LoadedModel> =
            order.into_iter().take(limits.models_per_replica).cloned().collect();
        for model in &chosen {
            if let Some(count) = holders.get_mut(model) {
                *count += 1;
            }
        }
        targets.insert(replica.id.clone(), chosen);
    }
    targets
}

fn load(replica: &fleet::FleetReplica, model: &set::LoadedModel) -> plan::PlannedAction {
    let action = plan::PlanAction::Load { replica: replica.id.clone(), model: model.clone() };
    plan::PlannedAction { action, reason: plan::PlanReason::ModelWanted }
}

/// Unloads what no service wants once the replica has all that it is to have.
fn unused(
    replica: &fleet::FleetReplica,
    model: &set::LoadedModel,
    wanted: &collections::BTreeSet<set::LoadedModel>,
) -> Option<plan::PlannedAction> {
    if wanted.contains(model) || !replica.loading.is_empty() {
        return None;
    }
    let action = plan::PlanAction::Unload { replica: replica.id.clone(), model: model.clone() };
    Some(plan::PlannedAction { action, reason: plan::PlanReason::ModelUnused })
}

fn role_order(replica: &fleet::FleetReplica) -> Option<plan::PlannedAction> {
    let is_split =
        matches!(replica.role, Some(fleet::EngineRole::Prefill) | Some(fleet::EngineRole::Decode));
    if !is_split || replica.state != zone::UpstreamState::Live {
        return None;
    }
    let action = plan::PlanAction::UnifyRole { replica: replica.id.clone() };
    Some(plan::PlannedAction { action, reason: plan::PlanReason::RoleUnused })
}
