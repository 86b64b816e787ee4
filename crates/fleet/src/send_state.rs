//! What keeps requests of this daemon away from one replica, and until when. What is known of the replica
//! besides, and the limit that it names, is added by [`send_gate`](crate::send_gate).

use std::error;
use std::fmt;
use std::str;

use samphiremoor_base::time;

/// First backoff of an unreachable replica, in which it receives no requests. It is short, as a
/// single reset connection proves little.
const MIN_BACKOFF: time::Millis = time::Millis::new(250);
/// Maximum backoff of an unreachable replica.
const MAX_BACKOFF: time::Millis = time::Millis::new(4_000);
/// Time for which a silent replica receives no requests while others are available. A replica that
/// pauses goes on after about a second.
const SILENCE_BACKOFF: time::Millis = time::Millis::new(1_000);

/// Longest pause that is kept. A replica that still wants nothing then says so again.
const MAX_PAUSE: time::Millis = time::Millis::new(3_600_000);
/// Longest time by which a pause is extended at random, so that daemons that were asked at the same time
/// don't return together.
const MAX_PAUSE_JITTER: time::Millis = time::Millis::new(1_000);
/// Time after the first request after a pause in which only its response lets further ones follow.
const TRIAL_TIME: time::Millis = time::Millis::new(1_000);

/// Time for which a replica wants no request from a daemon. Longer ones than an hour count as an hour.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PauseLength(time::Millis);

impl PauseLength {
    /// Returns the pause in milliseconds; `None` if it is zero.
    pub fn nonzero(self) -> Option<time::Millis> {
        Some(self.0).filter(|length| length.get() > 0)
    }
}

impl fmt::Display for PauseLength {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.get() as f64 / 1_000.0)
    }
}

/// Error for a text that is not the length of a pause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseError {
    /// The text is not a decimal number.
    NotDecimal,
    /// The number is negative or infinite.
    OutOfRange,
}

impl fmt::Display for PauseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PauseError::NotDecimal => {
                "the time is not a decimal number; write seconds such as 2.5, and no date"
            }
            PauseError::OutOfRange => "the time is not a number of seconds from 0 up; write one",
        })
    }
}

impl error::Error for PauseError {}

impl str::FromStr for PauseLength {
    type Err = PauseError;

    fn from_str(text: &str) -> Result<Self, PauseError> {
        let seconds: f64 = text.trim().parse().map_err(|_| PauseError::NotDecimal)?;
        if seconds.is_nan() {
            return Err(PauseError::NotDecimal);
        }
        if seconds < 0.0 || seconds.is_infinite() {
            return Err(PauseError::OutOfRange);
        }
        let length = time::Millis::new((seconds * 1_000.0).ceil() as u64);
        Ok(PauseLength(length.min(MAX_PAUSE)))
    }
}

/// Why a replica may get no request from this daemon now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldReason {
    /// The replica leaves.
    Leaving,
    /// The replica asked this daemon for a pause.
    Paused,
    /// The limit that the replica names leaves this daemon no permit now.
    Limited,
    /// The replica was unreachable.
    Unreachable,
    /// The replica was silent. It may get a request if no other one may.
    Silent,
}

/// Whether a replica may get a request from this daemon now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendVerdict {
    /// It may.
    Allowed,
    /// It may not.
    Held {
        /// The reason that lasts longest.
        reason: HoldReason,
        /// When it ends; `None` if this start of the replica gets no request any more.
        until: Option<time::MonotonicTime>,
    },
}

impl SendVerdict {
    /// Returns the reason that keeps the request away, unless it is the replica's silence.
    pub fn firm_reason(self) -> Option<HoldReason> {
        match self {
            SendVerdict::Allowed | SendVerdict::Held { reason: HoldReason::Silent, .. } => None,
            SendVerdict::Held { reason, .. } => Some(reason),
        }
    }

    /// Returns the verdict that holds longer. A silence yields to every other reason.
    pub(crate) fn or_longer(self, other: SendVerdict) -> SendVerdict {
        match (self, other) {
            (SendVerdict::Allowed, _) => other,
            (_, SendVerdict::Allowed) => self,
            (SendVerdict::Held { reason: HoldReason::Silent, .. }, _) => other,
            (_, SendVerdict::Held { reason: HoldReason::Silent, .. }) => self,
            (
                SendVerdict::Held { until: Some(until), .. },
                SendVerdict::Held { until: Some(other_until), .. },
            ) => {
                if until >= other_until {
                    self
                } else {
                    other
                }
            }
            (SendVerdict::Held { until: None, .. }, _) => self,
            (_, SendVerdict::Held { until: None, .. }) => other,
        }
    }
}

