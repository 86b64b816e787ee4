//! Metrics of the entry daemon.

use std::time;

use prometheus::Encoder as _;
use samphiremoor_base::id;
use samphiremoor_base::outcome;
use samphiremoor_base::reason;
use samphiremoor_requests::action;

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: &[f64] = &[
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.071, 0.1, 0.2, 0.5, 1.1, 2.0, 5.0, 10.0, 30.0,
];

/// All metrics of an entry daemon, in their own registry.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: prometheus::Registry,
    requests: prometheus::IntCounterVec,
    refusals: prometheus::IntCounterVec,
    retries: prometheus::IntCounterVec,
    drops: prometheus::IntCounterVec,
    first_token: prometheus::HistogramVec,
    between_tokens: prometheus::HistogramVec,
    request_duration: prometheus::HistogramVec,
    /// Requests in progress.
    pub in_progress: prometheus::IntGauge,
    /// Number of kept requests.
    pub kept_requests: prometheus::IntGauge,
    /// Bytes of the kept requests.
    pub kept_bytes: prometheus::IntGauge,
    /// Streams that were resumed at their offset on another connection.
    pub moved_streams: prometheus::IntCounter,
    /// Number of connections to upstreams by way of other daemons.
    pub tunnels: prometheus::IntCounter,
    /// KV caches that were transferred to the next replica.
    pub moved_caches: prometheus::IntCounter,
    /// Tokens that a replica recomputed to resume a stream.
    pub recomputed_tokens: prometheus::IntCounter,
    /// Requests handed over to peers.
    pub handed_over: prometheus::IntCounter,
    /// Calls under which an engine crashed before their responses survived.
    pub engine_crashes: prometheus::IntCounter,
    /// Messages whose calls are refused.
    pub quarantined_messages: prometheus::IntGauge,
    /// Number of quarantined calls.
    pub quarantined_calls: prometheus::IntGauge,
    /// Revision of the records in force.
    pub revision: prometheus::IntGauge,
    /// 1 while the daemon is ready for new requests, else 0.
    pub ready: prometheus::IntGauge,
}

