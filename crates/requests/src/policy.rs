//! Limits and rules that apply to one request.

use samphiremoor_base::time;

use crate::backoff;

/// Whether a call may be run more than once.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RepeatPolicy {
    /// Running the call again does no harm.
    Repeatable,
    /// The call runs at most once and is dispatched only under a claim.
    AtMostOnce,
}

/// Limits of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestPolicy {
    /// Whether the call may be run more than once.
    pub repeat: RepeatPolicy,
    /// Maximum number of consecutive attempts that deliver no new token, including the first.
    pub max_attempts: u32,
    /// Delays between attempts.
    pub backoff: backoff::BackoffPolicy,
    /// Time for which a request that lost its replica waits for another one to become available.
    pub replica_wait: time::Millis,
    /// Interval at which a request without a replica looks for one during that time.
    pub replica_poll: time::Millis,
    /// Time after which a refused caller is told to retry if there is no better estimate.
    pub retry_after: time::Millis,
}

/// Resources that all requests of a daemon share: the retry budget and a source of randomness.
pub trait RetryContext {
    /// Withdraws one retry from the budget; returns `false` if the budget is exhausted.
    fn try_withdraw(&mut self) -> bool;

    /// Draws the jitter of one backoff delay.
    fn draw_jitter(&mut self) -> backoff::JitterDraw;
}
