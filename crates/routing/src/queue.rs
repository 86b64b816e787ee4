//! Queue estimate of a replica: its last load report, corrected by the requests that this daemon
//! has sent to it since and by those that have ended since.

use std::collections;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_view::zone;

/// Maximum number of requests that one estimate tracks as sent since the last load report.
const MAX_SENT_REQUESTS: usize = 4_096;

/// A request that was sent after the last load report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct SentRequest {
    sent_at: time::MonotonicTime,
    uncached_tokens: quantity::TokenCount,
}

/// Expected queue ahead of a new request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueForecast {
    /// Number of running and queued requests.
    pub requests: f64,
    /// Number of prompt tokens that wait to be computed.
    pub waiting_tokens: quantity::TokenCount,
}

/// How fast the requests of a queue are replaced by others, and by how many daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueTurnover {
    /// Average duration of a request, in milliseconds.
    pub duration_ms: f64,
    /// Number of daemons that send requests to the replica.
    pub daemon_count: u32,
}

/// Estimate of the queue of one replica.
#[derive(Clone, Debug, Default)]
pub struct QueueEstimate {
    last_report: zone::LoadReport,
    /// When the replica made the last load report.
    reported_at: time::MonotonicTime,
    sent_since_report: collections::VecDeque<SentRequest>,
    /// Number of requests that were sent before the last load report and have ended since.
    ended_since_report: u32,
    /// Number of requests of this daemon that have not ended.
    open_requests: u32,
}

impl QueueEstimate {
    /// Applies a load report that was `report.age` old at `now`; ignores a report older than the
    /// last one.
    pub fn on_load_report(&mut self, report: &zone::LoadReport, now: time::MonotonicTime) {
        let reported_at = time::MonotonicTime::new(now.get().saturating_sub(report.age.get()));
        if reported_at < self.reported_at {
            return;
        }
        if reported_at > self.reported_at {
            self.ended_since_report = 0;
        }
        self.reported_at = reported_at;
        self.last_report = *report;
        while self.sent_since_report.front().is_some_and(|sent| sent.sent_at <= reported_at) {
            self.sent_since_report.pop_front();
        }
    }

    /// Records that a request was sent, of whose prompt `uncached_tokens` must be computed.
    pub fn on_dispatch(&mut self, uncached_tokens: quantity::TokenCount, now: time::MonotonicTime) {
        self.open_requests = self.open_requests.saturating_add(1);
        if self.sent_since_report.len() < MAX_SENT_REQUESTS {
            self.sent_since_report.push_back(SentRequest { sent_at: now, uncached_tokens });
        }
    }

    /// Records that a request that was sent at `sent_at` ended.
    pub fn on_finish(&mut self, sent_at: time::MonotonicTime) {
        self.open_requests = self.open_requests.saturating_sub(1);
        let position = self.sent_since_report.iter().position(|sent| sent.sent_at == sent_at);
        match position {
            Some(position) => {
                self.sent_since_report.remove(position);
            }
            None => self.ended_since_report = self.ended_since_report.saturating_add(1),
        }
    }

    /// Returns the number of requests of this daemon that have not ended.
    pub fn open_requests(&self) -> u32 {
        self.open_requests
    }

    /// Returns the expected queue ahead of a new request.
    ///
    /// Most requests of a load report that is older than the duration of a request have ended, and
    /// requests of other daemons have replaced them. The weight of a report therefore decays with
    /// its age, in favour of the number of open requests of this daemon times the number of
    /// daemons, assuming that all daemons send at the same rate.
    pub fn forecast(&self, now: time::MonotonicTime, turnover: &QueueTurnover) -> QueueForecast {
        let age_ms = now.since(self.reported_at).get() as f64;
        let report_weight = 0.5_f64.powf(age_ms / turnover.duration_ms.max(1.0));
        let daemon_count = f64::from(turnover.daemon_count.max(1));
        let running_and_queued = self.last_report.running.saturating_add(self.last_report.queued);
        let reported_requests =
            f64::from(running_and_queued.saturating_sub(self.ended_since_report))
                + self.sent_since_report.len() as f64;
        let extrapolated_requests = f64::from(self.open_requests) * daemon_count;
        let requests = (report_weight * reported_requests
            + (1.0 - report_weight) * extrapolated_requests)
            .max(f64::from(self.open_requests));
        let sent_tokens: u64 =
            self.sent_since_report.iter().map(|sent| sent.uncached_tokens.get()).sum();
        let waiting_tokens =
            report_weight * self.last_report.queued_tokens.get() as f64 + sent_tokens as f64;
        QueueForecast { requests, waiting_tokens: quantity::TokenCount::new(waiting_tokens as u64) }
    }
}
