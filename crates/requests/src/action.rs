//! What the shell is told to do for a request.

use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use smallvec::SmallVec;

use crate::input;

/// Replicas that a request already failed on.
pub type ExcludedReplicas = SmallVec<[id::ReplicaId; 2]>;

/// Actions of one step.
pub type ActionList = SmallVec<[RequestAction; 2]>;

/// One dispatch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchCommand {
    /// Its number.
    pub attempt: input::AttemptNumber,
    /// Where it goes.
    pub replica: id::ReplicaId,
    /// Tokens that the caller has; the answer goes on after them.
    pub continue_from: quantity::TokenCount,
    /// Time that is left to the request.
    pub remaining: time::Millis,
}

/// Why something that arrived is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropCause {
    /// The token was delivered before.
    Duplicate,
    /// It answers a dispatch that was given up.
    StaleAttempt,
    /// It names another request.
    OtherRequest,
}

impl DropCause {
    /// The metric label.
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
    /// The upstream's answer is whole.
    Completed,
    /// It was refused or given up.
    Refused(reason::RefusalReason),
    /// Nobody waits for the answer any more.
    Abandoned,
    /// Another daemon goes on with it.
    HandedOver,
}

/// The single end of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestEnd {
    /// What the caller is told.
    pub outcome: outcome::CallOutcome,
    /// Why it ended.
    pub cause: EndCause,
    /// Time after which another try can help.
    pub retry_after: Option<time::Millis>,
}

/// Something that the shell does for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestAction {
    /// Write the claim, then hand in `Claimed` or `ClaimRefused`.
    WriteClaim,
    /// Choose a replica but for these, then hand in `ReplicaChosen` or `NoReplica`.
    ChooseReplica(ExcludedReplicas),
    /// Send the request on a fresh connection, in place of the last dispatch.
    Dispatch(DispatchCommand),
    /// Keep the token at this offset and pass it on to the caller.
    DeliverToken(quantity::TokenCount),
    /// Drop what arrived, and count it.
    Drop(DropCause),
    /// Give the dispatch up: close its connection and tell the replica.
    CancelAttempt {
        /// The dispatch.
        attempt: input::AttemptNumber,
        /// Its replica.
        replica: id::ReplicaId,
    },
    /// Send no request to the replica for a while.
    SuspendReplica(id::ReplicaId),
    /// Count a retry.
    CountRetry(reason::RetryReason),
    /// Count a stream that goes on at its offset on another connection.
    CountStreamMove,
    /// Hand in `TimerFired` at this time.
    SetTimer(time::MonotonicTime),
    /// Tell the caller the end.
    Finish(RequestEnd),
}
