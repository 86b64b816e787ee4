//! The lease on the duties of an availability zone: placement and capacity.
//!
//! Pure decisions. The lease is one row; its holder renews it, and another candidate takes it over
//! once the row has not changed for the lease time on the candidate's own clock. Each new holder
//! has a greater fencing number. No clock is trusted for safety: a paused holder that wakes finds
//! its renewal refused, and what it orders before that carries its old number and is valid shortly.

use std::sync;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;
use samphiremoor_platform::table;
use serde::Deserialize;
use serde::Serialize;

/// Prefix of the keys of the lease rows of duties.
pub const DUTY_PREFIX: &str = "duty/";

/// Times of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DutyTimes {
    /// Between two renewals, and between two reads by a candidate.
    pub renew_interval: time::Millis,
    /// A holder without a renewal for this long orders nothing more.
    pub hold_time: time::Millis,
    /// A row that does not change for this long may be taken over.
    pub lease_time: time::Millis,
}

impl Default for DutyTimes {
    fn default() -> Self {
        DutyTimes {
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
    /// The holder.
    pub holder: row::DaemonInstance,
    /// Greater with each new holder.
    pub fence: quantity::FencingToken,
    /// Rises with each renewal.
    pub renewals: u64,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyInput {
    /// Time passed.
    Tick {
        /// Whether this daemon may take the lease.
        is_candidate: bool,
    },
    /// The row was read.
    Read(Option<table::TableRow>),
    /// The row could not be read.
    ReadFailed,
    /// The table answered the write.
    Written(commit_outcome::CommitOutcome),
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyAction {
    /// Read the row.
    Read,
    /// Commit to the table.
    Write(table::TableTransaction),
}

/// The row as it was seen.
#[derive(Clone, Debug)]
struct SeenRow {
    row: DutyRow,
    version: quantity::RowVersion,
    /// Since when the row has this version.
    since: time::MonotonicTime,
}

/// A write in flight.
#[derive(Clone, Debug)]
struct SentWrite {
    row: DutyRow,
    at: time::MonotonicTime,
}

/// The lease as one daemon sees it.
#[derive(Clone, Debug)]
pub struct DutyLease {
    key: table::RowKey,
    life: row::DaemonInstance,
    times: DutyTimes,
    seen: Option<SeenRow>,
    /// When the last write that took effect was sent.
    renewed_at: Option<time::MonotonicTime>,
    sent: Option<SentWrite>,
    is_reading: bool,
    next_step: time::MonotonicTime,
    writes: u64,
}

impl DutyLease {
    /// The lease of a zone, not held yet.
    pub fn new(zone: &id::ZoneId, life: row::DaemonInstance, times: DutyTimes) -> Self {
        DutyLease {
            key: table::RowKey::new(&format!("{DUTY_PREFIX}{zone}")),
            life,
            times,
            seen: None,
            renewed_at: None,
            sent: None,
            is_reading: false,
            next_step: time::MonotonicTime::default(),
            writes: 0,
        }
    }

    /// Key of the lease row.
    pub fn key(&self) -> &table::RowKey {
        &self.key
    }

    /// The fencing number under which this daemon may order now; none where it may not.
    pub fn fence(&self, now: time::MonotonicTime) -> Option<quantity::FencingToken> {
        let seen = self.seen.as_ref().filter(|seen| seen.row.holder == self.life)?;
        let renewed_at = self.renewed_at?;
        (now.since(renewed_at) < self.times.hold_time).then_some(seen.row.fence)
    }

    /// Takes an input and says what to do.
    pub fn step(&mut self, now: time::MonotonicTime, input: DutyInput) -> Option<DutyAction> {
        match input {
            DutyInput::Tick { is_candidate } => self.tick(now, is_candidate),
            DutyInput::Read(row) => {
                self.is_reading = false;
                self.read(now, row);
                None
            }
            DutyInput::ReadFailed => {
                self.is_reading = false;
                None
            }
            DutyInput::Written(answer) => self.written(now, answer),
        }
    }

    fn tick(&mut self, now: time::MonotonicTime, is_candidate: bool) -> Option<DutyAction> {
        let is_holder = self.is_holder();
        if now < self.next_step || self.is_reading || !(is_candidate || is_holder) {
            return None;
        }
        // An answer that does not come is given up, and the row says what became of the write.
        self.next_step = now + self.times.renew_interval;
        if self.sent.take().is_some() {
            return self.start_read();
        }
        match &self.seen {
            Some(seen) if is_holder => {
                let row = DutyRow { renewals: seen.row.renewals + 1, ..seen.row.clone() };
                Some(self.write(now, row, Some(seen.version)))
            }
            Some(seen) if now.since(seen.since) >= self.times.lease_time => {
                let fence = seen.row.fence.next();
                let row = DutyRow { holder: self.life.clone(), fence, renewals: 0 };
                Some(self.write(now, row, Some(seen.version)))
            }
            _ => self.start_read(),
        }
    }

    fn is_holder(&self) -> bool {
        self.seen.as_ref().is_some_and(|seen| seen.row.holder == self.life)
    }

    fn start_read(&mut self) -> Option<DutyAction> {
        self.is_reading = true;
        Some(DutyAction::Read)
    }

    fn read(&mut self, now: time::MonotonicTime, found: Option<table::TableRow>) {
        let Some(found) = found else {
            // Nobody has held the lease yet: the first fencing number is this daemon's to write.
            let row = DutyRow {
                holder: row::DaemonInstance {
                    daemon: self.life.daemon.clone(),
                    incarnation: quantity::Incarnation::default(),
                },
                fence: quantity::FencingToken::default(),
                renewals: 0,
            };
            let version = quantity::RowVersion::default();
            self.seen = Some(SeenRow { row, version, since: time::MonotonicTime::default() });
            self.next_step = now;
            return;
        };
        let Ok(row) = serde_json::from_str::<DutyRow>(&found.value) else { return };
        let same = self.seen.as_ref().filter(|seen| seen.version == found.version);
        let since = same.map_or(now, |seen| seen.since);
        self.seen = Some(SeenRow { row, version: found.version, since });
    }

    fn written(
        &mut self,
        now: time::MonotonicTime,
        answer: commit_outcome::CommitOutcome,
    ) -> Option<DutyAction> {
        let sent = self.sent.take()?;
        match answer {
            commit_outcome::CommitOutcome::Committed(version) => {
                // Counted from the sending: others may have seen the row since then.
                self.renewed_at = Some(sent.at);
                self.seen = Some(SeenRow { row: sent.row, version, since: now });
                None
            }
            commit_outcome::CommitOutcome::NotApplied => None,
            commit_outcome::CommitOutcome::Conflict | commit_outcome::CommitOutcome::Unknown => {
                self.start_read()
            }
        }
    }

    fn write(
        &mut self,
        now: time::MonotonicTime,
        row: DutyRow,
        version: Option<quantity::RowVersion>,
    ) -> DutyAction {
        self.writes += 1;
        let write_id = format!("{}-{}-{}", self.life.daemon, self.life.incarnation, self.writes);
        let value = serde_json::to_string(&row).expect("a lease row has only texts and numbers");
        self.sent = Some(SentWrite { row, at: now });
        let condition = match version.filter(|version| version.get() > 0) {
            Some(version) => table::RowCondition::VersionIs(self.key.clone(), version),
            None => table::RowCondition::Absent(self.key.clone()),
        };
        DutyAction::Write(table::TableTransaction {
            write_id: write_id.parse().expect("a daemon's id and numbers make an id"),
            conditions: vec![condition],
            writes: vec![table::RowWrite::Put(self.key.clone(), sync::Arc::from(value))],
        })
    }
}
