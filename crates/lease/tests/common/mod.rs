//! Keepers of several daemons over one table, with simulated time.

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::keeper;
use samphiremoor_lease::policy;
use samphiremoor_lease::row;
use samphiremoor_platform::rows;
use samphiremoor_platform::table;

/// Length of one step of time.
const STEP: time::Millis = time::Millis::new(50);

/// Rows that a scan reads.
const SCAN_LIMIT: usize = 1_000;

struct Daemon {
    life: u64,
    keeper: keeper::LeaseKeeper,
    /// Shards that are held, with their fencing numbers.
    held: collections::BTreeMap<quantity::ShardNumber, quantity::FencingToken>,
    /// Held shards that are not open yet.
    opening: collections::BTreeSet<quantity::ShardNumber>,
    is_running: bool,
}

pub(crate) struct LeaseCluster {
    now: time::MonotonicTime,
    rows: rows::RowSet,
    daemons: collections::BTreeMap<String, Daemon>,
    pub(crate) is_table_down: bool,
    /// Whether the table checks the conditions of transactions.
    pub(crate) is_conditional: bool,
    /// Number of next transactions whose answer is lost.
    pub(crate) lost_answers: u32,
    pub(crate) cut: collections::BTreeSet<String>,
    pub(crate) paused: collections::BTreeSet<String>,
    /// Daemons whose shards do not open for now.
    pub(crate) slow_to_open: collections::BTreeSet<String>,
    pub(crate) writes: u64,
    pub(crate) takeovers: u64,
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
            lost_answers: 0,
            cut: collections::BTreeSet::new(),
            paused: collections::BTreeSet::new(),
            slow_to_open: collections::BTreeSet::new(),
            writes: 0,
            takeovers: 0,
            violations: Vec::new(),
            shard_count,
        }
    }

    /// Starts a daemon, or starts it anew with another life.
    pub(crate) fn start(&mut self, name: &str) {
        let life = self.daemons.get(name).map_or(1, |daemon| daemon.life + 1);
        let id = row::DaemonInstance {
            daemon: name.parse().expect("a valid identifier"),
            incarnation: quantity::Incarnation::new(life),
        };
        let policy = policy::LeasePolicy {
            lease_time: time::Millis::new(3_000),
            idle_scan_interval: time::Millis::new(10_000),
            shard_count: self.shard_count,
        };
        let daemon = Daemon {
            life,
            keeper: keeper::LeaseKeeper::new(id, policy),
            held: collections::BTreeMap::new(),
            opening: collections::BTreeSet::new(),
            is_running: true,
        };
        self.daemons.insert(name.to_owned(), daemon);
    }

    pub(crate) fn kill(&mut self, name: &str) {
        if let Some(daemon) = self.daemons.get_mut(name) {
            daemon.is_running = false;
            daemon.held.clear();
        }
    }

    pub(crate) fn stop(&mut self, name: &str) {
        self.input(name, keeper::LeaseInput::Stop);
    }

    pub(crate) fn set_candidate(&mut self, name: &str, is_candidate: bool) {
        self.input(name, keeper::LeaseInput::Candidate(is_candidate));
    }

    pub(crate) fn run(&mut self, length: time::Millis) {
        for _ in 0..length.get() / STEP.get() {
            self.now = self.now + STEP;
            let names: Vec<String> = self.daemons.keys().cloned().collect();
            for name in names {
                self.input(&name, keeper::LeaseInput::Tick);
                self.open_shards(&name);
            }
            self.check_holders();
        }
    }

    /// Running daemons with the number of shards that each holds.
    pub(crate) fn counts(&self) -> Vec<(String, usize)> {
        let running = self.daemons.iter().filter(|(_, daemon)| daemon.is_running);
        running.map(|(name, daemon)| (name.clone(), daemon.held.len())).collect()
    }

    /// The daemon that holds each shard by its row, if it knows so itself.
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
        let knows = daemon.held.get(&shard) == Some(&lease.fence);
        knows.then(|| holder.daemon.to_string())
    }

    /// No two daemons may hold a shard under the same fencing number.
    fn check_holders(&mut self) {
        let mut seen = collections::BTreeMap::new();
        for (name, daemon) in &self.daemons {
            for (shard, fence) in &daemon.held {
                if let Some(other) = seen.insert((*shard, *fence), name) {
                    self.violations.push(format!("shard {shard} has {other} and {name}"));
                }
            }
        }
    }

    fn input(&mut self, name: &str, input: keeper::LeaseInput) {
        let now = self.now;
        let is_paused = self.paused.contains(name);
        let Some(daemon) = self.daemons.get_mut(name) else { return };
        if !daemon.is_running || is_paused {
            return;
        }
        for action in daemon.keeper.handle(now, input) {
            self.act(name, action);
        }
    }

    fn act(&mut self, name: &str, action: keeper::LeaseAction) {
        match action {
            keeper::LeaseAction::Scan => {
                let input = match self.is_cut_off(name) {
                    true => keeper::LeaseInput::ScanFailed,
                    false => keeper::LeaseInput::Scanned(self.rows.scan(
                        row::LEASE_PREFIX,
                        None,
                        SCAN_LIMIT,
                    )),
                };
                self.input(name, input);
            }
            keeper::LeaseAction::Commit(transaction) => {
                let answer = self.commit(name, &transaction);
                self.input(name, keeper::LeaseInput::Answered(answer));
            }
            keeper::LeaseAction::Taken { shard, lease } => {
                self.takeovers += 1;
                if let Some(daemon) = self.daemons.get_mut(name) {
                    daemon.held.insert(shard, lease.row.fence);
                    daemon.opening.insert(shard);
                }
                self.open_shards(name);
            }
            keeper::LeaseAction::Lost(shard) => self.close(name, shard),
            keeper::LeaseAction::Release(shard) => self.release(name, shard),
            keeper::LeaseAction::Stopped => self.kill(name),
        }
    }

    fn close(&mut self, name: &str, shard: quantity::ShardNumber) {
        if let Some(daemon) = self.daemons.get_mut(name) {
            daemon.held.remove(&shard);
            daemon.opening.remove(&shard);
        }
        self.input(name, keeper::LeaseInput::Closed(shard));
    }

    fn open_shards(&mut self, name: &str) {
        if self.slow_to_open.contains(name) || self.paused.contains(name) {
            return;
        }
        let Some(daemon) = self.daemons.get_mut(name) else { return };
        for shard in std::mem::take(&mut daemon.opening) {
            self.input(name, keeper::LeaseInput::Opened(shard));
        }
    }

    /// The shard's holder writes the released row, where it still holds the lease.
    fn release(&mut self, name: &str, shard: quantity::ShardNumber) {
        // A shard that is not open closes without a word in the table.
        if self.daemons.get(name).is_some_and(|daemon| daemon.opening.contains(&shard)) {
            return self.close(name, shard);
        }
        let key = row::shard_key(shard);
        let fence = self.daemons.get(name).and_then(|daemon| daemon.held.get(&shard)).copied();
        let found = self.rows.read(&key);
        let (Some(fence), Some(found)) = (fence, found) else { return };
        let is_ours = row::LeaseRow::decode(&found.value).is_some_and(|lease| lease.fence == fence);
        if is_ours && !self.is_cut_off(name) {
            let write = table::RowWrite::Put(key.clone(), row::LeaseRow::released(fence).encode());
            self.rows.commit(&table::TableTransaction {
                write_id: "release".parse().expect("a valid identifier"),
                conditions: vec![table::RowCondition::VersionIs(key, found.version)],
                writes: vec![write],
            });
        }
        self.close(name, shard);
    }

    fn commit(
        &mut self,
        name: &str,
        transaction: &table::TableTransaction,
    ) -> commit_outcome::CommitOutcome {
        if self.is_cut_off(name) {
            return commit_outcome::CommitOutcome::NotApplied;
        }
        self.writes += 1;
        let mut transaction = transaction.clone();
        if !self.is_conditional {
            transaction.conditions.clear();
        }
        let answer = commit_outcome::CommitOutcome::from(Ok(self.rows.commit(&transaction)));
        if self.lost_answers == 0 {
            return answer;
        }
        self.lost_answers -= 1;
        commit_outcome::CommitOutcome::Unknown
    }

    fn is_cut_off(&self, name: &str) -> bool {
        self.is_table_down || self.cut.contains(name)
    }
}
