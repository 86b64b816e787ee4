//! Whether this daemon may send a request to a replica now, and if not, until when.
//!
//! Five things keep requests away from a replica: it leaves, it has asked this daemon for a pause,
//! the limit that it names leaves this daemon no permit, it was unreachable, or it was silent. Each is
//! observed elsewhere; all who send ask here.

use samphiremoor_base::time;

use crate::clock_instant;
use crate::limit;
use crate::replica;
use crate::selection;
use crate::send_state;

/// Answers for one moment whether requests may be sent to replicas.
#[derive(Clone, Copy, Debug)]
pub struct SendGate<'a> {
    limits: &'a limit::LimitTable,
    instant: clock_instant::ClockInstant,
}

impl<'a> SendGate<'a> {
    /// Creates the gate of this moment, with the limits that replicas name.
    pub fn new(limits: &'a limit::LimitTable, instant: clock_instant::ClockInstant) -> Self {
        SendGate { limits, instant }
    }

    /// Returns whether a replica that a request was chosen for may still get it. The request counts
    /// already, so that only what the replica asked for since keeps it away.
    pub fn chosen_verdict(&self, replica: &replica::KnownReplica) -> send_state::SendVerdict {
        if replica.is_leaving() {
            return send_state::SendVerdict::Held {
                reason: send_state::HoldReason::Leaving,
                until: None,
            };
        }
        match replica.paused_until(self.instant.now) {
            Some(until) => send_state::SendVerdict::Held {
                reason: send_state::HoldReason::Paused,
                until: Some(until),
            },
            None => send_state::SendVerdict::Allowed,
        }
    }
}

impl selection::ReplicaGate for SendGate<'_> {
    fn now(&self) -> time::MonotonicTime {
        self.instant.now
    }

    fn verdict(&self, replica: &replica::KnownReplica) -> send_state::SendVerdict {
        let wait = self.limits.wait(&replica.entry.id, self.instant);
        let limited = match wait.get() {
            0 => send_state::SendVerdict::Allowed,
            _ => send_state::SendVerdict::Held {
                reason: send_state::HoldReason::Limited,
                until: Some(self.instant.now + wait),
            },
        };
        replica.verdict(self.instant.now).or_longer(limited)
    }
}
