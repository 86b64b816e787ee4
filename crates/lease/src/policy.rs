//! Durations and limits of leases.

use samphiremoor_base::time;

/// Number of renewals in one lease time.
const RENEWALS_PER_LEASE: u64 = 3;

/// Number of scans in one lease time.
const SCANS_PER_LEASE: u64 = 6;

/// Lease times without a renewal after which the renewal row of a daemon without leases is deleted.
const STALE_ROW_LEASE_TIMES: u64 = 20;

/// Durations and limits of a daemon's leases, from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeasePolicy {
    /// Time without a renewal after which a lease expires.
    pub lease_time: time::Millis,
    /// Time between scans by a daemon that may not hold leases.
    pub idle_scan_interval: time::Millis,
    /// Number of shards.
    pub shard_count: u16,
}

impl LeasePolicy {
    /// Returns the time between renewals.
    pub const fn renew_interval(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() / RENEWALS_PER_LEASE)
    }

    /// Returns the time between scans by a daemon that may hold leases.
    pub const fn scan_interval(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() / SCANS_PER_LEASE)
    }

    /// Returns the longest gap between two scans over which unchanged renewal rows keep ageing.
    ///
    /// After a longer gap, such as an outage of the table, the ages of all rows restart from zero,
    /// because the holders could not renew their rows either.
    pub const fn max_scan_gap(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() / 2)
    }

    /// Returns the time without a renewal after which the renewal row of a daemon without leases is
    /// deleted.
    pub const fn stale_row_age(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() * STALE_ROW_LEASE_TIMES)
    }
}
