//! Waiting for a condition, with a generous limit.

use std::future::Future;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;

/// Time after which a condition is given up. It is far above what any of them takes, so that a
/// verdict never hangs on the speed of the machine.
pub const LIMIT: Duration = Duration::from_secs(60);

/// Time between two looks.
const POLL: Duration = Duration::from_millis(20);

/// Waits until the condition holds.
///
/// # Panics
///
/// Panics where it does not hold within [`LIMIT`].
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < deadline, "not within {LIMIT:?}: {what}");
        thread::sleep(POLL);
    }
}

/// Waits until the future yields a value.
///
/// # Panics
///
/// Panics where it does not within [`LIMIT`].
pub async fn for_value<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut look: impl FnMut() -> F,
) -> T {
    let deadline = Instant::now() + LIMIT;
    loop {
        if let Some(value) = look().await {
            return value;
        }
        assert!(Instant::now() < deadline, "not within {LIMIT:?}: {what}");
        task::sleep(POLL).await;
    }
}
