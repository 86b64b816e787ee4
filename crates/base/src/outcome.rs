//! What a caller is told about a request that ended.

use std::error;
use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The whole answer was delivered.
    Complete,
    /// It is certain that no upstream ran the call.
    NotRun,
    /// The call may have run; its effect is not known.
    Unknown,
}

impl CallOutcome {
    /// The value of the outcome header and of the metric label.
    pub const fn label(self) -> &'static str {
        match self {
            CallOutcome::Complete => "complete",
            CallOutcome::NotRun => "not-run",
            CallOutcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// The text is not an outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutcomeError;

impl fmt::Display for OutcomeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not an outcome; use complete, not-run or unknown")
    }
}

impl error::Error for OutcomeError {}

impl str::FromStr for CallOutcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, OutcomeError> {
        match text {
            "complete" => Ok(CallOutcome::Complete),
            "not-run" => Ok(CallOutcome::NotRun),
            "unknown" => Ok(CallOutcome::Unknown),
            _ => Err(OutcomeError),
        }
    }
}
