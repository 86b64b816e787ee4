//! Acquires, renews and releases the leases of one daemon.

use std::collections;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_platform::table;

use crate::commit_outcome;
use crate::held_leases;
use crate::policy;
use crate::rendezvous;
use crate::renewals;
use crate::row;
use crate::transactions;

/// Number of scans before the first takeover or rebalancing, so that daemons which start at the
/// same time see each other and take over only their share of the shards.
const SCANS_BEFORE_TAKEOVER: u64 = 2;

/// An event that the lease manager handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseInput {
    /// Time has passed.
    Tick,
    /// A scan returned every row under [`row::LEASE_PREFIX`].
    Scanned(Vec<table::TableRow>),
    /// A scan failed.
    ScanFailed,
    /// The transaction in flight ended.
    CommitFinished(commit_outcome::CommitOutcome),
    /// Sets whether this daemon may hold leases.
    SetCandidate(bool),
    /// The lease rows may have changed, so a scan is due immediately.
    RequestScan,
    /// A shard whose lease was acquired has opened.
    ShardOpened(quantity::ShardNumber),
    /// The shard has closed on this daemon, which therefore no longer holds its lease.
    ShardClosed(quantity::ShardNumber),
    /// The daemon stops: releases every lease.
    Stop,
}

/// An action that the caller of the lease manager carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// Reads every row under [`row::LEASE_PREFIX`].
    Scan,
    /// Commits a transaction to the table.
    Commit(table::TableTransaction),
    /// The lease was acquired: opens the shard.
    Acquired {
        /// The shard.
        shard: quantity::ShardNumber,
        /// The lease row and its version.
        lease: row::VersionedLease,
    },
    /// Another daemon holds the lease: closes the shard.
    Lost(quantity::ShardNumber),
    /// Releases the lease of the shard.
    Release(quantity::ShardNumber),
    /// Every lease is released and this daemon's renewal row is deleted.
    Stopped,
}

/// Manages the leases of one daemon.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    daemon: id::DaemonId,
    policy: policy::LeasePolicy,
    is_candidate: bool,
    is_stopping: bool,
    is_stopped: bool,
    held_leases: held_leases::HeldLeases,
    renewals: renewals::RenewalTracker,
    transactions: transactions::TransactionBuilder,
    /// Purpose of the transaction in flight.
    in_flight: Option<transactions::TransactionKind>,
    /// When the next transaction may start after one that failed or whose response was lost.
    retry_at: Option<time::MonotonicTime>,
    is_scanning: bool,
    /// Number of scans that have started.
    scan_count: u64,
    /// When the last scan started; `None` if a scan is due immediately.
    last_scan_at: Option<time::MonotonicTime>,
}

impl LeaseManager {
    /// Creates a manager that holds no lease.
    pub fn new(instance: row::DaemonInstance, policy: policy::LeasePolicy) -> Self {
        LeaseManager {
            daemon: instance.daemon.clone(),
            policy,
            is_candidate: true,
            is_stopping: false,
            is_stopped: false,
            held_leases: held_leases::HeldLeases::new(instance.clone(), policy.shard_count),
            renewals: renewals::RenewalTracker::default(),
            transactions: transactions::TransactionBuilder::new(instance),
            in_flight: None,
            retry_at: None,
            is_scanning: false,
            scan_count: 0,
            last_scan_at: None,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: time::MonotonicTime, input: LeaseInput) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        match input {
            LeaseInput::Tick => {}
            LeaseInput::Scanned(rows) => self.handle_scan(now, rows, &mut actions),
            LeaseInput::ScanFailed => self.is_scanning = false,
            LeaseInput::CommitFinished(outcome) => self.handle_commit(now, outcome, &mut actions),
            LeaseInput::SetCandidate(is_candidate) => self.is_candidate = is_candidate,
            LeaseInput::RequestScan => self.last_scan_at = None,
            LeaseInput::ShardOpened(shard) => self.held_leases.mark_open(shard),
            LeaseInput::ShardClosed(shard) => self.handle_closed(shard),
            LeaseInput::Stop => self.stop(&mut actions),
        }
        self.push_due_actions(now, &mut actions);
        actions
    }

