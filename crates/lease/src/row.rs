//! Rows of the table that leases are made of.

use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Prefix of the keys of every lease row and renewal row.
pub const LEASE_PREFIX: &str = "lease/";

/// Prefix of the keys of renewal rows.
pub const RENEWAL_PREFIX: &str = "lease/daemon/";

/// Prefix of the keys of lease rows of shards.
pub const SHARD_PREFIX: &str = "lease/shard/";

/// One life of a daemon's process.
///
/// Daemons keep nothing over a restart, so a restarted daemon is another holder.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct DaemonInstance {
    /// The daemon.
    pub daemon: id::DaemonId,
    /// Number of its life.
    pub incarnation: quantity::Incarnation,
}

/// The row that a holder renews for all of its leases.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RenewalRow {
    /// Number of the daemon's life.
    pub incarnation: quantity::Incarnation,
    /// Rises with each renewal.
    pub renewals: u64,
}

/// Daemons of which each one has everything that the holder could not write to the table.
pub type CopySet = SmallVec<[DaemonInstance; 3]>;

/// A lease: who holds it, under which fencing number.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRow {
    /// The holder; absent after a graceful release, when nothing has to be fetched from anybody.
    pub holder: Option<DaemonInstance>,
    /// Greater with each new holder.
    pub fence: quantity::FencingToken,
    /// Peers that keep what the holder can't write to the table; empty until the holder has opened.
    pub copy_set: CopySet,
    /// Earlier holders' groups, one daemon of each of which must be sealed before the holder opens.
    pub unsealed: SmallVec<[CopySet; 1]>,
}

impl LeaseRow {
    /// The row that a new holder writes in place of this one.
    ///
    /// The groups that a holder has not sealed yet stay in the row, so that the next one finds them
    /// if this one fails before it opens.
    pub fn taken_by(&self, life: &DaemonInstance) -> LeaseRow {
        let mut unsealed = self.unsealed.clone();
        if let Some(holder) = self.holder.as_ref().filter(|_| !self.copy_set.is_empty()) {
            let mut group = self.copy_set.clone();
            group.push(holder.clone());
            unsealed.push(group);
        }
        LeaseRow {
            holder: Some(life.clone()),
            fence: self.fence.next(),
            copy_set: CopySet::new(),
            unsealed,
        }
    }

    /// The row of a lease that nobody has held yet, taken by its first holder.
    pub fn first(life: &DaemonInstance) -> LeaseRow {
        LeaseRow {
            holder: Some(life.clone()),
            fence: quantity::FencingToken::new(1),
            copy_set: CopySet::new(),
            unsealed: SmallVec::new(),
        }
    }

    /// The row after a graceful release.
    pub fn released(fence: quantity::FencingToken) -> LeaseRow {
        LeaseRow { holder: None, fence, copy_set: CopySet::new(), unsealed: SmallVec::new() }
    }

    /// The row's value in the table.
    pub fn encode(&self) -> sync::Arc<str> {
        encode(self)
    }

    /// Reads a row's value; absent where it is not a lease row.
    pub fn decode(text: &str) -> Option<LeaseRow> {
        serde_json::from_str(text).ok()
    }
}

impl RenewalRow {
    /// The row's value in the table.
    pub fn encode(&self) -> sync::Arc<str> {
        encode(self)
    }

    /// Reads a row's value; absent where it is not a renewal row.
    pub fn decode(text: &str) -> Option<RenewalRow> {
        serde_json::from_str(text).ok()
    }
}

fn encode<T: Serialize>(value: &T) -> sync::Arc<str> {
    let text = serde_json::to_string(value).expect("rows have string keys and no fallible values");
    sync::Arc::from(text)
}

/// A lease that this daemon holds, as its row says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The row.
    pub row: LeaseRow,
    /// Version of the row; writes that need the lease are conditional on it.
    pub version: quantity::RowVersion,
}

/// Key of the renewal row of a daemon.
pub fn renewal_key(daemon: &id::DaemonId) -> table::RowKey {
    table::RowKey::new(&format!("{RENEWAL_PREFIX}{daemon}"))
}

/// Key of the lease row of a shard.
pub fn shard_key(shard: quantity::ShardNumber) -> table::RowKey {
    table::RowKey::new(&format!("{SHARD_PREFIX}{shard:04}"))
}

/// The shard of a lease row's key.
pub fn shard_of_key(key: &table::RowKey) -> Option<quantity::ShardNumber> {
    let number = key.as_str().strip_prefix(SHARD_PREFIX)?;
    number.parse().ok().map(quantity::ShardNumber::new)
}

/// The daemon of a renewal row's key.
pub fn daemon_of_key(key: &table::RowKey) -> Option<id::DaemonId> {
    key.as_str().strip_prefix(RENEWAL_PREFIX)?.parse().ok()
}
