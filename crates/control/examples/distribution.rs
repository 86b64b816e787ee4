//! Measures the control threads of many daemons in one process, over loopback.
//!
//! `cargo run --release -p samphiremoor-control --example distribution -- --daemons 100 --zones 4
//! --replicas 400 --changes 20`. The platform is in memory and upstreams respond immediately;
//! messages between daemons use real connections. The reported bytes are those of encoded messages,
//! without TCP framing.

#[path = "../tests/records/mod.rs"]
mod records;

use std::fs;
use std::net;
use std::sync;
use std::thread;
use std::time::Instant;

use async_trait::async_trait;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::metrics;
use samphiremoor_control::ports;
use samphiremoor_control::service;
use samphiremoor_control::sink;
use samphiremoor_control::upstream;
use samphiremoor_membership::daemons;
use samphiremoor_membership::gossip;
use samphiremoor_platform::cloud;
use samphiremoor_platform_client::memory;
use samphiremoor_view::zone;
use smallvec::SmallVec;

/// Measures the control threads of many daemons in one process.
#[derive(Debug, argh::FromArgs)]
struct MeasureArgs {
    /// number of daemons
    #[argh(option, default = "40")]
    daemons: usize,
    /// number of availability zones
    #[argh(option, default = "4")]
    zones: usize,
    /// number of upstreams over all zones
    #[argh(option, default = "80")]
    replicas: usize,
    /// number of record changes
    #[argh(option, default = "20")]
    changes: usize,
    /// maximum number of connections per daemon
    #[argh(option, default = "24")]
    links: usize,
    /// seconds without record changes in which traffic and CPU time are measured
    #[argh(option, default = "15")]
    seconds: u64,
    /// lowest port
    #[argh(option, default = "30000")]
    port: u16,
}

/// Ready upstreams whose load changes between polls.
#[derive(Debug, Default)]
struct FakeUpstreams {
    polls: sync::atomic::AtomicU32,
}

#[async_trait]
impl upstream::UpstreamClient for FakeUpstreams {
    async fn poll(&self, address: net::SocketAddr) -> gossip::PollResult {
        let count = self.polls.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let running = (count.wrapping_mul(7) ^ u32::from(address.port())) % 32;
        let load = zone::LoadReport { running, ..zone::LoadReport::default() };
        let model = samphiremoor_records::set::LoadedModel {
            model: "steppe-8b".parse().expect("a valid model id"),
            version: "2026-05".parse().expect("a valid version id"),
            adapter: None,
        };
        gossip::PollResult::Ready {
            models: SmallVec::from_iter([model]),
            load: gossip::QuantizedLoad::from_report(&load),
        }
    }

    async fn send_order(
        &self,
        _: net::SocketAddr,
        _: &upstream::UpstreamOrder,
    ) -> upstream::OrderOutcome {
        upstream::OrderOutcome::Accepted
    }
}

fn address(port: u16, offset: usize) -> net::SocketAddr {
    let port = usize::from(port) + offset;
    net::SocketAddr::from((
        [127, 0, 0, 1],
        u16::try_from(port).expect("port numbers fit in 16 bits"),
    ))
}

fn zone_name(args: &MeasureArgs, index: usize) -> id::ZoneId {
    format!("zone-{}", index % args.zones).parse().expect("a valid zone id")
}

fn entry_vm(args: &MeasureArgs, index: usize) -> cloud::VmEntry {
    vm(
        &format!("entry-vm-{index:04}"),
        zone_name(args, index),
        cloud::VmRole::Entry {
            http_address: address(1, index),
            peer_address: address(1_001, index),
            control_address: address(args.port, index),
        },
    )
}

fn upstream_vm(args: &MeasureArgs, index: usize) -> cloud::VmEntry {
    let role = cloud::VmRole::Upstream {
        pool: "assistant-pool".parse().expect("a valid pool id"),
        address: address(1, index),
    };
    vm(&format!("engine-vm-{index:05}"), zone_name(args, index), role)
}

fn vm(name: &str, zone: id::ZoneId, role: cloud::VmRole) -> cloud::VmEntry {
    cloud::VmEntry {
        id: name.parse().expect("a valid VM id"),
        zone,
        class: "class".parse().expect("a valid VM class"),
        reclaimable: true,
        price: quantity::MicroPrice::new(1),
        state: cloud::VmState::Live,
        role,
    }
}

/// A control thread without an entry daemon.
struct RunningControl {
    latest_view: sync::Arc<sink::LatestView>,
    registry: prometheus::Registry,
    _service: service::ControlService,
}

impl RunningControl {
    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String {
        let encoder = prometheus::TextEncoder::new();
        encoder.encode_to_string(&self.registry.gather()).expect("metrics can be encoded")
    }
}

fn start(args: &MeasureArgs, index: usize, ports: &ports::ControlPorts) -> RunningControl {
    let mut local = daemons::from_vm_entry(&entry_vm(args, index)).expect("the VM is an entry VM");
    local.status.incarnation = service::new_incarnation();
    let options = service::ControlOptions {
        listen: local.control_address,
        local,
        seeds: Vec::new(),
        peer_timeout: time::Millis::new(1_000),
        max_links: args.links,
        seed: index as u64,
    };
    let registry = prometheus::Registry::new();
    let metrics = metrics::ControlMetrics::register(&registry);
    let latest_view: sync::Arc<sink::LatestView> = sync::Arc::default();
    let started =
        service::ControlService::start(options, ports.clone(), metrics, latest_view.clone());
    RunningControl { latest_view, registry, _service: started.expect("the ports are free") }
}

