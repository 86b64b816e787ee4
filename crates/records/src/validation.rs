//! Checks the consistency of a record set.

use std::collections;
use std::error;
use std::fmt;

use samphiremoor_base::id;

use crate::set;

/// Highest priority number, which is the least urgent.
pub const MAX_PRIORITY: u8 = 9;

/// Maximum sum of the guaranteed shares of a pool's workspaces, in thousandths.
const MAX_SHARE_SUM_PER_MILLE: u32 = 1_000;

/// Inconsistency of a record set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// A workspace refers to a service that no record declares.
    UnknownWorkspaceService(id::WorkspaceId, id::ServiceId),
    /// A pool refers to a service that no record declares.
    UnknownPoolService(id::RecordId, id::ServiceId),
    /// The second workspace has the same API key as the first one.
    DuplicateKey(id::WorkspaceId, id::WorkspaceId),
    /// The guaranteed shares of the workspaces that a pool serves add up to this many thousandths,
    /// which is more than its capacity.
    SharesExceedCapacity(id::RecordId, u32),
    /// The limit of requests in progress of a workspace is zero.
    ZeroMaxInProgress(id::WorkspaceId),
    /// No pool serves the service.
    ServiceWithoutPool(id::ServiceId),
    /// A priority is greater than [`MAX_PRIORITY`].
    PriorityOutOfRange(id::ServiceId, u8),
    /// The target time to the first token, or to the response of a plain service, is zero or longer
    /// than the deadline.
    InvalidLatency(id::ServiceId),
    /// Both weights of a service are zero.
    ZeroWeights(id::ServiceId),
    /// A pool has no service, zone or class, or its concurrency is zero.
    IncompletePool(id::RecordId),
    /// The minimum number of replicas of a pool exceeds the maximum, or the maximum is zero.
    InvalidReplicaBounds(id::RecordId),
    /// A pool serves both models and plain services.
    MixedPool(id::RecordId),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::UnknownWorkspaceService(id, service) => write!(
                f,
                "workspace/{id}: service {service} is not declared; declare it or remove it"
            ),
            RecordError::UnknownPoolService(id, service) => {
                write!(f, "pool/{id}: service {service} is not declared; declare it or remove it")
            }
            RecordError::DuplicateKey(other_id, id) => write!(
                f,
                "workspace/{id}: has the key of workspace/{other_id}; give each workspace its own key"
            ),
            RecordError::SharesExceedCapacity(id, sum) => write!(
                f,
                "pool/{id}: the shares of its workspaces add up to {sum} thousandths; lower them to 1000"
            ),
            RecordError::ZeroMaxInProgress(id) => {
                write!(f, "workspace/{id}: max_in_progress is 0; set it to at least 1")
            }
            RecordError::ServiceWithoutPool(id) => {
                write!(f, "service/{id}: no pool serves it; add it to the services of a pool")
            }
            RecordError::PriorityOutOfRange(id, priority) => {
                write!(
                    f,
                    "service/{id}: priority {priority} is out of range; set 0 (most urgent) to {MAX_PRIORITY}"
                )
            }
            RecordError::InvalidLatency(id) => write!(
                f,
                "service/{id}: first_ms must be above 0 and at most deadline_ms; change one of them"
            ),
            RecordError::ZeroWeights(id) => {
                write!(f, "service/{id}: both weights are 0; set at least one of them above 0")
            }
            RecordError::IncompletePool(id) => write!(
                f,
                "pool/{id}: give at least one service, one zone, one class and a concurrency above 0"
            ),
            RecordError::InvalidReplicaBounds(id) => write!(
                f,
                "pool/{id}: set a maximum number of replicas above 0 and not below the minimum"
            ),
            RecordError::MixedPool(id) => write!(
                f,
                "pool/{id}: serves models and plain services; declare a separate pool for each kind"
            ),
        }
    }
}

impl error::Error for RecordError {}

/// Returns all inconsistencies of the record set.
pub fn validate(records: &set::RecordSet) -> Vec<RecordError> {
    let mut errors = Vec::new();
    check_workspaces(records, &mut errors);
    records.services.iter().for_each(|service| check_service(records, service, &mut errors));
    records.pools.iter().for_each(|pool| check_pool(records, pool, &mut errors));
    errors
}

fn check_workspaces(records: &set::RecordSet, errors: &mut Vec<RecordError>) {
    let mut workspaces_by_key = collections::HashMap::new();
    for workspace in &records.workspaces {
        for service in &workspace.services {
            if records.service(service).is_none() {
                let id = workspace.id.clone();
                errors.push(RecordError::UnknownWorkspaceService(id, service.clone()));
            }
        }
        if workspace.max_in_progress == 0 {
            errors.push(RecordError::ZeroMaxInProgress(workspace.id.clone()));
        }
        if let Some(other_id) = workspaces_by_key.insert(&workspace.key_digest, &workspace.id) {
            errors.push(RecordError::DuplicateKey(other_id.clone(), workspace.id.clone()));
        }
    }
}

fn check_service(
    records: &set::RecordSet,
    service: &set::ServiceRecord,
    errors: &mut Vec<RecordError>,
) {
    let service_id = || service.id.clone();
    if records.pools_of(&service.id).next().is_none() {
        errors.push(RecordError::ServiceWithoutPool(service_id()));
    }
    if service.priority.get() > MAX_PRIORITY {
        errors.push(RecordError::PriorityOutOfRange(service_id(), service.priority.get()));
    }
    let first_token_target = service.latency.first;
    if first_token_target.get() == 0 || first_token_target > service.latency.deadline {
        errors.push(RecordError::InvalidLatency(service_id()));
    }
    if service.weights.cost.get() == 0 && service.weights.recomputed.get() == 0 {
        errors.push(RecordError::ZeroWeights(service_id()));
    }
}

fn check_pool(records: &set::RecordSet, pool: &set::PoolRecord, errors: &mut Vec<RecordError>) {
    let mut plain_count = 0;
    let mut declared_count = 0;
    for service in &pool.services {
        let Some(record) = records.service(service) else {
            errors.push(RecordError::UnknownPoolService(pool.id.clone(), service.clone()));
            continue;
        };
        declared_count += 1;
        plain_count += usize::from(record.target == set::ServiceTarget::Plain);
    }
    if plain_count != 0 && plain_count != declared_count {
        errors.push(RecordError::MixedPool(pool.id.clone()));
    }
    let is_incomplete = pool.services.is_empty()
        || pool.zones.is_empty()
        || pool.classes.is_empty()
        || pool.concurrency == 0;
    if is_incomplete {
        errors.push(RecordError::IncompletePool(pool.id.clone()));
    }
    if pool.max_replicas == 0 || pool.min_replicas > pool.max_replicas {
        errors.push(RecordError::InvalidReplicaBounds(pool.id.clone()));
    }
    let share_sum = share_sum_per_mille(records, pool);
    if share_sum > MAX_SHARE_SUM_PER_MILLE {
        errors.push(RecordError::SharesExceedCapacity(pool.id.clone(), share_sum));
    }
}

/// Returns the sum of the shares of the workspaces that may call a service of the pool, in
/// thousandths.
fn share_sum_per_mille(records: &set::RecordSet, pool: &set::PoolRecord) -> u32 {
    let may_call_pool = |workspace: &&set::WorkspaceRecord| {
        workspace.services.iter().any(|service| pool.services.contains(service))
    };
    let calling_workspaces = records.workspaces.iter().filter(may_call_pool);
    calling_workspaces.map(|workspace| u32::from(workspace.share.get())).sum()
}
