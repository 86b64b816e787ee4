//! Request and response bodies of the `/control/` paths, which only tests use.

use samphiremoor_base::id;
use samphiremoor_base::time;
use samphiremoor_platform::faults;
use samphiremoor_platform::fleet;
use serde::Deserialize;
use serde::Serialize;

/// Request body of `POST /control/faults`. Each request replaces the previous faults.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Faults of the table and the object store.
    pub table: faults::StoreFaults,
    /// Faults of the VM list, notices, offers and VM starts.
    pub cloud: faults::StoreFaults,
    /// Whether VM starts are refused.
    pub refuse_starts: bool,
    /// Availability zones that are cut off from the platform. Calls to their addresses get no
    /// response.
    pub cut_zones: Vec<id::ZoneId>,
}

/// Request body of `POST /control/reclaim`, which reclaims one VM or all reclaimable VMs of a zone.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReclaimOrder {
    /// VM or zone to reclaim.
    #[serde(flatten)]
    pub scope: fleet::ReclaimScope,
    /// Notice period in seconds.
    pub seconds: u64,
}

impl ReclaimOrder {
    /// Returns the notice period.
    pub fn remaining(&self) -> time::Millis {
        time::Millis::new(self.seconds.saturating_mul(1_000))
    }
}

/// Response body of `GET /control/counts`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct PlatformCounts {
    /// Number of reads and scans that reached the table.
    pub reads: u64,
    /// Number of transactions that reached the table.
    pub writes: u64,
    /// Number of calls refused by the rate limits.
    pub rate_refusals: u64,
}
