//! Positions in the history of the platform's table.

use std::error;
use std::fmt;
use std::num;
use std::str;

use serde::Deserialize;
use serde::Serialize;

use crate::quantity;

/// A position in the history of the platform's table.
///
/// The table may return from an older copy of itself. Its versions then go back and are given out
/// again, and its era increases, so positions are ordered by era first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct StorePosition {
    /// Era of the table.
    pub era: quantity::StoreEra,
    /// Version within the era.
    pub version: quantity::RowVersion,
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.version)
    }
}

/// Error for a text that is not a position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PositionError {
    /// The text has no dot between era and version.
    MissingDot,
    /// The era or the version is not a number.
    Number(num::ParseIntError),
}

impl fmt::Display for PositionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PositionError::MissingDot => {
                f.write_str("the position has no dot; write the era, a dot and the version")
            }
            PositionError::Number(cause) => {
                write!(f, "the position has no number ({cause}); write one on each side of the dot")
            }
        }
    }
}

impl error::Error for PositionError {}

impl From<num::ParseIntError> for PositionError {
    fn from(cause: num::ParseIntError) -> Self {
        PositionError::Number(cause)
    }
}

impl str::FromStr for StorePosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let (era, version) = text.split_once('.').ok_or(PositionError::MissingDot)?;
        Ok(StorePosition { era: era.parse()?, version: version.parse()? })
    }
}
