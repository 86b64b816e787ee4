//! The lease on the duties that one daemon at a time does.
//!
//! The lease is one row. Its holder writes the row anew several times in a lease time; another daemon
//! takes it only after it saw no write for longer than the holder may act without one. The fencing
//! number rises with each holder. No clock of the day is used.

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

/// The holder writes this many times in a lease time.
const RENEWALS: u64 = 3;
/// Time after which the answer to a write is not awaited any more.
const ANSWER_TIME: time::Millis = time::Millis::new(1_500);
/// Standby daemons look at the row this often while no peer says that it holds the lease.
const LOOK_INTERVAL: time::Millis = time::Millis::new(700);
/// A peer's word that it holds the lease is good for this long.
const PEER_BELIEVED: time::Millis = time::Millis::new(1_500);

/// The lease as it lies in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DutyRow {
    /// The holder and its life; absent where the last one gave it away.
    pub holder: Option<(id::DaemonId, quantity::Incarnation)>,
    /// Greater with each holder.
    pub fence: quantity::FencingToken,
    /// Rises with each write of a holder.
    pub renewals: u64,
}

/// What is to be done about the row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyAction {
    /// Read the row.
    Read,
    /// Write the row if it still has this version; absent where it must not exist.
    Write {
        /// The version that the row must have.
        expected: Option<quantity::RowVersion>,
        /// The new row.
        row: DutyRow,
    },
}

/// What the table said of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The row has this version now.
    Committed(quantity::RowVersion),
    /// The row had another version.
    Conflict,
    /// Not known.
    Unknown,
}

/// Keeper of one daemon's claim to the duties.
#[derive(Clone, Debug)]
pub struct DutyLease {
    life: (id::DaemonId, quantity::Incarnation),
    lease_time: time::Millis,
    /// The row as it was last read or written here, with its version.
    row: Option<(DutyRow, quantity::RowVersion)>,
    /// When the version was first seen.
    seen_at: time::MonotonicTime,
    is_read: bool,
    held: Option<HeldDuty>,
    asked_at: Option<time::MonotonicTime>,
    next_look: time::MonotonicTime,
    peer_at: Option<time::MonotonicTime>,
    /// The version that a holder told, and when it was first heard.
    peer_seen: Option<(quantity::RowVersion, time::MonotonicTime)>,
    is_stopping: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeldDuty {
    fence: quantity::FencingToken,
    /// Start of the last write that was acknowledged.
    renewed_at: time::MonotonicTime,
}

impl DutyLease {
    /// A keeper that holds nothing.
    pub fn new(
        daemon: id::DaemonId,
        incarnation: quantity::Incarnation,
        lease_time: time::Millis,
    ) -> Self {
        DutyLease {
            life: (daemon, incarnation),
            lease_time,
            row: None,
            seen_at: time::MonotonicTime::default(),
            is_read: false,
            held: None,
            asked_at: None,
            next_look: time::MonotonicTime::default(),
            peer_at: None,
            peer_seen: None,
            is_stopping: false,
        }
    }

    /// The fencing number to act under; none where the lease may be another's by now.
    pub fn fencing_token(&self, now: time::MonotonicTime) -> Option<quantity::FencingToken> {
        let held = self.held.as_ref().filter(|_| !self.is_stopping)?;
        (now.since(held.renewed_at) < self.act_time()).then_some(held.fence)
    }

    /// A peer says that it holds the lease by a row of this version.
    pub fn observe_peer_lease(&mut self, version: quantity::RowVersion, now: time::MonotonicTime) {
        self.peer_at = Some(now);
        if self.peer_seen.is_none_or(|(known, _)| known != version) {
            self.peer_seen = Some((version, now));
        }
    }

    /// Version of the row by which this daemon holds the lease, for the peers.
    pub fn held_version(&self) -> Option<quantity::RowVersion> {
        self.held.as_ref()?;
        self.row.as_ref().map(|(_, version)| *version)
    }

    /// The daemon stops: the lease is given away.
    pub fn release(&mut self) {
        self.is_stopping = true;
        self.asked_at = None;
    }