    /// Returns the lease row of a shard as of the last scan or commit.
    pub fn lease_of(&self, shard: quantity::ShardNumber) -> Option<&row::LeaseRow> {
        self.held_leases.row(shard).map(|lease| &lease.row)
    }

    /// Returns the number of held leases.
    pub fn held_count(&self) -> usize {
        self.held_leases.len()
    }

    /// Returns when [`LeaseInput::Tick`] is due if no other event comes first.
    pub fn next_wakeup(&self) -> time::MonotonicTime {
        let scan_due = self
            .last_scan_at
            .map_or(time::MonotonicTime::new(0), |last| last + self.scan_interval());
        let last_renewal = self.transactions.last_renewal_at().filter(|_| self.is_candidate);
        last_renewal.map_or(scan_due, |last| scan_due.min(last + self.policy.renew_interval()))
    }

    fn scan_interval(&self) -> time::Millis {
        if self.is_candidate { self.policy.scan_interval() } else { self.policy.idle_scan_interval }
    }

    fn handle_scan(
        &mut self,
        now: time::MonotonicTime,
        rows: Vec<table::TableRow>,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.is_scanning = false;
        let (leases, renewals) = decode_rows(now, rows);
        self.renewals.observe(now, &self.policy, renewals);
        for change in self.held_leases.observe(self.scan_count, leases) {
            match change {
                held_leases::LeaseChange::Acquired(shard, lease) => {
                    self.acquire(shard, *lease, actions)
                }
                held_leases::LeaseChange::Lost(shard) => actions.push(LeaseAction::Lost(shard)),
            }
        }
        let is_expired =
            |instance: &row::DaemonInstance| self.renewals.is_expired(now, &self.policy, instance);
        self.held_leases.update_free_shards(now, is_expired);
    }

    fn acquire(
        &mut self,
        shard: quantity::ShardNumber,
        lease: row::VersionedLease,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.held_leases.insert(self.scan_count, shard, lease.clone());
        actions.push(LeaseAction::Acquired { shard, lease });
    }

    fn handle_commit(
        &mut self,
        now: time::MonotonicTime,
        outcome: commit_outcome::CommitOutcome,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some(kind) = self.in_flight.take() else { return };
        let commit_outcome::CommitOutcome::Committed(version) = outcome else {
            // The next scan shows whether the transaction took effect.
            self.last_scan_at = None;
            if outcome != commit_outcome::CommitOutcome::Conflict {
                self.retry_at = Some(now + self.policy.scan_interval());
            }
            return;
        };
        self.retry_at = None;
        match kind {
            transactions::TransactionKind::TakeOver(shard, row) => {
                self.acquire(shard, row::VersionedLease { row: *row, version }, actions);
            }
            transactions::TransactionKind::DeleteRenewalRow => {
                self.is_stopped = true;
                actions.push(LeaseAction::Stopped);
            }
            transactions::TransactionKind::Renew
            | transactions::TransactionKind::DeleteStaleRow => {}
        }
    }

    fn handle_closed(&mut self, shard: quantity::ShardNumber) {
        if self.held_leases.remove(shard) {
            self.last_scan_at = None;
        }
    }

    fn stop(&mut self, actions: &mut Vec<LeaseAction>) {
        self.is_stopping = true;
        actions.extend(self.held_leases.release_all().into_iter().map(LeaseAction::Release));
    }

    fn push_due_actions(&mut self, now: time::MonotonicTime, actions: &mut Vec<LeaseAction>) {
        if self.is_stopped {
            return;
        }
        let is_scan_due =
            self.last_scan_at.is_none_or(|last| now.since(last) >= self.scan_interval());
        if is_scan_due && !self.is_scanning {
            self.is_scanning = true;
            self.scan_count += 1;
            self.last_scan_at = Some(now);
            actions.push(LeaseAction::Scan);
        }
        self.rebalance(now, actions);
        let is_backing_off = self.retry_at.is_some_and(|retry_at| now < retry_at);
        if self.in_flight.is_some() || is_backing_off {
            return;
        }
        if let Some((kind, transaction)) = self.next_transaction(now) {
            self.in_flight = Some(kind);
            actions.push(LeaseAction::Commit(transaction));
        }
    }

