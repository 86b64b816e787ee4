//! A revision is told to be in force only once the daemon serves by it.

mod news;
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

/// Time that the daemon takes to serve by a view.
const SHOW_TIME: Duration = Duration::from_millis(200);

/// Long enough on a busy machine for a daemon to report what it has in force.
const LIMIT: Duration = Duration::from_secs(60);

const LONG_TIMEOUT: time::Millis = time::Millis::new(20_000);

/// A daemon that serves by a view only some time after it got it.
#[derive(Default)]
struct SlowSink {
    board: sink::LatestView,
}

impl sink::ViewSink for SlowSink {
    fn publish(&self, view: sync::Arc<zone::ZoneView>) {
        thread::sleep(SHOW_TIME);
        self.board.publish(view);
    }

    fn expire_requests(&self) {}
}

impl SlowSink {
    fn served(&self) -> quantity::RevisionNumber {
        self.board.shown().map(|view| view.records.revision).unwrap_or_default()
    }
}

fn start(
    table: &sync::Arc<memory::MemoryTable>,
    sink: &sync::Arc<SlowSink>,
) -> (service::ControlService, net::SocketAddr) {
    let address = samphiremoor_testkit::free_address();
    let own = news::joining(address);
    let start = service::ControlOptions {
        own,
        listen: address,
        seeds: Vec::new(),
        peer_timeout: LONG_TIMEOUT,
        max_links: 4,
        seed: 1,
    };
    let ports = ports::ControlPorts {
        table: table.clone(),
        cloud: sync::Arc::new(memory::MemoryCloud::new(time::Millis::new(0))),
        upstreams: sync::Arc::new(upstream::HttpUpstream),
    };
    let metrics = metrics::ControlMetrics::register(&prometheus::Registry::new());
    let started = service::ControlService::start(start, ports, metrics, sink.clone());
    (started.expect("the port was free a moment ago"), address)
}

/// Asks until the revision is told to be in force; each answer must be one that is served by.
fn await_in_force(link: &client::PeerClient, sink: &SlowSink, revision: u64) {
    let began = Instant::now();
    loop {
        let answer = task::block_on(link.call(&message::PeerRequest::InForce));
        let Ok(message::PeerResponse::InForce(report)) = answer else { panic!("{answer:?}") };
        assert!(report.revision <= sink.served(), "{report:?}");
        if report.revision >= quantity::RevisionNumber::new(revision) {
            return;
        }
        assert!(began.elapsed() < LIMIT, "revision {revision} is not in force");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn revision_is_in_force_once_the_daemon_serves_by_it() {
    let table: sync::Arc<memory::MemoryTable> = sync::Arc::default();
    let sink: sync::Arc<SlowSink> = sync::Arc::default();
    records::write(&table, 1);
    let (_service, address) = start(&table, &sink);
    let link = client::PeerClient::new(address, LONG_TIMEOUT);
    await_in_force(&link, &sink, 1);
    records::write(&table, 2);
    await_in_force(&link, &sink, 2);
}