    /// What is to be done now, if anything. `patience` is this daemon's extra wait before it takes
    /// the lease, so that not all try at once.
    pub fn next_action(
        &mut self,
        now: time::MonotonicTime,
        patience: time::Millis,
    ) -> Option<DutyAction> {
        if self.asked_at.is_some_and(|at| now.since(at) < ANSWER_TIME) {
            return None;
        }
        self.asked_at = None;
        if let Some(held) = self.held {
            return self.step_holder(now, held);
        }
        if self.is_stopping {
            return None;
        }
        let is_peer_held = self.peer_at.is_some_and(|at| now.since(at) < PEER_BELIEVED);
        if is_peer_held || now < self.next_look {
            return None;
        }
        self.next_look = now + LOOK_INTERVAL;
        self.asked_at = Some(now);
        if self.is_read && self.may_take(now, patience) {
            return Some(self.take());
        }
        Some(DutyAction::Read)
    }

    /// The row was read; the read started at `asked`.
    pub fn on_row_read(
        &mut self,
        found: Option<(DutyRow, quantity::RowVersion)>,
        asked: time::MonotonicTime,
        now: time::MonotonicTime,
    ) {
        self.asked_at = None;
        let version = found.as_ref().map(|(_, version)| *version);
        let known = self.row.as_ref().map(|(_, version)| *version);
        if !self.is_read || version != known {
            // The holder told of this version before: it was written by then.
            let told = self.peer_seen.filter(|(told, _)| Some(*told) == version);
            self.seen_at = told.map_or(now, |(_, at)| at.min(now));
        }
        self.is_read = true;
        self.row = found;
        let Some((row, _)) = &self.row else { return };
        if row.holder.as_ref() != Some(&self.life) {
            self.held = None;
        } else if self.held.is_none() {
            // A write whose answer was lost took effect at an unknown instant before this read: a
            // further write must be acknowledged before anything is done under the lease.
            let renewed_at =
                time::MonotonicTime::new(asked.get().saturating_sub(self.lease_time.get()));
            self.held = Some(HeldDuty { fence: row.fence, renewed_at });
        }
    }

    /// A read failed.
    pub fn on_read_failed(&mut self) {
        self.asked_at = None;
    }

    /// The table answered a write that started at `asked`.
    pub fn on_write_outcome(
        &mut self,
        row: DutyRow,
        answer: CommitOutcome,
        asked: time::MonotonicTime,
        now: time::MonotonicTime,
    ) {
        self.asked_at = None;
        match answer {
            CommitOutcome::Committed(version) => {
                let is_own = row.holder.as_ref() == Some(&self.life);
                self.held = is_own.then_some(HeldDuty { fence: row.fence, renewed_at: asked });
                self.row = Some((row, version));
                self.seen_at = now;
            }
            CommitOutcome::Conflict | CommitOutcome::Unknown => {
                // The next read shows what has taken effect.
                self.is_read = false;
                self.next_look = now;
                if answer == CommitOutcome::Conflict {
                    self.held = None;
                }
            }
        }
    }

    fn step_holder(&mut self, now: time::MonotonicTime, held: HeldDuty) -> Option<DutyAction> {
        let interval = time::Millis::new(self.lease_time.get() / RENEWALS);
        if !self.is_stopping && now.since(held.renewed_at) < interval {
            return None;
        }
        self.asked_at = Some(now);
        if !self.is_read {
            return Some(DutyAction::Read);
        }
        let (row, version) = self.row.clone()?;
        let holder = (!self.is_stopping).then(|| self.life.clone());
        let row = DutyRow { holder, renewals: row.renewals + 1, ..row };
        Some(DutyAction::Write { expected: Some(version), row })
    }

    fn may_take(&self, now: time::MonotonicTime, patience: time::Millis) -> bool {
        let Some((row, _)) = &self.row else { return true };
        let is_free = row.holder.is_none();
        let expiry = if is_free { patience } else { self.lease_time + self.margin() + patience };
        now.since(self.seen_at) >= expiry
    }

    fn take(&self) -> DutyAction {
        let (fence, renewals, expected) = match &self.row {
            Some((row, version)) => (row.fence.next(), row.renewals + 1, Some(*version)),
            None => (quantity::FencingToken::new(1), 1, None),
        };
        let row = DutyRow { holder: Some(self.life.clone()), fence, renewals };
        DutyAction::Write { expected, row }
    }

    /// Time after the start of an acknowledged write in which the holder may act.
    fn act_time(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() * 4 / 5)
    }

    /// Covers calls that the holder sent at the end of its time and that are still on their way.
    fn margin(&self) -> time::Millis {
        time::Millis::new(self.lease_time.get() / 5)
    }
}