/// Pause that a replica asked for.
#[derive(Clone, Copy, Debug)]
struct RequestedPause {
    /// When it ends for this daemon.
    until: time::MonotonicTime,
    /// Until when the first request after it holds others back; `None` before that request.
    trial_until: Option<time::MonotonicTime>,
}

/// What this daemon has observed of a replica that keeps requests away for a while.
#[derive(Clone, Copy, Debug)]
pub struct SendState {
    pause: Option<RequestedPause>,
    /// When the replica may receive requests again after it was unreachable.
    backoff_until: Option<time::MonotonicTime>,
    /// Backoff that the next failed contact starts.
    next_backoff: time::Millis,
    /// When the replica may be preferred again after it was silent.
    silence_until: Option<time::MonotonicTime>,
}

impl Default for SendState {
    fn default() -> Self {
        SendState {
            pause: None,
            backoff_until: None,
            next_backoff: MIN_BACKOFF,
            silence_until: None,
        }
    }
}

impl SendState {
    /// Observes that the replica asks for a pause. `draw` is a uniform random number from 0 to 1.
    /// Returns whether no pause was in force.
    pub fn on_pause(&mut self, length: time::Millis, draw: f64, now: time::MonotonicTime) -> bool {
        let max_jitter = MAX_PAUSE_JITTER.min(time::Millis::new(length.get() / 2));
        let jitter = time::Millis::new((max_jitter.get() as f64 * draw) as u64);
        let previous_end = self.paused_until(now);
        // A shorter pause that is asked for later does not end an earlier one.
        let until = previous_end.max(Some(now + length + jitter)).unwrap_or(now);
        self.pause = Some(RequestedPause { until, trial_until: None });
        previous_end.is_none()
    }

    /// Observes that a request is sent to the replica.
    pub fn on_sent(&mut self, now: time::MonotonicTime) {
        if let Some(pause) = &mut self.pause
            && now >= pause.until
        {
            pause.trial_until = Some(now + TRIAL_TIME);
        }
    }

    /// Observes that the replica answered a request that was sent at `sent_at`. One that was sent after a
    /// pause ends the trial that follows it.
    pub fn on_answer(&mut self, sent_at: time::MonotonicTime) {
        self.pause = self.pause.filter(|pause| sent_at < pause.until);
    }

    /// Returns when the pause ends that the replica asked for, if it is in force.
    pub fn paused_until(&self, now: time::MonotonicTime) -> Option<time::MonotonicTime> {
        self.pause.map(|pause| pause.until).filter(|until| now < *until)
    }

    /// Observes that the replica is unreachable. Starts a backoff, which doubles each time. During a
    /// backoff, further observations are of the same fault and don't extend it.
    pub fn on_unreachable(&mut self, now: time::MonotonicTime) {
        if self.backoff_until.is_some_and(|until| now < until) {
            return;
        }
        self.backoff_until = Some(now + self.next_backoff);
        let doubled_backoff = time::Millis::new(self.next_backoff.get() * 2);
        self.next_backoff = doubled_backoff.min(MAX_BACKOFF);
    }

    /// Observes that the replica served a request, which ends its backoff.
    pub fn on_success(&mut self) {
        self.backoff_until = None;
        self.next_backoff = MIN_BACKOFF;
    }

    /// Observes that the replica has sent no data for a request for too long.
    pub fn on_silent(&mut self, now: time::MonotonicTime) {
        self.avoid_until(now + SILENCE_BACKOFF);
    }

    /// Sends requests to other replicas until the given time, if there are any.
    pub fn avoid_until(&mut self, until: time::MonotonicTime) {
        self.silence_until = Some(until);
    }

    /// Observes that the replica sent data, which ends its silence.
    pub fn on_data(&mut self) {
        self.silence_until = None;
    }

    /// Returns whether a request may be sent, as far as these observations tell.
    pub fn verdict(&self, now: time::MonotonicTime) -> SendVerdict {
        let held = |reason, until: Option<time::MonotonicTime>| match until {
            Some(until) if now < until => SendVerdict::Held { reason, until: Some(until) },
            _ => SendVerdict::Allowed,
        };
        let pause_end = self.pause.map(|pause| pause.trial_until.unwrap_or(pause.until));
        let paused = held(HoldReason::Paused, pause_end);
        let unreachable = held(HoldReason::Unreachable, self.backoff_until);
        paused.or_longer(unreachable).or_longer(held(HoldReason::Silent, self.silence_until))
    }
}
