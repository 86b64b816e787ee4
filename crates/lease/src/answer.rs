//! Answers of the table as the decisions see them.

use samphiremoor_base::quantity;
use samphiremoor_platform::table;

/// The table's answer to a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableAnswer {
    /// It took effect; written rows have this version.
    Committed(quantity::RowVersion),
    /// It had no effect since a condition does not hold.
    Refused,
    /// It had no effect for another reason.
    NotDone,
    /// It may have taken effect.
    Unknown,
}

impl From<Result<table::CommitAnswer, table::PlatformError>> for TableAnswer {
    fn from(answer: Result<table::CommitAnswer, table::PlatformError>) -> TableAnswer {
        match answer {
            Ok(table::CommitAnswer::Committed(version)) => TableAnswer::Committed(version),
            Ok(table::CommitAnswer::Refused(_)) => TableAnswer::Refused,
            Err(table::PlatformError::NotDone(_)) => TableAnswer::NotDone,
            Err(table::PlatformError::Unknown(_)) => TableAnswer::Unknown,
        }
    }
}
