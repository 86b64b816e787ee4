//! Response bodies of the service.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

/// Response body of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceReceipt {
    /// Receipt, unique to each run across all services with different ids.
    pub receipt: String,
    /// Method of the call.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// Idempotency key of the call.
    pub key: Option<String>,
    /// Body of the call.
    pub echo: String,
}

/// Response body of `GET /control/counts`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceCounts {
    /// Number of runs, including runs without a key.
    pub total: u64,
    /// Ids of the requests that ran, for calls with a request id.
    #[serde(default)]
    pub requests: collections::BTreeSet<String>,
    /// Counts of each idempotency key.
    pub keys: collections::BTreeMap<String, KeyCount>,
}

/// Counts of one idempotency key.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyCount {
    /// Number of runs.
    pub runs: u64,
    /// Number of distinct bodies.
    pub bodies: u64,
}

/// Response body of `GET /state`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceState {
    /// Replica id of the service.
    pub id: id::ReplicaId,
    /// Whether the service accepts new calls.
    pub ready: bool,
    /// Always empty: a plain service loads no models.
    pub models: Vec<id::ModelId>,
    /// Always zero: a plain service takes no orders.
    pub fence: quantity::FencingToken,
    /// Whether the service is draining before it stops.
    pub draining: bool,
}

/// Response body of `GET /load`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceLoad {
    /// Number of calls in progress.
    pub running: u32,
    /// Always zero: calls are never queued.
    pub queued: u32,
    /// Always zero: there are no tokens.
    pub queued_tokens: u64,
    /// Always zero: the load is read when it is requested.
    pub age_ms: u64,
}