    fn next_transaction(
        &mut self,
        now: time::MonotonicTime,
    ) -> Option<transactions::PlannedTransaction> {
        if self.is_stopping && self.held_leases.is_empty() {
            return Some(self.transactions.delete_renewal_row());
        }
        let needs_renewals = self.is_candidate || !self.held_leases.is_empty();
        let renew_interval = self.policy.renew_interval();
        let is_renewal_due = self
            .transactions
            .last_renewal_at()
            .is_none_or(|last| now.since(last) >= renew_interval);
        if needs_renewals && is_renewal_due {
            return Some(self.transactions.renew(now));
        }
        if let Some(shard) = self.next_takeover(now) {
            self.held_leases.remove_free_shard(shard);
            let current = self.held_leases.row(shard);
            let new_row = self.held_leases.takeover_row(shard);
            return Some(self.transactions.take_over(now, shard, current, new_row));
        }
        self.next_cleanup(now)
    }

    /// Returns the next shard to take over, if this daemon should take over another one.
    fn next_takeover(&self, now: time::MonotonicTime) -> Option<quantity::ShardNumber> {
        let may_take_over = self.is_candidate && !self.is_stopping;
        if !may_take_over || self.scan_count <= SCANS_BEFORE_TAKEOVER {
            return None;
        }
        let is_below_share = self.held_leases.len() < self.fair_share(now);
        // A shard that nobody has taken over for a whole lease time is taken over beyond the fair
        // share: an uneven distribution is better than a shard without a holder.
        let is_long_free = |since: time::MonotonicTime| now.since(since) >= self.policy.lease_time;
        let candidates = self
            .held_leases
            .free_shards()
            .filter(|(_, since)| is_below_share || is_long_free(*since));
        candidates
            .map(|(shard, _)| shard)
            .min_by_key(|shard| rendezvous::rank(&self.daemon, *shard))
    }

    /// Plans the deletion of one stale renewal row, if there is any.
    fn next_cleanup(
        &mut self,
        now: time::MonotonicTime,
    ) -> Option<transactions::PlannedTransaction> {
        let is_holder = |instance: &row::DaemonInstance| self.held_leases.is_holder(instance);
        let stale = self.renewals.stale_row(now, &self.policy, is_holder)?;
        let planned = self.transactions.delete_stale_row(stale);
        // Removes the row so that this transaction is not repeated. The next scan shows whether it
        // still exists; its age restarts from zero then.
        let daemon = stale.instance.daemon.clone();
        self.renewals.remove(&daemon);
        Some(planned)
    }

    /// Releases one lease if this daemon holds more than its fair share or may not hold leases.
    fn rebalance(&mut self, now: time::MonotonicTime, actions: &mut Vec<LeaseAction>) {
        let exceeds_share = self.held_leases.len() > self.fair_share(now);
        let has_surplus = exceeds_share || (!self.is_candidate && !self.held_leases.is_empty());
        if !has_surplus || self.scan_count <= SCANS_BEFORE_TAKEOVER {
            return;
        }
        actions.extend(self.held_leases.release_one().map(LeaseAction::Release));
    }

    fn fair_share(&self, now: time::MonotonicTime) -> usize {
        let live_daemons = self.renewals.live_count(now, &self.policy);
        rendezvous::fair_share(self.policy.shard_count, live_daemons)
    }
}

/// Decodes the lease rows and renewal rows of a scan and skips all others.
fn decode_rows(
    now: time::MonotonicTime,
    rows: Vec<table::TableRow>,
) -> (
    collections::BTreeMap<quantity::ShardNumber, row::VersionedLease>,
    Vec<renewals::ObservedRenewal>,
) {
    let mut leases = collections::BTreeMap::new();
    let mut renewals = Vec::new();
    for table_row in rows {
        if let Some(shard) = row::shard_of_key(&table_row.key) {
            let Some(lease) = row::LeaseRow::decode(&table_row.value) else { continue };
            leases.insert(shard, row::VersionedLease { row: lease, version: table_row.version });
        } else if let Some(daemon) = row::daemon_of_key(&table_row.key) {
            let Some(renewal) = row::RenewalRow::decode(&table_row.value) else { continue };
            let instance = row::DaemonInstance { daemon, incarnation: renewal.incarnation };
            renewals.push(renewals::ObservedRenewal {
                instance,
                version: table_row.version,
                unchanged_since: now,
            });
        }
    }
    (leases, renewals)
}
