//! Messages of the control path, which tests use.

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_platform::faults;
use samphiremoor_platform::fleet;
use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /control/faults`; each order replaces the one before.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Faults of the table and the object store.
    pub table: faults::StoreFaults,
    /// Faults of the VM list, notices, offers and starts.
    pub cloud: faults::StoreFaults,
    /// Whether starts of VMs are refused.
    pub refuse_starts: bool,
    /// Availability zones that are cut off: calls at their address get no answer.
    pub cut_zones: Vec<id::ZoneId>,
}

/// Body of `POST /control/reclaim`: a VM, or every reclaimable VM of a zone.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReclaimOrder {
    /// What is reclaimed.
    #[serde(flatten)]
    pub scope: fleet::ReclaimScope,
    /// Seconds of notice.
    pub seconds: u64,
}

impl ReclaimOrder {
    /// Time of notice.
    pub fn remaining(&self) -> time::Millis {
        time::Millis::new(self.seconds.saturating_mul(1_000))
    }
}

/// Answer of `GET /control/counts`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct PlatformCounts {
    /// Reads and scans that reached the table.
    pub reads: u64,
    /// Transactions that reached the table.
    pub writes: u64,
    /// Calls refused by the rate limits.
    pub rate_refusals: u64,
}
