//! Delay of messages between two clocks whose difference is not known.
//!
//! A message may wait before it is sent, on its way, and before it is read: its sender or its recipient
//! pauses, or a queue is full. What it says of ages is older by then. The fastest of the recent messages
//! shows the difference of the clocks, and how much later than that one another message came.

use samphiremoor_base::time;

/// Time after which the fastest message is forgotten, at least. Clocks drift apart by some milliseconds
/// in a minute.
const MEMORY: time::Millis = time::Millis::new(30_000);

/// Estimate of the delay of messages of one sender.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitEstimate {
    /// Smallest differences of the clocks in the present and in the previous period.
    smallest: (Option<i64>, Option<i64>),
    /// When the present period began.
    period_began_at: time::MonotonicTime,
}

impl TransitEstimate {
    /// Observes a message that was sent at `sent_at` by its sender's clock, and returns by how much more
    /// than the fastest one it was delayed.
    pub fn observe(
        &mut self,
        sent_at: time::Millis,
        received_at: time::MonotonicTime,
    ) -> time::Millis {
        let offset = received_at.get() as i64 - sent_at.get() as i64;
        if received_at.since(self.period_began_at) >= MEMORY {
            self.smallest = (None, self.smallest.0);
            self.period_began_at = received_at;
        }
        let present = self.smallest.0.map_or(offset, |smallest| smallest.min(offset));
        self.smallest.0 = Some(present);
        let fastest = self.smallest.1.map_or(present, |previous| previous.min(present));
        time::Millis::new(u64::try_from(offset - fastest).unwrap_or(0))
    }
}
