//! Prometheus metrics of the gateway.

use prometheus::Encoder as _;
use prometheus::core;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;

use crate::response;

/// Bucket bounds of the latency histograms, in seconds; they are densest around the latency targets
/// of deployments.
const LATENCY_BOUNDS: &[f64] =
    &[0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 15.0];

/// What a call to the platform's table is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableCall {
    /// Reads the replicas' entries, or their changes.
    Entries,
    /// Reads the policy, or waits for a newer one.
    Policy,
    /// Reads or writes the rows of daemons.
    Daemons,
    /// Reads or writes the lease on the duties.
    Lease,
    /// Reads or writes decided usage reports.
    Reports,
    /// Reads or writes what is quarantined.
    Quarantine,
    /// Reads or writes the states of rollouts.
    Rollouts,
}

impl TableCall {
    fn label(self) -> &'static str {
        match self {
            TableCall::Entries => "entries",
            TableCall::Policy => "policy",
            TableCall::Daemons => "daemons",
            TableCall::Lease => "lease",
            TableCall::Reports => "reports",
            TableCall::Quarantine => "quarantine",
            TableCall::Rollouts => "rollouts",
        }
    }
}

/// Counters and histograms of the gateway.
pub struct GatewayMetrics {
    registry: prometheus::Registry,
    outcomes: prometheus::IntCounterVec,
    responses: prometheus::IntCounterVec,
    refusals: prometheus::IntCounterVec,
    retries: prometheus::IntCounterVec,
    resumes: prometheus::IntCounterVec,
    rollout_phases: prometheus::IntCounterVec,
    bad_versions: prometheus::IntCounter,
    store_restores: prometheus::IntCounter,
    unreadable_entries: prometheus::IntCounter,
    entry_repairs: prometheus::IntCounter,
    document_reads: prometheus::IntCounterVec,
    document_bytes: prometheus::IntCounter,
    limited_replicas: prometheus::IntGauge,
    lost_reports: prometheus::IntCounter,
    replica_crashes: prometheus::IntCounter,
    refuted_crashes: prometheus::IntCounter,
    response_departures: prometheus::IntCounter,
    replica_pauses: prometheus::IntCounter,
    paused_replicas: prometheus::IntGauge,
    tunnels: prometheus::IntCounterVec,
    table_calls: prometheus::IntCounterVec,
    relayed_tunnels: prometheus::IntGauge,
    suspected_paths: prometheus::IntGauge,
    quarantined_segments: prometheus::IntGauge,
    quarantined_requests: prometheus::IntGauge,
    caller_connections: prometheus::IntGauge,
    received_bytes: prometheus::IntGauge,
    first_byte_seconds: prometheus::Histogram,
    total_seconds: prometheus::Histogram,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let registry = prometheus::Registry::new();
        let counter_vec = |name: &str, help: &str, label: &str| {
            let options = prometheus::Opts::new(name, help);
            let counter = prometheus::IntCounterVec::new(options, &[label]);
            register(&registry, counter.expect("the name and label are valid"))
        };
        let histogram = |name: &str, help: &str| {
            let options =
                prometheus::HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
            let histogram = prometheus::Histogram::with_opts(options);
            register(&registry, histogram.expect("the name and bounds are valid"))
        };
        let outcomes =
            counter_vec("samphiremoor_gateway_answers_total", "Requests by their end.", "end");
        let responses = counter_vec(
            "samphiremoor_gateway_responses_total",
            "Responses by how far they were written.",
            "response",
        );
        let refusals =
            counter_vec("samphiremoor_gateway_refusals_total", "Refusals by reason.", "reason");
        let retries =
            counter_vec("samphiremoor_gateway_retries_total", "Further sends by reason.", "reason");
        let resumes = counter_vec(
            "samphiremoor_gateway_resumes_total",
            "Streams that callers resume, by where their origin was found.",
            "origin",
        );
        let rollout_phases = counter_vec(
            "samphiremoor_gateway_rollout_phases_total",
            "Phases of rollouts that began, as this daemon knows them.",
            "phase",
        );
        let bad_versions = prometheus::IntCounter::new(
            "samphiremoor_gateway_rollout_bad_versions_total",
            "Versions that this daemon found bad.",
        );
        let bad_versions = register(&registry, bad_versions.expect("the name is valid"));
        let store_restores = prometheus::IntCounter::new(
            "samphiremoor_gateway_store_restores_total",
            "Returns of the platform's table from an older copy.",
        );
        let store_restores = register(&registry, store_restores.expect("the name is valid"));
        let entry_repairs = prometheus::IntCounter::new(
            "samphiremoor_gateway_entry_repairs_total",
            "Copies of the replica entries that were made again because they differed from their source.",
        );
        let entry_repairs = register(&registry, entry_repairs.expect("the name is valid"));
        let unreadable_entries = prometheus::IntCounter::new(
            "samphiremoor_gateway_unreadable_entries_total",
            "Reads of rows among the replicas' that are no entries.",
        );
        let unreadable_entries =
            register(&registry, unreadable_entries.expect("the name is valid"));
        let document_reads = counter_vec(
            "samphiremoor_gateway_document_reads_total",
            "Reads of the operators' document from other daemons, by result.",
            "result",
        );
        let document_bytes = prometheus::IntCounter::new(
            "samphiremoor_gateway_document_sent_bytes_total",
            "Bytes of the operators' document sent to other daemons.",
        );
        let document_bytes = register(&registry, document_bytes.expect("the name is valid"));
        let limited_replicas = prometheus::IntGauge::new(
            "samphiremoor_gateway_limited_replicas",
            "Replicas that name a limit on their requests.",
        );
        let limited_replicas = register(&registry, limited_replicas.expect("the name is valid"));
        let lost_reports = prometheus::IntCounter::new(
            "samphiremoor_gateway_lost_reports_total",
            "Usage windows that were not reported since the table has lost their reports.",
        );
        let lost_reports = register(&registry, lost_reports.expect("the name is valid"));
        let replica_crashes = prometheus::IntCounter::new(
            "samphiremoor_gateway_replica_crashes_total",
            "Requests of this daemon under which a replica crashed before they survived.",
        );
        let replica_crashes = register(&registry, replica_crashes.expect("the name is valid"));
        let refuted_crashes = prometheus::IntCounter::new(
            "samphiremoor_gateway_refuted_crashes_total",
            "Crashes that were reported of replicas that are alive.",
        );
        let refuted_crashes = register(&registry, refuted_crashes.expect("the name is valid"));
        let response_departures = prometheus::IntCounter::new(
            "samphiremoor_gateway_response_departures_total",
            "Replicas that said in a response that they leave, before their entries did.",
        );
        let response_departures =
            register(&registry, response_departures.expect("the name is valid"));
        let replica_pauses = prometheus::IntCounter::new(
            "samphiremoor_gateway_replica_pauses_total",
            "Pauses that replicas asked this daemon for.",
        );
        let replica_pauses = register(&registry, replica_pauses.expect("the name is valid"));
        let paused_replicas = prometheus::IntGauge::new(
            "samphiremoor_gateway_paused_replicas",
            "Replicas that want no request from this daemon now.",
        );
        let paused_replicas = register(&registry, paused_replicas.expect("the name is valid"));
        let table_calls = counter_vec(
            "samphiremoor_gateway_table_calls_total",
            "Calls to the platform's table, by what they read or write.",
            "purpose",
        );
        let tunnels = counter_vec(
            "samphiremoor_gateway_tunnels_total",
            "Connections to replicas by way of other daemons, by result.",
            "result",
        );
        let relayed_tunnels = prometheus::IntGauge::new(
            "samphiremoor_gateway_relayed_tunnels",
            "Connections of other daemons to replicas that this daemon relays.",
        );
        let relayed_tunnels = register(&registry, relayed_tunnels.expect("the name is valid"));
        let suspected_paths = prometheus::IntGauge::new(
            "samphiremoor_gateway_suspected_paths",
            "Services by availability zone that this daemon seems to reach only by way of others.",
        );
        let suspected_paths = register(&registry, suspected_paths.expect("the name is valid"));
        let quarantined_requests = prometheus::IntGauge::new(
            "samphiremoor_gateway_quarantined_requests",
            "Requests that are refused whenever they come, since replicas crash under them.",
        );
        let quarantined_requests =
            register(&registry, quarantined_requests.expect("the name is valid"));
        let quarantined_segments = prometheus::IntGauge::new(
            "samphiremoor_gateway_quarantined_segments",
            "Prompt segments whose requests are refused, since replicas crash under them.",
        );
        let quarantined_segments =
            register(&registry, quarantined_segments.expect("the name is valid"));
        let caller_connections = prometheus::IntGauge::new(
            "samphiremoor_gateway_caller_connections",
            "Open connections of callers.",
        );
        let caller_connections =
            register(&registry, caller_connections.expect("the name is valid"));
        let received_bytes = prometheus::IntGauge::new(
            "samphiremoor_gateway_received_bytes",
            "Memory that requests of callers use, in bytes.",
        );
        let received_bytes = register(&registry, received_bytes.expect("the name is valid"));
        let first_byte_seconds =
            histogram("samphiremoor_gateway_first_seconds", "Time to the first byte of an answer.");
        let total_seconds =
            histogram("samphiremoor_gateway_whole_seconds", "Time to the whole answer.");
        GatewayMetrics {
            registry,
            outcomes,
            responses,
            refusals,
            retries,
            resumes,
            rollout_phases,
            bad_versions,
            store_restores,
            unreadable_entries,
            entry_repairs,
            document_reads,
            document_bytes,
            limited_replicas,
            lost_reports,
            replica_crashes,
            refuted_crashes,
            response_departures,
            replica_pauses,
            paused_replicas,
            tunnels,
            table_calls,
            relayed_tunnels,
            suspected_paths,
            quarantined_segments,
            quarantined_requests,
            caller_connections,
            received_bytes,
            first_byte_seconds,
            total_seconds,
        }
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
    /// Counts a request by how it ended.
    pub fn count_outcome(&self, end: &str) {
        self.outcomes.with_label_values(&[end]).inc();
    }

