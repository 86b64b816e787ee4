//! Counts the ends of the calls of a run and reports the results.

use std::collections;

use hdrhistogram::Histogram;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_records::set;
use serde::Deserialize;
use serde::Serialize;

/// Maximum latency of the histograms, in milliseconds; greater latencies are recorded as this
/// value.
const MAX_LATENCY_MS: u64 = 600_000;

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallEnd {
    /// The complete response was received.
    Complete {
        /// Time from the planned arrival to the first token, or to the response of a plain service.
        ttft: time::Millis,
        /// Whether every latency target was met.
        within_target: bool,
    },
    /// The last attempt was refused.
    Refused(samphiremoor_base::reason::RefusalReason),
    /// The call failed and could not be retried.
    Failed,
}

/// A service, ordered by priority and then by id.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ServiceKey {
    priority: quantity::PriorityLevel,
    service: id::ServiceId,
}

/// Counters of one service.
#[derive(Clone, Debug)]
struct ServiceTally {
    /// Calls that ended.
    ended: u64,
    complete: u64,
    within_target: u64,
    /// Times to first token of the complete calls, in milliseconds.
    ttft: Histogram<u64>,
    /// Calls that were refused or failed, by reason.
    other_ends: collections::BTreeMap<&'static str, u64>,
}

impl ServiceTally {
    fn new() -> Self {
        // Recorded with three significant digits.
        let ttft = Histogram::new_with_max(MAX_LATENCY_MS, 3).expect("the bounds are valid");
        ServiceTally {
            ended: 0,
            complete: 0,
            within_target: 0,
            ttft,
            other_ends: collections::BTreeMap::new(),
        }
    }
}

/// Counters of one run.
#[derive(Clone, Debug, Default)]
pub struct RunTally {
    services: collections::BTreeMap<ServiceKey, ServiceTally>,
    /// Refused attempts, including those that were retried.
    pub refusals: u64,
    /// Calls that were redispatched because their replica was lost.
    pub moved_calls: u64,
    /// Prompt tokens of the calls; an experiment counts them at each admission by an engine.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines computed rather than read from their prefix caches.
    pub computed_tokens: u64,
    /// Tokens that an engine computed although some engine had computed them before.
    pub recomputed_tokens: u64,
}

/// Report on one service.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ServiceReport {
    /// Id of the service.
    pub service: id::ServiceId,
    /// Priority of the service.
    pub priority: quantity::PriorityLevel,
    /// Calls that ended.
    pub sent: u64,
    /// Calls with a complete response.
    pub complete: u64,
    /// Percentage of the calls that met every latency target.
    pub within_percent: f64,
    /// Median time to first token of the complete calls, in milliseconds.
    pub first_p50_ms: u64,
    /// 95th percentile of the time to first token of the complete calls, in milliseconds.
    pub first_p95_ms: u64,
    /// 99th percentile of the time to first token of the complete calls, in milliseconds.
    pub first_p99_ms: u64,
    /// Calls that were refused or failed, by reason.
    pub other_ends: collections::BTreeMap<String, u64>,
}

/// Report on a run.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct RunReport {
    /// Calls that ended.
    pub sent: u64,
    /// Calls with a complete response.
    pub complete: u64,
    /// Calls that met every latency target, per second.
    pub goodput_per_second: f64,
    /// Reports by service, the most urgent service first.
    pub services: Vec<ServiceReport>,
    /// Calls that were refused or failed, by reason.
    pub other_ends: collections::BTreeMap<String, u64>,
    /// Refused attempts, including those that were retried.
    pub refusals: u64,
    /// Calls that were redispatched because their replica was lost.
    pub moved: u64,
    /// Prompt tokens of the calls; an experiment counts them at each admission by an engine.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines computed rather than read from their prefix caches.
    pub computed_tokens: u64,
    /// Tokens that an engine computed although some engine had computed them before.
    pub recomputed_tokens: u64,
    /// Price of the replicas for a thousand calls within target, in currency units.
    pub cost_per_thousand: f64,
    /// Price of the replicas' busy time for a thousand calls within target, if it is known.
    pub busy_cost_per_thousand: Option<f64>,
}

/// Price of the replicas over a run, in currency units.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunCost {
    /// Price of the time for which the replicas were held.
    pub held: f64,
    /// Price of the busy time, if it is known.
    pub busy: Option<f64>,
}

impl RunTally {
    /// Records the end of a call.
    pub fn record_end(&mut self, service: &set::ServiceRecord, end: CallEnd) {
        let key = ServiceKey { priority: service.priority, service: service.id.clone() };
        let tally = self.services.entry(key).or_insert_with(ServiceTally::new);
        tally.ended += 1;
        match end {
            CallEnd::Complete { ttft, within_target } => {
                tally.complete += 1;
                tally.within_target += u64::from(within_target);
                tally.ttft.saturating_record(ttft.get());
            }
            CallEnd::Refused(reason) => *tally.other_ends.entry(reason.label()).or_default() += 1,
            CallEnd::Failed => *tally.other_ends.entry("failed").or_default() += 1,
        }
    }

    fn other_ends(&self) -> collections::BTreeMap<String, u64> {
        let mut counts: collections::BTreeMap<String, u64> = collections::BTreeMap::new();
        for (reason, count) in self.services.values().flat_map(|tally| &tally.other_ends) {
            *counts.entry((*reason).to_owned()).or_default() += count;
        }
        counts
    }

    /// Returns the report of a run whose calls were counted for `counted_time`.
    pub fn report(&self, counted_time: time::Millis, cost: RunCost) -> RunReport {
        let sum_services =
            |counter: fn(&ServiceTally) -> u64| self.services.values().map(counter).sum::<u64>();
        let within_target = sum_services(|tally| tally.within_target);
        let price_per_thousand = |price: f64| price / (within_target.max(1) as f64 / 1_000.0);
        RunReport {
            sent: sum_services(|tally| tally.ended),
            complete: sum_services(|tally| tally.complete),
            goodput_per_second: within_target as f64 / (counted_time.get() as f64 / 1_000.0),
            services: self.services.iter().map(service_report).collect(),
            other_ends: self.other_ends(),
            refusals: self.refusals,
            moved: self.moved_calls,
            prompt_tokens: self.prompt_tokens,
            computed_tokens: self.computed_tokens,
            recomputed_tokens: self.recomputed_tokens,
            cost_per_thousand: price_per_thousand(cost.held),
            busy_cost_per_thousand: cost.busy.map(price_per_thousand),
        }
    }
}

fn service_report((key, tally): (&ServiceKey, &ServiceTally)) -> ServiceReport {
    ServiceReport {
        service: key.service.clone(),
        priority: key.priority,
        sent: tally.ended,
        complete: tally.complete,
        within_percent: 100.0 * tally.within_target as f64 / tally.ended.max(1) as f64,
        first_p50_ms: tally.ttft.value_at_quantile(0.50),
        first_p95_ms: tally.ttft.value_at_quantile(0.95),
        first_p99_ms: tally.ttft.value_at_quantile(0.99),
        other_ends: owned_labels(&tally.other_ends),
    }
}

fn owned_labels(
    other_ends: &collections::BTreeMap<&'static str, u64>,
) -> collections::BTreeMap<String, u64> {
    other_ends.iter().map(|(reason, count)| ((*reason).to_owned(), *count)).collect()
}
