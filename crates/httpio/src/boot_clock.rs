//! Clock that goes on while the VM is suspended.

use samphiremoor_base::time;

/// Returns the time since the boot of the VM.
pub fn now() -> time::MonotonicTime {
    let timespec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let millis = timespec.tv_sec * 1_000 + timespec.tv_nsec / 1_000_000;
    time::MonotonicTime::new(u64::try_from(millis).unwrap_or(0))
}
