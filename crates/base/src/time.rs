//! Time in milliseconds. Code without I/O gets the time as an argument and reads no clock.

use std::fmt;
use std::num;
use std::ops;
use std::str;
use std::time;

use serde::Deserialize;
use serde::Serialize;

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// Wraps a number of milliseconds.
    pub const fn new(value: u64) -> Self {
        Millis(value)
    }

    /// Returns the number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Converts to a standard duration.
    pub const fn to_duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }

    /// Returns the difference, or zero if `other` is longer.
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

/// An instant on the monotonic clock of one process, in milliseconds since the start of the clock.
///
/// Clocks of different processes have different starts, so their instants must not be compared.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// Wraps a number of milliseconds since the start of the clock.
    pub const fn new(value: u64) -> Self {
        MonotonicTime(value)
    }

    /// Returns the number of milliseconds since the start of the clock.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
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

/// The monotonic clock of the process. Only code that does I/O reads it.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock(time::Instant);

impl MonotonicClock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        MonotonicClock(time::Instant::now())
    }

    /// Returns the current time.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime(Millis::from(self.0.elapsed()).get())
    }
}
