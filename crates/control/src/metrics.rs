//! Metrics of the control thread.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// Counters and gauges of the control thread.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    /// Changes of the revision in force.
    pub revision_changes: IntCounter,
    /// Revisions whose records were invalid.
    pub revision_refusals: IntCounter,
    /// Reads from the platform, by kind and result.
    pub platform_reads: IntCounterVec,
    /// Requests to peers, by kind and result.
    pub peer_calls: IntCounterVec,
    /// Requests received from peers.
    pub peer_requests: IntCounter,
    /// Encoded bytes of messages to and from peers, by direction.
    pub peer_bytes: IntCounterVec,
    /// Polls of upstreams, by result.
    pub upstream_polls: IntCounterVec,
    /// Published views.
    pub views: IntCounter,
    /// Known upstreams, by state.
    pub upstreams: IntGaugeVec,
}

impl ControlMetrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &Registry) -> Self {
        let register_counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("metric names are valid");
            register(registry, counter)
        };
        let register_counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels);
            register(registry, counters.expect("metric names are valid"))
        };
        let upstreams = IntGaugeVec::new(
            Opts::new("samphiremoor_upstreams", "Upstreams that are known, by state"),
            &["state"],
        );
        ControlMetrics {
            revision_changes: register_counter(
                "samphiremoor_revision_changes_total",
                "Changes of the revision in force",
            ),
            revision_refusals: register_counter(
                "samphiremoor_revision_refusals_total",
                "Revisions whose records could not be served",
            ),
            platform_reads: register_counters(
                "samphiremoor_platform_reads_total",
                "Reads from the platform",
                &["what", "result"],
            ),
            peer_calls: register_counters(
                "samphiremoor_peer_calls_total",
                "Calls to control threads of other daemons",
                &["message", "result"],
            ),
            peer_requests: register_counter(
                "samphiremoor_peer_questions_total",
                "Questions of other daemons to the control thread",
            ),
            peer_bytes: register_counters(
                "samphiremoor_peer_bytes_total",
                "Encoded bytes of messages between control threads",
                &["direction"],
            ),
            upstream_polls: register_counters(
                "samphiremoor_upstream_polls_total",
                "Polls of upstreams",
                &["result"],
            ),
            views: register_counter("samphiremoor_views_total", "Views that the daemon was given"),
            upstreams: register(registry, upstreams.expect("metric names are valid")),
        }
    }
}

/// Registers a metric and returns it.
fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    collector: C,
) -> C {
    registry.register(Box::new(collector.clone())).expect("metric names are unique");
    collector
}
