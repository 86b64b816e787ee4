//! Tracks when daemons renew their leases, measured by the local monotonic clock.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::policy;
use crate::row;

/// A renewal row as of the last scan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedRenewal {
    /// The daemon and its incarnation.
    pub instance: row::DaemonInstance,
    /// Version of the row.
    pub version: quantity::RowVersion,
    /// When the row was first seen with this version, or when the ages of all rows last restarted.
    pub unchanged_since: time::MonotonicTime,
}

/// Tracks how long each renewal row has been unchanged.
#[derive(Clone, Debug, Default)]
pub struct RenewalTracker {
    /// Renewal rows as of the last scan.
    rows: collections::BTreeMap<id::DaemonId, ObservedRenewal>,
    /// When the rows of the last scan arrived.
    last_scan_at: Option<time::MonotonicTime>,
}

impl RenewalTracker {
    /// Replaces the rows by those of a scan. Rows whose version has not changed keep their age,
    /// unless the gap since the last scan is too long.
    pub fn observe(
        &mut self,
        now: time::MonotonicTime,
        policy: &policy::LeasePolicy,
        rows: Vec<ObservedRenewal>,
    ) {
        let is_continuous =
            self.last_scan_at.is_some_and(|last| now.since(last) <= policy.max_scan_gap());
        self.last_scan_at = Some(now);
        let previous_rows = std::mem::take(&mut self.rows);
        for mut row in rows {
            let previous = previous_rows
                .get(&row.instance.daemon)
                .filter(|previous| previous.version == row.version);
            row.unchanged_since =
                previous.filter(|_| is_continuous).map_or(now, |previous| previous.unchanged_since);
            self.rows.insert(row.instance.daemon.clone(), row);
        }
    }

    /// Returns whether the leases of a holder have expired, so that they may be taken over. They
    /// have also expired if the holder has no renewal row or has restarted.
    pub fn is_expired(
        &self,
        now: time::MonotonicTime,
        policy: &policy::LeasePolicy,
        holder: &row::DaemonInstance,
    ) -> bool {
        let Some(row) = self.rows.get(&holder.daemon) else { return true };
        row.instance != *holder || now.since(row.unchanged_since) >= policy.lease_time
    }

    /// Returns the number of daemons that renewed their row within the lease time.
    pub fn live_count(&self, now: time::MonotonicTime, policy: &policy::LeasePolicy) -> usize {
        self.rows.values().filter(|row| now.since(row.unchanged_since) < policy.lease_time).count()
    }

    /// Removes the row of a daemon until the next scan.
    pub(crate) fn remove(&mut self, daemon: &id::DaemonId) {
        self.rows.remove(daemon);
    }

    /// Returns a row that is at least [`policy::LeasePolicy::stale_row_age`] old and whose daemon
    /// instance holds no lease.
    pub fn stale_row(
        &self,
        now: time::MonotonicTime,
        policy: &policy::LeasePolicy,
        is_holder: impl Fn(&row::DaemonInstance) -> bool,
    ) -> Option<&ObservedRenewal> {
        let is_stale =
            |row: &&ObservedRenewal| now.since(row.unchanged_since) >= policy.stale_row_age();
        self.rows.values().filter(is_stale).find(|row| !is_holder(&row.instance))
    }
}
