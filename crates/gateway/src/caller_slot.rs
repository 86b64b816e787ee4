//! Share of a caller's connection in the limits on received bytes and on connections.

use std::rc;

use async_std::channel;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::time;
use samphiremoor_fleet::body_budget;

use crate::core;

/// Time in which connections that were told to drop release what they hold.
const RELEASE_INTERVAL: time::Millis = time::Millis::new(1);

/// The memory for received bytes is used up by connections that make progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetSpent;

/// Counts a caller's connection and the bytes that it holds until dropped.
pub struct CallerSlot {
    core: rc::Rc<core::GatewayCore>,
    id: body_budget::ReceiverId,
    /// Closes when the connection must be dropped; nothing is ever sent on the channel.
    drop_signal: channel::Receiver<()>,
}

impl CallerSlot {
    /// Counts a new connection, for which a stalled one may be dropped. Returns `None` if it must be
    /// refused.
    pub fn open(core: &rc::Rc<core::GatewayCore>) -> Option<Self> {
        let mut state = core.state.borrow_mut();
        let id = match state.body_budget.open(core.now()) {
            body_budget::OpenVerdict::Opened(id) => id,
            body_budget::OpenVerdict::Replaces(id, replaced) => {
                state.drop_signals.remove(&replaced);
                id
            }
            body_budget::OpenVerdict::Refused => return None,
        };
        let (sender, drop_signal) = channel::bounded(1);
        state.drop_signals.insert(id, sender);
        Some(CallerSlot { core: core.clone(), id, drop_signal })
    }

    /// Counts `bytes` in place of what the connection held. Waits until stalled connections have
    /// released theirs.
    ///
    /// # Errors
    ///
    /// Fails if the memory is used up by connections that make progress or are served.
    pub async fn resize(&self, bytes: usize) -> Result<(), BudgetSpent> {
        loop {
            match self.request(bytes) {
                body_budget::GrowVerdict::Granted => return Ok(()),
                body_budget::GrowVerdict::Refused => return Err(BudgetSpent),
                body_budget::GrowVerdict::AfterDrops(_) => {
                    task::sleep(RELEASE_INTERVAL.to_duration()).await;
                }
            }
        }
    }

    /// Counts `bytes` in place of what the connection held, if that is possible at once.
    pub fn try_resize(&self, bytes: usize) -> bool {
        self.request(bytes) == body_budget::GrowVerdict::Granted
    }

    fn request(&self, bytes: usize) -> body_budget::GrowVerdict {
        let now = self.core.now();
        let mut state = self.core.state.borrow_mut();
        let verdict = state.body_budget.resize(self.id, bytes as u64, now);
        if let body_budget::GrowVerdict::AfterDrops(dropped) = &verdict
            && !dropped.is_empty()
        {
            for id in dropped {
                state.drop_signals.remove(id);
            }
            log_event!(
                event::LogEvent::BodiesDropped,
                connections = dropped.len(),
                used = state.body_budget.used(),
                limit = state.body_budget.limits().bytes,
            );
        }
        verdict
    }

    /// Records what the connection does, and that it made progress.
    pub fn progress(&self, phase: body_budget::ReceivePhase) {
        let now = self.core.now();
        self.core.state.borrow_mut().body_budget.progress(self.id, phase, now);
    }

    /// Waits until the connection must be dropped.
    pub async fn dropped(&self) {
        // Always an error, since nothing is sent.
        let _ = self.drop_signal.recv().await;
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        let mut state = self.core.state.borrow_mut();
        state.drop_signals.remove(&self.id);
        state.body_budget.close(self.id);
    }
}
