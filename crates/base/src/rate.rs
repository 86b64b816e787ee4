//! Rates of requests.

use std::error;
use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

/// Largest rate, in requests per second.
const MAX_PER_SECOND: f64 = 1e9;

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Wraps a number of thousandths of a request per second.
    pub const fn from_millis(thousandths: u64) -> Self {
        RequestRate(thousandths)
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0 as f64 / 1_000.0)
    }
}

/// Error for a text that is not a rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateError {
    /// The text is not a decimal number.
    NotDecimal,
    /// The number is negative or too large.
    OutOfRange,
}

impl fmt::Display for RateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RateError::NotDecimal => {
                f.write_str("the rate is not a decimal number; write one such as 2.5")
            }
            RateError::OutOfRange => {
                write!(f, "the rate is not from 0 to {MAX_PER_SECOND}; write one in that range")
            }
        }
    }
}

impl error::Error for RateError {}

impl str::FromStr for RequestRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let per_second: f64 = text.trim().parse().map_err(|_| RateError::NotDecimal)?;
        if per_second.is_nan() {
            return Err(RateError::NotDecimal);
        }
        if !(0.0..=MAX_PER_SECOND).contains(&per_second) {
            return Err(RateError::OutOfRange);
        }
        Ok(RequestRate((per_second * 1_000.0) as u64))
    }
}
