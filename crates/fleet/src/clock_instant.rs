//! Instants on the clocks of a daemon.

use samphiremoor_base::time;

/// An instant on the clocks of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct ClockInstant {
    /// Monotonic time of the daemon.
    pub now: time::MonotonicTime,
    /// Wall-clock time on which the daemons agree, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}