impl EntryMetrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let registry = prometheus::Registry::new();
        let metrics = EntryMetrics {
            requests: counter_vec(
                &registry,
                "samphiremoor_requests_total",
                "Requests that ended, by service and outcome.",
                &["service", "outcome"],
            ),
            refusals: counter_vec(
                &registry,
                "samphiremoor_refusals_total",
                "Requests refused or given up, by reason.",
                &["reason"],
            ),
            retries: counter_vec(
                &registry,
                "samphiremoor_retries_total",
                "Requests tried again, by reason.",
                &["reason"],
            ),
            drops: counter_vec(
                &registry,
                "samphiremoor_dropped_answers_total",
                "Parts of answers that were dropped, by cause.",
                &["cause"],
            ),
            first_token: histogram_vec(
                &registry,
                "samphiremoor_first_token_seconds",
                "Time to the first token, or to the answer of a plain service.",
            ),
            between_tokens: histogram_vec(
                &registry,
                "samphiremoor_between_tokens_seconds",
                "Time between two tokens.",
            ),
            request_duration: histogram_vec(
                &registry,
                "samphiremoor_request_seconds",
                "Time from acceptance to the end.",
            ),
            in_progress: gauge(
                &registry,
                "samphiremoor_requests_in_progress",
                "Requests in progress.",
            ),
            kept_requests: gauge(
                &registry,
                "samphiremoor_kept_requests",
                "Requests kept for callers that attach again.",
            ),
            kept_bytes: gauge(&registry, "samphiremoor_kept_bytes", "Bytes of the kept requests."),
            tunnels: counter(
                &registry,
                "samphiremoor_tunnels_total",
                "Connections to upstreams by way of other daemons.",
            ),
            moved_streams: counter(
                &registry,
                "samphiremoor_moved_streams_total",
                "Streams that went on at their offset on another connection.",
            ),
            moved_caches: counter(
                &registry,
                "samphiremoor_moved_caches_total",
                "KV caches that were moved from a leaving replica to the next one.",
            ),
            recomputed_tokens: counter(
                &registry,
                "samphiremoor_recomputed_tokens_total",
                "Tokens computed again by a replica that went on with a stream.",
            ),
            handed_over: counter(
                &registry,
                "samphiremoor_handed_over_total",
                "Requests handed over to peers.",
            ),
            engine_crashes: counter(
                &registry,
                "samphiremoor_engine_crashes_total",
                "Calls under which an engine crashed before their responses survived.",
            ),
            quarantined_messages: gauge(
                &registry,
                "samphiremoor_quarantined_messages",
                "Messages whose calls are refused, since engines crash under them.",
            ),
            quarantined_calls: gauge(
                &registry,
                "samphiremoor_quarantined_calls",
                "Calls that are refused whenever they come, since upstreams crash under them.",
            ),
            revision: gauge(
                &registry,
                "samphiremoor_revision_in_force",
                "Revision of the records in force.",
            ),
            ready: gauge(&registry, "samphiremoor_ready", "1 while the daemon takes new work."),
            registry,
        };
        metrics.create_reason_counters();
        metrics
    }

    /// Creates the counter of every reason, so that a scrape shows it before its first increment.
    fn create_reason_counters(&self) {
        for reason in reason::RefusalReason::ALL {
            self.refusals.with_label_values(&[reason.label()]);
        }
        for reason in reason::RetryReason::ALL {
            self.retries.with_label_values(&[reason.label()]);
        }
    }

    /// Returns the registry, for the metrics of other crates.
    pub fn registry(&self) -> &prometheus::Registry {
        &self.registry
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: reason::RefusalReason) {
        self.refusals.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: reason::RetryReason) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a dropped part of a response.
    pub fn count_drop(&self, cause: action::DropCause) {
        self.drops.with_label_values(&[cause.label()]).inc();
    }

    /// Counts a finished request and records the time from its acceptance to its end.
    pub fn observe_request(
        &self,
        service: &id::ServiceId,
        outcome: outcome::CallOutcome,
        duration: time::Duration,
    ) {
        self.requests.with_label_values(&[service.as_str(), outcome.label()]).inc();
        self.request_duration
            .with_label_values(&[service.as_str()])
            .observe(duration.as_secs_f64());
    }

    /// Returns the latency histograms of one service.
    pub fn token_latency(&self, service: &id::ServiceId) -> TokenLatency {
        TokenLatency {
            first_token: self.first_token.with_label_values(&[service.as_str()]),
            between_tokens: self.between_tokens.with_label_values(&[service.as_str()]),
        }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("encoding to memory succeeds and every family has a metric");
        text
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        EntryMetrics::new()
    }
}

/// Latency histograms of one service, looked up once per request.
#[derive(Clone, Debug)]
pub struct TokenLatency {
    /// Time to the first token, or to a plain service's response.
    pub first_token: prometheus::Histogram,
    /// Time between two tokens.
    pub between_tokens: prometheus::Histogram,
}

fn counter_vec(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::IntCounterVec {
    let counters = prometheus::IntCounterVec::new(prometheus::Opts::new(name, help), labels)
        .expect("the name and the labels are valid");
    register(registry, &counters);
    counters
}

fn counter(registry: &prometheus::Registry, name: &str, help: &str) -> prometheus::IntCounter {
    let counter = prometheus::IntCounter::new(name, help).expect("the name is valid");
    register(registry, &counter);
    counter
}

fn gauge(registry: &prometheus::Registry, name: &str, help: &str) -> prometheus::IntGauge {
    let gauge = prometheus::IntGauge::new(name, help).expect("the name is valid");
    register(registry, &gauge);
    gauge
}

fn histogram_vec(
    registry: &prometheus::Registry,
    name: &str,
    help: &str,
) -> prometheus::HistogramVec {
    let opts = prometheus::HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
    let histograms = prometheus::HistogramVec::new(opts, &["service"])
        .expect("the name, the bounds and the label are valid");
    register(registry, &histograms);
    histograms
}

fn register<C>(registry: &prometheus::Registry, collector: &C)
where
    C: prometheus::core::Collector + Clone + 'static,
{
    registry.register(Box::new(collector.clone())).expect("each metric is registered once");
}
