//! Input queue of the control thread.

use std::sync::mpsc;

use async_std::channel;

use crate::action;
use crate::message;

/// Capacity of the input queue. When it is full, results of calls are dropped and requests of peers
/// get [`message::PeerResponse::Stopping`].
const QUEUE_CAPACITY: usize = 1_024;

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum ThreadInput {
    /// The result of a call.
    CallCompleted(action::ControlInput),
    /// A request of a peer, with the channel for its response.
    Request(message::PeerRequest, channel::Sender<message::PeerResponse>),
    /// The control thread is to stop.
    Stop,
}

/// Creates the queue of the control thread.
pub(crate) fn queue() -> (mpsc::SyncSender<ThreadInput>, mpsc::Receiver<ThreadInput>) {
    mpsc::sync_channel(QUEUE_CAPACITY)
}
