//! What daemons tell each other several times a second.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

use crate::replica;
use crate::usage;

/// Load of one daemon on one replica.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoadLine {
    /// The replica.
    pub replica: id::ReplicaId,
    /// The load.
    pub load: replica::ReplicaLoad,
}

/// Use of one workspace at one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DemandLine {
    /// The workspace.
    pub workspace: id::WorkspaceId,
    /// Units that were admitted in the daemon's life.
    pub total: f64,
    /// Units a second that its callers ask for.
    pub demand: f32,
    /// Units a second that are admitted.
    pub admitted: f32,
}

/// Use of one service at one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: id::ServiceId,
    /// Prompt tokens a second that engines are asked to read.
    pub prompt_rate: f32,
}

/// State of one daemon.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerDigest {
    /// The daemon.
    pub daemon: id::DaemonId,
    /// Its life.
    pub incarnation: quantity::Incarnation,
    /// Address at which it answers peers.
    pub address: std::net::SocketAddr,
    /// Whether it is about to stop.
    pub is_stopping: bool,
    /// Revision of the policy that it serves by; 0 where it has none.
    pub revision: quantity::RevisionNumber,
    /// Its estimate of the time of day, in Unix milliseconds.
    pub wall_ms: u64,
    /// Fencing number of the duties' lease, where it holds it.
    pub duty: Option<quantity::FenceNumber>,
    /// Load on replicas.
    pub loads: Vec<LoadLine>,
    /// Use of workspaces.
    pub demands: Vec<DemandLine>,
    /// Use of services.
    pub prompts: Vec<ServiceDemand>,
    /// Runs that began, by window of time.
    pub usage: Vec<usage::WindowCount>,
    /// Replicas that it saw leave or go, with their lives.
    pub left: Vec<(id::ReplicaId, quantity::Incarnation)>,
}
