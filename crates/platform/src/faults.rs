//! Faults that tests inject into the in-memory platform and the stand-in platform.

use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

/// Faults to inject into calls to the platform. The default injects none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call is refused without effect.
    pub unavailable: bool,
    /// Number of further writes that have no effect and get no response.
    pub lost_requests: u32,
    /// Number of further writes that take effect and get no response.
    pub lost_answers: u32,
    /// Delay of each call before it takes effect.
    pub delay: time::Millis,
}

/// Outcome of one write under the injected faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write takes effect and gets a response.
    Applied,
    /// The write is refused without effect.
    Refused,
    /// The write has no effect and gets no response.
    RequestLost,
    /// The write takes effect and gets no response.
    ResponseLost,
}

impl StoreFaults {
    /// Returns the outcome of the next write, and counts down the lost requests and responses.
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
