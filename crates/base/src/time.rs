//! Time as the pure decisions see it: numbers that the shell hands in.

use std::fmt;
use std::num;
use std::ops;
use std::str;
use std::time;

use serde::Deserialize;
use serde::Serialize;

/// A length of time in milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Wraps a number of milliseconds.
    pub const fn new(value: u64) -> Self {
        Millis(value)
    }

    /// The number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The same length as a standard duration.
    pub const fn to_duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }

    /// The difference, or zero where `other` is longer.
    pub const fn saturating_sub(self, other: Millis) -> Millis {
        Millis(self.0.saturating_sub(other.0))
    }
}

impl From<time::Duration> for Millis {
    fn from(duration: time::Duration) -> Self {
        Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl str::FromStr for Millis {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, num::ParseIntError> {
        text.strip_suffix("ms").unwrap_or(text).parse().map(Millis)
    }
}

/// An instant on one process's monotonic clock, in milliseconds since an arbitrary start.
///
/// Instants of different processes are never compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// Wraps milliseconds since the start of the clock.
    pub const fn new(value: u64) -> Self {
        MonotonicTime(value)
    }

    /// Milliseconds since the start of the clock.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, or zero where `earlier` is later.
    pub const fn since(self, earlier: MonotonicTime) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Millis> for Millis {
    type Output = Millis;

    fn add(self, length: Millis) -> Millis {
        Millis(self.0.saturating_add(length.0))
    }
}

impl ops::Add<Millis> for MonotonicTime {
    type Output = MonotonicTime;

    fn add(self, length: Millis) -> MonotonicTime {
        MonotonicTime(self.0.saturating_add(length.0))
    }
}

/// The process's monotonic clock, read by the shells only.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock(time::Instant);

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        MonotonicClock(time::Instant::now())
    }

    /// The present instant.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(Millis::from(self.0.elapsed()).get())
    }
}
