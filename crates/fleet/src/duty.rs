//! Lease on the duties, the singleton tasks that one daemon at a time performs.
//!
//! The lease is one row of the table. The holder rewrites the row several times per lease time.
//! Another daemon takes the lease over only after it has seen no write for longer than the holder
//! may act without one. The fencing token increases with each holder. The protocol uses no wall
//! clock.
//!
//! The table may return from an older copy, in another era. A row that was written in an earlier era
//! makes nobody the holder, as later ones may be lost. The last holder may take the lease again at once;
//! other daemons wait as for a holder of which they know nothing. Tokens contain their era.

use samphiremoor_base::id;
use samphiremoor_base::position;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::usage;

/// Number of renewals per lease time.
const RENEWALS_PER_LEASE: u64 = 3;
/// Timeout of a read or write of the row.
const RESPONSE_TIMEOUT: time::Millis = time::Millis::new(1_500);
/// Interval at which standby daemons read the row while no peer reports that it holds the lease.
const READ_INTERVAL: time::Millis = time::Millis::new(700);
/// Time for which a peer that reported holding the lease is assumed to hold it.
const PEER_REPORT_MAX_AGE: time::Millis = time::Millis::new(1_500);

/// Lease row as stored in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DutyRow {
    /// Holder of the lease and its incarnation; `None` once the last holder has released the lease.
    pub holder: Option<(id::DaemonId, quantity::Incarnation)>,
    /// Fencing token, which increases with each holder.
    pub fence: quantity::FencingToken,
    /// Number of writes of the row by all holders.
    pub renewals: u64,
    /// First usage window of which no report can have been decided in an earlier era; `None` if there
    /// was no earlier one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub undecided_from: Option<usage::WindowNumber>,
}

/// Why the lease row is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseWrite {
    /// The holder renews or releases the lease.
    Renewal,
    /// Another daemon takes the lease.
    Takeover,
    /// The holder takes the lease again that the table has lost.
    Restoration,
}

/// Operation to perform on the lease row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyAction {
    /// Reads the row.
    Read,
    /// Writes the row if it still has the expected version (CAS).
    Write {
        /// Version that the row must have; `None` if the row must not exist.
        expected: Option<quantity::RowVersion>,
        /// New content of the row.
        row: DutyRow,
        /// Why the row is written.
        kind: LeaseWrite,
        /// Era in which the row was written last.
        previous_era: quantity::StoreEra,
    },
}

/// Outcome of a conditional write of the lease row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The write took effect and the row now has this version.
    Committed(quantity::RowVersion),
    /// The row had another version than expected.
    Conflict,
    /// It is unknown whether the write took effect.
    Unknown,
}

/// Permission for one call under the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallPermit {
    /// Fencing token of the lease.
    pub fence: quantity::FencingToken,
    /// Time in which no other daemon takes the lease. Later, no byte of the call may arrive.
    pub valid_for: time::Millis,
}

/// State machine with which one daemon acquires, renews and releases the duty lease.
#[derive(Clone, Debug)]
pub struct DutyLease {
    /// Id and incarnation of this daemon.
    identity: (id::DaemonId, quantity::Incarnation),
    lease_time: time::Millis,
    /// Era of the table as of its last answer.
    era: quantity::StoreEra,
    /// Highest fencing token in any row.
    highest_fence: quantity::FencingToken,
    /// Row as last read or written by this daemon, with its version.
    row: Option<(DutyRow, quantity::RowVersion)>,
    /// When the version of the row was first seen.
    first_seen_at: time::MonotonicTime,
    /// Whether `row` was read, and every write since then was acknowledged.
    is_row_current: bool,
    held_lease: Option<HeldLease>,
    /// Start of the read or write in flight.
    pending_since: Option<time::MonotonicTime>,
    /// Earliest time of the next read while this daemon does not hold the lease.
    next_read_at: time::MonotonicTime,
    /// When a peer last reported that it holds the lease.
    peer_reported_at: Option<time::MonotonicTime>,
    /// Position of the row last reported by a holder, and when it was first reported.
    reported_position: Option<(position::StorePosition, time::MonotonicTime)>,
    /// Whether this daemon is to give up the lease and not take it over again.
    is_releasing: bool,
}

