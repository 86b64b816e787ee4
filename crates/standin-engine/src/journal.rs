//! Journal of prefix cache changes, published with a delay and with gaps.

use std::collections;

use samphiremoor_base::time;

use crate::cache;
use crate::wire;

/// Maximum number of events that the journal keeps.
const MAX_EVENTS: usize = 16_384;

/// Cache changes that await publication or can still be read.
#[derive(Clone, Debug)]
pub struct CacheJournal {
    lag: time::Millis,
    gap_every: u64,
    last_serial: u64,
    events: collections::VecDeque<JournalEvent>,
}

#[derive(Clone, Copy, Debug)]
struct JournalEvent {
    published_at: time::MonotonicTime,
    event: wire::CacheEvent,
}

impl CacheJournal {
    /// Creates a journal that publishes events after `lag` and drops every `gap_every`-th event; 0
    /// drops none.
    pub fn new(lag: time::Millis, gap_every: u64) -> Self {
        CacheJournal { lag, gap_every, last_serial: 0, events: collections::VecDeque::new() }
    }

    /// Appends cache changes that occurred at `now`.
    pub fn append(&mut self, changes: &[cache::CacheChange], now: time::MonotonicTime) {
        for change in changes {
            self.last_serial += 1;
            if self.gap_every > 0 && self.last_serial.is_multiple_of(self.gap_every) {
                continue;
            }
            let event = wire::CacheEvent { serial: self.last_serial, change: *change };
            self.events.push_back(JournalEvent { published_at: now + self.lag, event });
            if self.events.len() > MAX_EVENTS {
                self.events.pop_front();
            }
        }
    }

    /// Returns the events that are published by `now` and whose serial number is above `serial`.
    pub fn events_after(&self, serial: u64, now: time::MonotonicTime) -> Vec<wire::CacheEvent> {
        self.events
            .iter()
            .filter(|journal_event| {
                journal_event.event.serial > serial && journal_event.published_at <= now
            })
            .map(|journal_event| journal_event.event)
            .collect()
    }
}
