//! Placement of models on replicas.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_records::set;
use samphiremoor_view::zone;

use crate::fleet;
use crate::plan;

/// Limits of placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementLimits {
    /// Maximum number of models on a replica at the same time.
    pub models_per_replica: usize,
    /// Maximum number of concurrent loads from the weight store, by all replicas together.
    pub max_loading: usize,
}

impl Default for PlacementLimits {
    fn default() -> Self {
        PlacementLimits { models_per_replica: 2, max_loading: 4 }
    }
}

/// At most one in this many replicas of a pool replaces models at the same time, so that the others
/// keep serving; in a smaller pool, one replica at a time does.
const REPLICAS_PER_REPLACEMENT: usize = 4;

/// Returns the next actions that bring the replicas of the pool to the models of its services.
///
/// A model is loaded before the one that it replaces is unloaded, as long as both fit. If they do
/// not fit, only a few replicas are changed at a time, and a replica keeps a wanted model that it
/// has loaded unless enough other replicas are to hold it, and at least one of them serves it.
///
/// `loading` is the number of pending loads of all replicas; the loads of the returned actions are
/// added to it.
pub fn plan_placement(
    records: &set::RecordSet,
    pool: &set::PoolRecord,
    replicas: &[&fleet::FleetReplica],
    limits: &PlacementLimits,
    loading: &mut usize,
) -> Vec<plan::PlannedAction> {
    let active_replicas: Vec<&fleet::FleetReplica> =
        replicas.iter().copied().filter(|replica| replica.is_active()).collect();
    let wanted = wanted_models(records, pool);
    let targets = target_models(&wanted, &active_replicas, limits);
    let mut actions = Vec::new();
    let mut replacing_replicas =
        active_replicas.iter().filter(|replica| !replica.loading.is_empty()).count();
    let max_replacements = (active_replicas.len() / REPLICAS_PER_REPLACEMENT).max(1);
    let mut serving_counts = serving_counts(&wanted, &active_replicas);
    for replica in &active_replicas {
        actions.extend(role_action(replica));
        let Some(replica_target) = targets.get(&replica.id) else { continue };
        let missing_model = replica_target
            .iter()
            .find(|model| !replica.models.contains(model) && !replica.loading.contains(model));
        let surplus_models: Vec<&set::LoadedModel> =
            replica.models.iter().filter(|model| !replica_target.contains(model)).collect();
        let Some(model) = missing_model else {
            actions.extend(
                surplus_models.iter().filter_map(|model| unload_unused(replica, model, &wanted)),
            );
            continue;
        };
        let model_count = replica.models.len() + replica.loading.len();
        if model_count < limits.models_per_replica {
            if *loading < limits.max_loading {
                *loading += 1;
                actions.push(load_action(replica, model));
            }
            continue;
        }
        let can_replace = replacing_replicas < max_replacements && *loading < limits.max_loading;
        let is_replaceable = |model: &&&set::LoadedModel| {
            let other_replicas = serving_counts.get(**model).map(|serving_count| {
                serving_count - usize::from(replica.state == zone::UpstreamState::Live)
            });
            other_replicas.is_none_or(|other_replicas| other_replicas > 0)
        };
        if let Some(replaced_model) = surplus_models.iter().find(is_replaceable)
            && can_replace
        {
            replacing_replicas += 1;
            if replica.state == zone::UpstreamState::Live
                && let Some(serving_count) = serving_counts.get_mut(*replaced_model)
            {
                *serving_count -= 1;
            }
            let action = plan::PlanAction::Unload {
                replica: replica.id.clone(),
                model: (*replaced_model).clone(),
            };
            let reason = plan::PlanReason::ModelReplaced;
            actions.push(plan::PlannedAction { action, reason });
        }
    }
    actions
}

/// Returns the models of the services of the pool.
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

/// Returns for each wanted model the number of live replicas that have it loaded.
fn serving_counts<'a>(
    wanted: &'a collections::BTreeSet<set::LoadedModel>,
    active_replicas: &[&fleet::FleetReplica],
) -> collections::BTreeMap<&'a set::LoadedModel, usize> {
    let serving_count = |model: &set::LoadedModel| {
        let serves = |replica: &&&fleet::FleetReplica| {
            replica.state == zone::UpstreamState::Live && replica.models.contains(model)
        };
        active_replicas.iter().filter(serves).count()
    };
    wanted.iter().map(|model| (model, serving_count(model))).collect()
}

type ModelTargets = collections::BTreeMap<id::ReplicaId, Vec<set::LoadedModel>>;

/// Returns the target models of each replica: all wanted models if they fit, else those that the
/// fewest replicas before it hold, with preference for models that it has loaded or is loading.
fn target_models(
    wanted: &collections::BTreeSet<set::LoadedModel>,
    active_replicas: &[&fleet::FleetReplica],
    limits: &PlacementLimits,
) -> ModelTargets {
    let mut holder_counts: collections::BTreeMap<&set::LoadedModel, usize> =
        wanted.iter().map(|model| (model, 0)).collect();
    let mut targets = ModelTargets::new();
    let mut sorted_replicas: Vec<&&fleet::FleetReplica> = active_replicas.iter().collect();
    // Visits the replicas in a fixed order, by id and then by zone, to spread each model over
    // zones.
    sorted_replicas.sort_by(|left, right| (&left.id, &left.zone).cmp(&(&right.id, &right.zone)));
    for replica in sorted_replicas {
        let mut models_by_preference: Vec<&set::LoadedModel> = wanted.iter().collect();
        let has_or_loads = |model: &set::LoadedModel| {
            replica.models.contains(model) || replica.loading.contains(model)
        };
        let fair_share =
            (active_replicas.len() * limits.models_per_replica).div_ceil(wanted.len().max(1));
        models_by_preference.sort_by_key(|model| {
            let holder_count = holder_counts[model];
            // Keeping a loaded model costs nothing, unless enough replicas have it already.
            (!(has_or_loads(model) && holder_count < fair_share), holder_count)
        });
        let chosen_models: Vec<set::LoadedModel> =
            models_by_preference.into_iter().take(limits.models_per_replica).cloned().collect();
        for model in &chosen_models {
            if let Some(count) = holder_counts.get_mut(model) {
                *count += 1;
            }
        }
        targets.insert(replica.id.clone(), chosen_models);
    }
    targets
}

fn load_action(replica: &fleet::FleetReplica, model: &set::LoadedModel) -> plan::PlannedAction {
    let action = plan::PlanAction::Load { replica: replica.id.clone(), model: model.clone() };
    plan::PlannedAction { action, reason: plan::PlanReason::ModelWanted }
}

/// Returns the unload of a model that no service wants, once the replica has no loads pending.
fn unload_unused(
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

/// Returns the action that makes a live prefill-only or decode-only engine do both.
fn role_action(replica: &fleet::FleetReplica) -> Option<plan::PlannedAction> {
    let is_single_phase =
        matches!(replica.role, Some(fleet::EngineRole::Prefill) | Some(fleet::EngineRole::Decode));
    if !is_single_phase || replica.state != zone::UpstreamState::Live {
        return None;
    }
    let action = plan::PlanAction::UnifyRole { replica: replica.id.clone() };
    Some(plan::PlannedAction { action, reason: plan::PlanReason::RoleUnused })
}
