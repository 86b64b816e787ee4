//! Change notification for waiting tasks.

use std::sync;

use async_std::channel;

/// Notifies its subscribers of a change. The notification carries no data; subscribers read the
/// changed state themselves.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    subscribers: sync::Mutex<Vec<channel::Sender<()>>>,
}

impl ChangeSignal {
    /// Subscribes to changes. Notifications sent after this call are buffered until the first
    /// receive.
    pub fn subscribe(&self) -> channel::Receiver<()> {
        let (sender, receiver) = channel::bounded(1);
        self.lock().push(sender);
        receiver
    }

    /// Wakes every subscriber and removes those whose receiver was dropped.
    pub fn notify(&self) {
        self.lock().retain(|sender| match sender.try_send(()) {
            // A full channel already holds a notification that the subscriber has not received yet.
            Ok(()) | Err(channel::TrySendError::Full(())) => true,
            Err(channel::TrySendError::Closed(())) => false,
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<channel::Sender<()>>> {
        self.subscribers.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
