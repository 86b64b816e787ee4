//! Copies of the replica entries of the daemon that reads the table for others.
//!
//! A copy is kept while the daemon that was copied names the same [`EntriesStamp`]. The fingerprints
//! of the entries on both sides are compared besides, which shows a difference that no stamp shows.

use std::fmt;
use std::iter;
use std::num;
use std::ops;
use std::str;

use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

/// Pause before entries are copied again that differ from their source with the same stamp: a digest
/// interval, in which the source reports an entry that changed in place. The pause doubles with each
/// further copy that differs.
const FIRST_PAUSE: time::Millis = time::Millis::new(500);
/// Longest pause between such copies. 6,800 entries take 0.6 MB, and a daemon may spend 21 KB/s on
/// control.
const MAX_PAUSE: time::Millis = time::Millis::new(30_000);

/// Names one state of the replica entries of a daemon.
///
/// The version counts from 0 in each process, so it means nothing without the process.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntriesStamp {
    /// The daemon.
    pub daemon: id::DaemonId,
    /// Incarnation of the daemon.
    pub incarnation: quantity::Incarnation,
    /// Version of the entries within the incarnation.
    pub version: u64,
}

impl EntriesStamp {
    /// Whether both stamps are of one process.
    fn is_of_process(&self, other: &EntriesStamp) -> bool {
        (&self.daemon, self.incarnation) == (&other.daemon, other.incarnation)
    }
}

impl fmt::Display for EntriesStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.daemon, self.incarnation, self.version)
    }
}

/// Fingerprint of replica entries, whatever their order: the sum of those of the entries.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntriesFingerprint(u64);

impl EntriesFingerprint {
    /// Wraps a hash.
    pub const fn new(hash: u64) -> Self {
        EntriesFingerprint(hash)
    }
}

impl ops::Add for EntriesFingerprint {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        EntriesFingerprint(self.0.wrapping_add(other.0))
    }
}

impl ops::Sub for EntriesFingerprint {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        EntriesFingerprint(self.0.wrapping_sub(other.0))
    }
}

impl iter::Sum for EntriesFingerprint {
    fn sum<I: Iterator<Item = Self>>(fingerprints: I) -> Self {
        fingerprints.fold(EntriesFingerprint::default(), ops::Add::add)
    }
}

impl fmt::Display for EntriesFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for EntriesFingerprint {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
        u64::from_str_radix(text, 16).map(EntriesFingerprint)
    }
}

/// Entries that a daemon offers to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OfferedEntries {
    /// State of the entries.
    pub stamp: EntriesStamp,
    /// Their fingerprint; `None` if the daemon is of an earlier release, which sends none.
    pub fingerprint: Option<EntriesFingerprint>,
}

/// Whether offered entries are to be copied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyDecision {
    /// The copy is current.
    Keep,
    /// The offered entries are newer than the copy or of another process.
    Copy,
    /// The copy differs from the offered entries, although their stamp is that of the copy.
    Repair,
}

/// The entries that a daemon copied last.
#[derive(Clone, Debug, Default)]
pub struct EntryCopy {
    /// Stamp of the copied entries; `None` if there is no copy.
    stamp: Option<EntriesStamp>,
    /// Repairs with this stamp.
    repairs: u32,
    copied_at: time::MonotonicTime,
}

impl EntryCopy {
    /// Decides about offered entries. `local` is the fingerprint of this daemon's entries, and
    /// `matches_table` tells whether none of these is only retained through an outage of the table.
    pub fn decide(
        &self,
        offered: &OfferedEntries,
        local: EntriesFingerprint,
        matches_table: impl FnOnce() -> bool,
        now: time::MonotonicTime,
    ) -> CopyDecision {
        let Some(stamp) = &self.stamp else { return CopyDecision::Copy };
        if *stamp != offered.stamp {
            // The copy may be newer than the digest that offers the entries.
            let is_newer =
                stamp.is_of_process(&offered.stamp) && stamp.version > offered.stamp.version;
            return if is_newer { CopyDecision::Keep } else { CopyDecision::Copy };
        }
        let differs = offered.fingerprint.is_some_and(|offered| offered != local);
        match differs && now.since(self.copied_at) >= self.pause() && matches_table() {
            true => CopyDecision::Repair,
            false => CopyDecision::Keep,
        }
    }

    /// Records that entries with a stamp were copied after a decision.
    pub fn on_copied(
        &mut self,
        stamp: EntriesStamp,
        decision: CopyDecision,
        now: time::MonotonicTime,
    ) {
        self.repairs = match decision {
            CopyDecision::Repair => self.repairs.saturating_add(1),
            CopyDecision::Keep | CopyDecision::Copy => 0,
        };
        self.stamp = Some(stamp);
        self.copied_at = now;
    }

    /// Returns the time after the last copy in which it is not repaired.
    fn pause(&self) -> time::Millis {
        let doubled = FIRST_PAUSE.get() << self.repairs.min(16);
        time::Millis::new(doubled).min(MAX_PAUSE)
    }
}
