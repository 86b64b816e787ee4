//! Clock of a daemon.

use samphiremoor_base::time;
use samphiremoor_httpio::boot_clock;

/// Clock that counts from the boot of the VM and includes time in suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct SteadyClock;

impl SteadyClock {
    /// Returns the current instant.
    pub fn now(self) -> time::MonotonicTime {
        boot_clock::now()
    }

    /// Returns the VM's wall-clock time, in Unix milliseconds.
    pub fn unix_ms(self) -> i64 {
        let timespec = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
        timespec.tv_sec * 1_000 + timespec.tv_nsec / 1_000_000
    }
}
