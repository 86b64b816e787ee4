//! Lease managers of several daemons that share one table, in simulated time.

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::manager;
use samphiremoor_lease::policy;
use samphiremoor_lease::row;
use samphiremoor_platform::rows;
use samphiremoor_platform::table;

/// Length of one simulation step.
const STEP: time::Millis = time::Millis::new(50);

/// Maximum number of rows that a scan returns.
const SCAN_LIMIT: usize = 1_000;

struct Daemon {
    incarnation: u64,
    manager: manager::LeaseManager,
    /// Shards whose lease the daemon holds, with their fencing tokens.
    held: collections::BTreeMap<quantity::ShardNumber, quantity::FencingToken>,
    /// Held shards that have not opened yet.
    opening: collections::BTreeSet<quantity::ShardNumber>,
    is_running: bool,
}

/// Daemons with their lease managers, and the table that they share.
pub(crate) struct LeaseCluster {
    now: time::MonotonicTime,
    rows: rows::RowSet,
    daemons: collections::BTreeMap<String, Daemon>,
    pub(crate) is_table_down: bool,
    /// Whether the table checks the conditions of transactions.
    pub(crate) is_conditional: bool,
    /// Number of upcoming transactions whose response is lost.
    pub(crate) lost_responses: u32,
    /// Daemons that cannot reach the table.
    pub(crate) disconnected: collections::BTreeSet<String>,
    /// Daemons that handle no input.
    pub(crate) paused: collections::BTreeSet<String>,
    /// Daemons whose held shards do not open while the daemon is in this set.
    pub(crate) blocked_from_opening: collections::BTreeSet<String>,
    /// Number of transactions that reached the table.
    pub(crate) write_count: u64,
    /// Number of leases that daemons acquired.
    pub(crate) takeover_count: u64,
    /// Descriptions of shards that two daemons held under the same fencing token.
    pub(crate) violations: Vec<String>,
    shard_count: u16,
}

impl LeaseCluster {
    pub(crate) fn new(shard_count: u16) -> Self {
        LeaseCluster {
            now: time::MonotonicTime::new(10_000),
            rows: rows::RowSet::default(),
            daemons: collections::BTreeMap::new(),
            is_table_down: false,
            is_conditional: true,
            lost_responses: 0,
            disconnected: collections::BTreeSet::new(),
            paused: collections::BTreeSet::new(),
            blocked_from_opening: collections::BTreeSet::new(),
            write_count: 0,
            takeover_count: 0,
            violations: Vec::new(),
            shard_count,
        }
    }

    /// Starts a daemon, or restarts it with the next incarnation number.
    pub(crate) fn start(&mut self, name: &str) {
        let incarnation = self.daemons.get(name).map_or(1, |daemon| daemon.incarnation + 1);
        let instance = row::DaemonInstance {
            daemon: name.parse().expect("a valid identifier"),
            incarnation: quantity::Incarnation::new(incarnation),
        };
        let policy = policy::LeasePolicy {
            lease_time: time::Millis::new(3_000),
            idle_scan_interval: time::Millis::new(10_000),
            shard_count: self.shard_count,
        };
        let daemon = Daemon {
            incarnation,
            manager: manager::LeaseManager::new(instance, policy),
            held: collections::BTreeMap::new(),
            opening: collections::BTreeSet::new(),
            is_running: true,
        };
        self.daemons.insert(name.to_owned(), daemon);
    }

    /// Ends a daemon; the lease rows stay as they are.
    pub(crate) fn kill(&mut self, name: &str) {
        if let Some(daemon) = self.daemons.get_mut(name) {
            daemon.is_running = false;
            daemon.held.clear();
        }
    }

    /// Stops a daemon gracefully: it releases its leases first.
    pub(crate) fn stop(&mut self, name: &str) {
        self.handle_input(name, manager::LeaseInput::Stop);
    }

    pub(crate) fn set_candidate(&mut self, name: &str, is_candidate: bool) {
        self.handle_input(name, manager::LeaseInput::SetCandidate(is_candidate));
    }

    /// Deletes the lease row of a shard, as an operator may do.
    pub(crate) fn delete_lease(&mut self, shard: quantity::ShardNumber) {
        self.rows.commit(&table::TableTransaction {
            write_id: "delete".parse().expect("a valid identifier"),
            conditions: Vec::new(),
            writes: vec![table::RowWrite::Delete(row::shard_key(shard))],
        });
    }

    /// Returns the fencing token in the lease row of a shard.
    pub(crate) fn fence(&self, shard: quantity::ShardNumber) -> Option<quantity::FencingToken> {
        let row = self.rows.read(&row::shard_key(shard))?;
        row::LeaseRow::decode(&row.value).map(|lease| lease.fence)
    }

    /// Advances the time by `duration` and ticks every daemon once per step.
    pub(crate) fn run(&mut self, duration: time::Millis) {
        for _ in 0..duration.get() / STEP.get() {
            self.now = self.now + STEP;
            let names: Vec<String> = self.daemons.keys().cloned().collect();
            for name in names {
                self.handle_input(&name, manager::LeaseInput::Tick);
                self.open_shards(&name);
            }
            self.check_holders();
        }
    }

    /// Returns the running daemons and the number of shards that each holds.
    pub(crate) fn held_counts(&self) -> Vec<(String, usize)> {
        let running = self.daemons.iter().filter(|(_, daemon)| daemon.is_running);
        running.map(|(name, daemon)| (name.clone(), daemon.held.len())).collect()
    }

