//! Rows of the platform's table that represent leases.

use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

/// Key prefix of all lease rows and renewal rows.
pub const LEASE_PREFIX: &str = "lease/";

/// Key prefix of renewal rows.
pub const RENEWAL_PREFIX: &str = "lease/daemon/";

/// Key prefix of the lease rows of shards.
pub const SHARD_PREFIX: &str = "lease/shard/";

/// One incarnation of a daemon process.
///
/// Daemons keep no state across a restart, so a restarted daemon counts as a different holder.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct DaemonInstance {
    /// Id of the daemon.
    pub daemon: id::DaemonId,
    /// Incarnation number, which differs after each restart.
    pub incarnation: quantity::Incarnation,
}

/// The row with which a daemon renews all of its leases.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RenewalRow {
    /// Incarnation number of the daemon.
    pub incarnation: quantity::Incarnation,
    /// Number of renewals so far, so that each renewal changes the row.
    pub renewals: u64,
}

/// A group of daemons, each of which stores every journal batch that the holder has made durable
/// outside of the table.
pub type CopySet = SmallVec<[DaemonInstance; 3]>;

/// A lease: its holder, its fencing token and where the holder's unwritten batches are copied.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseRow {
    /// The holder; `None` after a release, when the table contains the whole journal.
    pub holder: Option<DaemonInstance>,
    /// Fencing token, which increases with each new holder.
    pub fence: quantity::FencingToken,
    /// Peers that store copies of batches that the holder can't write to the table; empty until the
    /// holder has opened the shard.
    pub copy_set: CopySet,
    /// Copy sets of earlier holders, each with its holder. The new holder must seal one daemon of
    /// each before it opens the shard: a sealed daemon rejects further copies of earlier holders.
    pub unsealed: SmallVec<[CopySet; 1]>,
}

impl LeaseRow {
    /// Returns the row with which a new holder replaces this one.
    ///
    /// The new row keeps the copy sets that are not sealed yet, so that the next holder finds them
    /// if this one fails before it opens the shard.
    pub fn taken_over_by(&self, instance: &DaemonInstance) -> LeaseRow {
        let mut unsealed = self.unsealed.clone();
        if let Some(holder) = self.holder.as_ref().filter(|_| !self.copy_set.is_empty()) {
            let mut unsealed_set = self.copy_set.clone();
            unsealed_set.push(holder.clone());
            unsealed.push(unsealed_set);
        }
        LeaseRow {
            holder: Some(instance.clone()),
            fence: self.fence.next(),
            copy_set: CopySet::new(),
            unsealed,
        }
    }

    /// Returns the first row of a lease that nobody has held before.
    pub fn initial(instance: &DaemonInstance) -> LeaseRow {
        LeaseRow::first_after(quantity::FencingToken::default(), instance)
    }

    /// Returns the first row of a lease whose holders before had fencing tokens up to `fence`.
    pub fn first_after(fence: quantity::FencingToken, instance: &DaemonInstance) -> LeaseRow {
        LeaseRow {
            holder: Some(instance.clone()),
            fence: fence.next(),
            copy_set: CopySet::new(),
            unsealed: SmallVec::new(),
        }
    }

    /// Returns the row of a released lease.
    pub fn released(fence: quantity::FencingToken) -> LeaseRow {
        LeaseRow { holder: None, fence, copy_set: CopySet::new(), unsealed: SmallVec::new() }
    }

    /// Encodes the row as a value of the table.
    pub fn encode(&self) -> sync::Arc<str> {
        encode(self)
    }

    /// Decodes a value of the table; returns `None` if it is not a lease row.
    pub fn decode(text: &str) -> Option<LeaseRow> {
        serde_json::from_str(text).ok()
    }
}

impl RenewalRow {
    /// Encodes the row as a value of the table.
    pub fn encode(&self) -> sync::Arc<str> {
        encode(self)
    }

    /// Decodes a value of the table; returns `None` if it is not a renewal row.
    pub fn decode(text: &str) -> Option<RenewalRow> {
        serde_json::from_str(text).ok()
    }
}

fn encode<T: Serialize>(value: &T) -> sync::Arc<str> {
    let text = serde_json::to_string(value).expect("rows have string keys and no fallible values");
    sync::Arc::from(text)
}

/// A lease row and its version in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedLease {
    /// The row.
    pub row: LeaseRow,
    /// Version of the row. Writes that require the lease are conditional on this version.
    pub version: quantity::RowVersion,
}

/// Returns the key of a daemon's renewal row.
pub fn renewal_key(daemon: &id::DaemonId) -> table::RowKey {
    table::RowKey::new(&format!("{RENEWAL_PREFIX}{daemon}"))
}

/// Returns the key of a shard's lease row.
pub fn shard_key(shard: quantity::ShardNumber) -> table::RowKey {
    table::RowKey::new(&format!("{SHARD_PREFIX}{shard:04}"))
}

/// Returns the shard whose lease row has this key.
pub fn shard_of_key(key: &table::RowKey) -> Option<quantity::ShardNumber> {
    let digits = key.as_str().strip_prefix(SHARD_PREFIX)?;
    digits.parse().ok().map(quantity::ShardNumber::new)
}

/// Returns the daemon whose renewal row has this key.
pub fn daemon_of_key(key: &table::RowKey) -> Option<id::DaemonId> {
    key.as_str().strip_prefix(RENEWAL_PREFIX)?.parse().ok()
}