    /// Counts a response by how far it was written.
    pub fn count_response(&self, state: response::ResponseState) {
        self.responses.with_label_values(&[state.label()]).inc();
    }

    /// Counts a refused request.
    pub fn count_refusal(&self, reason: reason::RefusalReason) {
        self.refusals.with_label_values(&[reason.label()]).inc();
    }

    /// Counts an attempt after the first one of a request.
    pub fn count_retry(&self, reason: reason::RetryReason) {
        self.retries.with_label_values(&[reason.label()]).inc();
    }

    /// Counts a stream that a caller resumes by where its origin was found.
    pub fn count_resume(&self, origin: &str) {
        self.resumes.with_label_values(&[origin]).inc();
    }

    /// Counts a phase of a rollout that began.
    pub fn count_rollout_phase(&self, phase: &'static str) {
        self.rollout_phases.with_label_values(&[phase]).inc();
    }

    /// Counts a version that this daemon found bad.
    pub fn count_bad_version(&self) {
        self.bad_versions.inc();
    }

    /// Counts a return of the platform's table from an older copy.
    pub fn count_store_restore(&self) {
        self.store_restores.inc();
    }

    /// Counts a read of the operators' document, or of a part of it, from another daemon.
    pub fn count_document_read(&self, result: &str) {
        self.document_reads.with_label_values(&[result]).inc();
    }

