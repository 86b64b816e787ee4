//! Takes, renews and gives away the leases of one daemon.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::table;

use crate::commit;
use crate::commit_outcome;
use crate::holdings;
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
    Answered(commit_outcome::CommitOutcome),
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

/// Keeper of one daemon's leases.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    daemon: id::DaemonId,
    policy: policy::LeasePolicy,
    is_candidate: bool,
    is_stopping: bool,
    is_stopped: bool,
    holdings: holdings::LeaseHoldings,
    watch: watch::RenewalWatch,
    writer: commit::CommitWriter,
    in_flight: Option<commit::CommitKind>,
    retry_at: Option<time::MonotonicTime>,
    is_scanning: bool,
    scan_count: u64,
    last_scan: Option<time::MonotonicTime>,
}

impl LeaseKeeper {
    /// A keeper that holds nothing.
    pub fn new(life: row::DaemonInstance, policy: policy::LeasePolicy) -> Self {
        LeaseKeeper {
            daemon: life.daemon.clone(),
            policy,
            is_candidate: true,
            is_stopping: false,
            is_stopped: false,
            holdings: holdings::LeaseHoldings::new(life.clone(), policy.shard_count),
            watch: watch::RenewalWatch::default(),
            writer: commit::CommitWriter::new(life),
            in_flight: None,
            retry_at: None,
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
            LeaseInput::Opened(shard) => self.holdings.open(shard),
            LeaseInput::Closed(shard) => self.closed(shard),
            LeaseInput::Stop => self.stop(&mut actions),
        }
        self.drive(now, &mut actions);
        actions
    }

    /// The lease of a shard, as the last scan showed it.
    pub fn lease_of(&self, shard: quantity::ShardNumber) -> Option<&row::LeaseRow> {
        self.holdings.row(shard).map(|held| &held.row)
    }

    /// Number of leases that are held here.
    pub fn held_count(&self) -> usize {
        self.holdings.len()
    }

    /// When the keeper wants a tick, if no other input comes.
    pub fn next_wakeup(&self) -> time::MonotonicTime {
        let scan =
            self.last_scan.map_or(time::MonotonicTime::new(0), |last| last + self.scan_interval());
        let renewal = self.writer.last_renewal().filter(|_| self.is_candidate);
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
        let (leases, renewals) = decode_rows(now, rows);
        self.watch.observe(now, &self.policy, renewals);
        for change in self.holdings.observe(self.scan_count, leases) {
            match change {
                holdings::LeaseChange::Brought(shard, lease) => self.take(shard, *lease, actions),
                holdings::LeaseChange::Lost(shard) => actions.push(LeaseAction::Lost(shard)),
            }
        }
        let is_expired =
            |life: &row::DaemonInstance| self.watch.is_expired(now, &self.policy, life);
        self.holdings.note_free(now, is_expired);
    }

    fn take(
        &mut self,
        shard: quantity::ShardNumber,
        lease: row::HeldLease,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.holdings.keep(self.scan_count, shard, lease.clone());
        actions.push(LeaseAction::Taken { shard, lease });
    }

    fn answered(
        &mut self,
        now: time::MonotonicTime,
        answer: commit_outcome::CommitOutcome,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some(kind) = self.in_flight.take() else { return };
        let commit_outcome::CommitOutcome::Committed(version) = answer else {
            // The next scan shows what has taken effect.
            self.last_scan = None;
            if answer != commit_outcome::CommitOutcome::Conflict {
                self.retry_at = Some(now + self.policy.scan_interval());
            }
            return;
        };
        self.retry_at = None;
        match kind {
            commit::CommitKind::Take(shard, row) => {
                self.take(shard, row::HeldLease { row: *row, version }, actions);
            }
            commit::CommitKind::Remove => {
                self.is_stopped = true;
                actions.push(LeaseAction::Stopped);
            }
            commit::CommitKind::Renew | commit::CommitKind::Clean => {}
        }
    }

    fn closed(&mut self, shard: quantity::ShardNumber) {
        if self.holdings.close(shard) {
            self.last_scan = None;
        }
    }