/// Lease held by this daemon.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: quantity::FencingToken,
    /// Start of the last acknowledged write.
    renewed_at: time::MonotonicTime,
}

impl DutyLease {
    /// Creates the state machine of a daemon that does not hold the lease.
    pub fn new(
        daemon: id::DaemonId,
        incarnation: quantity::Incarnation,
        lease_time: time::Millis,
    ) -> Self {
        DutyLease {
            identity: (daemon, incarnation),
            lease_time,
            era: quantity::StoreEra::default(),
            highest_fence: quantity::FencingToken::default(),
            row: None,
            first_seen_at: time::MonotonicTime::default(),
            is_row_current: false,
            held_lease: None,
            pending_since: None,
            next_read_at: time::MonotonicTime::default(),
            peer_reported_at: None,
            reported_position: None,
            is_releasing: false,
        }
    }

    /// Returns the fencing token to act under; `None` if another daemon may hold the lease by now.
    pub fn fencing_token(&self, now: time::MonotonicTime) -> Option<quantity::FencingToken> {
        let lease = self.held_lease.as_ref().filter(|_| !self.is_releasing)?;
        (now.since(lease.renewed_at) < self.hold_time()).then_some(lease.fence)
    }

    /// Returns the permission for one call under the lease; `None` if another daemon may hold the lease by
    /// now.
    pub fn call_permit(&self, now: time::MonotonicTime) -> Option<CallPermit> {
        let fence = self.fencing_token(now)?;
        let renewed_at = self.held_lease.as_ref()?.renewed_at;
        let valid_for = self.expiry_time().saturating_sub(now.since(renewed_at));
        Some(CallPermit { fence, valid_for })
    }

    /// Reads the row not before `first_read_at`, since another daemon that starts at the same time may
    /// report until then that it holds the lease.
    pub fn delay_read(&mut self, first_read_at: time::MonotonicTime) {
        self.next_read_at = first_read_at;
    }

    /// Observes a peer's report that it holds the lease by the row at this position.
    pub fn observe_peer_lease(
        &mut self,
        position: position::StorePosition,
        now: time::MonotonicTime,
    ) {
        if position.era < self.era {
            return;
        }
        self.peer_reported_at = Some(now);
        if self.reported_position.is_none_or(|(reported, _)| reported != position) {
            self.reported_position = Some((position, now));
        }
    }

    /// Returns the position of the row by which this daemon holds the lease, to report it to the peers.
    pub fn held_position(&self) -> Option<position::StorePosition> {
        let lease = self.held_lease.as_ref()?;
        let (_, version) = self.row.as_ref().filter(|(row, _)| row.fence == lease.fence)?;
        Some(position::StorePosition { era: self.era, version: *version })
    }

    /// Returns the first usage window of which no report can have been decided in an earlier era of the
    /// table; `None` if there was no earlier one.
    pub fn undecided_from(&self) -> Option<usage::WindowNumber> {
        self.row.as_ref().and_then(|(row, _)| row.undecided_from)
    }

    /// Stops acting under the lease. The next action releases it in the table.
    pub fn release(&mut self) {
        self.is_releasing = true;
        self.pending_since = None;
    }

