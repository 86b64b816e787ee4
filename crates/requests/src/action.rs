//! Actions that the request state machine returns.

use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use smallvec::SmallVec;

use crate::input;

/// Replicas on which earlier attempts of a request failed.
pub type ExcludedReplicas = SmallVec<[id::ReplicaId; 2]>;

/// Actions that one step of the machine returns.
pub type ActionList = SmallVec<[RequestAction; 2]>;

/// Instruction to dispatch one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchCommand {
    /// Number of the attempt.
    pub attempt: input::AttemptNumber,
    /// Replica that the attempt is sent to.
    pub replica: id::ReplicaId,
    /// Number of tokens that the caller already has; the response resumes after them.
    pub continue_from: quantity::TokenCount,
    /// Time left until the deadline of the request.
    pub remaining: time::Millis,
}

/// Why received data is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropCause {
    /// The token was already delivered.
    Duplicate,
    /// The data belongs to an attempt that is no longer the current one.
    StaleAttempt,
    /// The data names another request.
    OtherRequest,
}

impl DropCause {
    /// Returns the metric label.
    pub const fn label(self) -> &'static str {
        match self {
            DropCause::Duplicate => "duplicate",
            DropCause::StaleAttempt => "old-attempt",
            DropCause::OtherRequest => "other-request",
        }
    }
}

/// Why a request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EndCause {
    /// The upstream's response is complete.
    Completed,
    /// The request was refused, or it failed and is not retried.
    Refused(reason::RefusalReason),
    /// No caller waits for the response any more.
    Abandoned,
    /// Another daemon takes over the request.
    HandedOver,
}

/// Final result of a request; each request has exactly one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestEnd {
    /// Outcome that is reported to the caller.
    pub outcome: outcome::CallOutcome,
    /// Why the request ended.
    pub cause: EndCause,
    /// Time after which a retry by the caller can succeed; `None` if it cannot succeed.
    pub retry_after: Option<time::Millis>,
}

/// Action that the user of the machine carries out for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Writes the claim; the result is passed in as `Claimed` or `ClaimRefused`.
    WriteClaim,
    /// Chooses a replica other than these; the result is passed in as `ReplicaChosen` or
    /// `NoReplica`.
    ChooseReplica(ExcludedReplicas),
    /// Sends the request on a new connection, which replaces that of the previous attempt.
    Dispatch(DispatchCommand),
    /// Stores the token at this offset and forwards it to the caller.
    DeliverToken(quantity::TokenCount),
    /// Drops the received data and counts the drop.
    Drop(DropCause),
    /// Cancels the attempt: closes its connection and sends a cancel to the replica.
    CancelAttempt {
        /// The attempt.
        attempt: input::AttemptNumber,
        /// Replica that the attempt was sent to.
        replica: id::ReplicaId,
    },
    /// Suspends the replica: for a while it is chosen only if no other replica is available.
    SuspendReplica(id::ReplicaId),
    /// Counts a retry.
    CountRetry(reason::RetryReason),
    /// Counts a stream that resumes at its offset on another connection.
    CountStreamMove,
    /// Sets a timer; `TimerFired` is passed in at this time.
    SetTimer(time::MonotonicTime),
    /// Ends the request and reports the result to the caller.
    Finish(RequestEnd),
}
