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
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueForecast {
    /// Requests that run or wait.
    pub requests: u32,
    /// Prompt tokens that wait to be computed.
    pub waiting_tokens: quantity::TokenCount,
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
    pub fn report(&mut self, report: &zone::LoadReport, now: time::MonotonicTime) {
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
    pub fn sent(&mut self, tokens: quantity::TokenCount, now: time::MonotonicTime) {
        self.open = self.open.saturating_add(1);
        if self.sent.len() < MAX_SENT {
            self.sent.push_back(SentRequest { at: now, tokens });
        }
    }

    /// A request that was sent at `sent_at` ended.
    pub fn ended(&mut self, sent_at: time::MonotonicTime) {
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
    pub fn open(&self) -> u32 {
        self.open
    }

    /// What is expected to stand before a new request.
    pub fn forecast(&self) -> QueueForecast {
        let reported = self.report.running.saturating_add(self.report.queued);
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let requests = reported.saturating_sub(self.ended).saturating_add(sent).max(self.open);
        let sent_tokens: u64 = self.sent.iter().map(|sent| sent.tokens.get()).sum();
        let waiting = self.report.queued_tokens.get().saturating_add(sent_tokens);
        QueueForecast { requests, waiting_tokens: quantity::TokenCount::new(waiting) }
    }
}
