//! Numbers in settings files that may be whole or have a fraction.
//!
//! A platform that fills in a template may state any bound as a fraction. Times are rounded to
//! whole milliseconds and sizes down to whole units.

use std::fmt;

use samphiremoor_base::time;
use serde::Deserialize;
use serde::de;

/// Largest accepted number of seconds: far above any sensible time, and small enough that sums of
/// times don't overflow.
const MAX_SECONDS: f64 = 1e9;
const MS_PER_SECOND: f64 = 1_000.0;

/// Error of a number that is no time or size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NumberError {
    /// The number is below 0, or not a number.
    Negative(f64),
    /// The number is greater than this maximum.
    TooLarge(f64, f64),
}

impl fmt::Display for NumberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NumberError::Negative(value) => {
                write!(f, "the number {value} is below 0; set 0 or more")
            }
            NumberError::TooLarge(value, max) => {
                write!(f, "the number {value} is too large; set {max} or less")
            }
        }
    }
}

impl std::error::Error for NumberError {}

/// Reads a number of seconds.
///
/// # Errors
///
/// Fails if the value is not a number, is negative or exceeds 10^9 seconds.
pub fn seconds<'de, D: de::Deserializer<'de>>(deserializer: D) -> Result<time::Millis, D::Error> {
    let seconds = in_range(f64::deserialize(deserializer)?, MAX_SECONDS)?;
    Ok(time::Millis::new((seconds * MS_PER_SECOND).round() as u64))
}

/// Reads a number of milliseconds.
///
/// # Errors
///
/// Fails if the value is not a number, is negative or exceeds 10^12 milliseconds.
pub fn millis<'de, D: de::Deserializer<'de>>(deserializer: D) -> Result<time::Millis, D::Error> {
    let millis = in_range(f64::deserialize(deserializer)?, MAX_SECONDS * MS_PER_SECOND)?;
    Ok(time::Millis::new(millis.round() as u64))
}

/// Reads a size, in whole units.
///
/// # Errors
///
/// Fails if the value is not a number, is negative or exceeds 2^32.
pub fn size<'de, D: de::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let size = in_range(f64::deserialize(deserializer)?, f64::from(u32::MAX))?;
    Ok(size as u64)
}

fn in_range<E: de::Error>(value: f64, max: f64) -> Result<f64, E> {
    if value.is_nan() || value < 0.0 {
        return Err(E::custom(NumberError::Negative(value)));
    }
    if value > max {
        return Err(E::custom(NumberError::TooLarge(value, max)));
    }
    Ok(value)
}
