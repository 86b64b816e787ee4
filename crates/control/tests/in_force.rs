//! A daemon reports a revision as in force only once it serves by it.

mod daemon_info;
mod records;

use std::net;
use std::sync;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::message;
use samphiremoor_control::metrics;
use samphiremoor_control::ports;
use samphiremoor_control::service;
use samphiremoor_control::sink;
use samphiremoor_control::upstream;
use samphiremoor_peers::client;
use samphiremoor_platform_client::memory;
use samphiremoor_view::zone;

/// Time that the sink takes to publish a view.
const PUBLISH_DELAY: Duration = Duration::from_millis(200);

/// Time limit for a daemon to report its revision, long enough for a busy machine.
const REPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of requests to the daemon, long enough for a busy machine.
const PEER_TIMEOUT: time::Millis = time::Millis::new(20_000);

/// A sink that delays the publication of each view.
#[derive(Default)]
struct DelayedSink {
    latest_view: sink::LatestView,
}

impl sink::ViewSink for DelayedSink {
    fn publish(&self, view: sync::Arc<zone::ZoneView>) {
        thread::sleep(PUBLISH_DELAY);
        self.latest_view.publish(view);
    }

    fn expire_requests(&self) {}
}

impl DelayedSink {
    fn served_revision(&self) -> quantity::RevisionNumber {
        self.latest_view.latest().map(|view| view.records.revision).unwrap_or_default()
    }
}

fn start(
    table: &sync::Arc<memory::MemoryTable>,
    sink: &sync::Arc<DelayedSink>,
) -> (service::ControlService, net::SocketAddr) {
    let address = samphiremoor_testkit::free_address();
    let local = daemon_info::joining(address);
    let options = service::ControlOptions {
        local,
        listen: address,
        seeds: Vec::new(),
        peer_timeout: PEER_TIMEOUT,
        max_links: 4,
        seed: 1,
    };
    let ports = ports::ControlPorts {
        table: table.clone(),
        cloud: sync::Arc::new(memory::MemoryCloud::new(time::Millis::new(0))),
        upstreams: sync::Arc::new(upstream::HttpUpstream),
    };
    let metrics = metrics::ControlMetrics::register(&prometheus::Registry::new());
    let started = service::ControlService::start(options, ports, metrics, sink.clone());
    (started.expect("the port is free"), address)
}

/// Polls the daemon until it reports the revision as in force. Each reported revision must already
/// be served.
fn await_in_force(peer_client: &client::PeerClient, sink: &DelayedSink, revision: u64) {
    let started_at = Instant::now();
    loop {
        let response = task::block_on(peer_client.call(&message::PeerRequest::InForce));
        let Ok(message::PeerResponse::InForce(report)) = response else { panic!("{response:?}") };
        assert!(report.revision <= sink.served_revision(), "{report:?}");
        if report.revision >= quantity::RevisionNumber::new(revision) {
            return;
        }
        assert!(started_at.elapsed() < REPORT_TIMEOUT, "revision {revision} is not in force");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn revision_is_reported_only_once_served() {
    let table: sync::Arc<memory::MemoryTable> = sync::Arc::default();
    let sink: sync::Arc<DelayedSink> = sync::Arc::default();
    records::write(&table, 1);
    let (_service, address) = start(&table, &sink);
    let peer_client = client::PeerClient::new(address, PEER_TIMEOUT);
    await_in_force(&peer_client, &sink, 1);
    records::write(&table, 2);
    await_in_force(&peer_client, &sink, 2);
}
