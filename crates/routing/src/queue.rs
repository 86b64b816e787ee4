//! Queue of a replica: its last report, corrected by what was sent and what ended since.

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_view::zone;

/// Requests that one estimate remembers as sent since the last report.
const MAX_SENT: usize = 4_096;

/// One request that was sent and is not in the last report yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct SentRequest {
    at: time::MonotonicTime,
    tokens: quantity::TokenCount,
}

/// What is expected to stand before a new request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueForecast {
    /// Requests that run or wait.
    pub requests: f64,
    /// Prompt tokens that wait to be computed.
    pub waiting_tokens: quantity::TokenCount,
}

/// How fast the requests of a queue are replaced by others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueTurnover {
    /// Average duration of a request, in milliseconds.
    pub duration_ms: f64,
    /// Daemons that send to the replica.
    pub daemons: u32,
}

/// Estimate of one replica's queue.
#[derive(Clone, Debug, Default)]
pub struct QueueEstimate {
    report: zone::LoadReport,
    taken: time::MonotonicTime,
    sent: collections::VecDeque<SentRequest>,
    ended: u32,
    open: u32,
}

impl QueueEstimate {
    /// Takes a load report that was `report.age` old at `now`; an older one than the last is left out.
    pub fn on_load_report(&mut self, report: &zone::LoadReport, now: time::MonotonicTime) {
        let taken = time::MonotonicTime::new(now.get().saturating_sub(report.age.get()));
        if taken < self.taken {
            return;
        }
        if taken > self.taken {
            self.ended = 0;
        }
        self.taken = taken;
        self.report = *report;
        while self.sent.front().is_some_and(|sent| sent.at <= taken) {
            self.sent.pop_front();
        }
    }

    /// A request was sent; `tokens` of its prompt are to be computed.
    pub fn on_dispatch(&mut self, tokens: quantity::TokenCount, now: time::MonotonicTime) {
        self.open = self.open.saturating_add(1);
        if self.sent.len() < MAX_SENT {
            self.sent.push_back(SentRequest { at: now, tokens });
        }
    }

    /// A request that was sent at `sent_at` ended.
    pub fn on_finish(&mut self, sent_at: time::MonotonicTime) {
        self.open = self.open.saturating_sub(1);
        let position = self.sent.iter().position(|sent| sent.at == sent_at);
        match position {
            Some(position) => {
                self.sent.remove(position);
            }
            None => self.ended = self.ended.saturating_add(1),
        }
    }

    /// Requests of this daemon that have not ended.
    pub fn open_requests(&self) -> u32 {
        self.open
    }

    /// What is expected to stand before a new request.
    ///
    /// A report that is older than requests last says little: the requests in it have ended, and
    /// those of other daemons came in their place. In its stead counts what this daemon has open,
    /// times the number of daemons that send alike.
    pub fn forecast(&self, now: time::MonotonicTime, turnover: &QueueTurnover) -> QueueForecast {
        let age_ms = now.since(self.taken).get() as f64;
        let trust = 0.5_f64.powf(age_ms / turnover.duration_ms.max(1.0));
        let daemons = f64::from(turnover.daemons.max(1));
        let reported = self.report.running.saturating_add(self.report.queued);
        let reported = f64::from(reported.saturating_sub(self.ended)) + self.sent.len() as f64;
        let alike = f64::from(self.open) * daemons;
        let requests = (trust * reported + (1.0 - trust) * alike).max(f64::from(self.open));
        let sent_tokens: u64 = self.sent.iter().map(|sent| sent.tokens.get()).sum();
        let waiting = trust * self.report.queued_tokens.get() as f64 + sent_tokens as f64;
        QueueForecast { requests, waiting_tokens: quantity::TokenCount::new(waiting as u64) }
    }
}
