//! Attempts whose response has not begun. A request has several of them while its replicas are
//! silent; the first one to go on or to bring data serves the request.

use std::future;
use std::pin;
use std::task;

use samphiremoor_base::time;
use samphiremoor_fleet::selection;
use smallvec::SmallVec;

use crate::attempt;

/// An attempt whose response has not begun.
pub(crate) struct PendingAttempt<'a> {
    /// Replica to which the request was sent.
    pub(crate) selected: selection::SelectedReplica,
    /// When the attempt began.
    pub(crate) sent_at: time::MonotonicTime,
    /// Time after which the replica counts as silent.
    pub(crate) timeout: time::Millis,
    /// Whether the replica counts as silent.
    pub(crate) is_silent: bool,
    /// Resolves when the response begins or the attempt fails.
    pub(crate) start: pin::Pin<Box<dyn Future<Output = attempt::AttemptStart> + 'a>>,
}

/// The pending attempts of one request.
pub(crate) type PendingAttempts<'a> = SmallVec<[PendingAttempt<'a>; 2]>;

/// What happens first to a request.
pub(crate) enum RequestEvent<'a, T> {
    /// The response in progress continues.
    Progress(T),
    /// A pending attempt ended with its response or a failure.
    Attempt(PendingAttempt<'a>, attempt::AttemptStart),
    /// Nothing happened for the given time.
    Silence,
}

/// Waits for the next part of the response in progress, the end of a pending attempt, or a silence
/// of `timeout`. Progress comes first if several are ready.
pub(crate) async fn next_event<'a, T>(
    progress: impl Future<Output = T>,
    pending: &mut PendingAttempts<'a>,
    timeout: time::Millis,
) -> RequestEvent<'a, T> {
    let mut progress = pin::pin!(progress);
    let event = future::poll_fn(|context| {
        if let task::Poll::Ready(value) = progress.as_mut().poll(context) {
            return task::Poll::Ready(RequestEvent::Progress(value));
        }
        for index in 0..pending.len() {
            if let task::Poll::Ready(start) = pending[index].start.as_mut().poll(context) {
                let attempt = pending.remove(index);
                return task::Poll::Ready(RequestEvent::Attempt(attempt, start));
            }
        }
        task::Poll::Pending
    });
    let ended = async_std::future::timeout(timeout.to_duration(), event).await;
    ended.unwrap_or(RequestEvent::Silence)
}
