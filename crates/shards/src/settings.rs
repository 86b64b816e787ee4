//! Settings of the shards.

use samphiremoor_base::time;
use samphiremoor_claims::policy;
use samphiremoor_lease::policy as lease_policy;
use samphiremoor_settings::load;
use serde::Deserialize;

/// Maximum number of entries of one shard that wait to be written to the table.
const MAX_BACKLOG_ENTRIES: usize = 8_000;

/// Maximum size of the results of one shard that wait to be written to the table. All of them must
/// fit into one message to a peer.
const MAX_BACKLOG_BYTES: usize = 4 * 1024 * 1024;

/// Delay after which a refused caller may retry.
const RETRY_AFTER: time::Millis = time::Millis::new(1_000);

/// Minimum accepted lease time.
const MIN_LEASE_TIME: time::Millis = time::Millis::new(300);

/// What happens to a shard when every daemon that stored copies of its claims is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LostCopies {
    /// The shard stays closed until an operator deletes its lease row.
    KeepClosed,
    /// The shard opens after the retention time, when its calls would be forgotten anyway.
    OpenAfterRetention,
}

/// The `shards` table of the entry daemon's settings.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShardSettings {
    /// Number of shards. Only the first daemon's value is used; it is kept in the table from then
    /// on.
    pub count: u16,
    /// Maximum number of daemons that hold shards; the others only forward calls.
    pub max_holders: usize,
    /// Time without a renewal after which a lease expires.
    pub lease_time: time::Millis,
    /// Time between scans of the lease rows by a daemon that only forwards calls.
    pub idle_scan_interval: time::Millis,
    /// Average time between two writes of one shard's journal under load.
    pub flush_interval: time::Millis,
    /// Time without a response from the table after which claims are copied to peers.
    pub table_timeout: time::Millis,
    /// Maximum time until a call's claim must be durable.
    pub claim_timeout: time::Millis,
    /// Time for which finished calls are kept; afterwards the same key may run again.
    pub retention: time::Millis,
    /// Maximum number of calls that one shard keeps; further calls are refused.
    pub max_keys: usize,
    /// Maximum size in bytes of a result that is stored for later submissions of the same key.
    pub max_result_bytes: usize,
    /// Number of peers that store copies while the table is unavailable.
    pub copies: usize,
    /// What happens to a shard when all copies are lost.
    pub lost_copies: LostCopies,
}

impl Default for ShardSettings {
    fn default() -> Self {
        ShardSettings {
            count: 16,
            max_holders: 16,
            lease_time: time::Millis::new(3_000),
            idle_scan_interval: time::Millis::new(10_000),
            flush_interval: time::Millis::new(60),
            table_timeout: time::Millis::new(500),
            claim_timeout: time::Millis::new(6_000),
            retention: time::Millis::new(3_600_000),
            max_keys: 200_000,
            max_result_bytes: 65_536,
            copies: 2,
            lost_copies: LostCopies::OpenAfterRetention,
        }
    }
}

impl ShardSettings {
    /// Returns the first invalid value.
    ///
    /// # Errors
    ///
    /// The error names the key, the problem and the remedy.
    pub fn check(&self) -> Result<(), load::ValueError> {
        let invalid = |key, problem: &str, remedy: &str| {
            Err(load::ValueError { key, problem: problem.to_owned(), remedy: remedy.to_owned() })
        };
        if self.count == 0 {
            return invalid("shards.count", "at least one shard is required", "set at least 1");
        }
        if self.max_holders == 0 {
            return invalid("shards.max_holders", "no daemon may hold shards", "set at least 1");
        }
        if self.lease_time < MIN_LEASE_TIME {
            return invalid(
                "shards.lease_time",
                "too short for the lease to be renewed in time",
                "set at least 300",
            );
        }
        if self.claim_timeout <= self.lease_time {
            let problem = "a call would be refused before a lost shard is taken over";
            return invalid("shards.claim_timeout", problem, "set it above shards.lease_time");
        }
        if self.max_keys == 0 {
            return invalid("shards.max_keys", "every call would be refused", "set at least 1");
        }
        Ok(())
    }

    /// Returns the claim policy.
    pub fn claim_policy(&self) -> policy::ClaimPolicy {
        policy::ClaimPolicy {
            flush_interval: self.flush_interval,
            table_timeout: self.table_timeout,
            claim_timeout: self.claim_timeout,
            retention: self.retention,
            max_keys: self.max_keys,
            max_backlog_entries: MAX_BACKLOG_ENTRIES,
            max_backlog_bytes: MAX_BACKLOG_BYTES,
            max_result_bytes: self.max_result_bytes,
            lost_copies_wait: match self.lost_copies {
                LostCopies::KeepClosed => None,
                LostCopies::OpenAfterRetention => Some(self.retention),
            },
            retry_after: RETRY_AFTER,
        }
    }

    /// Returns the lease policy for the number of shards in the layout.
    pub fn lease_policy(&self, shard_count: u16) -> lease_policy::LeasePolicy {
        lease_policy::LeasePolicy {
            lease_time: self.lease_time,
            idle_scan_interval: self.idle_scan_interval,
            shard_count,
        }
    }
}
