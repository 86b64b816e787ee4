//! Signals with which a stopping daemon ends waits and requests.

use std::cell;

use async_std::channel;
use async_std::task;
use samphiremoor_base::time;

use crate::steady_clock;

/// Minimum time for which a connection of a stopping daemon stays open for its next request. It
/// covers a caller whose connection was accepted just before, and is the time that callers wait for
/// a connection to open.
pub const IDLE_TIME_MIN: time::Millis = time::Millis::new(1_000);

/// Signal that ends the waits for a next request on callers' connections.
pub struct IdleShutdown {
    /// Closes with the signal; nothing is ever sent on the channel.
    sender: channel::Sender<()>,
    receiver: channel::Receiver<()>,
    wait_count: cell::Cell<u32>,
}

impl Default for IdleShutdown {
    fn default() -> Self {
        let (sender, receiver) = channel::bounded(1);
        IdleShutdown { sender, receiver, wait_count: cell::Cell::new(0) }
    }
}

impl IdleShutdown {
    /// Gives the signal.
    pub fn start(&self) {
        self.sender.close();
    }

    /// Waits for the signal, and for at least [`IDLE_TIME_MIN`]. Always returns an error, since
    /// nothing is sent.
    pub async fn recv(&self) -> Result<(), channel::RecvError> {
        let _wait = self.delay_stop();
        let clock = steady_clock::SteadyClock;
        let waiting_since = clock.now();
        let signal = self.receiver.recv().await;
        let elapsed = clock.now().since(waiting_since);
        task::sleep(IDLE_TIME_MIN.saturating_sub(elapsed).to_duration()).await;
        signal
    }

    /// Makes a stopping daemon wait for a connection until the guard is dropped.
    pub fn delay_stop(&self) -> StopDelay<'_> {
        StopDelay::new(&self.wait_count)
    }

    /// Returns the number of connections for which a stopping daemon waits: those that wait for a
    /// next request, and those whose request is read or served.
    pub fn wait_count(&self) -> u32 {
        self.wait_count.get()
    }
}

/// Signal that is given once.
pub struct StopSignal {
    /// Closes with the signal; nothing is ever sent on the channel.
    sender: channel::Sender<()>,
    receiver: channel::Receiver<()>,
}

impl Default for StopSignal {
    fn default() -> Self {
        let (sender, receiver) = channel::bounded(1);
        StopSignal { sender, receiver }
    }
}

impl StopSignal {
    /// Gives the signal.
    pub fn start(&self) {
        self.sender.close();
    }

    /// Waits for the signal.
    pub async fn started(&self) {
        // Always an error, since nothing is sent.
        let _ = self.receiver.recv().await;
    }
}

/// Counts a connection for which a stopping daemon waits until dropped.
pub struct StopDelay<'a>(&'a cell::Cell<u32>);

impl<'a> StopDelay<'a> {
    fn new(wait_count: &'a cell::Cell<u32>) -> Self {
        wait_count.set(wait_count.get() + 1);
        StopDelay(wait_count)
    }
}

impl Drop for StopDelay<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
