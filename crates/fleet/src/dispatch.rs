//! What became of each send of one request, and what may be said of it.

use crate::policy;

/// How one send of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchOutcome {
    /// Nothing was sent, or the replica said that it did not run the request.
    NotRun,
    /// Bytes were sent and no answer settles what became of them.
    MayHaveRun,
    /// The replica answered: it ran the request.
    Ran,
}

/// What is known of all sends of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchTracker {
    kind: policy::RouteKind,
    max_attempts: u32,
    sent: u32,
    doubtful: u32,
}

impl DispatchTracker {
    /// A request that was not sent yet.
    pub fn new(kind: policy::RouteKind, max_attempts: u32) -> Self {
        DispatchTracker { kind, max_attempts: max_attempts.max(1), sent: 0, doubtful: 0 }
    }

    /// Notes that a send begins; from here on the request may run.
    pub fn begin_attempt(&mut self) {
        self.sent += 1;
        self.doubtful += 1;
    }

    /// Notes how the last send ended.
    pub fn end_attempt(&mut self, end: DispatchOutcome) {
        if end == DispatchOutcome::NotRun {
            self.doubtful -= 1;
        }
    }

    /// Takes back a send of which no byte left this daemon: it costs no attempt.
    pub fn cancel_attempt(&mut self) {
        self.sent -= 1;
        self.doubtful -= 1;
    }

    /// Notes that the run of the last send goes on at another replica with its memory: the next send is
    /// no further attempt, and the run stays one that may have run.
    pub fn migrate(&mut self) {
        self.sent -= 1;
    }

    /// Whether a further send is allowed: the attempts are not used up, and another run does no
    /// harm or is excluded.
    pub fn may_send(&self) -> bool {
        let is_safe = self.kind.is_repeatable() || self.doubtful == 0;
        self.sent < self.max_attempts && is_safe
    }

    /// Whether it is certain that the request has not run.
    pub fn is_known_not_run(&self) -> bool {
        self.doubtful == 0
    }

    /// Sends so far.
    pub fn attempts(&self) -> u32 {
        self.sent
    }
}
