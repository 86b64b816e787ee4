//! The journal of cache changes, published late and with gaps.

use std::collections;

use samphiremoor_base::time;

use crate::cache;
use crate::wire;

/// Events that the journal keeps.
const MAX_EVENTS: usize = 16_384;

/// Cache changes that wait for publication or can still be read.
#[derive(Clone, Debug)]
pub struct CacheJournal {
    lag: time::Millis,
    gap_every: u64,
    last_serial: u64,
    events: collections::VecDeque<JournalEvent>,
}

#[derive(Clone, Copy, Debug)]
struct JournalEvent {
    published: time::MonotonicTime,
    event: wire::CacheEvent,
}

impl CacheJournal {
    /// A journal that publishes after `lag` and loses each `gap_every`th event; 0 loses none.
    pub fn new(lag: time::Millis, gap_every: u64) -> Self {
        CacheJournal { lag, gap_every, last_serial: 0, events: collections::VecDeque::new() }
    }

    /// Notes changes that happened now.
    pub fn append(&mut self, changes: &[cache::CacheChange], now: time::MonotonicTime) {
        for change in changes {
            self.last_serial += 1;
            if self.gap_every > 0 && self.last_serial.is_multiple_of(self.gap_every) {
                continue;
            }
            let event = wire::CacheEvent { serial: self.last_serial, change: *change };
            self.events.push_back(JournalEvent { published: now + self.lag, event });
            if self.events.len() > MAX_EVENTS {
                self.events.pop_front();
            }
        }
    }

    /// Published events after `serial`.
    pub fn events_after(&self, serial: u64, now: time::MonotonicTime) -> Vec<wire::CacheEvent> {
        self.events
            .iter()
            .filter(|noted| noted.event.serial > serial && noted.published <= now)
            .map(|noted| noted.event)
            .collect()
    }
}
