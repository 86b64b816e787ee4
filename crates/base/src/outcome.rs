//! Outcomes of requests, as reported to callers.

use std::error;
use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The response was delivered completely.
    Complete,
    /// No upstream ran the call.
    NotRun,
    /// An upstream may have run the call; whether it took effect is not known.
    Unknown,
}

impl CallOutcome {
    /// Returns the value of the outcome header and of the metric label.
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

/// Error for a text that is not an outcome.
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
