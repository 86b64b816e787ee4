//! Wakes tasks that wait for a change.

use std::sync;

use async_std::channel;

/// Tells its subscribers that something changed; they look for themselves what it was.
#[derive(Debug, Default)]
pub struct ChangeSignal {
    subscribers: sync::Mutex<Vec<channel::Sender<()>>>,
}

impl ChangeSignal {
    /// Subscribes; a change before the first look is not missed.
    pub fn subscribe(&self) -> channel::Receiver<()> {
        let (sender, receiver) = channel::bounded(1);
        self.lock().push(sender);
        receiver
    }

    /// Wakes every subscriber and forgets those that are gone.
    pub fn notify(&self) {
        self.lock().retain(|sender| match sender.try_send(()) {
            // A full channel holds a wake that its subscriber has not taken yet.
            Ok(()) | Err(channel::TrySendError::Full(())) => true,
            Err(channel::TrySendError::Closed(())) => false,
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<channel::Sender<()>>> {
        self.subscribers.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
