//! The set of records of one revision, free of the schema version in which each was written.

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Everything that is in force at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct RecordSet {
    /// Number of the revision.
    pub revision: quantity::RevisionNumber,
    /// Workspaces, by id.
    pub workspaces: Vec<WorkspaceRecord>,
    /// Services, by id.
    pub services: Vec<ServiceRecord>,
    /// Upstream pools, by id.
    pub pools: Vec<PoolRecord>,
}

/// A workspace, its key and its limits.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkspaceRecord {
    /// The workspace.
    pub id: id::WorkspaceId,
    /// SHA-256 digest of the API key.
    pub key_digest: digest::HexDigest,
    /// Services that the workspace may call.
    pub services: SmallVec<[id::ServiceId; 4]>,
    /// Share of the capacity that the workspace is sure of while others want it too.
    pub share: quantity::PerMille,
    /// Requests that it may have in progress at one entry daemon.
    pub max_in_progress: u32,
}

/// A service as callers address it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ServiceRecord {
    /// The service; callers of a model service give it as `model`.
    pub id: id::ServiceId,
    /// What serves it.
    pub target: ServiceTarget,
    /// Priority among the services.
    pub priority: quantity::PriorityLevel,
    /// Latency that it is to meet.
    pub latency: LatencyTarget,
    /// Weights of the two measured goals.
    pub weights: GoalWeights,
    /// Whether a call may be run more than once.
    pub repeatable: bool,
}

/// What serves a service.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ServiceTarget {
    /// A model, in one version, with an adapter or without.
    Model(LoadedModel),
    /// A plain service that listens on the upstreams of a pool.
    Plain,
}

/// A model version with its adapter, as a replica has it loaded.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub struct LoadedModel {
    /// The model.
    pub model: id::ModelId,
    /// Its version.
    pub version: id::VersionId,
    /// The adapter, where there is one.
    pub adapter: Option<id::AdapterId>,
}

/// Latency that 95 of 100 requests are to meet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LatencyTarget {
    /// Time to the first token, or to the answer of a plain service.
    pub first: time::Millis,
    /// Time between two tokens.
    pub between: time::Millis,
    /// Time after which a request is given up where the caller sets none.
    pub deadline: time::Millis,
}

/// Weights of cost and recomputed tokens; only their ratio matters.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct GoalWeights {
    /// Weight of cost.
    pub cost: quantity::PerMille,
    /// Weight of recomputed tokens.
    pub recomputed: quantity::PerMille,
}

/// A pool of like upstreams that serve the same services.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct PoolRecord {
    /// The pool; the platform's VM list carries it as a tag.
    pub id: id::RecordId,
    /// Services that its upstreams serve.
    pub services: SmallVec<[id::ServiceId; 4]>,
    /// Availability zones in which VMs may be started.
    pub zones: SmallVec<[id::ZoneId; 4]>,
    /// VM classes in order of preference.
    pub classes: SmallVec<[id::VmClass; 2]>,
    /// Least number of replicas over all zones.
    pub min_replicas: u32,
    /// Greatest number of replicas over all zones.
    pub max_replicas: u32,
    /// Requests that one replica serves at the same time within the latency target.
    pub concurrency: u32,
    /// Whether its upstreams refuse an order with an old fencing number.
    pub checks_fencing: bool,
}

impl RecordSet {
    /// The workspace with the id.
    pub fn workspace(&self, id: &id::WorkspaceId) -> Option<&WorkspaceRecord> {
        self.workspaces.iter().find(|record| record.id == *id)
    }

    /// The workspace whose key has the digest.
    pub fn workspace_by_key(&self, digest: &digest::HexDigest) -> Option<&WorkspaceRecord> {
        self.workspaces.iter().find(|record| record.key_digest == *digest)
    }

    /// The service with the id.
    pub fn service(&self, id: &id::ServiceId) -> Option<&ServiceRecord> {
        self.services.iter().find(|record| record.id == *id)
    }

    /// The pool with the id.
    pub fn pool(&self, id: &id::RecordId) -> Option<&PoolRecord> {
        self.pools.iter().find(|record| record.id == *id)
    }

    /// Pools whose upstreams serve the service.
    pub fn pools_of(&self, service: &id::ServiceId) -> impl Iterator<Item = &PoolRecord> {
        self.pools.iter().filter(move |pool| pool.services.contains(service))
    }
}
