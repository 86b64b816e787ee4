//! State of the system as one entry daemon sees it.

use std::fmt;
use std::net;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Snapshot of the system as one entry daemon sees it.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ZoneView {
    /// Availability zone of the daemon that published the view.
    pub zone: id::ZoneId,
    /// Serial number of the view, which increases with each change within one incarnation of the
    /// daemon.
    pub serial: u64,
    /// Incarnation of the daemon that published the view.
    pub incarnation: quantity::Incarnation,
    /// Records in force.
    pub records: set::RecordSet,
    /// Replicas of every zone, ordered by id.
    pub replicas: Vec<ReplicaView>,
    /// Entry daemons of every zone, ordered by id.
    pub daemons: Vec<DaemonView>,
    /// Whether the platform responds.
    pub platform: PlatformState,
    /// Why the daemon's own VM is about to stop; `None` while it keeps running.
    pub own_stop: Option<StopCause>,
}

/// Why a VM is about to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum StopCause {
    /// The VM is leaving for a reason not known yet.
    Unsettled,
    /// An operator drains the VM: requests in progress are finished.
    Drain,
    /// The cloud reclaims the VM within seconds.
    Reclaim,
}

/// Availability of the platform's services as seen by a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum PlatformState {
    /// The platform responds.
    Available,
    /// The platform does not respond.
    Unavailable,
}

/// Lifecycle state of the process on a VM.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
pub enum UpstreamState {
    /// Started, but not yet ready for requests.
    Joining,
    /// Accepts new requests.
    Live,
    /// Finishes its requests in progress and accepts no new ones.
    Leaving,
    /// Removed; the process no longer exists.
    Gone,
}

impl UpstreamState {
    /// Returns the text used as metric label and in the output of the command line.
    pub const fn label(self) -> &'static str {
        match self {
            UpstreamState::Joining => "joining",
            UpstreamState::Live => "live",
            UpstreamState::Leaving => "leaving",
            UpstreamState::Gone => "gone",
        }
    }
}

impl fmt::Display for UpstreamState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// State of one replica.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReplicaView {
    /// Id of the replica.
    pub id: id::ReplicaId,
    /// VM of the replica.
    pub vm: id::VmId,
    /// Availability zone of the replica.
    pub zone: id::ZoneId,
    /// Pool of the replica.
    pub pool: id::RecordId,
    /// Address at which the replica serves requests.
    pub address: net::SocketAddr,
    /// Lifecycle state of the replica.
    pub state: UpstreamState,
    /// Models loaded by the replica; empty for a plain service.
    pub models: SmallVec<[set::LoadedModel; 2]>,
    /// Price of the replica's VM.
    pub price: quantity::MicroPrice,
    /// Whether the cloud may reclaim the replica's VM.
    pub reclaimable: bool,
    /// Last load report of the replica.
    pub load: LoadReport,
}

/// Load that a replica reported.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct LoadReport {
    /// Requests in the current batch.
    pub running: u32,
    /// Requests waiting to enter the batch.
    pub queued: u32,
    /// Prompt tokens waiting for prefill.
    pub queued_tokens: quantity::TokenCount,
    /// Age of the report when the view was published.
    pub age: time::Millis,
}

/// State of one entry daemon.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct DaemonView {
    /// Id of the daemon.
    pub id: id::DaemonId,
    /// VM of the daemon.
    pub vm: id::VmId,
    /// Availability zone of the daemon.
    pub zone: id::ZoneId,
    /// Address at which the daemon serves callers.
    pub http_address: net::SocketAddr,
    /// Address at which the daemon responds to other daemons.
    pub peer_address: net::SocketAddr,
    /// Lifecycle state of the daemon.
    pub state: UpstreamState,
}