    /// Returns the operation that is due now, if any. `takeover_delay` is an extra wait of this
    /// daemon before it takes the lease over, so that the daemons don't all try at once.
    pub fn next_action(
        &mut self,
        now: time::MonotonicTime,
        takeover_delay: time::Millis,
    ) -> Option<DutyAction> {
        if self
            .pending_since
            .is_some_and(|pending_since| now.since(pending_since) < RESPONSE_TIMEOUT)
        {
            return None;
        }
        self.pending_since = None;
        if let Some(lease) = self.held_lease {
            return self.renew_or_release(now, lease);
        }
        if self.is_releasing {
            return None;
        }
        let is_held_by_peer = self
            .peer_reported_at
            .is_some_and(|reported_at| now.since(reported_at) < PEER_REPORT_MAX_AGE);
        if is_held_by_peer || now < self.next_read_at {
            return None;
        }
        self.next_read_at = now + READ_INTERVAL;
        self.pending_since = Some(now);
        if self.is_row_current && self.may_take_over(now, takeover_delay) {
            return Some(self.take_over());
        }
        Some(DutyAction::Read)
    }

    /// Observes the era of an answer of the table. Returns `false` if the answer is of an earlier era.
    fn observe_era(&mut self, era: quantity::StoreEra) -> bool {
        if era > self.era {
            self.era = era;
            self.row = None;
            self.is_row_current = false;
        }
        era == self.era
    }

    /// Handles a completed read of the row in an era of the table that started at `requested_at`.
    pub fn on_row_read(
        &mut self,
        stored_row: Option<(DutyRow, quantity::RowVersion)>,
        era: quantity::StoreEra,
        requested_at: time::MonotonicTime,
        now: time::MonotonicTime,
    ) {
        self.pending_since = None;
        if !self.observe_era(era) {
            return;
        }
        let version = stored_row.as_ref().map(|(_, version)| *version);
        let known_version = self.row.as_ref().map(|(_, version)| *version);
        if !self.is_row_current || version != known_version {
            // If a holder reported this version before, it had been written by then.
            let position = version.map(|version| position::StorePosition { era, version });
            let reported =
                self.reported_position.filter(|(reported, _)| Some(*reported) == position);
            self.first_seen_at = reported.map_or(now, |(_, reported_at)| reported_at.min(now));
        }
        self.is_row_current = true;
        self.row = stored_row;
        let Some(row) = self.valid_row() else {
            // Of this era, somebody has removed it. One of an earlier era may be taken again.
            self.held_lease = self.held_lease.filter(|lease| lease.fence.era() < era);
            return;
        };
        let fence = row.fence;
        let is_own_row = row.holder.as_ref() == Some(&self.identity);
        self.highest_fence = self.highest_fence.max(fence);
        if !is_own_row {
            self.held_lease = None;
        } else if self.held_lease.is_none_or(|lease| lease.fence != fence) {
            // A write of this daemon whose response was lost took effect at an unknown time before
            // this read. Dates the renewal so far back that the daemon does not act under the lease
            // until a further write is acknowledged.
            let renewed_at =
                time::MonotonicTime::new(requested_at.get().saturating_sub(self.lease_time.get()));
            self.held_lease = Some(HeldLease { fence, renewed_at });
        }
    }

    /// Returns the row if it was written in this era.
    fn valid_row(&self) -> Option<&DutyRow> {
        self.row.as_ref().map(|(row, _)| row).filter(|row| row.fence.era() >= self.era)
    }

    /// Handles a failed read.
    pub fn on_read_failed(&mut self) {
        self.pending_since = None;
    }

    /// Handles the outcome of a write that started at `requested_at`, and was answered in an era of the
    /// table; `None` if it was not answered.
    pub fn on_write_outcome(
        &mut self,
        row: DutyRow,
        (outcome, era): (CommitOutcome, Option<quantity::StoreEra>),
        requested_at: time::MonotonicTime,
        now: time::MonotonicTime,
    ) {
        self.pending_since = None;
        let is_current = era.is_some_and(|era| self.observe_era(era));
        // A write of an earlier era may have taken effect on a row that is not the one it was meant for.
        let is_valid = is_current && row.fence.era() >= self.era;
        match if is_valid { outcome } else { CommitOutcome::Unknown } {
            CommitOutcome::Committed(version) => {
                self.highest_fence = self.highest_fence.max(row.fence);
                let is_own_row = row.holder.as_ref() == Some(&self.identity);
                self.held_lease =
                    is_own_row.then_some(HeldLease { fence: row.fence, renewed_at: requested_at });
                self.row = Some((row, version));
                self.first_seen_at = now;
            }
            other => {
                // The next read shows whether the write took effect.
                self.is_row_current = false;
                self.next_read_at = now;
                if other == CommitOutcome::Conflict {
                    self.held_lease = None;
                }
            }
        }
    }

