//! Whether this daemon may send a request to a replica now, and if not, until when.
//!
//! Five things keep requests away from a replica: it leaves, it has asked this daemon for a pause,
//! the limit that it names leaves this daemon no permit, it was unreachable, or it was silent. Each is
//! observed elsewhere; all who send ask here.

use std::fmt;

use samphiremoor_base::time;

use crate::clock_instant;
use crate::limit;
use crate::replica;

/// First backoff of an unreachable replica, in which it receives no requests. It is short, as a
/// single reset connection proves little.
const MIN_BACKOFF: time::Millis = time::Millis::new(250);
/// Maximum backoff of an unreachable replica.
const MAX_BACKOFF: time::Millis = time::Millis::new(4_000);
/// Time for which a silent replica receives no requests while others are available. A replica that
/// pauses goes on after about a second.
const SILENCE_BACKOFF: time::Millis = time::Millis::new(1_000);

/// Why a replica may get no request from this daemon now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldReason {
    /// The replica leaves.
    Leaving,
    /// The limit that the replica names leaves this daemon no permit now.
    Limited,
    /// The replica was unreachable.
    Unreachable,
    /// The replica was silent. It may get a request if no other one may.
    Silent,
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HoldReason::Leaving => "leaving",
            HoldReason::Limited => "limited",
            HoldReason::Unreachable => "unreachable",
            HoldReason::Silent => "silent",
        })
    }
}

/// Whether a replica may get a request from this daemon now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendVerdict {
    /// It may.
    Allowed,
    /// It may not.
    Held {
        /// The reason that lasts longest.
        reason: HoldReason,
        /// When it ends; `None` if this start of the replica gets no request any more.
        until: Option<time::MonotonicTime>,
    },
}

impl SendVerdict {
    /// Returns the reason that keeps the request away, unless it is the replica's silence.
    pub fn firm_reason(self) -> Option<HoldReason> {
        match self {
            SendVerdict::Allowed | SendVerdict::Held { reason: HoldReason::Silent, .. } => None,
            SendVerdict::Held { reason, .. } => Some(reason),
        }
    }

    /// Returns the verdict that holds longer. A silence yields to every other reason.
    fn or_longer(self, other: SendVerdict) -> SendVerdict {
        match (self, other) {
            (SendVerdict::Allowed, _) => other,
            (_, SendVerdict::Allowed) => self,
            (SendVerdict::Held { reason: HoldReason::Silent, .. }, _) => other,
            (_, SendVerdict::Held { reason: HoldReason::Silent, .. }) => self,
            (
                SendVerdict::Held { until: Some(until), .. },
                SendVerdict::Held { until: Some(other_until), .. },
            ) => {
                if until >= other_until {
                    self
                } else {
                    other
                }
            }
            (SendVerdict::Held { until: None, .. }, _) => self,
            (_, SendVerdict::Held { until: None, .. }) => other,
        }
    }
}

/// What this daemon has observed of a replica that keeps requests away for a while.
#[derive(Clone, Copy, Debug)]
pub struct SendState {
    /// When the replica may receive requests again after it was unreachable.
    backoff_until: Option<time::MonotonicTime>,
    /// Backoff that the next failed contact starts.
    next_backoff: time::Millis,
    /// When the replica may be preferred again after it was silent.
    silence_until: Option<time::MonotonicTime>,
}

impl Default for SendState {
    fn default() -> Self {
        SendState { backoff_until: None, next_backoff: MIN_BACKOFF, silence_until: None }
    }
}

impl SendState {
    /// Observes that the replica is unreachable. Starts a backoff, which doubles each time. During a
    /// backoff, further observations are of the same fault and don't extend it.
    pub fn on_unreachable(&mut self, now: time::MonotonicTime) {
        if self.backoff_until.is_some_and(|until| now < until) {
            return;
        }
        self.backoff_until = Some(now + self.next_backoff);
        let doubled_backoff = time::Millis::new(self.next_backoff.get() * 2);
        self.next_backoff = doubled_backoff.min(MAX_BACKOFF);
    }

    /// Observes that the replica served a request, which ends its backoff.
    pub fn on_success(&mut self) {
        self.backoff_until = None;
        self.next_backoff = MIN_BACKOFF;
    }

    /// Observes that the replica has sent no data for a request for too long.
    pub fn on_silent(&mut self, now: time::MonotonicTime) {
        self.silence_until = Some(now + SILENCE_BACKOFF);
    }

    /// Observes that the replica sent data, which ends its silence.
    pub fn on_data(&mut self) {
        self.silence_until = None;
    }

    /// Returns whether a request may be sent, as far as these observations tell.
    pub fn verdict(&self, now: time::MonotonicTime) -> SendVerdict {
        let held = |reason, until: Option<time::MonotonicTime>| match until {
            Some(until) if now < until => SendVerdict::Held { reason, until: Some(until) },
            _ => SendVerdict::Allowed,
        };
        let unreachable = held(HoldReason::Unreachable, self.backoff_until);
        unreachable.or_longer(held(HoldReason::Silent, self.silence_until))
    }
}

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

    /// Returns the moment on the monotonic clock.
    pub fn now(&self) -> time::MonotonicTime {
        self.instant.now
    }

    /// Returns whether a replica may get a request now.
    pub fn verdict(&self, replica: &replica::KnownReplica) -> SendVerdict {
        let wait = self.limits.wait(&replica.entry.id, self.instant);
        let limited = match wait.get() {
            0 => SendVerdict::Allowed,
            _ => SendVerdict::Held {
                reason: HoldReason::Limited,
                until: Some(self.instant.now + wait),
            },
        };
        replica.verdict(self.instant.now).or_longer(limited)
    }

    /// Returns whether a replica that a request was chosen for may still get it. The request counts
    /// already, so that only what the replica asked for since keeps it away.
    pub fn chosen_verdict(&self, replica: &replica::KnownReplica) -> SendVerdict {
        match replica.is_leaving() {
            true => SendVerdict::Held { reason: HoldReason::Leaving, until: None },
            false => SendVerdict::Allowed,
        }
    }
}
