//! Faults that a platform in memory or a stand-in shows on order.

use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

/// What goes wrong from now on; the default is nothing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Every call is refused without effect.
    pub unavailable: bool,
    /// Number of next writes that have no effect and get no answer.
    pub lost_requests: u32,
    /// Number of next writes that take effect and get no answer.
    pub lost_answers: u32,
    /// Time by which each call is slowed down before its effect.
    pub delay: time::Millis,
}

/// What becomes of one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It takes effect and is answered.
    Applied,
    /// It is refused without effect.
    Refused,
    /// It has no effect and no answer.
    RequestLost,
    /// It takes effect and has no answer.
    ResponseLost,
}

impl StoreFaults {
    /// Decides on the next write, and counts it.
    pub fn next_write(&mut self) -> WriteOutcome {
        if self.unavailable {
            return WriteOutcome::Refused;
        }
        if self.lost_requests > 0 {
            self.lost_requests -= 1;
            return WriteOutcome::RequestLost;
        }
        if self.lost_answers > 0 {
            self.lost_answers -= 1;
            return WriteOutcome::ResponseLost;
        }
        WriteOutcome::Applied
    }
}
