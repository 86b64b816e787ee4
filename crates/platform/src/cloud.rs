//! The cloud API: VMs, reclaim notices and prices.

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
    /// An entry daemon with its control thread.
    Entry {
        /// Address on which the entry daemon serves callers.
        http_address: net::SocketAddr,
        /// Address on which the entry daemon serves other entry daemons.
        peer_address: net::SocketAddr,
        /// Address on which the control thread serves other control threads.
        control_address: net::SocketAddr,
    },
    /// An upstream of a pool.
    Upstream {
        /// Record of the pool.
        pool: id::RecordId,
        /// Address on which the upstream serves.
        address: net::SocketAddr,
    },
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM was instructed to leave or is about to be reclaimed.
    Leaving,
}

/// One VM in the platform's list. The list lags behind the actual state of the VMs.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmEntry {
    /// Id of the VM.
    pub id: id::VmId,
    /// Availability zone of the VM.
    pub zone: id::ZoneId,
    /// Class of the VM.
    pub class: id::VmClass,
    /// Whether the cloud may reclaim the VM.
    pub reclaimable: bool,
    /// Price of the VM.
    pub price: quantity::MicroPrice,
    /// State of the VM.
    pub state: VmState,
    /// What runs on the VM.
    pub role: VmRole,
}

/// Notice that a VM is about to be reclaimed.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReclaimNotice {
    /// Sequence number of the notice, increasing over the notices of all VMs.
    pub serial: u64,
    /// Id of the VM.
    pub vm: id::VmId,
    /// Time until the reclaim, at the time of the response that contains the notice.
    pub remaining: time::Millis,
}

/// A kind of VM that the cloud offers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct VmOffer {
    /// Class of the VM.
    pub class: id::VmClass,
    /// Availability zone of the VM.
    pub zone: id::ZoneId,
    /// Whether the cloud may reclaim the VM.
    pub reclaimable: bool,
    /// Price of the VM.
    pub price: quantity::MicroPrice,
}

/// A request to start a VM.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct StartRequest {
    /// Id that a retry of the request repeats, so that the cloud starts one VM only.
    pub write_id: id::WriteId,
    /// The kind of VM to start.
    pub offer: VmOffer,
    /// Pool of the upstream that runs on the VM.
    pub pool: id::RecordId,
}

/// Response to a [`StartRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum StartResponse {
    /// The VM is starting and will appear in the list later.
    Started(id::VmId),
    /// The cloud has no capacity for the offer now.
    Refused,
}

/// The API of the cloud.
#[async_trait]
pub trait CloudApi: Send + Sync {
    /// Returns the list of VMs, which lags behind their actual state.
    async fn list_vms(&self) -> Result<Vec<VmEntry>, table::PlatformError>;

    /// Returns the notices with sequence numbers greater than `serial`.
    async fn notices(&self, serial: u64) -> Result<Vec<ReclaimNotice>, table::PlatformError>;

    /// Returns the current offers.
    async fn offers(&self) -> Result<Vec<VmOffer>, table::PlatformError>;

    /// Starts a VM. Requests with the same write id start one VM.
    async fn start_vm(&self, request: &StartRequest)
    -> Result<StartResponse, table::PlatformError>;

    /// Releases a VM. Releasing a VM that no longer exists is not an error.
    async fn release_vm(&self, vm: &id::VmId) -> Result<(), table::PlatformError>;
}
