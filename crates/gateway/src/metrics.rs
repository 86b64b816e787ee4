//! Counters and histograms of the gateway.

use prometheus::Encoder as _;
use prometheus::core;
use samphiremoor_base::reason;
use samphiremoor_base::time;

/// Bounds of the latency histograms, in seconds: around the targets of deployments.
const LATENCY_BOUNDS: &[f64] =
    &[0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 15.0];

/// Counters and histograms.
pub struct GatewayMetrics {
    registry: prometheus::Registry,
    answers: prometheus::IntCounterVec,
    refusals: prometheus::IntCounterVec,
    retries: prometheus::IntCounterVec,
    first: prometheus::Histogram,
    whole: prometheus::Histogram,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let registry = prometheus::Registry::new();
        let counters = |name: &str, help: &str, label: &str| {
            let options = prometheus::Opts::new(name, help);
            let made = prometheus::IntCounterVec::new(options, &[label]);
            register(&registry, made.expect("the name and label are valid"))
        };
        let histogram = |name: &str, help: &str| {
            let options =
                prometheus::HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
            let made = prometheus::Histogram::with_opts(options);
            register(&registry, made.expect("the name and bounds are valid"))
        };
        let answers =
            counters("samphiremoor_gateway_answers_total", "Requests by their end.", "end");
        let refusals =
            counters("samphiremoor_gateway_refusals_total", "Refusals by reason.", "reason");
        let retries =
            counters("samphiremoor_gateway_retries_total", "Further sends by reason.", "reason");
        let first =
            histogram("samphiremoor_gateway_first_seconds", "Time to the first byte of an answer.");
        let whole = histogram("samphiremoor_gateway_whole_seconds", "Time to the whole answer.");
        GatewayMetrics { registry, answers, refusals, retries, first, whole }
    }
}

fn register<C: core::Collector + Clone + 'static>(
    registry: &prometheus::Registry,
    collector: C,
) -> C {
    registry.register(Box::new(collector.clone())).expect("each name is registered once");
    collector
}

impl GatewayMetrics {
    /// A request ended.
    pub fn answered(&self, end: &str) {
        self.answers.with_label_values(&[end]).inc();
    }

    /// A request was refused.
    pub fn refused(&self, reason: reason::RefusalReason) {
        self.refusals.with_label_values(&[reason.label()]).inc();
    }

    /// A request is sent again.
    pub fn retried(&self, reason: reason::RetryReason) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// The first byte of an answer came.
    pub fn first(&self, after: time::Millis) {
        self.first.observe(after.to_duration().as_secs_f64());
    }

    /// An answer was delivered.
    pub fn whole(&self, after: time::Millis) {
        self.whole.observe(after.to_duration().as_secs_f64());
    }

    /// All figures as text.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(cause) =
            prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text)
        {
            log::warn!("metrics can't be written ({cause}); scrape again");
        }
        text
    }
}
