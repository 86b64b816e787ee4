//! Tasks without which the daemon must not run.

use std::future::Future;
use std::panic;
use std::process;

use async_std::task;
use futures_lite::FutureExt as _;

/// Starts a task on the current thread. If it panics, the process ends and is started again: a daemon
/// that serves requests without it would act on state that nothing updates any more.
pub fn spawn(future: impl Future<Output = ()> + 'static) {
    task::spawn_local(async move {
        if panic::AssertUnwindSafe(future).catch_unwind().await.is_err() {
            // The panic hook has printed the cause.
            process::abort();
        }
    });
}
