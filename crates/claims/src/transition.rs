//! Events that the holder of a shard handles, and the actions that it requests.

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;

use crate::index;
use crate::journal;
use crate::key;
use crate::recovery;
use crate::writer;

/// A submission of a call that must run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallSubmission {
    /// Number of the submission.
    pub id: index::SubmissionId,
    /// Id of the request.
    pub request: id::RequestId,
    /// Key of the call.
    pub key: key::CallKey,
    /// Digest of the call's content.
    pub digest: digest::HexDigest,
    /// Deadline of the caller.
    pub deadline: time::MonotonicTime,
}

/// How a run of a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EncodedOutcome {
    /// The upstream responded in full.
    Completed(journal::EncodedResult),
    /// The call is certain not to have run.
    NotRun(NotRunCause),
    /// The call may have run.
    MaybeRun(reason::RefusalReason),
}

/// Why a call was not run, and when a retry may succeed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRunCause {
    /// Reason of the refusal.
    pub reason: reason::RefusalReason,
    /// Delay after which a retry may succeed; `None` if no retry can.
    pub retry_after: Option<time::Millis>,
}

/// An event that the holder of a shard handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimInput {
    /// A submission of a call arrived.
    Submit(CallSubmission),
    /// The transaction in flight ended.
    CommitFinished(commit_outcome::CommitOutcome),
    /// The read of the lease row ended.
    LeaseRead(writer::LeaseReadResult),
    /// The read of the journal ended; `None` means that it failed.
    JournalRead(Option<Vec<journal::JournalBatch>>),
    /// A copy request ended.
    CopyFinished {
        /// The round of copies.
        round: writer::RoundNumber,
        /// The peer.
        member: row::DaemonInstance,
        /// Response of the peer.
        response: writer::CopyResponse,
    },
    /// A seal request ended.
    SealFinished {
        /// The daemon.
        member: row::DaemonInstance,
        /// Response of the daemon.
        response: recovery::SealResponse,
    },
    /// A run of a call ended.
    RunFinished {
        /// Key of the call.
        key: key::CallKey,
        /// Outcome of the run.
        outcome: EncodedOutcome,
    },
    /// Sets the peers that should store copies from now on.
    SetCopySet(row::CopySet),
    /// Releases the lease of the shard.
    Release,
    /// Another daemon holds the lease.
    LeaseLost,
    /// Time has passed.
    Tick,
}

/// Response to a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmitResponse {
    /// The upstream responded to the call.
    Completed {
        /// The response of the upstream.
        result: journal::EncodedResult,
        /// Whether the call was run for an earlier submission.
        replayed: bool,
    },
    /// The request was not run.
    NotRun(NotRunCause),
    /// The call may have run.
    Unknown(reason::RefusalReason),
    /// Another daemon holds the shard, and this one did not run the request.
    Moved,
}

/// Why a holder closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// Another daemon holds the lease.
    Lost,
    /// The lease was released.
    Released,
}

/// An action that the caller of the holder carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// An action of the journal writer.
    Write(writer::WriterAction),
    /// An action of the recovery.
    Recover(recovery::RecoveryAction),
    /// Runs the call of this submission.
    Run {
        /// Number of the submission.
        submission: index::SubmissionId,
        /// Key of the call.
        key: key::CallKey,
    },
    /// Responds to a submission.
    Respond {
        /// Number of the submission.
        submission: index::SubmissionId,
        /// The response.
        response: SubmitResponse,
    },
    /// The shard has opened.
    Opened,
    /// The holder has closed and accepts no more claims.
    Closed {
        /// Why the holder closed.
        reason: CloseReason,
        /// Whether the shard was open before.
        was_open: bool,
    },
}
