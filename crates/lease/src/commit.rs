//! Builds the transactions that a keeper of leases writes.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::table;

use crate::row;
use crate::watch;

/// What a transaction in flight does.
#[derive(Clone, Debug)]
pub(crate) enum CommitKind {
    /// Renews the leases of this daemon.
    Renew,
    /// Takes the lease of a shard with this row.
    Take(quantity::ShardNumber, Box<row::LeaseRow>),
    /// Removes the renewal row of this daemon, which stops.
    Remove,
    /// Deletes the renewal row of a daemon that is gone.
    Clean,
}

/// A transaction and what it does.
pub(crate) type PlannedCommit = (CommitKind, table::TableTransaction);

/// Writer of one daemon's transactions; each has a write id of its own.
#[derive(Clone, Debug)]
pub(crate) struct CommitWriter {
    life: row::DaemonInstance,
    commits: u64,
    renewals: u64,
    last_renewal: Option<time::MonotonicTime>,
}

impl CommitWriter {
    /// A writer that has written nothing.
    pub(crate) fn new(life: row::DaemonInstance) -> Self {
        CommitWriter { life, commits: 0, renewals: 0, last_renewal: None }
    }

    /// When the leases were last renewed.
    pub(crate) fn last_renewal(&self) -> Option<time::MonotonicTime> {
        self.last_renewal
    }

    /// Renews the leases of this daemon.
    pub(crate) fn renew(&mut self, now: time::MonotonicTime) -> PlannedCommit {
        let writes = vec![self.renewal(now)];
        (CommitKind::Renew, self.transaction(Vec::new(), writes))
    }

    /// Takes a shard whose lease row was last found like this.
    pub(crate) fn take(
        &mut self,
        now: time::MonotonicTime,
        shard: quantity::ShardNumber,
        found: Option<&row::HeldLease>,
    ) -> PlannedCommit {
        let key = row::shard_key(shard);
        let taken = found
            .map_or_else(|| row::LeaseRow::first(&self.life), |held| held.row.taken_by(&self.life));
        let condition = match found {
            Some(held) => table::RowCondition::VersionIs(key.clone(), held.version),
            None => table::RowCondition::Absent(key.clone()),
        };
        // The renewal goes along, so that no other daemon sees a holder without one.
        let writes = vec![table::RowWrite::Put(key, taken.encode()), self.renewal(now)];
        let transaction = self.transaction(vec![condition], writes);
        (CommitKind::Take(shard, Box::new(taken)), transaction)
    }

    /// Removes the renewal row of this daemon.
    pub(crate) fn remove(&mut self) -> PlannedCommit {
        let key = row::renewal_key(&self.life.daemon);
        let writes = vec![table::RowWrite::Delete(key)];
        (CommitKind::Remove, self.transaction(Vec::new(), writes))
    }

    /// Deletes the renewal row of a daemon that is gone, if it is still unchanged.
    pub(crate) fn clean(&mut self, stale: &watch::WatchedRow) -> PlannedCommit {
        let key = row::renewal_key(&stale.life.daemon);
        let condition = table::RowCondition::VersionIs(key.clone(), stale.version);
        let writes = vec![table::RowWrite::Delete(key)];
        (CommitKind::Clean, self.transaction(vec![condition], writes))
    }

    fn renewal(&mut self, now: time::MonotonicTime) -> table::RowWrite {
        self.renewals += 1;
        self.last_renewal = Some(now);
        let row = row::RenewalRow { incarnation: self.life.incarnation, renewals: self.renewals };
        table::RowWrite::Put(row::renewal_key(&self.life.daemon), row.encode())
    }

    fn transaction(
        &mut self,
        conditions: Vec<table::RowCondition>,
        writes: Vec<table::RowWrite>,
    ) -> table::TableTransaction {
        self.commits += 1;
        let row::DaemonInstance { incarnation, .. } = &self.life;
        let write_id = format!("lease-{incarnation}-{}", self.commits);
        table::TableTransaction {
            write_id: write_id.parse().expect("numbers and dashes make an identifier"),
            conditions,
            writes,
        }
    }
}
