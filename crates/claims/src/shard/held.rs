//! Sends that came before the shard was open.

use std::mem;

use samphiremoor_base::time;

use crate::step;

/// The sends, in the order in which they came.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldSends {
    sends: Vec<HeldSend>,
}

#[derive(Clone, Debug)]
struct HeldSend {
    send: step::CallSend,
    expires: time::MonotonicTime,
}

impl HeldSends {
    /// Holds a send until the shard is open, but no longer than `expires`.
    pub(super) fn push(&mut self, send: step::CallSend, expires: time::MonotonicTime) {
        self.sends.push(HeldSend { send, expires });
    }

    /// When the next send expires.
    pub(super) fn next_expiry(&self) -> Option<time::MonotonicTime> {
        self.sends.iter().map(|held| held.expires).min()
    }

    /// Takes every send.
    pub(super) fn take_all(&mut self) -> Vec<step::CallSend> {
        let sends = mem::take(&mut self.sends);
        sends.into_iter().map(|held| held.send).collect()
    }

    /// Takes the sends that have expired.
    pub(super) fn take_due(&mut self, now: time::MonotonicTime) -> Vec<step::CallSend> {
        let due = self.sends.extract_if(.., |held| held.expires <= now);
        due.map(|held| held.send).collect()
    }
}
