//! Takes, renews and gives away the leases of one daemon.

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::table;

use crate::answer;
use crate::policy;
use crate::row;
use crate::spread;
use crate::watch;

/// Scans that a daemon waits for before it takes leases, so that others that start with it are seen.
const SCANS_BEFORE_TAKING: u64 = 2;

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseInput {
    /// Time passed.
    Tick,
    /// Every row under [`row::LEASE_PREFIX`] was read.
    Scanned(Vec<table::TableRow>),
    /// The scan failed.
    ScanFailed,
    /// The table answered the transaction in flight.
    Answered(answer::TableAnswer),
    /// Whether this daemon may hold leases.
    Candidate(bool),
    /// The rows may have changed: scan soon.
    ScanSoon,
    /// A shard that was taken is open here.
    Opened(quantity::ShardNumber),
    /// The holder of a shard has ended here.
    Closed(quantity::ShardNumber),
    /// The daemon stops: every lease is to be given away.
    Stop,
}

/// What the keeper wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Read every row under [`row::LEASE_PREFIX`].
    Scan,
    /// Commit to the table.
    Commit(table::TableTransaction),
    /// The lease is held: open the shard.
    Taken {
        /// The shard.
        shard: quantity::ShardNumber,
        /// The lease.
        lease: row::HeldLease,
    },
    /// Another daemon holds the lease: close the shard.
    Lost(quantity::ShardNumber),
    /// Give the shard away.
    Release(quantity::ShardNumber),
    /// Every lease is given away.
    Stopped,
}

/// What a transaction in flight does.
#[derive(Clone, Debug)]
enum CommitKind {
    Renew,
    Take(quantity::ShardNumber, Box<row::LeaseRow>),
    Remove,
    Clean,
}

/// A lease that is held here.
#[derive(Clone, Copy, Debug)]
struct KeptLease {
    fence: quantity::FenceNumber,
    /// Scans that began earlier may not show the lease.
    known_from: u64,
    /// Whether the shard is open, so that it can be given away by a word in the table.
    is_open: bool,
    is_releasing: bool,
}

/// Keeper of one daemon's leases.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    life: row::DaemonLife,
    policy: policy::LeasePolicy,
    is_candidate: bool,
    is_stopping: bool,
    is_stopped: bool,
    kept: collections::BTreeMap<quantity::ShardNumber, KeptLease>,
    /// Greatest fencing number of each shard whose hold has ended here.
    ended: collections::BTreeMap<quantity::ShardNumber, quantity::FenceNumber>,
    rows: collections::BTreeMap<quantity::ShardNumber, row::HeldLease>,
    /// Since when a shard could be taken by anybody.
    free_since: collections::BTreeMap<quantity::ShardNumber, time::MonotonicTime>,
    watch: watch::RenewalWatch,
    commit: Option<CommitKind>,
    commit_count: u64,
    retry_at: Option<time::MonotonicTime>,
    renewals: u64,
    last_renewal: Option<time::MonotonicTime>,
    is_scanning: bool,
    scan_count: u64,
    last_scan: Option<time::MonotonicTime>,
}

impl LeaseKeeper {
    /// A keeper that holds nothing.
    pub fn new(life: row::DaemonLife, policy: policy::LeasePolicy) -> Self {
        LeaseKeeper {
            life,
            policy,
            is_candidate: true,
            is_stopping: false,
            is_stopped: false,
            kept: collections::BTreeMap::new(),
            ended: collections::BTreeMap::new(),
            rows: collections::BTreeMap::new(),
            free_since: collections::BTreeMap::new(),
            watch: watch::RenewalWatch::default(),
            commit: None,
            commit_count: 0,
            retry_at: None,
            renewals: 0,
            last_renewal: None,
            is_scanning: false,
            scan_count: 0,
            last_scan: None,
        }
    }

