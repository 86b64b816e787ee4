//! Watches renewal rows on this process's own clock.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;

use crate::policy;
use crate::row;

/// A renewal row as it was last read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchedRow {
    /// Life of the daemon.
    pub life: row::DaemonInstance,
    /// Version of the row.
    pub version: quantity::RowVersion,
    /// Since when the row has been seen unchanged.
    pub since: time::MonotonicTime,
}

/// Every renewal row, and since when it is unchanged.
#[derive(Clone, Debug, Default)]
pub struct RenewalWatch {
    rows: collections::BTreeMap<id::DaemonId, WatchedRow>,
    last_scan: Option<time::MonotonicTime>,
}

impl RenewalWatch {
    /// Takes in the rows of a scan.
    pub fn observe(
        &mut self,
        now: time::MonotonicTime,
        policy: &policy::LeasePolicy,
        rows: Vec<WatchedRow>,
    ) {
        let is_continuous =
            self.last_scan.is_some_and(|last| now.since(last) <= policy.longest_gap());
        self.last_scan = Some(now);
        let before = std::mem::take(&mut self.rows);
        for mut row in rows {
            let known = before.get(&row.life.daemon).filter(|known| known.version == row.version);
            row.since = known.filter(|_| is_continuous).map_or(now, |known| known.since);
            self.rows.insert(row.life.daemon.clone(), row);
        }
    }

    /// Whether a holder's lease may be taken over.
    pub fn is_expired(
        &self,
        now: time::MonotonicTime,
        policy: &policy::LeasePolicy,
        holder: &row::DaemonInstance,
    ) -> bool {
        let Some(row) = self.rows.get(&holder.daemon) else { return true };
        row.life != *holder || now.since(row.since) >= policy.lease_time
    }

    /// Number of daemons whose rows are renewed.
    pub fn live_count(&self, now: time::MonotonicTime, policy: &policy::LeasePolicy) -> usize {
        self.rows.values().filter(|row| now.since(row.since) < policy.lease_time).count()
    }

    /// A row that nobody has renewed for long.
    pub fn stale_row(
        &self,
        now: time::MonotonicTime,
        policy: &policy::LeasePolicy,
        is_used: impl Fn(&row::DaemonInstance) -> bool,
    ) -> Option<&WatchedRow> {
        let is_stale = |row: &&WatchedRow| now.since(row.since) >= policy.cleanup_time();
        self.rows.values().filter(is_stale).find(|row| !is_used(&row.life))
    }
}
