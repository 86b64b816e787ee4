//! What happens to the holder of a shard, and what it wants done.

use samphiremoor_base::digest;
use samphiremoor_base::id;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;

use crate::journal;
use crate::key;
use crate::ledger;
use crate::opening;
use crate::writer;

/// A send of a call that may not be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallSend {
    /// Number of the send.
    pub call: ledger::CallNumber,
    /// The request.
    pub request: id::RequestId,
    /// The call's key.
    pub key: key::CallKey,
    /// Digest of the call.
    pub digest: digest::HexDigest,
    /// When the caller gives up.
    pub deadline: time::MonotonicTime,
}

/// How a run ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The upstream answered in full.
    Completed(journal::EncodedResult),
    /// It is certain that the call was not run.
    NotRun(NotRunCause),
    /// The call may have run.
    MaybeRun(reason::RefusalReason),
}

/// Why a call was not run, and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRunCause {
    /// Why.
    pub reason: reason::RefusalReason,
    /// When another try can help.
    pub retry_after: Option<time::Millis>,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimInput {
    /// A send of a call arrived.
    Submit(CallSend),
    /// The table answered the write in flight.
    TableAnswered(commit_outcome::CommitOutcome),
    /// The lease row was read.
    LeaseRead(writer::LeaseReading),
    /// The journal was read; absent where that failed.
    JournalRead(Option<Vec<journal::JournalBatch>>),
    /// A peer answered a copy.
    CopyAnswered {
        /// The round.
        round: writer::RoundNumber,
        /// The peer.
        member: row::DaemonInstance,
        /// Its answer.
        answer: writer::CopyAnswer,
    },
    /// A daemon answered the request to seal it.
    SealAnswered {
        /// The daemon.
        member: row::DaemonInstance,
        /// Its answer.
        answer: opening::SealAnswer,
    },
    /// A run ended.
    RunEnded {
        /// The call's key.
        key: key::CallKey,
        /// How it ended.
        end: RunEnd,
    },
    /// These peers should keep copies from now on.
    CopySetPreferred(row::CopySet),
    /// The shard is to be given away.
    Release,
    /// The lease row names another holder.
    LeaseLost,
    /// Time passed.
    Tick,
}

/// What a waiting send is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAnswer {
    /// The call's answer.
    Completed {
        /// The answer.
        result: journal::EncodedResult,
        /// Whether an earlier send ran it.
        replayed: bool,
    },
    /// The request was not run.
    NotRun(NotRunCause),
    /// The call may have run.
    Unknown(reason::RefusalReason),
    /// The shard has another holder; this one did not run the request.
    Moved,
}

/// Why the holder closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// Another daemon holds the lease.
    Lost,
    /// The lease was given away.
    Released,
}

/// What the holder wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Something for the journal.
    Write(writer::WriterAction),
    /// Something for the opening.
    Open(opening::OpeningAction),
    /// Run the call of this send.
    Run {
        /// The send.
        call: ledger::CallNumber,
        /// The call's key.
        key: key::CallKey,
    },
    /// Answer a send.
    Answer {
        /// The send.
        call: ledger::CallNumber,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// The shard is open for calls.
    Opened,
    /// The holder takes no more claims.
    Closed {
        /// Why.
        reason: CloseReason,
        /// Whether it had opened.
        was_open: bool,
    },
}
