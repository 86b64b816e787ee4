//! What the control thread is sent.

use std::sync::mpsc;

use async_std::channel;

use crate::action;
use crate::message;

/// Inputs that wait for the control thread; beyond them, answers of peers and polls are dropped.
const QUEUE_LENGTH: usize = 1_024;

/// An input of the control thread.
#[derive(Debug)]
pub(crate) enum ThreadInput {
    /// What came of a call.
    Done(action::ControlInput),
    /// A peer's question, and where its answer goes.
    Question(message::PeerRequest, channel::Sender<message::PeerResponse>),
    /// The daemon stops.
    Stop,
}

/// The queue of the control thread.
pub(crate) fn queue() -> (mpsc::SyncSender<ThreadInput>, mpsc::Receiver<ThreadInput>) {
    mpsc::sync_channel(QUEUE_LENGTH)
}
