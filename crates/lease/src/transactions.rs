//! Builds the transactions of a lease manager.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::table;

use crate::renewals;
use crate::row;

/// Purpose of a transaction.
#[derive(Clone, Debug)]
pub(crate) enum TransactionKind {
    /// Renews all leases of this daemon.
    Renew,
    /// Takes over the lease of a shard by writing this row.
    TakeOver(quantity::ShardNumber, Box<row::LeaseRow>),
    /// Deletes the renewal row of this daemon during a planned stop.
    DeleteRenewalRow,
    /// Deletes the renewal row of a daemon that stopped renewing it.
    DeleteStaleRow,
}

/// A transaction and its purpose.
pub(crate) type PlannedTransaction = (TransactionKind, table::TableTransaction);

/// Builds the transactions of one daemon instance, each with a write id of its own.
#[derive(Clone, Debug)]
pub(crate) struct TransactionBuilder {
    instance: row::DaemonInstance,
    transaction_count: u64,
    renewal_count: u64,
    /// When a transaction that renews the leases was last built.
    last_renewal_at: Option<time::MonotonicTime>,
}

impl TransactionBuilder {
    /// Creates a builder for the transactions of `instance`.
    pub(crate) fn new(instance: row::DaemonInstance) -> Self {
        TransactionBuilder {
            instance,
            transaction_count: 0,
            renewal_count: 0,
            last_renewal_at: None,
        }
    }

    /// Returns when a transaction that renews the leases was last built, whatever its outcome.
    pub(crate) fn last_renewal_at(&self) -> Option<time::MonotonicTime> {
        self.last_renewal_at
    }

    /// Builds a transaction that renews all leases of this daemon.
    pub(crate) fn renew(&mut self, now: time::MonotonicTime) -> PlannedTransaction {
        let writes = vec![self.renewal_write(now)];
        (TransactionKind::Renew, self.build(Vec::new(), writes))
    }

    /// Builds a transaction that takes over a shard with `new_row` if its lease row is still
    /// `current`. `None` stands for a shard without a lease row.
    pub(crate) fn take_over(
        &mut self,
        now: time::MonotonicTime,
        shard: quantity::ShardNumber,
        current: Option<&row::VersionedLease>,
        new_row: row::LeaseRow,
    ) -> PlannedTransaction {
        let key = row::shard_key(shard);
        let condition = match current {
            Some(current) => table::RowCondition::VersionIs(key.clone(), current.version),
            None => table::RowCondition::Absent(key.clone()),
        };
        // The same transaction renews this daemon's row, so that other daemons never see a holder
        // without a renewal row.
        let writes = vec![table::RowWrite::Put(key, new_row.encode()), self.renewal_write(now)];
        let transaction = self.build(vec![condition], writes);
        (TransactionKind::TakeOver(shard, Box::new(new_row)), transaction)
    }

    /// Builds a transaction that deletes the renewal row of this daemon.
    pub(crate) fn delete_renewal_row(&mut self) -> PlannedTransaction {
        let key = row::renewal_key(&self.instance.daemon);
        let writes = vec![table::RowWrite::Delete(key)];
        (TransactionKind::DeleteRenewalRow, self.build(Vec::new(), writes))
    }

    /// Builds a transaction that deletes another daemon's renewal row if its version has not
    /// changed.
    pub(crate) fn delete_stale_row(
        &mut self,
        stale: &renewals::ObservedRenewal,
    ) -> PlannedTransaction {
        let key = row::renewal_key(&stale.instance.daemon);
        let condition = table::RowCondition::VersionIs(key.clone(), stale.version);
        let writes = vec![table::RowWrite::Delete(key)];
        (TransactionKind::DeleteStaleRow, self.build(vec![condition], writes))
    }

    fn renewal_write(&mut self, now: time::MonotonicTime) -> table::RowWrite {
        self.renewal_count += 1;
        self.last_renewal_at = Some(now);
        let row = row::RenewalRow {
            incarnation: self.instance.incarnation,
            renewals: self.renewal_count,
        };
        table::RowWrite::Put(row::renewal_key(&self.instance.daemon), row.encode())
    }

    fn build(
        &mut self,
        conditions: Vec<table::RowCondition>,
        writes: Vec<table::RowWrite>,
    ) -> table::TableTransaction {
        self.transaction_count += 1;
        let row::DaemonInstance { incarnation, .. } = &self.instance;
        let write_id = format!("lease-{incarnation}-{}", self.transaction_count);
        table::TableTransaction {
            write_id: write_id.parse().expect("letters, digits and dashes make an identifier"),
            conditions,
            writes,
        }
    }
}
