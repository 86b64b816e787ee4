//! Checks that a set of records holds together.

use std::collections;
use std::error;
use std::fmt;

use samphiremoor_base::id;

use crate::set;

/// Greatest number of a priority.
pub const MAX_PRIORITY: u8 = 9;

/// Greatest sum of the assured shares of a pool's workspaces, in thousandths.
const WHOLE_SHARE: u32 = 1_000;

/// Why a set does not hold together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordError {
    /// A workspace names a service that no record declares.
    UnknownServiceOfWorkspace(id::WorkspaceId, id::ServiceId),
    /// A pool names a service that no record declares.
    UnknownServiceOfPool(id::RecordId, id::ServiceId),
    /// Two workspaces have one key.
    SharedKey(id::WorkspaceId, id::WorkspaceId),
    /// The assured shares of the workspaces that a pool serves are more than the whole of it.
    SharesOverWhole(id::RecordId, u32),
    /// A workspace may have no request in progress.
    NoRequests(id::WorkspaceId),
    /// No pool serves a service.
    NoPool(id::ServiceId),
    /// A priority is greater than [`MAX_PRIORITY`].
    PriorityTooGreat(id::ServiceId, u8),
    /// A latency target is zero or longer than the deadline.
    ImpossibleLatency(id::ServiceId),
    /// Both weights are zero.
    NoGoal(id::ServiceId),
    /// A pool has no service, zone or class, or no concurrency.
    EmptyPool(id::RecordId),
    /// The least number of replicas is greater than the greatest, or the greatest is zero.
    ImpossibleSize(id::RecordId),
    /// A pool serves both models and plain services.
    MixedPool(id::RecordId),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordError::UnknownServiceOfWorkspace(id, service) => write!(
                f,
                "workspace/{id}: service {service} is not declared; declare it or take it out"
            ),
            RecordError::UnknownServiceOfPool(id, service) => {
                write!(f, "pool/{id}: service {service} is not declared; declare it or take it out")
            }
            RecordError::SharedKey(first, second) => write!(
                f,
                "workspace/{second}: has the key of workspace/{first}; give each a key of its own"
            ),
            RecordError::SharesOverWhole(id, sum) => write!(
                f,
                "pool/{id}: the shares of its workspaces add up to {sum} thousandths; lower them to 1000"
            ),
            RecordError::NoRequests(id) => {
                write!(f, "workspace/{id}: max_in_progress is 0; give at least 1")
            }
            RecordError::NoPool(id) => {
                write!(f, "service/{id}: no pool serves it; add it to the services of a pool")
            }
            RecordError::PriorityTooGreat(id, found) => {
                write!(f, "service/{id}: priority {found}; give 0 (most urgent) to {MAX_PRIORITY}")
            }
            RecordError::ImpossibleLatency(id) => write!(
                f,
                "service/{id}: first_ms must be above 0 and not above deadline_ms; change either"
            ),
            RecordError::NoGoal(id) => {
                write!(f, "service/{id}: both weights are 0; give at least one of them")
            }
            RecordError::EmptyPool(id) => write!(
                f,
                "pool/{id}: give at least one service, one zone, one class and a concurrency above 0"
            ),
            RecordError::ImpossibleSize(id) => write!(
                f,
                "pool/{id}: give a greatest number of replicas above 0 and not below the least one"
            ),
            RecordError::MixedPool(id) => write!(
                f,
                "pool/{id}: serves models and plain services; declare a pool for each of the two"
            ),
        }
    }
}

impl error::Error for RecordError {}

/// Every fault of the set; empty where it holds together.
pub fn validate(records: &set::RecordSet) -> Vec<RecordError> {
    let mut faults = Vec::new();
    check_workspaces(records, &mut faults);
    records.services.iter().for_each(|service| check_service(records, service, &mut faults));
    records.pools.iter().for_each(|pool| check_pool(records, pool, &mut faults));
    faults
}

fn check_workspaces(records: &set::RecordSet, faults: &mut Vec<RecordError>) {
    let mut holders = collections::HashMap::new();
    for workspace in &records.workspaces {
        for service in &workspace.services {
            if records.service(service).is_none() {
                let id = workspace.id.clone();
                faults.push(RecordError::UnknownServiceOfWorkspace(id, service.clone()));
            }
        }
        if workspace.max_in_progress == 0 {
            faults.push(RecordError::NoRequests(workspace.id.clone()));
        }
        if let Some(first) = holders.insert(&workspace.key_digest, &workspace.id) {
            faults.push(RecordError::SharedKey(first.clone(), workspace.id.clone()));
        }
    }
}

fn check_service(
    records: &set::RecordSet,
    service: &set::ServiceRecord,
    faults: &mut Vec<RecordError>,
) {
    let id = || service.id.clone();
    if records.pools_of(&service.id).next().is_none() {
        faults.push(RecordError::NoPool(id()));
    }
    if service.priority.get() > MAX_PRIORITY {
        faults.push(RecordError::PriorityTooGreat(id(), service.priority.get()));
    }
    let first = service.latency.first;
    if first.get() == 0 || first > service.latency.deadline {
        faults.push(RecordError::ImpossibleLatency(id()));
    }
    if service.weights.cost.get() == 0 && service.weights.recomputed.get() == 0 {
        faults.push(RecordError::NoGoal(id()));
    }
}

fn check_pool(records: &set::RecordSet, pool: &set::PoolRecord, faults: &mut Vec<RecordError>) {
    let mut plain = 0;
    let mut declared = 0;
    for service in &pool.services {
        let Some(record) = records.service(service) else {
            faults.push(RecordError::UnknownServiceOfPool(pool.id.clone(), service.clone()));
            continue;
        };
        declared += 1;
        plain += usize::from(record.target == set::ServiceTarget::Plain);
    }
    if plain != 0 && plain != declared {
        faults.push(RecordError::MixedPool(pool.id.clone()));
    }
    let is_empty = pool.services.is_empty()
        || pool.zones.is_empty()
        || pool.classes.is_empty()
        || pool.concurrency == 0;
    if is_empty {
        faults.push(RecordError::EmptyPool(pool.id.clone()));
    }
    if pool.max_replicas == 0 || pool.min_replicas > pool.max_replicas {
        faults.push(RecordError::ImpossibleSize(pool.id.clone()));
    }
    let sum = share_sum(records, pool);
    if sum > WHOLE_SHARE {
        faults.push(RecordError::SharesOverWhole(pool.id.clone(), sum));
    }
}

/// Shares of the workspaces that may call any of the pool's services, in thousandths.
fn share_sum(records: &set::RecordSet, pool: &set::PoolRecord) -> u32 {
    let calls_pool = |workspace: &&set::WorkspaceRecord| {
        workspace.services.iter().any(|service| pool.services.contains(service))
    };
    let callers = records.workspaces.iter().filter(calls_pool);
    callers.map(|workspace| u32::from(workspace.share.get())).sum()
}
