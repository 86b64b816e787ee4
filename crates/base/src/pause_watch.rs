//! Pauses in a series of events: ticks of a timer, by which a process notices its own pauses, or bytes of a
//! response.

use crate::time;

/// Shortest time between two events that counts as a pause: several intervals between ticks, more than a
/// VM waits for its processor quota, and less than a process takes to start with its model loaded.
const MIN_PAUSE: time::Millis = time::Millis::new(500);
/// Time after a pause in which bytes that had been held up may still be read.
const CATCH_UP_TIME: time::Millis = time::Millis::new(1_000);

/// Notices pauses in a series of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseWatch {
    last_event: Option<time::MonotonicTime>,
    last_pause_end: Option<time::MonotonicTime>,
}

impl PauseWatch {
    /// Observes an event.
    pub fn observe(&mut self, now: time::MonotonicTime) {
        if self.is_late(now) {
            self.last_pause_end = Some(now);
        }
        self.last_event = Some(now);
    }

    /// Whether a pause has ended a short time ago, or lasts.
    pub fn has_just_paused(&self, now: time::MonotonicTime) -> bool {
        let is_recent = |end: time::MonotonicTime| now.since(end) < CATCH_UP_TIME;
        self.is_late(now) || self.last_pause_end.is_some_and(is_recent)
    }

    fn is_late(&self, now: time::MonotonicTime) -> bool {
        self.last_event.is_some_and(|event_at| now.since(event_at) >= MIN_PAUSE)
    }
}
