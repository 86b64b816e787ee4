//! Division of the time within which all daemons must know a change of the table.
//!
//! One daemon of a group, the reader, reads the table for the others, its followers. A change is
//! known late if all of this is at its worst at once: the reader dies or loses the table right
//! after a read, so that its last digest is as old as a follower accepts; the follower notices that
//! late; its own read takes long; and a request that it chose a replica for before is sent late.
//! [`ReadBudget::follow_limit`] is what the other parts leave for the age of the read.

use samphiremoor_base::time;

/// Longest time that a daemon's own read takes: a table that takes longer to respond counts as down.
pub const READ_TIME: time::Millis = time::Millis::new(500);
/// Delay after which an expired age is noticed. The processor of a small VM may pause for a part of a
/// tenth of a second.
pub const NOTICE_DELAY: time::Millis = time::Millis::new(50);
/// Time from the choice of a replica until it has the request, with a connection that opens.
pub const SEND_TIME: time::Millis = time::Millis::new(150);
/// Time in which the other followers learn that the next reader has read the table.
pub const TAKEOVER_TIME: time::Millis = time::Millis::new(250);
/// Longest interval between two reads, however late a change may be known.
const MAX_INTERVAL: time::Millis = time::Millis::new(1_500);
/// Thousandths of the time that the age of a read may take at most. More would keep dead replicas in use
/// for long where changes may be known late.
const FOLLOW_PER_MILLE: u64 = 650;
/// Time after an outage of the table for which missing entries are retained. A running replica has
/// registered again by then.
const OUTAGE_GRACE: time::Millis = time::Millis::new(2_000);

/// Time within which all daemons must know a change of the table.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadBudget(time::Millis);

impl Default for ReadBudget {
    /// Returns a budget that leaves all parts their longest time.
    fn default() -> Self {
        ReadBudget(time::Millis::new(10_000))
    }
}

impl ReadBudget {
    /// Creates the budget of a time within which changes must be known.
    pub const fn new(limit: time::Millis) -> Self {
        ReadBudget(limit)
    }

    /// Returns a part of the time, in thousandths, as the interval between two reads.
    pub fn interval(self, per_mille: u64) -> time::Millis {
        time::Millis::new(self.0.get().saturating_mul(per_mille) / 1_000).min(MAX_INTERVAL)
    }

    /// Returns the age of a reader's last read at which a follower reads the table itself.
    pub fn follow_limit(self) -> time::Millis {
        let rest = self.0.saturating_sub(READ_TIME + NOTICE_DELAY + SEND_TIME);
        rest.min(time::Millis::new(self.0.get().saturating_mul(FOLLOW_PER_MILLE) / 1_000))
    }

    /// Returns the age at which the follower that is the next reader does so, before the others.
    pub fn takeover_limit(self) -> time::Millis {
        self.follow_limit().saturating_sub(TAKEOVER_TIME)
    }

    /// Returns the time for which an entry that is missing after an outage is retained. Whoever has read
    /// that it is missing knows of it.
    pub fn outage_grace(self) -> time::Millis {
        OUTAGE_GRACE.min(self.0.saturating_sub(NOTICE_DELAY + NOTICE_DELAY + SEND_TIME))
    }
}