    /// Handles an input and gives what is to be done.
    pub fn handle(&mut self, now: time::MonotonicTime, input: LeaseInput) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        match input {
            LeaseInput::Tick => {}
            LeaseInput::Scanned(rows) => self.scanned(now, rows, &mut actions),
            LeaseInput::ScanFailed => self.is_scanning = false,
            LeaseInput::Answered(answer) => self.answered(now, answer, &mut actions),
            LeaseInput::Candidate(is_candidate) => self.is_candidate = is_candidate,
            LeaseInput::ScanSoon => self.last_scan = None,
            LeaseInput::Opened(shard) => self.opened(shard),
            LeaseInput::Closed(shard) => self.closed(shard),
            LeaseInput::Stop => self.stop(&mut actions),
        }
        self.drive(now, &mut actions);
        actions
    }

    /// The lease of a shard, as the last scan showed it.
    pub fn lease_of(&self, shard: quantity::ShardNumber) -> Option<&row::LeaseRow> {
        self.rows.get(&shard).map(|held| &held.row)
    }

    /// Number of leases that are held here.
    pub fn held_count(&self) -> usize {
        self.kept.len()
    }

    /// When the keeper wants a tick, if no other input comes.
    pub fn next_wakeup(&self) -> time::MonotonicTime {
        let scan =
            self.last_scan.map_or(time::MonotonicTime::new(0), |last| last + self.scan_interval());
        let renewal = self.last_renewal.filter(|_| self.is_candidate);
        renewal.map_or(scan, |last| scan.min(last + self.policy.renew_interval()))
    }

    fn scan_interval(&self) -> time::Millis {
        if self.is_candidate { self.policy.scan_interval() } else { self.policy.idle_scan_interval }
    }

    fn scanned(
        &mut self,
        now: time::MonotonicTime,
        rows: Vec<table::TableRow>,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.is_scanning = false;
        self.rows.clear();
        let mut renewals = Vec::new();
        for found in rows {
            if let Some(shard) = row::shard_of_key(&found.key) {
                let Some(lease) = row::LeaseRow::decode(&found.value) else { continue };
                self.rows.insert(shard, row::HeldLease { row: lease, version: found.version });
            } else if let Some(daemon) = row::daemon_of_key(&found.key) {
                let Some(renewal) = row::RenewalRow::decode(&found.value) else { continue };
                let life = row::DaemonLife { daemon, incarnation: renewal.incarnation };
                renewals.push(watch::WatchedRow { life, version: found.version, since: now });
            }
        }
        self.watch.observe(now, &self.policy, renewals);
        self.compare_kept(actions);
        self.note_free(now);
    }

    /// Finds leases that were lost, and those that a transaction without an answer brought.
    fn compare_kept(&mut self, actions: &mut Vec<LeaseAction>) {
        for shard in self.shards() {
            let found = self.rows.get(&shard);
            let is_ours = found.is_some_and(|held| held.row.holder.as_ref() == Some(&self.life));
            let fence = found.map(|held| held.row.fence);
            match self.kept.get(&shard) {
                Some(kept) => {
                    let is_same = is_ours && fence == Some(kept.fence);
                    if kept.known_from <= self.scan_count && !is_same {
                        actions.push(LeaseAction::Lost(shard));
                    }
                }
                None if is_ours && fence > self.ended.get(&shard).copied() => {
                    let Some(lease) = found.cloned() else { continue };
                    self.take(shard, lease, actions);
                }
                None => {}
            }
        }
    }

    fn note_free(&mut self, now: time::MonotonicTime) {
        for shard in self.shards() {
            if self.is_free(now, shard) {
                self.free_since.entry(shard).or_insert(now);
            } else {
                self.free_since.remove(&shard);
            }
        }
    }

    fn is_free(&self, now: time::MonotonicTime, shard: quantity::ShardNumber) -> bool {
        if self.kept.contains_key(&shard) {
            return false;
        }
        let Some(held) = self.rows.get(&shard) else { return true };
        let Some(holder) = &held.row.holder else { return true };
        // A lease of this very life that is not held here was given up while the shard opened.
        *holder == self.life || self.watch.is_expired(now, &self.policy, holder)
    }

    fn take(
        &mut self,
        shard: quantity::ShardNumber,
        lease: row::HeldLease,
        actions: &mut Vec<LeaseAction>,
    ) {
        let fence = lease.row.fence;
        let known_from = self.scan_count + 1;
        self.kept
            .insert(shard, KeptLease { fence, known_from, is_open: false, is_releasing: false });
        self.free_since.remove(&shard);
        actions.push(LeaseAction::Taken { shard, lease });
    }

    fn answered(
        &mut self,
        now: time::MonotonicTime,
        answer: answer::TableAnswer,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some(commit) = self.commit.take() else { return };
        let answer::TableAnswer::Committed(version) = answer else {
            // The next scan shows what has taken effect.
            self.last_scan = None;
            if answer != answer::TableAnswer::Refused {
                self.retry_at = Some(now + self.policy.scan_interval());
            }
            return;
        };
        self.retry_at = None;
        match commit {
            CommitKind::Take(shard, row) => {
                let lease = row::HeldLease { row: *row, version };
                self.rows.insert(shard, lease.clone());
                self.take(shard, lease, actions);
            }
            CommitKind::Remove => {
                self.is_stopped = true;
                actions.push(LeaseAction::Stopped);
            }
            CommitKind::Renew | CommitKind::Clean => {}
        }
    }

    fn opened(&mut self, shard: quantity::ShardNumber) {
        if let Some(kept) = self.kept.get_mut(&shard) {
            kept.is_open = true;
        }
    }

    fn closed(&mut self, shard: quantity::ShardNumber) {
        let Some(kept) = self.kept.remove(&shard) else { return };
        self.ended.insert(shard, kept.fence);
        self.last_scan = None;
    }

    fn stop(&mut self, actions: &mut Vec<LeaseAction>) {
        self.is_stopping = true;
        for (shard, kept) in &mut self.kept {
            kept.is_releasing = true;
            actions.push(LeaseAction::Release(*shard));
        }
    }

    fn drive(&mut self, now: time::MonotonicTime, actions: &mut Vec<LeaseAction>) {
        if self.is_stopped {
            return;
        }
        let is_scan_due = self.last_scan.is_none_or(|last| now.since(last) >= self.scan_interval());
        if is_scan_due && !self.is_scanning {
            self.is_scanning = true;
            self.scan_count += 1;
            self.last_scan = Some(now);
            actions.push(LeaseAction::Scan);
        }
        self.rebalance(now, actions);
        let is_waiting = self.retry_at.is_some_and(|retry| now < retry);
        if self.commit.is_some() || is_waiting {
            return;
        }
        if let Some((kind, transaction)) = self.next_commit(now) {
            self.commit = Some(kind);
            actions.push(LeaseAction::Commit(transaction));
        }
    }

    fn next_commit(
        &mut self,
        now: time::MonotonicTime,
    ) -> Option<(CommitKind, table::TableTransaction)> {
        if self.is_stopping && self.kept.is_empty() {
            let key = row::renewal_key(&self.life.daemon);
            let writes = vec![table::RowWrite::Delete(key)];
            return Some((CommitKind::Remove, self.transaction(Vec::new(), writes)));
        }
        let is_renewing = self.is_candidate || !self.kept.is_empty();
        let interval = self.policy.renew_interval();
        if is_renewing && self.last_renewal.is_none_or(|last| now.since(last) >= interval) {
            let writes = vec![self.renewal(now)];
            return Some((CommitKind::Renew, self.transaction(Vec::new(), writes)));
        }
        if let Some(shard) = self.next_shard(now) {
            return Some(self.taking(now, shard));
        }
        self.cleaning(now)
    }

    /// The next shard to take, if this daemon should take one.
    fn next_shard(&self, now: time::MonotonicTime) -> Option<quantity::ShardNumber> {
        let is_ready = self.is_candidate && !self.is_stopping;
        if !is_ready || self.scan_count <= SCANS_BEFORE_TAKING {
            return None;
        }
        let share = self.fair_share(now);
        // Nobody took it in a whole lease time: better unevenly held than not at all.
        let is_left = |since: time::MonotonicTime| now.since(since) >= self.policy.lease_time;
        let wanted =
            self.free_since.iter().filter(|(_, since)| self.kept.len() < share || is_left(**since));
        wanted
            .map(|(shard, _)| *shard)
            .min_by_key(|shard| spread::preference(&self.life.daemon, *shard))
    }

    fn taking(
        &mut self,
        now: time::MonotonicTime,
        shard: quantity::ShardNumber,
    ) -> (CommitKind, table::TableTransaction) {
        let key = row::shard_key(shard);
        let found = self.rows.get(&shard);
        let taken = found
            .map_or_else(|| row::LeaseRow::first(&self.life), |held| held.row.taken_by(&self.life));
        let condition = match found {
            Some(held) => table::RowCondition::VersionIs(key.clone(), held.version),
            None => table::RowCondition::Absent(key.clone()),
        };
        // The renewal goes along, so that no other daemon sees a holder without one.
        let writes = vec![table::RowWrite::Put(key, taken.encode()), self.renewal(now)];
        self.free_since.remove(&shard);
        let transaction = self.transaction(vec![condition], writes);
        (CommitKind::Take(shard, Box::new(taken)), transaction)
    }

    fn cleaning(
        &mut self,
        now: time::MonotonicTime,
    ) -> Option<(CommitKind, table::TableTransaction)> {
        let is_used = |life: &row::DaemonLife| {
            self.rows.values().any(|held| held.row.holder.as_ref() == Some(life))
        };
        let stale = self.watch.stale_row(now, &self.policy, is_used)?;
        let key = row::renewal_key(&stale.life.daemon);
        let condition = table::RowCondition::VersionIs(key.clone(), stale.version);
        let transaction = self.transaction(vec![condition], vec![table::RowWrite::Delete(key)]);
        // Whatever the answer, the next scan shows the row anew.
        self.watch = watch::RenewalWatch::default();
        Some((CommitKind::Clean, transaction))
    }

    /// Gives one lease away where this daemon holds more than its share.
    fn rebalance(&mut self, now: time::MonotonicTime, actions: &mut Vec<LeaseAction>) {
        let share = self.fair_share(now);
        let is_releasing = self.kept.values().any(|kept| kept.is_releasing);
        let has_surplus = self.kept.len() > share || (!self.is_candidate && !self.kept.is_empty());
        if is_releasing || !has_surplus || self.scan_count <= SCANS_BEFORE_TAKING {
            return;
        }
        let daemon = &self.life.daemon;
        // A shard that is given up before it is open stays in this daemon's name in the table.
        let open = self.kept.iter_mut().filter(|(_, kept)| kept.is_open);
        let last = open.max_by_key(|(shard, _)| spread::preference(daemon, **shard));
        if let Some((shard, kept)) = last {
            kept.is_releasing = true;
            actions.push(LeaseAction::Release(*shard));
        }
    }

    fn fair_share(&self, now: time::MonotonicTime) -> usize {
        let live = self.watch.live_count(now, &self.policy);
        spread::fair_share(self.policy.shard_count, live)
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
        self.commit_count += 1;
        let row::DaemonLife { incarnation, .. } = &self.life;
        let write_id = format!("lease-{incarnation}-{}", self.commit_count);
        table::TableTransaction {
            write_id: write_id.parse().expect("numbers and dashes make an identifier"),
            conditions,
            writes,
        }
    }

    fn shards(&self) -> impl Iterator<Item = quantity::ShardNumber> + use<> {
        (0..self.policy.shard_count).map(quantity::ShardNumber::new)
    }
}
