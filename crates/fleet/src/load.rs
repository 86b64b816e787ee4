//! Load that daemons place on replicas.

use samphiremoor_base::id;
use serde::Deserialize;
use serde::Serialize;

/// Load that one or more daemons place on a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReplicaLoad {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of requests without a first token yet.
    pub pending_tokens: u32,
}

impl ReplicaLoad {
    /// Returns the sum of two loads.
    pub fn plus(self, other: ReplicaLoad) -> ReplicaLoad {
        ReplicaLoad {
            running: self.running.saturating_add(other.running),
            pending_tokens: self.pending_tokens.saturating_add(other.pending_tokens),
        }
    }
}

/// Load that one or more daemons place on one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadEntry {
    /// Id of the replica.
    pub replica: id::ReplicaId,
    /// Load on the replica.
    pub load: ReplicaLoad,
}