    fn renew_or_release(
        &mut self,
        now: time::MonotonicTime,
        lease: HeldLease,
    ) -> Option<DutyAction> {
        if lease.fence.era() < self.era {
            return self.restore(now, lease);
        }
        let renewal_interval = time::Millis::new(self.lease_time.get() / RENEWALS_PER_LEASE);
        if !self.is_releasing && now.since(lease.renewed_at) < renewal_interval {
            return None;
        }
        self.pending_since = Some(now);
        if !self.is_row_current {
            return Some(DutyAction::Read);
        }
        let (row, version) = self.row.clone()?;
        let holder = (!self.is_releasing).then(|| self.identity.clone());
        let row = DutyRow { holder, renewals: row.renewals.wrapping_add(1), ..row };
        Some(DutyAction::Write {
            expected: Some(version),
            row,
            kind: LeaseWrite::Renewal,
            previous_era: self.era,
        })
    }

    /// Takes a lease again that the table has lost, for as long as no other daemon can have taken it.
    fn restore(&mut self, now: time::MonotonicTime, lease: HeldLease) -> Option<DutyAction> {
        let is_exclusive = now.since(lease.renewed_at) < self.expiry_time();
        if self.is_releasing || !is_exclusive {
            self.held_lease = None;
            return None;
        }
        self.pending_since = Some(now);
        match self.is_row_current {
            true => Some(self.write_takeover(LeaseWrite::Restoration)),
            false => Some(DutyAction::Read),
        }
    }

    fn may_take_over(&self, now: time::MonotonicTime, takeover_delay: time::Millis) -> bool {
        let takeover_wait = match self.valid_row() {
            // Nobody has held the lease before.
            None if self.row.is_none() && self.era == quantity::StoreEra::default() => return true,
            Some(DutyRow { holder: None, .. }) => takeover_delay,
            Some(_) | None => self.expiry_time() + takeover_delay,
        };
        now.since(self.first_seen_at) >= takeover_wait
    }

    fn take_over(&self) -> DutyAction {
        self.write_takeover(LeaseWrite::Takeover)
    }

    fn write_takeover(&self, kind: LeaseWrite) -> DutyAction {
        let known = self.row.as_ref();
        let last_fence = known.map_or(self.highest_fence, |(row, _)| row.fence);
        let fence = self.highest_fence.max(last_fence).next();
        let row = DutyRow {
            holder: Some(self.identity.clone()),
            fence: fence.max(quantity::FencingToken::first_of(self.era)),
            renewals: known.map_or(0, |(row, _)| row.renewals).wrapping_add(1),
            undecided_from: self.valid_row().and_then(|row| row.undecided_from),
        };
        let previous_era = known.map(|(row, _)| row.fence.era()).unwrap_or_default();
        DutyAction::Write { expected: known.map(|(_, version)| *version), row, kind, previous_era }
    }

    /// Returns the time after the start of an acknowledged write for which the holder may act.
    fn hold_time(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() * 4 / 5)
    }

    /// Returns the time after an acknowledged write for which no other daemon takes the lease over.
    fn expiry_time(&self) -> time::Millis {
        self.lease_time + self.takeover_margin()
    }

    /// Returns the extra wait before a takeover. It covers calls that the previous holder sent at
    /// the end of its hold time and that are still in flight.
    fn takeover_margin(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() / 5)
    }
}
