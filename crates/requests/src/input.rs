//! What can happen to a request.

use std::fmt;

use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;

/// Number of a dispatch of one request, counted from 1.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptNumber(u32);

impl AttemptNumber {
    /// Wraps a number.
    pub const fn new(value: u32) -> Self {
        AttemptNumber(value)
    }

    /// The plain number.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// The number of the following dispatch.
    pub const fn next(self) -> Self {
        AttemptNumber(self.0.saturating_add(1))
    }
}

impl fmt::Display for AttemptNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why a dispatch brought no whole answer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptFailure {
    /// No connection was made: the upstream got no byte.
    ConnectFailed,
    /// The upstream said that it did not run the call.
    RefusedNotRun,
    /// The upstream answered with a server error.
    ServerError,
    /// The connection closed or broke before the answer was whole.
    ConnectionClosed,
    /// The connection was silent for longer than the limit.
    ConnectionSilent,
    /// The answer belongs to another request or can't be read.
    InvalidResponse,
    /// The replica is leaving and the answer is moved while it can still be asked.
    ReplicaLeaving,
}

impl AttemptFailure {
    /// Whether it is certain that the upstream did not run the call.
    pub const fn is_not_run(self) -> bool {
        matches!(self, AttemptFailure::ConnectFailed | AttemptFailure::RefusedNotRun)
    }

    /// The reason under which the next attempt is counted.
    pub const fn retry_reason(self) -> reason::RetryReason {
        match self {
            AttemptFailure::ConnectFailed => reason::RetryReason::ConnectFailed,
            AttemptFailure::RefusedNotRun => reason::RetryReason::RefusedByUpstream,
            AttemptFailure::ServerError | AttemptFailure::InvalidResponse => {
                reason::RetryReason::UpstreamError
            }
            AttemptFailure::ConnectionClosed => reason::RetryReason::ConnectionClosed,
            AttemptFailure::ConnectionSilent => reason::RetryReason::ConnectionSilent,
            AttemptFailure::ReplicaLeaving => reason::RetryReason::ReplicaLeaving,
        }
    }
}

/// Something that happened to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestInput {
    /// The request was accepted; comes first and once.
    Start,
    /// The claim was written.
    Claimed,
    /// No claim was written; the outcome says whether an earlier run is possible.
    ClaimRefused {
        /// Why.
        reason: reason::RefusalReason,
        /// What is known of earlier runs.
        outcome: outcome::CallOutcome,
        /// Time after which another try can help.
        retry_after: Option<time::Millis>,
    },
    /// A replica was chosen.
    ReplicaChosen(id::ReplicaId),
    /// No replica can take the request now.
    NoReplica {
        /// Time after which another try can help.
        retry_after: Option<time::Millis>,
    },
    /// The head of the answer arrived.
    HeadReceived(AttemptNumber),
    /// A token arrived.
    TokenReceived {
        /// Dispatch that it answers.
        attempt: AttemptNumber,
        /// Index of the token in the whole answer.
        offset: quantity::TokenCount,
    },
    /// An answer came that names another request.
    ForeignResponse(AttemptNumber),
    /// The answer is whole.
    ResponseComplete(AttemptNumber),
    /// A dispatch failed.
    AttemptFailed {
        /// The dispatch.
        attempt: AttemptNumber,
        /// How it failed.
        failure: AttemptFailure,
    },
    /// A time that was asked for has come.
    TimerFired,
    /// Nobody waits for the answer any more.
    Abandoned,
    /// The daemon ends, and another one goes on with the request.
    HandedOver,
}
