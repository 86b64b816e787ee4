//! Rows of the table that leases are made of.

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
pub struct DaemonLife {
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

/// Daemons that keep copies of claims.
pub type CopySet = SmallVec<[DaemonLife; 2]>;

/// A lease: who holds it, under which fencing number.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRow {
    /// The holder; absent after a graceful release, when nothing has to be fetched from anybody.
    pub holder: Option<DaemonLife>,
    /// Greater with each new holder.
    pub fence: quantity::FenceNumber,
    /// Peers that may hold what the holder could not write to the table.
    pub copy_set: CopySet,
}

/// Key of the renewal row of a daemon.
pub fn renewal_key(daemon: &id::DaemonId) -> table::RowKey {
    table::RowKey::new(&format!("{RENEWAL_PREFIX}{daemon}"))
}

/// Key of the lease row of a shard.
pub fn shard_key(shard: quantity::ShardNumber) -> table::RowKey {
    table::RowKey::new(&format!("{SHARD_PREFIX}{shard:04}"))
}