    /// Counts bytes of the operators' document that were sent to another daemon.
    pub fn count_document_bytes(&self, bytes: usize) {
        self.document_bytes.inc_by(bytes as u64);
    }

    /// Sets the number of replicas that name a limit.
    pub fn set_limited_replicas(&self, count: usize) {
        self.limited_replicas.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a window of which the table has lost the usage report.
    pub fn count_lost_report(&self) {
        self.lost_reports.inc();
    }

    /// Counts a request under which a replica crashed before it survived.
    pub fn count_replica_crash(&self) {
        self.replica_crashes.inc();
    }

    /// Counts a crash that was reported of a replica that is alive.
    pub fn count_refuted_crash(&self) {
        self.refuted_crashes.inc();
    }

    /// Counts a row among the replicas' that is no entry.
    pub fn count_unreadable_entry(&self) {
        self.unreadable_entries.inc();
    }

    /// Counts a copy of the replica entries that was made again because it differed from its source.
    pub fn count_entry_repair(&self) {
        self.entry_repairs.inc();
    }

    /// Counts a pause that a replica asked for.
    pub fn count_pause(&self) {
        self.replica_pauses.inc();
    }

    /// Sets the number of replicas that want no request now.
    pub fn set_paused_replicas(&self, count: usize) {
        self.paused_replicas.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a replica that said in a response that it leaves, before its entry did.
    pub fn count_response_departure(&self) {
        self.response_departures.inc();
    }

    /// Counts a connection to a replica by way of another daemon, by its result.
    pub fn count_tunnel(&self, result: &str) {
        self.tunnels.with_label_values(&[result]).inc();
    }

    /// Counts a call to the platform's table.
    pub fn count_table_call(&self, purpose: TableCall) {
        self.table_calls.with_label_values(&[purpose.label()]).inc();
    }

    /// Sets the number of connections of other daemons that this one relays.
    pub fn set_relayed_tunnels(&self, count: u32) {
        self.relayed_tunnels.set(i64::from(count));
    }

    /// Sets the number of path groups that this daemon seems to reach only by way of others.
    pub fn set_suspected_paths(&self, count: usize) {
        self.suspected_paths.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the numbers of quarantined prompt segments and requests.
    pub fn set_quarantined(&self, segments: usize, requests: usize) {
        self.quarantined_segments.set(i64::try_from(segments).unwrap_or(i64::MAX));
        self.quarantined_requests.set(i64::try_from(requests).unwrap_or(i64::MAX));
    }

    /// Sets the number of callers' open connections and the memory that their requests use.
    pub fn set_callers(&self, connections: usize, received: quantity::ByteCount) {
        self.caller_connections.set(i64::try_from(connections).unwrap_or(i64::MAX));
        self.received_bytes.set(i64::try_from(received.get()).unwrap_or(i64::MAX));
    }

    /// Records the time until the first byte of a replica's response.
    pub fn observe_first_byte(&self, elapsed: time::Millis) {
        self.first_byte_seconds.observe(elapsed.to_duration().as_secs_f64());
    }

    /// Records the time until a request ended.
    pub fn observe_total(&self, elapsed: time::Millis) {
        self.total_seconds.observe(elapsed.to_duration().as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(cause) =
            prometheus::TextEncoder::new().encode(&self.registry.gather(), &mut text)
        {
            log::warn!("failed to encode the metrics ({cause}); scrape again");
        }
        text
    }
}
