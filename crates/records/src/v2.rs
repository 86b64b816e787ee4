//! Wire types of schema version 2, with separate tables for models, latencies, goals and limits.

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::set;

/// A record file of schema version 2.
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
    /// Limits of the workspace.
    pub limits: LimitsWire,
}

/// Limits of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsWire {
    /// Guaranteed share of the capacity, in thousandths.
    pub share: quantity::PerMille,
    /// Maximum number of requests in progress at one entry daemon.
    pub max_in_progress: u32,
}

/// A service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// Id of the service.
    pub id: id::ServiceId,
    /// Priority; a smaller number is more urgent.
    pub priority: quantity::PriorityLevel,
    /// Whether a call may be executed more than once.
    pub repeatable: bool,
    /// The model; omitted for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelWire>,
    /// Latency targets of the service.
    pub latency: LatencyWire,
    /// Weights of cost and recomputed tokens.
    pub goals: GoalsWire,
}

/// A model version with its adapter.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelWire {
    /// Id of the model.
    pub name: id::ModelId,
    /// Version of the model.
    pub version: id::VersionId,
    /// Adapter of the model, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<id::AdapterId>,
}

/// Latency targets for the 95th percentile of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LatencyWire {
    /// Target time to the first token, or to the response of a plain service, in milliseconds.
    pub first_ms: time::Millis,
    /// Target time between two tokens, in milliseconds; omitted for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub between_ms: Option<time::Millis>,
    /// Default deadline if the caller sets none, in milliseconds.
    pub deadline_ms: time::Millis,
}

/// Weights of cost and recomputed tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GoalsWire {
    /// Weight of cost relative to recomputed tokens, in thousandths.
    pub cost: quantity::PerMille,
    /// Weight of recomputed tokens relative to cost, in thousandths.
    pub recomputed: quantity::PerMille,
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
    /// Requests that one replica can serve concurrently.
    pub concurrency: u32,
    /// Whether the upstreams refuse orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Bounds of the number of replicas.
    pub replicas: BoundsWire,
}

/// Bounds of the number of replicas over all availability zones.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsWire {
    /// Minimum number of replicas.
    pub min: u32,
    /// Maximum number of replicas.
    pub max: u32,
}

impl From<WorkspaceWire> for set::WorkspaceRecord {
    fn from(wire: WorkspaceWire) -> Self {
        set::WorkspaceRecord {
            id: wire.id,
            key_digest: wire.key_digest,
            services: SmallVec::from_vec(wire.services),
            share: wire.limits.share,
            max_in_progress: wire.limits.max_in_progress,
        }
    }
}

impl From<&set::WorkspaceRecord> for WorkspaceWire {
    fn from(record: &set::WorkspaceRecord) -> Self {
        WorkspaceWire {
            id: record.id.clone(),
            key_digest: record.key_digest.clone(),
            services: record.services.to_vec(),
            limits: LimitsWire { share: record.share, max_in_progress: record.max_in_progress },
        }
    }
}

impl From<ServiceWire> for set::ServiceRecord {
    fn from(wire: ServiceWire) -> Self {
        let target = match wire.model {
            Some(model_wire) => set::ServiceTarget::Model(set::LoadedModel {
                model: model_wire.name,
                version: model_wire.version,
                adapter: model_wire.adapter,
            }),
            None => set::ServiceTarget::Plain,
        };
        set::ServiceRecord {
            id: wire.id,
            target,
            priority: wire.priority,
            latency: set::LatencyTarget {
                first: wire.latency.first_ms,
                between: wire.latency.between_ms.unwrap_or_default(),
                deadline: wire.latency.deadline_ms,
            },
            weights: set::GoalWeights { cost: wire.goals.cost, recomputed: wire.goals.recomputed },
            repeatable: wire.repeatable,
        }
    }
}

impl From<&set::ServiceRecord> for ServiceWire {
    fn from(record: &set::ServiceRecord) -> Self {
        let model = match &record.target {
            set::ServiceTarget::Model(loaded) => Some(ModelWire {
                name: loaded.model.clone(),
                version: loaded.version.clone(),
                adapter: loaded.adapter.clone(),
            }),
            set::ServiceTarget::Plain => None,
        };
        let between_tokens = record.latency.between;
        ServiceWire {
            id: record.id.clone(),
            priority: record.priority,
            repeatable: record.repeatable,
            model,
            latency: LatencyWire {
                first_ms: record.latency.first,
                // The record represents an omitted target as zero.
                between_ms: (between_tokens != time::Millis::default()).then_some(between_tokens),
                deadline_ms: record.latency.deadline,
            },
            goals: GoalsWire { cost: record.weights.cost, recomputed: record.weights.recomputed },
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
            min_replicas: wire.replicas.min,
            max_replicas: wire.replicas.max,
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
            concurrency: record.concurrency,
            checks_fencing: record.checks_fencing,
            replicas: BoundsWire { min: record.min_replicas, max: record.max_replicas },
        }
    }
}