/// Returns the revision that the daemon serves by, or 0 if there is none.
fn served_revision(daemon: &RunningControl) -> u64 {
    daemon.latest_view.latest().map_or(0, |view| view.records.revision.get())
}

/// Returns the milliseconds until each daemon has the revision, or `None` if a daemon lacks it
/// after 30 s.
fn await_revision(running: &[RunningControl], revision: u64) -> Option<Vec<u64>> {
    let started_at = Instant::now();
    let mut times_ms: Vec<Option<u64>> = vec![None; running.len()];
    while times_ms.iter().any(Option::is_none) {
        let elapsed_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        if elapsed_ms > 30_000 {
            return None;
        }
        for (daemon, time_ms) in running.iter().zip(&mut times_ms) {
            if time_ms.is_none() && served_revision(daemon) >= revision {
                *time_ms = Some(elapsed_ms);
            }
        }
        thread::sleep(std::time::Duration::from_millis(2));
    }
    times_ms.into_iter().collect()
}

/// Sums of the metrics of all daemons, and the CPU time of the process.
#[derive(Clone, Copy, Debug, Default)]
struct MetricTotals {
    calls: u64,
    bytes: u64,
    polls: u64,
    reads: u64,
    cpu_ms: u64,
}

fn totals(running: &[RunningControl]) -> MetricTotals {
    let mut totals = MetricTotals { cpu_ms: cpu_ms(), ..MetricTotals::default() };
    for daemon in running {
        let text = daemon.metrics();
        totals.calls += sum_samples(&text, "samphiremoor_peer_calls_total");
        totals.bytes += sum_samples(&text, "samphiremoor_peer_bytes_total");
        totals.polls += sum_samples(&text, "samphiremoor_upstream_polls_total");
        totals.reads += sum_samples(&text, "samphiremoor_platform_reads_total");
    }
    totals
}

/// Returns the sum of all samples of a metric.
fn sum_samples(text: &str, name: &str) -> u64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Returns the CPU time of this process. A kernel clock tick is 10 ms.
fn cpu_ms() -> u64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
    (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0)) * 10
}

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident_line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
    resident_line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).unwrap_or(0)
}

fn main() {
    let args: MeasureArgs = argh::from_env();
    let table: sync::Arc<memory::MemoryTable> = sync::Arc::default();
    let cloud = sync::Arc::new(memory::MemoryCloud::new(time::Millis::new(500)));
    cloud.with_fleet(|fleet, now| {
        (0..args.daemons).for_each(|index| fleet.put(entry_vm(&args, index), now));
        (0..args.replicas).for_each(|index| fleet.put(upstream_vm(&args, index), now));
    });
    records::write(&table, 1);
    let ports = ports::ControlPorts {
        table: table.clone(),
        cloud,
        upstreams: sync::Arc::new(FakeUpstreams::default()),
    };
    let running: Vec<_> = (0..args.daemons).map(|index| start(&args, index, &ports)).collect();
    let Some(_) = await_revision(&running, 1) else { return println!("a daemon did not start") };
    thread::sleep(std::time::Duration::from_secs(10));
    report_traffic(&args, &running);
    report_changes(&args, &table, &running);
}

fn report_traffic(args: &MeasureArgs, running: &[RunningControl]) {
    let totals_before = totals(running);
    thread::sleep(std::time::Duration::from_secs(args.seconds));
    let totals_after = totals(running);
    let per_daemon_second = |count: u64| count as f64 / args.seconds as f64 / args.daemons as f64;
    let calls = per_daemon_second(totals_after.calls - totals_before.calls);
    // Each byte is sent by one daemon and received by another, so both directions count.
    let bytes = 2.0 * per_daemon_second(totals_after.bytes - totals_before.bytes);
    println!(
        "daemons={} zones={} replicas={} calls/s={calls:.1} bytes/s={bytes:.0} polls/s={:.1} \
         reads/s={:.2} cpu_ms/s={:.2} resident_kib={:.0}",
        args.daemons,
        args.zones,
        args.replicas,
        per_daemon_second(totals_after.polls - totals_before.polls),
        per_daemon_second(totals_after.reads - totals_before.reads),
        per_daemon_second(totals_after.cpu_ms - totals_before.cpu_ms),
        resident_kib() as f64 / args.daemons as f64,
    );
}

/// Prints the state of the daemons that lack the revision.
fn report_lagging(running: &[RunningControl], revision: u64) {
    for (index, daemon) in running.iter().enumerate() {
        let daemon_revision = served_revision(daemon);
        if daemon_revision < revision {
            println!("daemon {index} shows revision {daemon_revision}\n{}", daemon.metrics());
        }
    }
}

fn report_changes(args: &MeasureArgs, table: &memory::MemoryTable, running: &[RunningControl]) {
    let mut histogram =
        hdrhistogram::Histogram::<u64>::new(3).expect("three digits are within its range");
    for change in 2..args.changes + 2 {
        records::write(table, change);
        let Some(times_ms) = await_revision(running, change as u64) else {
            println!("change {change} was not in force everywhere after 30 s");
            return report_lagging(running, change as u64);
        };
        times_ms.into_iter().for_each(|time_ms| histogram.saturating_record(time_ms));
        thread::sleep(std::time::Duration::from_millis(300 + 37 * (change as u64 % 10)));
    }
    println!(
        "changes={} in_force_ms p50={} p99={} max={}",
        args.changes,
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.max(),
    );
}
