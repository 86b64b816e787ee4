//! Record set of one revision, independent of the schema version in which each record was written.

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// All records of one revision, sorted by id, or those of one record file in its order.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct RecordSet {
    /// Number of the revision, or 0 for a record file.
    pub revision: quantity::RevisionNumber,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceRecord>,
    /// Services.
    pub services: Vec<ServiceRecord>,
    /// Upstream pools.
    pub pools: Vec<PoolRecord>,
}

/// A workspace with its API key and its limits.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkspaceRecord {
    /// Id of the workspace.
    pub id: id::WorkspaceId,
    /// SHA-256 digest of the API key.
    pub key_digest: digest::HexDigest,
    /// Services that the workspace may call.
    pub services: SmallVec<[id::ServiceId; 4]>,
    /// Share of the capacity that is guaranteed to the workspace under contention.
    pub share: quantity::PerMille,
    /// Maximum number of requests in progress at one entry daemon.
    pub max_in_progress: u32,
}

/// A service that callers address.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServiceRecord {
    /// Id of the service. Callers of a model service send it as `model`.
    pub id: id::ServiceId,
    /// What serves the requests.
    pub target: ServiceTarget,
    /// Priority among the services; a smaller number is more urgent.
    pub priority: quantity::PriorityLevel,
    /// Latency targets of the service.
    pub latency: LatencyTarget,
    /// Weights of cost and recomputed tokens.
    pub weights: GoalWeights,
    /// Whether a call may be executed more than once.
    pub repeatable: bool,
}

/// What serves the requests of a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ServiceTarget {
    /// A model version, with or without an adapter.
    Model(LoadedModel),
    /// A plain service that listens on the upstreams of a pool.
    Plain,
}

/// A model version with its adapter, as loaded on a replica.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LoadedModel {
    /// Id of the model.
    pub model: id::ModelId,
    /// Version of the model.
    pub version: id::VersionId,
    /// Adapter of the model, if there is one.
    pub adapter: Option<id::AdapterId>,
}

/// Latency targets for the 95th percentile of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LatencyTarget {
    /// Time to the first token, or to the response of a plain service.
    pub first: time::Millis,
    /// Time between two tokens, or zero if there is no target for it.
    pub between: time::Millis,
    /// Default deadline of a request, if the caller sets none.
    pub deadline: time::Millis,
}

/// Weights of cost and recomputed tokens. Only their ratio matters.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct GoalWeights {
    /// Weight of cost.
    pub cost: quantity::PerMille,
    /// Weight of recomputed tokens.
    pub recomputed: quantity::PerMille,
}

/// A pool of upstreams of the same kind that serve the same services.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PoolRecord {
    /// Id of the pool, which the platform's VM list contains as a tag.
    pub id: id::RecordId,
    /// Services that the upstreams serve.
    pub services: SmallVec<[id::ServiceId; 4]>,
    /// Availability zones in which VMs may be started.
    pub zones: SmallVec<[id::ZoneId; 4]>,
    /// VM classes in order of preference.
    pub classes: SmallVec<[id::VmClass; 2]>,
    /// Minimum number of replicas over all availability zones.
    pub min_replicas: u32,
    /// Maximum number of replicas over all availability zones.
    pub max_replicas: u32,
    /// Requests that one replica can serve concurrently within the latency target.
    pub concurrency: u32,
    /// Whether the upstreams refuse orders with an outdated fencing token.
    pub checks_fencing: bool,
}

impl RecordSet {
    /// Returns the workspace with the id.
    pub fn workspace(&self, id: &id::WorkspaceId) -> Option<&WorkspaceRecord> {
        self.workspaces.iter().find(|record| record.id == *id)
    }

    /// Returns the workspace whose API key has the digest.
    pub fn workspace_by_key(&self, digest: &digest::HexDigest) -> Option<&WorkspaceRecord> {
        self.workspaces.iter().find(|record| record.key_digest == *digest)
    }

    /// Returns the service with the id.
    pub fn service(&self, id: &id::ServiceId) -> Option<&ServiceRecord> {
        self.services.iter().find(|record| record.id == *id)
    }

    /// Returns the pool with the id.
    pub fn pool(&self, id: &id::RecordId) -> Option<&PoolRecord> {
        self.pools.iter().find(|record| record.id == *id)
    }

    /// Iterates over the pools whose upstreams serve the service.
    pub fn pools_of(&self, service: &id::ServiceId) -> impl Iterator<Item = &PoolRecord> {
        self.pools.iter().filter(move |pool| pool.services.contains(service))
    }
}
