//! Answers of the table as the decisions see them.

use samphiremoor_base::quantity;
use samphiremoor_platform::table;

/// The table's answer to a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// It took effect; written rows have this version.
    Committed(quantity::RowVersion),
    /// It had no effect since a condition does not hold.
    Conflict,
    /// It had no effect for another reason.
    NotApplied,
    /// It may have taken effect.
    Unknown,
}

impl From<Result<table::CommitResponse, table::PlatformError>> for CommitOutcome {
    fn from(answer: Result<table::CommitResponse, table::PlatformError>) -> CommitOutcome {
        match answer {
            Ok(table::CommitResponse::Committed(version)) => CommitOutcome::Committed(version),
            Ok(table::CommitResponse::Refused(_)) => CommitOutcome::Conflict,
            Err(table::PlatformError::NotDone(_)) => CommitOutcome::NotApplied,
            Err(table::PlatformError::Unknown(_)) => CommitOutcome::Unknown,
        }
    }
}
