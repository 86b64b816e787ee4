//! Settings of the shards.

use samphiremoor_base::time;
use samphiremoor_claims::policy;
use samphiremoor_lease::policy as lease_policy;
use samphiremoor_settings::load;
use serde::Deserialize;

/// Most entries of one shard that wait for the table.
const MAX_BACKLOG: usize = 8_000;

/// Most bytes of results of one shard that wait for the table; a message must hold them all.
const MAX_BACKLOG_BYTES: usize = 4 * 1024 * 1024;

/// When a refused caller is told to come back.
const RETRY_AFTER: time::Millis = time::Millis::new(1_000);

/// Shortest accepted lease time.
const MIN_LEASE_TIME: time::Millis = time::Millis::new(300);

/// What to do with a shard when every daemon that kept copies of its claims is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LostCopies {
    /// It stays closed until an operator opens it by deleting its lease row.
    KeepClosed,
    /// It opens when the retention time has passed, since its keys would be forgotten by then.
    OpenAfterRetention,
}

/// The `shards` table of the entry daemon's settings.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ShardSettings {
    /// Number of shards that the first daemon lays out; kept in the table from then on.
    pub count: u16,
    /// Most daemons that hold shards; the others only forward.
    pub max_holders: usize,
    /// Time without a renewal after which a lease is taken over.
    pub lease_time: time::Millis,
    /// Time between reads of the lease rows by a daemon that only forwards.
    pub idle_scan_interval: time::Millis,
    /// Mean time between two writes of one shard's journal under load.
    pub flush_interval: time::Millis,
    /// Time after which the table counts as unavailable for claims, and peers keep them.
    pub table_timeout: time::Millis,
    /// Longest wait of a call for its claim.
    pub claim_timeout: time::Millis,
    /// Time for which ended calls are remembered; the same key can run again after it.
    pub retention: time::Millis,
    /// Most keys that one shard remembers; new ones are refused beyond it.
    pub max_keys: usize,
    /// Largest result that is kept for other sends of the same key, in bytes.
    pub max_result_bytes: usize,
    /// Number of peers that keep claims while the table is unavailable.
    pub copies: usize,
    /// What to do when every copy is lost.
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
    /// Finds the first impossible value.
    ///
    /// # Errors
    ///
    /// Names the key, the problem and the remedy.
    pub fn check(&self) -> Result<(), load::ValueError> {
        let fault = |key, problem: &str, remedy: &str| {
            Err(load::ValueError { key, problem: problem.to_owned(), remedy: remedy.to_owned() })
        };
        if self.count == 0 {
            return fault("shards.count", "there is no shard", "set at least 1");
        }
        if self.max_holders == 0 {
            return fault("shards.max_holders", "nobody may hold shards", "set at least 1");
        }
        if self.lease_time < MIN_LEASE_TIME {
            return fault("shards.lease_time", "too short to renew in", "set at least 300");
        }
        if self.claim_timeout <= self.lease_time {
            let problem = "a call would be refused before a lost shard is taken over";
            return fault("shards.claim_timeout", problem, "set it above shards.lease_time");
        }
        if self.max_keys == 0 {
            return fault("shards.max_keys", "every call would be refused", "set at least 1");
        }
        Ok(())
    }

    /// Policy of the claims.
    pub fn claim_policy(&self) -> policy::ClaimPolicy {
        policy::ClaimPolicy {
            flush_interval: self.flush_interval,
            table_timeout: self.table_timeout,
            claim_timeout: self.claim_timeout,
            retention: self.retention,
            max_keys: self.max_keys,
            max_backlog_entries: MAX_BACKLOG,
            max_backlog_bytes: MAX_BACKLOG_BYTES,
            max_result_bytes: self.max_result_bytes,
            lost_copies_wait: match self.lost_copies {
                LostCopies::KeepClosed => None,
                LostCopies::OpenAfterRetention => Some(self.retention),
            },
            retry_after: RETRY_AFTER,
        }
    }

    /// Policy of the leases, for the number of shards that the table has.
    pub fn lease_policy(&self, shard_count: u16) -> lease_policy::LeasePolicy {
        lease_policy::LeasePolicy {
            lease_time: self.lease_time,
            idle_scan_interval: self.idle_scan_interval,
            shard_count,
        }
    }
}
