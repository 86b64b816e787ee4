//! The load that daemons put on replicas.

use samphiremoor_base::id;
use serde::Deserialize;
use serde::Serialize;

/// Load that daemons put on a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct ReplicaLoad {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of requests that have no first token yet.
    pub pending_tokens: u32,
}

/// Load of one daemon on one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadEntry {
    /// The replica.
    pub replica: id::ReplicaId,
    /// The load.
    pub load: ReplicaLoad,
}
