//! Limits and rules that a request is served under.

use samphiremoor_base::time;

use crate::backoff;

/// Whether a call may be run more than once.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RepeatPolicy {
    /// Another run does no harm.
    Repeatable,
    /// At most one run: dispatched only under a claim.
    AtMostOnce,
}

/// Limits of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestPolicy {
    /// Whether the call may be run more than once.
    pub repeat: RepeatPolicy,
    /// Dispatches of one request that bring no new token, the first included.
    pub max_attempts: u32,
    /// Delays between attempts.
    pub backoff: backoff::BackoffPolicy,
    /// Time for which a request that lost its replica waits for another one to appear.
    pub replica_wait: time::Millis,
    /// Time between two looks for a replica.
    pub replica_poll: time::Millis,
    /// Time after which a caller may try again where nothing better is known.
    pub retry_after: time::Millis,
}

/// What the requests of a daemon share: the retry budget and a source of randomness.
pub trait RetryContext {
    /// Takes one retry from the budget; false where it is spent.
    fn try_withdraw(&mut self) -> bool;

    /// Draws the jitter of one delay.
    fn draw_jitter(&mut self) -> backoff::JitterDraw;
}
