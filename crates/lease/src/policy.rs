//! Times and limits of leases.

use samphiremoor_base::time;

/// Renewals in one lease time.
const RENEWALS_PER_LEASE: u64 = 3;

/// Scans in one lease time.
const SCANS_PER_LEASE: u64 = 6;

/// Lease times after which the renewal row of a daemon that holds nothing is deleted.
const CLEANUP_LEASES: u64 = 20;

/// Times and limits of a daemon's leases, from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeasePolicy {
    /// Time without a renewal after which a lease is taken over.
    pub lease_time: time::Millis,
    /// Time between scans by a daemon that does not hold leases itself.
    pub idle_scan_interval: time::Millis,
    /// Number of shards.
    pub shard_count: u16,
}

impl LeasePolicy {
    /// Time between renewals.
    pub const fn renew_interval(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() / RENEWALS_PER_LEASE)
    }

    /// Time between scans by a daemon that holds leases or may take them.
    pub const fn scan_interval(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() / SCANS_PER_LEASE)
    }

    /// Longest pause between scans over which a row counts as watched.
    ///
    /// After a longer one, such as an outage of the table, every watch starts anew: the holders
    /// could not renew either.
    pub const fn longest_gap(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() / 2)
    }

    /// Time after which an unused renewal row is deleted.
    pub const fn cleanup_time(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() * CLEANUP_LEASES)
    }
}
