//! Metrics of the control daemon.

use prometheus::Encoder as _;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Counters and gauges of one daemon.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    registry: Registry,
    /// The revision in force.
    pub revision: IntGauge,
    /// Changes of the revision in force.
    pub revision_changes: IntCounter,
    /// Revisions that could not be served.
    pub revision_refusals: IntCounter,
    /// Reads from the platform, by what was read and by result.
    pub platform_reads: IntCounterVec,
    /// Calls to peers, by message and by result.
    pub peer_calls: IntCounterVec,
    /// Questions of peers that were answered.
    pub peer_questions: IntCounter,
    /// Bytes of messages to and from peers, encoded, by direction.
    pub peer_bytes: IntCounterVec,
    /// Polls of upstreams, by result.
    pub upstream_polls: IntCounterVec,
    /// Views shown to the entry daemon.
    pub views: IntCounter,
    /// Upstreams by state.
    pub upstreams: IntGaugeVec,
}

impl ControlMetrics {
    /// Metrics at zero, in a registry of their own.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("metric names are constants");
            register(&registry, counter)
        };
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let vector = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, vector.expect("metric names are constants"))
        };
        let revision = IntGauge::new("samphiremoor_revision", "Revision of the records in force");
        let upstreams = IntGaugeVec::new(
            Opts::new("samphiremoor_upstreams", "Upstreams that are known, by state"),
            &["state"],
        );
        ControlMetrics {
            revision: register(&registry, revision.expect("metric names are constants")),
            revision_changes: counter(
                "samphiremoor_revision_changes_total",
                "Changes of the revision in force",
            ),
            revision_refusals: counter(
                "samphiremoor_revision_refusals_total",
                "Revisions whose records could not be served",
            ),
            platform_reads: counters(
                "samphiremoor_platform_reads_total",
                "Reads from the platform",
                &["what", "result"],
            ),
            peer_calls: counters(
                "samphiremoor_peer_calls_total",
                "Calls to other control daemons",
                &["message", "result"],
            ),
            peer_questions: counter(
                "samphiremoor_peer_questions_total",
                "Questions of other control daemons",
            ),
            peer_bytes: counters(
                "samphiremoor_peer_bytes_total",
                "Encoded bytes of messages between control daemons",
                &["direction"],
            ),
            upstream_polls: counters(
                "samphiremoor_upstream_polls_total",
                "Polls of upstreams",
                &["result"],
            ),
            views: counter("samphiremoor_views_total", "Views shown to the entry daemon"),
            upstreams: register(&registry, upstreams.expect("metric names are constants")),
            registry,
        }
    }

    /// The text that `/metrics` answers.
    pub fn to_text(&self) -> String {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("memory takes every text");
        String::from_utf8_lossy(&text).into_owned()
    }
}

impl Default for ControlMetrics {
    fn default() -> Self {
        ControlMetrics::new()
    }
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    collector: C,
) -> C {
    registry.register(Box::new(collector.clone())).expect("each name is registered once");
    collector
}
