//! Inputs of the request state machine.

use std::fmt;

use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;

/// Number of an attempt to serve one request, counted from 1. Each attempt is one dispatch.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptNumber(u32);

impl AttemptNumber {
    /// Creates an attempt number from an integer.
    pub const fn new(value: u32) -> Self {
        AttemptNumber(value)
    }

    /// Returns the number as an integer.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the number of the next attempt.
    pub const fn next(self) -> Self {
        AttemptNumber(self.0.saturating_add(1))
    }
}

impl fmt::Display for AttemptNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Why an attempt did not yield a complete response.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum AttemptFailure {
    /// The connection could not be established, so the upstream received no byte.
    ConnectFailed,
    /// The upstream refused the call and stated that it did not run it.
    RefusedNotRun,
    /// The upstream responded with a status that promises that it did not run the call, and did not
    /// state that it did not run it.
    UnconfirmedRefusal,
    /// The upstream responded with a server error.
    ServerError,
    /// The connection closed or broke before the response was complete.
    ConnectionClosed,
    /// The connection stayed open but delivered no data for too long; the user of the machine sets
    /// the limit.
    ConnectionSilent,
    /// The response belongs to another request, cannot be parsed or skips tokens.
    InvalidResponse,
    /// The replica crashed, perhaps under this call, which is not sent to another one.
    ReplicaCrashed,
    /// The replica is leaving; the request moves to another replica while this one still responds.
    ReplicaLeaving,
}

impl AttemptFailure {
    /// Returns whether the failure proves that the upstream did not run the call.
    pub const fn proves_not_run(self) -> bool {
        matches!(self, AttemptFailure::ConnectFailed | AttemptFailure::RefusedNotRun)
    }

    /// Returns the reason under which the next attempt is counted.
    pub const fn retry_reason(self) -> reason::RetryReason {
        match self {
            AttemptFailure::ConnectFailed => reason::RetryReason::ConnectFailed,
            AttemptFailure::RefusedNotRun => reason::RetryReason::RefusedByUpstream,
            AttemptFailure::UnconfirmedRefusal => reason::RetryReason::UnconfirmedRefusal,
            AttemptFailure::ServerError | AttemptFailure::InvalidResponse => {
                reason::RetryReason::UpstreamError
            }
            AttemptFailure::ConnectionClosed | AttemptFailure::ReplicaCrashed => {
                reason::RetryReason::ConnectionClosed
            }
            AttemptFailure::ConnectionSilent => reason::RetryReason::ConnectionSilent,
            AttemptFailure::ReplicaLeaving => reason::RetryReason::ReplicaLeaving,
        }
    }
}

/// Event that the request state machine reacts to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestInput {
    /// The request was accepted. This is the first input and comes once.
    Start,
    /// The claim on the call was written.
    Claimed,
    /// No claim was written; `outcome` says whether an earlier run of the call is possible.
    ClaimRefused {
        /// Why the claim was refused.
        reason: reason::RefusalReason,
        /// What is known about earlier runs of the call.
        outcome: outcome::CallOutcome,
        /// Time after which a retry by the caller can succeed; `None` if it cannot succeed.
        retry_after: Option<time::Millis>,
    },
    /// A replica was chosen for the next attempt.
    ReplicaChosen(id::ReplicaId),
    /// No replica can take the request at present.
    NoReplica {
        /// Time after which a retry by the caller can succeed; `None` for the policy's default.
        retry_after: Option<time::Millis>,
    },
    /// The head of the response was received.
    HeadReceived(AttemptNumber),
    /// A token was received.
    TokenReceived {
        /// Attempt that delivered the token.
        attempt: AttemptNumber,
        /// Index of the token in the whole response.
        offset: quantity::TokenCount,
    },
    /// A response that names another request was received.
    ForeignResponse(AttemptNumber),
    /// The response is complete.
    ResponseComplete(AttemptNumber),
    /// An attempt failed.
    AttemptFailed {
        /// The failed attempt.
        attempt: AttemptNumber,
        /// How the attempt failed.
        failure: AttemptFailure,
    },
    /// An attempt has no complete response after the usual time. It still waits for one, because its
    /// call may not be sent elsewhere.
    AttemptOverdue(AttemptNumber),
    /// A timer that the machine requested has expired.
    TimerFired,
    /// No caller waits for the response any more.
    Abandoned,
    /// This daemon is stopping, and another daemon takes over the request.
    HandedOver,
}
