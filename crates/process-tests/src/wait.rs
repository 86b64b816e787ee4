//! Waiting for a condition with a generous timeout.

use std::future::Future;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;

/// Timeout of a wait. It is far above the time that any awaited condition takes, so that a slow
/// machine fails no test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the condition holds. `what` describes the condition in the panic message.
///
/// # Panics
///
/// Panics if the condition doesn't hold within [`WAIT_TIMEOUT`].
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Calls `poll` until its future returns a value.
///
/// # Panics
///
/// Panics if there is no value within [`WAIT_TIMEOUT`].
pub async fn for_value<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut poll: impl FnMut() -> F,
) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {what}");
        task::sleep(POLL_INTERVAL).await;
    }
}
