//! Wire types of schema version 1, in which the fields of a record are not grouped into tables.

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::set;

/// A record file of schema version 1.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FileWire {
    /// The schema version.
    pub schema: u32,
    /// Workspaces.
    #[serde(default, rename = "workspace", skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceWire>,
    /// Services.
    #[serde(default, rename = "service", skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<ServiceWire>,
    /// Pools.
    #[serde(default, rename = "pool", skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<PoolWire>,
}

/// A workspace.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceWire {
    /// Id of the workspace.
    pub id: id::WorkspaceId,
    /// SHA-256 digest of the API key.
    pub key_digest: digest::HexDigest,
    /// Services that the workspace may call.
    pub services: Vec<id::ServiceId>,
    /// Guaranteed share of the capacity, in thousandths.
    pub share: quantity::PerMille,
    /// Maximum number of requests in progress at one entry daemon.
    pub max_in_progress: u32,
}

/// A service. A plain service has no `model`, `version` and `adapter`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// Id of the service.
    pub id: id::ServiceId,
    /// Id of the model, for a model service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<id::ModelId>,
    /// Version of the model, for a model service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<id::VersionId>,
    /// Adapter of the model, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<id::AdapterId>,
    /// Priority; a smaller number is more urgent.
    pub priority: quantity::PriorityLevel,
    /// Target time to the first token, or to the response of a plain service, in milliseconds.
    pub first_ms: time::Millis,
    /// Target time between two tokens, in milliseconds; omitted for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between_ms: Option<time::Millis>,
    /// Default deadline if the caller sets none, in milliseconds.
    pub deadline_ms: time::Millis,
    /// Weight of cost relative to recomputed tokens, in thousandths.
    pub cost_weight: quantity::PerMille,
    /// Weight of recomputed tokens relative to cost, in thousandths.
    pub recomputed_weight: quantity::PerMille,
    /// Whether a call may be executed more than once.
    pub repeatable: bool,
}

/// A pool of upstreams.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolWire {
    /// Id of the pool.
    pub id: id::RecordId,
    /// Services that the upstreams serve.
    pub services: Vec<id::ServiceId>,
    /// Availability zones in which VMs may be started.
    pub zones: Vec<id::ZoneId>,
    /// VM classes in order of preference.
    pub classes: Vec<id::VmClass>,
    /// Minimum number of replicas over all availability zones.
    pub min_replicas: u32,
    /// Maximum number of replicas over all availability zones.
    pub max_replicas: u32,
    /// Requests that one replica can serve concurrently.
    pub concurrency: u32,
    /// Whether the upstreams refuse orders with an outdated fencing token.
    pub checks_fencing: bool,
}

impl From<WorkspaceWire> for set::WorkspaceRecord {
    fn from(wire: WorkspaceWire) -> Self {
        set::WorkspaceRecord {
            id: wire.id,
            key_digest: wire.key_digest,
            services: SmallVec::from_vec(wire.services),
            share: wire.share,
            max_in_progress: wire.max_in_progress,
        }
    }
}

impl From<&set::WorkspaceRecord> for WorkspaceWire {
    fn from(record: &set::WorkspaceRecord) -> Self {
        WorkspaceWire {
            id: record.id.clone(),
            key_digest: record.key_digest.clone(),
            services: record.services.to_vec(),
            share: record.share,
            max_in_progress: record.max_in_progress,
        }
    }
}

/// Error that a service has a model without a version, or a version or an adapter without a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetError(pub id::ServiceId);

impl std::fmt::Display for TargetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "service {}: give model and version together, or omit model, version and adapter for \
             a plain service",
            self.0
        )
    }
}

impl std::error::Error for TargetError {}

impl TryFrom<ServiceWire> for set::ServiceRecord {
    type Error = TargetError;

    fn try_from(wire: ServiceWire) -> Result<Self, TargetError> {
        let target = match (wire.model, wire.version, wire.adapter) {
            (Some(model), Some(version), adapter) => {
                set::ServiceTarget::Model(set::LoadedModel { model, version, adapter })
            }
            (None, None, None) => set::ServiceTarget::Plain,
            _ => return Err(TargetError(wire.id)),
        };
        Ok(set::ServiceRecord {
            id: wire.id,
            target,
            priority: wire.priority,
            latency: set::LatencyTarget {
                first: wire.first_ms,
                between: wire.between_ms.unwrap_or_default(),
                deadline: wire.deadline_ms,
            },
            weights: set::GoalWeights {
                cost: wire.cost_weight,
                recomputed: wire.recomputed_weight,
            },
            repeatable: wire.repeatable,
        })
    }
}

impl From<&set::ServiceRecord> for ServiceWire {
    fn from(record: &set::ServiceRecord) -> Self {
        let loaded_model = match &record.target {
            set::ServiceTarget::Model(loaded_model) => Some(loaded_model.clone()),
            set::ServiceTarget::Plain => None,
        };
        let between_tokens = record.latency.between;
        ServiceWire {
            id: record.id.clone(),
            model: loaded_model.as_ref().map(|loaded_model| loaded_model.model.clone()),
            version: loaded_model.as_ref().map(|loaded_model| loaded_model.version.clone()),
            adapter: loaded_model.and_then(|loaded_model| loaded_model.adapter),
            priority: record.priority,
            first_ms: record.latency.first,
            // The record represents an omitted target as zero.
            between_ms: (between_tokens != time::Millis::default()).then_some(between_tokens),
            deadline_ms: record.latency.deadline,
            cost_weight: record.weights.cost,
            recomputed_weight: record.weights.recomputed,
            repeatable: record.repeatable,
        }
    }
}

impl From<PoolWire> for set::PoolRecord {
    fn from(wire: PoolWire) -> Self {
        set::PoolRecord {
            id: wire.id,
            services: SmallVec::from_vec(wire.services),
            zones: SmallVec::from_vec(wire.zones),
            classes: SmallVec::from_vec(wire.classes),
            min_replicas: wire.min_replicas,
            max_replicas: wire.max_replicas,
            concurrency: wire.concurrency,
            checks_fencing: wire.checks_fencing,
        }
    }
}

impl From<&set::PoolRecord> for PoolWire {
    fn from(record: &set::PoolRecord) -> Self {
        PoolWire {
            id: record.id.clone(),
            services: record.services.to_vec(),
            zones: record.zones.to_vec(),
            classes: record.classes.to_vec(),
            min_replicas: record.min_replicas,
            max_replicas: record.max_replicas,
            concurrency: record.concurrency,
            checks_fencing: record.checks_fencing,
        }
    }
}
