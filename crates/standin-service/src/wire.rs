//! Bodies of the service's answers.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

/// Answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceReceipt {
    /// Unique for each run over all services with different names.
    pub receipt: String,
    /// The call's method.
    pub method: String,
    /// The call's path.
    pub path: String,
    /// The call's idempotency key.
    pub key: Option<String>,
    /// The call's body.
    pub echo: String,
}

/// Answer of `GET /control/counts`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceCounts {
    /// Runs, those without a key included.
    pub total: u64,
    /// Requests that were run, where the call named one.
    #[serde(default)]
    pub requests: collections::BTreeSet<String>,
    /// Runs of each key.
    pub keys: collections::BTreeMap<String, KeyCount>,
}

/// Runs of one key.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyCount {
    /// Number of runs.
    pub runs: u64,
    /// Number of different bodies.
    pub bodies: u64,
}

/// Answer of `GET /state`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceState {
    /// The replica.
    pub id: id::ReplicaId,
    /// Whether it takes new calls.
    pub ready: bool,
    /// Always empty: a plain service loads no models.
    pub models: Vec<id::ModelId>,
    /// Always zero: a plain service takes no orders.
    pub fence: quantity::FencingToken,
    /// Whether it is stopping.
    pub draining: bool,
}

/// Answer of `GET /load`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceLoad {
    /// Calls in progress.
    pub running: u32,
    /// Always zero: calls do not wait.
    pub queued: u32,
    /// Always zero: there are no tokens.
    pub queued_tokens: u64,
    /// Always zero: the figures are fresh.
    pub age_ms: u64,
}
