//! Tracks the dispatch attempts of one request, and whether the request may have run.

use crate::policy;

/// Outcome of one dispatch attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DispatchOutcome {
    /// Nothing was sent, or the replica responded that it did not run the request.
    NotRun,
    /// Bytes were sent, and no response tells whether the replica ran the request.
    MayHaveRun,
    /// The replica responded that it ran the request.
    Ran,
}

/// How a request ends for which no response of a replica can be delivered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnansweredEnd {
    /// The response has begun and is cut off, since nothing but the rest of it can follow.
    CutOff,
    /// The caller is told that the request did not run.
    NotRun,
    /// The caller is told that the request failed and may have run.
    Failed,
    /// The caller is told that the deadline passed and the request may have run.
    TimedOut,
}

/// Request to which a response belongs, as far as the response tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseOrigin {
    /// The response identifies the request that was sent.
    SameRequest,
    /// The response does not belong to the request that was sent.
    OtherRequest,
    /// The response is a refusal that identifies no request.
    UnidentifiedRefusal,
    /// The response identifies no request and says that a different replica has the address.
    UnidentifiedMismatch,
}

/// What is done with a response that arrives while the response to a request is awaited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseDisposition {
    /// It is the response to the request.
    Accept,
    /// It is dropped, and the next response is read.
    Skip,
    /// Nothing on this connection tells any more whether the request ran.
    Abandon,
}

impl ResponseOrigin {
    /// Returns what is done with the response. `is_first` says whether it is the first response on
    /// its connection.
    ///
    /// A late second refusal of an earlier request looks like a refusal of this one, which would
    /// then be reported as not run while it runs. Only a connection without an earlier request
    /// rules that out.
    pub fn disposition(self, is_first: bool) -> ResponseDisposition {
        match self {
            ResponseOrigin::SameRequest => ResponseDisposition::Accept,
            ResponseOrigin::OtherRequest => ResponseDisposition::Skip,
            ResponseOrigin::UnidentifiedRefusal | ResponseOrigin::UnidentifiedMismatch => {
                if is_first {
                    ResponseDisposition::Accept
                } else {
                    ResponseDisposition::Abandon
                }
            }
        }
    }
}

/// Attempts of one request, and whether one of them may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchTracker {
    kind: policy::RouteKind,
    max_attempts: u32,
    /// Attempts so far.
    attempts: u32,
    /// Attempts that ran or may have run.
    possible_runs: u32,
}

impl DispatchTracker {
    /// Creates the tracker of a request that was not sent yet.
    pub fn new(kind: policy::RouteKind, max_attempts: u32) -> Self {
        DispatchTracker { kind, max_attempts: max_attempts.max(1), attempts: 0, possible_runs: 0 }
    }

    /// Starts an attempt. From here on the request may run.
    pub fn begin_attempt(&mut self) {
        self.attempts += 1;
        self.possible_runs += 1;
    }

    /// Ends the last attempt with its outcome.
    pub fn end_attempt(&mut self, outcome: DispatchOutcome) {
        if outcome == DispatchOutcome::NotRun {
            self.possible_runs -= 1;
        }
    }

    /// Cancels the last attempt, which did not reach the chosen replica. It does not count as an
    /// attempt.
    pub fn cancel_attempt(&mut self) {
        self.attempts -= 1;
        self.possible_runs -= 1;
    }

    /// Migrates the run of the last attempt to another replica, together with its KV cache. The
    /// next send continues this attempt, and the request still counts as one that may have run.
    pub fn migrate(&mut self) {
        self.attempts -= 1;
    }

    /// Whether a further attempt is allowed: attempts are left, and a second run is either harmless
    /// or impossible.
    pub fn may_send(&self) -> bool {
        let is_safe = self.kind.is_repeatable() || self.possible_runs == 0;
        self.attempts < self.max_attempts && is_safe
    }

    /// Whether it is certain that the request has not run.
    pub fn is_known_not_run(&self) -> bool {
        self.possible_runs == 0
    }

    /// Returns how the request ends if no response of a replica can be delivered.
    pub fn end_unanswered(
        &self,
        has_response_begun: bool,
        is_deadline_passed: bool,
    ) -> UnansweredEnd {
        match (has_response_begun, self.is_known_not_run(), is_deadline_passed) {
            (true, _, _) => UnansweredEnd::CutOff,
            (false, true, _) => UnansweredEnd::NotRun,
            (false, false, true) => UnansweredEnd::TimedOut,
            (false, false, false) => UnansweredEnd::Failed,
        }
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }
}