    fn stop(&mut self, actions: &mut Vec<LeaseAction>) {
        self.is_stopping = true;
        actions.extend(self.holdings.release_all().into_iter().map(LeaseAction::Release));
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
        if self.in_flight.is_some() || is_waiting {
            return;
        }
        if let Some((kind, transaction)) = self.next_commit(now) {
            self.in_flight = Some(kind);
            actions.push(LeaseAction::Commit(transaction));
        }
    }

    fn next_commit(&mut self, now: time::MonotonicTime) -> Option<commit::PlannedCommit> {
        if self.is_stopping && self.holdings.is_empty() {
            return Some(self.writer.remove());
        }
        let is_renewing = self.is_candidate || !self.holdings.is_empty();
        let interval = self.policy.renew_interval();
        let is_due = self.writer.last_renewal().is_none_or(|last| now.since(last) >= interval);
        if is_renewing && is_due {
            return Some(self.writer.renew(now));
        }
        if let Some(shard) = self.next_shard(now) {
            self.holdings.claim(shard);
            return Some(self.writer.take(now, shard, self.holdings.row(shard)));
        }
        self.next_cleaning(now)
    }

    /// The next shard to take, if this daemon should take one.
    fn next_shard(&self, now: time::MonotonicTime) -> Option<quantity::ShardNumber> {
        let is_ready = self.is_candidate && !self.is_stopping;
        if !is_ready || self.scan_count <= SCANS_BEFORE_TAKING {
            return None;
        }
        let has_room = self.holdings.len() < self.fair_share(now);
        // Nobody took it in a whole lease time: better unevenly held than not at all.
        let is_left = |since: time::MonotonicTime| now.since(since) >= self.policy.lease_time;
        let wanted = self.holdings.free().filter(|(_, since)| has_room || is_left(*since));
        wanted.map(|(shard, _)| shard).min_by_key(|shard| spread::preference(&self.daemon, *shard))
    }

    fn next_cleaning(&mut self, now: time::MonotonicTime) -> Option<commit::PlannedCommit> {
        let is_used = |life: &row::DaemonInstance| self.holdings.is_holder(life);
        let stale = self.watch.stale_row(now, &self.policy, is_used)?;
        let planned = self.writer.clean(stale);
        // Whatever the answer, the next scan shows the row anew.
        self.watch = watch::RenewalWatch::default();
        Some(planned)
    }

    /// Gives one lease away where this daemon holds more than its share.
    fn rebalance(&mut self, now: time::MonotonicTime, actions: &mut Vec<LeaseAction>) {
        let is_over = self.holdings.len() > self.fair_share(now);
        let has_surplus = is_over || (!self.is_candidate && !self.holdings.is_empty());
        if !has_surplus || self.scan_count <= SCANS_BEFORE_TAKING {
            return;
        }
        actions.extend(self.holdings.release_one().map(LeaseAction::Release));
    }

    fn fair_share(&self, now: time::MonotonicTime) -> usize {
        let live = self.watch.live_count(now, &self.policy);
        spread::fair_share(self.policy.shard_count, live)
    }
}

/// The lease rows and the renewal rows of a scan; others are passed over.
fn decode_rows(
    now: time::MonotonicTime,
    rows: Vec<table::TableRow>,
) -> (collections::BTreeMap<quantity::ShardNumber, row::HeldLease>, Vec<watch::WatchedRow>) {
    let mut leases = collections::BTreeMap::new();
    let mut renewals = Vec::new();
    for found in rows {
        if let Some(shard) = row::shard_of_key(&found.key) {
            let Some(lease) = row::LeaseRow::decode(&found.value) else { continue };
            leases.insert(shard, row::HeldLease { row: lease, version: found.version });
        } else if let Some(daemon) = row::daemon_of_key(&found.key) {
            let Some(renewal) = row::RenewalRow::decode(&found.value) else { continue };
            let life = row::DaemonInstance { daemon, incarnation: renewal.incarnation };
            renewals.push(watch::WatchedRow { life, version: found.version, since: now });
        }
    }
    (leases, renewals)
}
