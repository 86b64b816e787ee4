//! Lease on the duties of an availability zone: placement and capacity.
//!
//! A state machine without I/O. The lease is one row of the platform's table. Its holder renews it,
//! and another candidate takes it over once the row has not changed for the lease time on the
//! candidate's own clock. Each new holder has a higher fencing token. Safety does not depend on
//! synchronized clocks: the renewal of a paused holder that resumes is refused, and the orders that
//! it sends before that carry its old fencing token and expire soon.

use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

/// Key prefix of the lease rows of duties.
pub const DUTY_PREFIX: &str = "duty/";

/// Intervals of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutyTimings {
    /// Time between two renewals, and between two reads by a candidate.
    pub renew_interval: time::Millis,
    /// A holder stops sending orders when this time has passed since it sent its last renewal.
    pub hold_time: time::Millis,
    /// The lease may be taken over when its row has not changed for this time.
    pub lease_time: time::Millis,
}

impl Default for DutyTimings {
    fn default() -> Self {
        DutyTimings {
            renew_interval: time::Millis::new(2_000),
            hold_time: time::Millis::new(5_000),
            lease_time: time::Millis::new(8_000),
        }
    }
}

/// Value of the lease row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DutyRow {
    /// Daemon that holds the lease.
    pub holder: row::DaemonInstance,
    /// Fencing token, which rises with each new holder.
    pub fence: quantity::FencingToken,
    /// Number of renewals by the holder.
    pub renewals: u64,
}

/// Input of the lease state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyInput {
    /// Time passed.
    Tick {
        /// Whether this daemon may take the lease.
        is_candidate: bool,
    },
    /// The row was read; `None` if it does not exist.
    Read(Option<table::TableRow>),
    /// The row could not be read.
    ReadFailed,
    /// The write of the row completed.
    Written(commit_outcome::CommitOutcome),
}

/// Action of the lease state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyAction {
    /// Read the row.
    Read,
    /// Commit the transaction to the table.
    Write(table::TableTransaction),
}

/// The row as last read or written.
#[derive(Clone, Debug)]
struct KnownRow {
    row: DutyRow,
    version: quantity::RowVersion,
    /// Time at which this daemon first saw this version of the row.
    first_seen_at: time::MonotonicTime,
}

/// A write that has not completed.
#[derive(Clone, Debug)]
struct PendingWrite {
    row: DutyRow,
    sent_at: time::MonotonicTime,
}

/// State of the lease as one daemon sees it.
#[derive(Clone, Debug)]
pub struct DutyLease {
    key: table::RowKey,
    instance: row::DaemonInstance,
    timings: DutyTimings,
    known_row: Option<KnownRow>,
    /// Send time of the last successful write.
    last_renewal_at: Option<time::MonotonicTime>,
    pending_write: Option<PendingWrite>,
    is_read_pending: bool,
    next_attempt_at: time::MonotonicTime,
    /// Number of writes so far, part of the write ids.
    write_count: u64,
}

impl DutyLease {
    /// Creates the state of a lease that the daemon does not hold.
    pub fn new(zone: &id::ZoneId, instance: row::DaemonInstance, timings: DutyTimings) -> Self {
        DutyLease {
            key: table::RowKey::new(&format!("{DUTY_PREFIX}{zone}")),
            instance,
            timings,
            known_row: None,
            last_renewal_at: None,
            pending_write: None,
            is_read_pending: false,
            next_attempt_at: time::MonotonicTime::default(),
            write_count: 0,
        }
    }

    /// Returns the key of the lease row.
    pub fn key(&self) -> &table::RowKey {
        &self.key
    }

    /// Returns the fencing token for orders, or `None` if this daemon does not hold the lease.
    pub fn fencing_token(&self, now: time::MonotonicTime) -> Option<quantity::FencingToken> {
        let known_row =
            self.known_row.as_ref().filter(|known_row| known_row.row.holder == self.instance)?;
        let last_renewal_at = self.last_renewal_at?;
        (now.since(last_renewal_at) < self.timings.hold_time).then_some(known_row.row.fence)
    }

    /// Handles an input and returns the action to perform.
    pub fn step(&mut self, now: time::MonotonicTime, input: DutyInput) -> Option<DutyAction> {
        match input {
            DutyInput::Tick { is_candidate } => self.tick(now, is_candidate),
            DutyInput::Read(row) => {
                self.is_read_pending = false;
                self.handle_row(now, row);
                None
            }
            DutyInput::ReadFailed => {
                self.is_read_pending = false;
                None
            }
            DutyInput::Written(outcome) => self.handle_write(now, outcome),
        }
    }

