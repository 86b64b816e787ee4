//! Results of a run.

use std::collections;

use hdrhistogram::Histogram;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use serde::Deserialize;
use serde::Serialize;

/// Longest latency that is told apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 600_000;

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallEnd {
    /// The whole answer came.
    Complete {
        /// Time from the first try to the first token or the answer.
        first: time::Millis,
        /// Whether every target was met.
        within_target: bool,
    },
    /// It was refused for good.
    Refused(samphiremoor_base::reason::RefusalReason),
    /// The upstream was lost and the call could not be tried again.
    Failed,
}

/// A service, by urgency first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ServiceKey {
    priority: quantity::PriorityLevel,
    service: id::ServiceId,
}

/// Results of one service.
#[derive(Clone, Debug)]
struct ServiceTally {
    sent: u64,
    complete: u64,
    within: u64,
    first: Histogram<u64>,
    ends: collections::BTreeMap<&'static str, u64>,
}

impl ServiceTally {
    fn new() -> Self {
        let first = Histogram::new_with_max(MAX_LATENCY_MS, 3).expect("the bounds are valid");
        ServiceTally { sent: 0, complete: 0, within: 0, first, ends: collections::BTreeMap::new() }
    }
}

/// Counts of one run.
#[derive(Clone, Debug, Default)]
pub struct RunTally {
    services: collections::BTreeMap<ServiceKey, ServiceTally>,
    /// Refusals, those that were followed by another try included.
    pub refusals: u64,
    /// Calls that were sent again since a replica was lost.
    pub moved: u64,
    /// Prompt tokens of all dispatches.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines computed.
    pub computed_tokens: u64,
    /// Computed tokens that some engine had computed before.
    pub recomputed_tokens: u64,
}

/// Results of one service, for reports.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ServiceReport {
    /// The service.
    pub service: id::ServiceId,
    /// Its priority.
    pub priority: quantity::PriorityLevel,
    /// Calls.
    pub sent: u64,
    /// Whole answers.
    pub complete: u64,
    /// Share of the calls that were answered within every target, in hundredths.
    pub within_percent: f64,
    /// Median time to the first token, of the answered calls, in milliseconds.
    pub first_p50_ms: u64,
    /// 95th percentile of it.
    pub first_p95_ms: u64,
    /// 99th percentile of it.
    pub first_p99_ms: u64,
    /// Calls that ended otherwise, by reason.
    pub other_ends: collections::BTreeMap<String, u64>,
}

/// Results of a run, for reports.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct RunReport {
    /// Calls.
    pub sent: u64,
    /// Whole answers.
    pub complete: u64,
    /// Answers within every target, in a second.
    pub goodput_per_second: f64,
    /// By service, the most urgent first.
    pub services: Vec<ServiceReport>,
    /// Calls that ended otherwise, by reason.
    pub other_ends: collections::BTreeMap<String, u64>,
    /// Refusals, those that were followed by another try included.
    pub refusals: u64,
    /// Calls that were sent again since a replica was lost.
    pub moved: u64,
    /// Prompt tokens of all dispatches.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines computed.
    pub computed_tokens: u64,
    /// Computed tokens that some engine had computed before.
    pub recomputed_tokens: u64,
    /// Price of the replicas' whole time for a thousand answers within target, in currency units.
    pub cost_per_thousand: f64,
    /// Price of the replicas' busy time for a thousand answers within target, where it is known.
    pub busy_cost_per_thousand: Option<f64>,
}

/// Price of the replicas over a run, in currency units.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunCost {
    /// Of all their time.
    pub whole: f64,
    /// Of the time in which they computed, where it is known.
    pub busy: Option<f64>,
}

impl RunTally {
    /// Counts a call that ended.
    pub fn end(&mut self, service: &set::ServiceRecord, end: CallEnd) {
        let key = ServiceKey { priority: service.priority, service: service.id.clone() };
        let tally = self.services.entry(key).or_insert_with(ServiceTally::new);
        tally.sent += 1;
        match end {
            CallEnd::Complete { first, within_target } => {
                tally.complete += 1;
                tally.within += u64::from(within_target);
                tally.first.saturating_record(first.get());
            }
            CallEnd::Refused(reason) => *tally.ends.entry(reason.label()).or_default() += 1,
            CallEnd::Failed => *tally.ends.entry("failed").or_default() += 1,
        }
    }

    fn other_ends(&self) -> collections::BTreeMap<String, u64> {
        let mut sums: collections::BTreeMap<String, u64> = collections::BTreeMap::new();
        for (reason, count) in self.services.values().flat_map(|tally| &tally.ends) {
            *sums.entry((*reason).to_owned()).or_default() += count;
        }
        sums
    }

    /// The report of a run in which calls were counted for `length`.
    pub fn report(&self, length: time::Millis, cost: RunCost) -> RunReport {
        let sum = |part: fn(&ServiceTally) -> u64| self.services.values().map(part).sum::<u64>();
        let within = sum(|tally| tally.within);
        let per_thousand = |price: f64| price / (within.max(1) as f64 / 1_000.0);
        RunReport {
            sent: sum(|tally| tally.sent),
            complete: sum(|tally| tally.complete),
            goodput_per_second: within as f64 / (length.get() as f64 / 1_000.0),
            services: self.services.iter().map(service_report).collect(),
            other_ends: self.other_ends(),
            refusals: self.refusals,
            moved: self.moved,
            prompt_tokens: self.prompt_tokens,
            computed_tokens: self.computed_tokens,
            recomputed_tokens: self.recomputed_tokens,
            cost_per_thousand: per_thousand(cost.whole),
            busy_cost_per_thousand: cost.busy.map(per_thousand),
        }
    }
}

fn service_report((key, tally): (&ServiceKey, &ServiceTally)) -> ServiceReport {
    ServiceReport {
        service: key.service.clone(),
        priority: key.priority,
        sent: tally.sent,
        complete: tally.complete,
        within_percent: 100.0 * tally.within as f64 / tally.sent.max(1) as f64,
        first_p50_ms: tally.first.value_at_quantile(0.50),
        first_p95_ms: tally.first.value_at_quantile(0.95),
        first_p99_ms: tally.first.value_at_quantile(0.99),
        other_ends: owned(&tally.ends),
    }
}

fn owned(ends: &collections::BTreeMap<&'static str, u64>) -> collections::BTreeMap<String, u64> {
    ends.iter().map(|(reason, count)| ((*reason).to_owned(), *count)).collect()
}
