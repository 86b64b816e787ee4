//! The cloud: VMs, notices and prices.

use std::net;

use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::table;

/// What runs on a VM.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case", tag = "role")]
pub enum VmRole {
    /// The daemons of this system.
    Entry {
        /// Where the entry daemon serves callers.
        http_address: net::SocketAddr,
        /// Where the entry daemon answers other entry daemons.
        peer_address: net::SocketAddr,
        /// Where the control thread answers other control threads.
        control_address: net::SocketAddr,
    },
    /// An upstream of a pool.
    Upstream {
        /// The pool's record.
        pool: id::RecordId,
        /// Where it serves.
        address: net::SocketAddr,
    },
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It was told to leave or is about to be reclaimed.
    Leaving,
}

/// One VM in the platform's list, which lags behind the truth.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmEntry {
    /// The VM.
    pub id: id::VmId,
    /// Its availability zone.
    pub zone: id::ZoneId,
    /// Its class.
    pub class: id::VmClass,
    /// Whether the cloud may reclaim it.
    pub reclaimable: bool,
    /// Its price.
    pub price: quantity::MicroPrice,
    /// Its state.
    pub state: VmState,
    /// What runs on it.
    pub role: VmRole,
}

/// Announcement that a VM is about to be reclaimed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReclaimNotice {
    /// Number of the notice; rises over all notices.
    pub serial: u64,
    /// The VM.
    pub vm: id::VmId,
    /// Time that was left when the notice was answered.
    pub remaining: time::Millis,
}

/// What the cloud offers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmOffer {
    /// The class.
    pub class: id::VmClass,
    /// The availability zone.
    pub zone: id::ZoneId,
    /// Whether the cloud may reclaim it.
    pub reclaimable: bool,
    /// Its price.
    pub price: quantity::MicroPrice,
}

/// An order to start a VM.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StartRequest {
    /// Marks repeated sends of one order.
    pub write_id: id::WriteId,
    /// What to start.
    pub offer: VmOffer,
    /// Pool of the new upstream.
    pub pool: id::RecordId,
}

/// The cloud's answer to a start.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum StartResponse {
    /// The VM starts; it appears in the list later.
    Started(id::VmId),
    /// No capacity for the offer now.
    Refused,
}

/// The cloud's API.
#[async_trait]
pub trait CloudApi: Send + Sync {
    /// The lagging list of VMs.
    async fn list_vms(&self) -> Result<Vec<VmEntry>, table::PlatformError>;

    /// Notices after `serial`.
    async fn notices(&self, serial: u64) -> Result<Vec<ReclaimNotice>, table::PlatformError>;

    /// Present offers.
    async fn offers(&self) -> Result<Vec<VmOffer>, table::PlatformError>;

    /// Starts a VM; idempotent by write id.
    async fn start_vm(&self, start: &StartRequest) -> Result<StartResponse, table::PlatformError>;

    /// Gives a VM back; a VM that is gone already is no error.
    async fn release_vm(&self, vm: &id::VmId) -> Result<(), table::PlatformError>;
}
