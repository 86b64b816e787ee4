//! Outcomes of table transactions.

use samphiremoor_base::quantity;
use samphiremoor_platform::table;

/// How a transaction on the platform's table ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// All writes took effect; the written rows have this version.
    Committed(quantity::RowVersion),
    /// Nothing was written because a condition did not hold.
    Conflict,
    /// Nothing was written for another reason, for example because the table is unavailable.
    NotApplied,
    /// The response was lost, so the writes may have taken effect.
    Unknown,
}

impl From<Result<table::CommitResponse, table::PlatformError>> for CommitOutcome {
    fn from(result: Result<table::CommitResponse, table::PlatformError>) -> CommitOutcome {
        match result {
            Ok(table::CommitResponse::Committed(version)) => CommitOutcome::Committed(version),
            Ok(table::CommitResponse::Refused(_)) => CommitOutcome::Conflict,
            Err(table::PlatformError::NotDone(_)) => CommitOutcome::NotApplied,
            Err(table::PlatformError::Unknown(_)) => CommitOutcome::Unknown,
        }
    }
}
