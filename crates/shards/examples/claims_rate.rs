//! Measures the throughput and latency of keyed calls through one holder for different flush
//! intervals.
//!
//! The in-memory table takes 5 ms for each request, and the upstream responds immediately. For each
//! flush interval and number of concurrent callers the example prints the calls and table
//! transactions per second and the latency percentiles.
//!
//! Run with `cargo run --release -p samphiremoor-shards --example claims_rate`.

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use async_std::task;
use async_trait::async_trait;
use samphiremoor_base::digest;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_claims::key;
use samphiremoor_peers::client;
use samphiremoor_platform::faults;
use samphiremoor_platform_client::memory;
use samphiremoor_shards::call;
use samphiremoor_shards::context;
use samphiremoor_shards::message;
use samphiremoor_shards::peer;
use samphiremoor_shards::service;
use samphiremoor_shards::settings;

/// Delay of each request to the table.
const TABLE_DELAY: time::Millis = time::Millis::new(5);

/// Duration of one measurement.
const MEASUREMENT_TIME: std_time::Duration = std_time::Duration::from_secs(3);

/// Maximum latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Completes each call immediately.
struct InstantRunner;

#[async_trait]
impl call::CallRunner for InstantRunner {
    async fn run(&self, _: &call::KeyedCall) -> call::RunOutcome {
        let body = sync::Arc::from(&b"{\"confirmed\":true}"[..]);
        call::RunOutcome::Completed(call::CallResult { status: 200, headers: Vec::new(), body })
    }
}

/// The directory and transport of a daemon without peers.
struct NoPeers;

impl peer::PeerDirectory for NoPeers {
    fn daemons(&self) -> Vec<peer::PeerEntry> {
        Vec::new()
    }
}

#[async_trait]
impl peer::PeerTransport for NoPeers {
    async fn request(
        &self,
        _: &peer::PeerEntry,
        _: message::ShardRequest,
    ) -> Result<message::ShardResponse, client::PeerError> {
        Err(client::PeerError::Unreachable)
    }
}

fn start_service(
    table: sync::Arc<memory::MemoryTable>,
    flush_interval_ms: u64,
) -> service::ShardService {
    let settings = settings::ShardSettings {
        flush_interval: time::Millis::new(flush_interval_ms),
        lease_time: time::Millis::new(600),
        max_keys: 10_000_000,
        ..settings::ShardSettings::default()
    };
    let context = context::ShardContext {
        daemon: "bench".parse().expect("a valid identifier"),
        incarnation: quantity::Incarnation::new(1),
        zone: "zone".parse().expect("a valid identifier"),
        settings,
        table,
        runner: sync::Arc::new(InstantRunner),
        directory: sync::Arc::new(NoPeers),
        transport: sync::Arc::new(NoPeers),
    };
    let registry = prometheus::Registry::new();
    service::ShardService::start(context, &registry).expect("a new registry is empty")
}

fn keyed_call(serial: u64) -> call::KeyedCall {
    call::KeyedCall {
        key: key::CallKey {
            workspace: "agency".parse().expect("a valid identifier"),
            service: "address-check".parse().expect("a valid identifier"),
            key: format!("key-{serial}").parse().expect("a valid identifier"),
        },
        digest: digest::HexDigest::of(b"body"),
        request: format!("bench:{serial}").parse().expect("a valid identifier"),
        method: sync::Arc::from("POST"),
        path: sync::Arc::from("/confirm"),
        headers: Vec::new(),
        body: sync::Arc::from(&b"{\"order\":1}"[..]),
        remaining: time::Millis::new(30_000),
    }
}

/// Submits calls one after another until `end` and returns their latencies.
async fn run_caller(
    service: service::ShardService,
    next_serial: sync::Arc<atomic::AtomicU64>,
    end: std_time::Instant,
) -> Vec<std_time::Duration> {
    let mut latencies = Vec::new();
    while std_time::Instant::now() < end {
        let serial = next_serial.fetch_add(1, atomic::Ordering::Relaxed);
        let submitted_at = std_time::Instant::now();
        let response = service.submit(keyed_call(serial)).await;
        assert!(matches!(response, call::KeyedResponse::Completed { .. }), "{response:?}");
        latencies.push(submitted_at.elapsed());
    }
    latencies
}

/// Measures one combination of settings and prints a row of the results table.
fn measure(flush_interval_ms: u64, caller_count: usize) {
    let table = sync::Arc::new(memory::MemoryTable::new());
    table.set_faults(faults::StoreFaults { delay: TABLE_DELAY, ..Default::default() });
    let service = start_service(table.clone(), flush_interval_ms);
    while service.coverage().held_locally == 0
        || service.coverage().held_locally < service.coverage().total
    {
        std::thread::sleep(std_time::Duration::from_millis(20));
    }
    let next_serial = sync::Arc::new(atomic::AtomicU64::new(0));
    let writes_before = table.write_count();
    let start = std_time::Instant::now();
    let end = start + MEASUREMENT_TIME;
    let caller_tasks: Vec<_> = (0..caller_count)
        .map(|_| task::spawn(run_caller(service.clone(), next_serial.clone(), end)))
        .collect();
    let mut histogram = hdrhistogram::Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3)
        .expect("the bounds are valid");
    for latency in caller_tasks.into_iter().flat_map(task::block_on) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        histogram.saturating_record(micros);
    }
    let seconds = start.elapsed().as_secs_f64();
    let writes = table.write_count() - writes_before;
    println!(
        "| {flush_interval_ms} | {caller_count} | {:.0} | {:.0} | {:.1} | {:.1} |",
        histogram.len() as f64 / seconds,
        writes as f64 / seconds,
        histogram.value_at_quantile(0.5) as f64 / 1_000.0,
        histogram.value_at_quantile(0.99) as f64 / 1_000.0,
    );
}

fn main() {
    println!("| flush interval ms | callers | calls/s | table writes/s | p50 ms | p99 ms |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    for flush_interval_ms in [5, 20, 60, 120] {
        for caller_count in [1, 16, 256] {
            measure(flush_interval_ms, caller_count);
        }
    }
}