    fn tick(&mut self, now: time::MonotonicTime, is_candidate: bool) -> Option<DutyAction> {
        let is_holder = self.is_holder();
        if now < self.next_attempt_at || self.is_read_pending || !(is_candidate || is_holder) {
            return None;
        }
        self.next_attempt_at = now + self.timings.renew_interval;
        // A write without a response is abandoned. Reading the row shows whether it took effect.
        if self.pending_write.take().is_some() {
            return self.start_read();
        }
        match &self.known_row {
            Some(known_row) if is_holder => {
                let row = DutyRow { renewals: known_row.row.renewals + 1, ..known_row.row.clone() };
                Some(self.start_write(now, row, Some(known_row.version)))
            }
            Some(known_row) if now.since(known_row.first_seen_at) >= self.timings.lease_time => {
                let fence = known_row.row.fence.next();
                let row = DutyRow { holder: self.instance.clone(), fence, renewals: 0 };
                Some(self.start_write(now, row, Some(known_row.version)))
            }
            _ => self.start_read(),
        }
    }

    /// Returns whether the row as last read or written names this daemon as the holder.
    fn is_holder(&self) -> bool {
        self.known_row.as_ref().is_some_and(|known_row| known_row.row.holder == self.instance)
    }

    /// Records a pending read and returns the action that performs it.
    fn start_read(&mut self) -> Option<DutyAction> {
        self.is_read_pending = true;
        Some(DutyAction::Read)
    }

    fn handle_row(&mut self, now: time::MonotonicTime, table_row: Option<table::TableRow>) {
        let Some(table_row) = table_row else {
            // The lease has never been held, so this daemon may write the first fencing token.
            let row = DutyRow {
                holder: row::DaemonInstance {
                    daemon: self.instance.daemon.clone(),
                    incarnation: quantity::Incarnation::default(),
                },
                fence: quantity::FencingToken::default(),
                renewals: 0,
            };
            let version = quantity::RowVersion::default();
            self.known_row =
                Some(KnownRow { row, version, first_seen_at: time::MonotonicTime::default() });
            self.next_attempt_at = now;
            return;
        };
        let Ok(row) = serde_json::from_str::<DutyRow>(&table_row.value) else { return };
        let unchanged_row =
            self.known_row.as_ref().filter(|known_row| known_row.version == table_row.version);
        let first_seen_at = unchanged_row.map_or(now, |known_row| known_row.first_seen_at);
        self.known_row = Some(KnownRow { row, version: table_row.version, first_seen_at });
    }

    fn handle_write(
        &mut self,
        now: time::MonotonicTime,
        outcome: commit_outcome::CommitOutcome,
    ) -> Option<DutyAction> {
        let pending_write = self.pending_write.take()?;
        match outcome {
            commit_outcome::CommitOutcome::Committed(version) => {
                // Counts from the send time, because other daemons may have seen the row since
                // then.
                self.last_renewal_at = Some(pending_write.sent_at);
                self.known_row =
                    Some(KnownRow { row: pending_write.row, version, first_seen_at: now });
                None
            }
            commit_outcome::CommitOutcome::NotApplied => None,
            commit_outcome::CommitOutcome::Conflict | commit_outcome::CommitOutcome::Unknown => {
                self.start_read()
            }
        }
    }

    /// Records a pending write and returns the action that performs it.
    fn start_write(
        &mut self,
        now: time::MonotonicTime,
        row: DutyRow,
        version: Option<quantity::RowVersion>,
    ) -> DutyAction {
        self.write_count += 1;
        let write_id =
            format!("{}-{}-{}", self.instance.daemon, self.instance.incarnation, self.write_count);
        let value = serde_json::to_string(&row).expect("a lease row can be serialized");
        self.pending_write = Some(PendingWrite { row, sent_at: now });
        let condition = match version.filter(|version| version.get() > 0) {
            Some(version) => table::RowCondition::VersionIs(self.key.clone(), version),
            None => table::RowCondition::Absent(self.key.clone()),
        };
        DutyAction::Write(table::TableTransaction {
            write_id: write_id.parse().expect("a daemon id with numbers is a valid id"),
            conditions: vec![condition],
            writes: vec![table::RowWrite::Put(self.key.clone(), sync::Arc::from(value))],
        })
    }
}