    /// Returns the daemon that holds each shard both by its own state and by the lease row.
    pub(crate) fn holders(&self) -> Vec<Option<String>> {
        (0..self.shard_count)
            .map(quantity::ShardNumber::new)
            .map(|shard| self.holder(shard))
            .collect()
    }

    fn holder(&self, shard: quantity::ShardNumber) -> Option<String> {
        let row = self.rows.read(&row::shard_key(shard))?;
        let lease = row::LeaseRow::decode(&row.value)?;
        let holder = lease.holder?;
        let daemon = self.daemons.get(holder.daemon.as_str())?;
        let is_held = daemon.held.get(&shard) == Some(&lease.fence);
        is_held.then(|| holder.daemon.to_string())
    }

    /// Records a violation for each shard that two daemons hold under the same fencing token.
    fn check_holders(&mut self) {
        let mut holders = collections::BTreeMap::new();
        for (name, daemon) in &self.daemons {
            for (shard, fence) in &daemon.held {
                if let Some(other) = holders.insert((*shard, *fence), name) {
                    self.violations
                        .push(format!("shard {shard} is held by both {other} and {name}"));
                }
            }
        }
    }

    fn handle_input(&mut self, name: &str, input: manager::LeaseInput) {
        let now = self.now;
        let is_paused = self.paused.contains(name);
        let Some(daemon) = self.daemons.get_mut(name) else { return };
        if !daemon.is_running || is_paused {
            return;
        }
        for action in daemon.manager.handle(now, input) {
            self.execute_action(name, action);
        }
    }

    fn execute_action(&mut self, name: &str, action: manager::LeaseAction) {
        match action {
            manager::LeaseAction::Scan => {
                let input = match self.is_disconnected(name) {
                    true => manager::LeaseInput::ScanFailed,
                    false => manager::LeaseInput::Scanned(self.rows.scan(
                        row::LEASE_PREFIX,
                        None,
                        SCAN_LIMIT,
                    )),
                };
                self.handle_input(name, input);
            }
            manager::LeaseAction::Commit(transaction) => {
                let outcome = self.commit(name, &transaction);
                self.handle_input(name, manager::LeaseInput::CommitFinished(outcome));
            }
            manager::LeaseAction::Acquired { shard, lease } => {
                self.takeover_count += 1;
                if let Some(daemon) = self.daemons.get_mut(name) {
                    daemon.held.insert(shard, lease.row.fence);
                    daemon.opening.insert(shard);
                }
                self.open_shards(name);
            }
            manager::LeaseAction::Lost(shard) => self.close(name, shard),
            manager::LeaseAction::Release(shard) => self.release(name, shard),
            manager::LeaseAction::Stopped => self.kill(name),
        }
    }

    /// Closes a shard on a daemon and reports that to its lease manager.
    fn close(&mut self, name: &str, shard: quantity::ShardNumber) {
        if let Some(daemon) = self.daemons.get_mut(name) {
            daemon.held.remove(&shard);
            daemon.opening.remove(&shard);
        }
        self.handle_input(name, manager::LeaseInput::ShardClosed(shard));
    }

    /// Opens every shard that is opening, unless the daemon is paused or blocked from opening.
    fn open_shards(&mut self, name: &str) {
        if self.blocked_from_opening.contains(name) || self.paused.contains(name) {
            return;
        }
        let Some(daemon) = self.daemons.get_mut(name) else { return };
        for shard in std::mem::take(&mut daemon.opening) {
            self.handle_input(name, manager::LeaseInput::ShardOpened(shard));
        }
    }

    /// Writes the released lease row if the daemon still holds the lease, and closes the shard.
    fn release(&mut self, name: &str, shard: quantity::ShardNumber) {
        // A shard that has not opened yet is closed without a write to the table.
        if self.daemons.get(name).is_some_and(|daemon| daemon.opening.contains(&shard)) {
            return self.close(name, shard);
        }
        let key = row::shard_key(shard);
        let fence = self.daemons.get(name).and_then(|daemon| daemon.held.get(&shard)).copied();
        let table_row = self.rows.read(&key);
        let (Some(fence), Some(table_row)) = (fence, table_row) else { return };
        let is_holder =
            row::LeaseRow::decode(&table_row.value).is_some_and(|lease| lease.fence == fence);
        if is_holder && !self.is_disconnected(name) {
            let write = table::RowWrite::Put(key.clone(), row::LeaseRow::released(fence).encode());
            self.rows.commit(&table::TableTransaction {
                write_id: "release".parse().expect("a valid identifier"),
                conditions: vec![table::RowCondition::VersionIs(key, table_row.version)],
                writes: vec![write],
            });
        }
        self.close(name, shard);
    }

    /// Commits a transaction of a daemon, with the faults of this cluster.
    fn commit(
        &mut self,
        name: &str,
        transaction: &table::TableTransaction,
    ) -> commit_outcome::CommitOutcome {
        if self.is_disconnected(name) {
            return commit_outcome::CommitOutcome::NotApplied;
        }
        self.write_count += 1;
        let mut transaction = transaction.clone();
        if !self.is_conditional {
            transaction.conditions.clear();
        }
        let outcome = commit_outcome::CommitOutcome::from(Ok(self.rows.commit(&transaction)));
        if self.lost_responses == 0 {
            return outcome;
        }
        self.lost_responses -= 1;
        commit_outcome::CommitOutcome::Unknown
    }

    fn is_disconnected(&self, name: &str) -> bool {
        self.is_table_down || self.disconnected.contains(name)
    }
}
