//! Whether views show the platform as available.

mod daemon_info;
mod records;

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::metrics;
use samphiremoor_control::ports;
use samphiremoor_control::service;
use samphiremoor_control::sink;
use samphiremoor_control::upstream;
use samphiremoor_platform::table;
use samphiremoor_platform_client::memory;
use samphiremoor_records::revision;
use samphiremoor_view::zone;

/// Time limit for an event, long enough for a busy machine.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of reads of a missing row that the test waits for.
const MISSING_READS: u32 = 3;

/// A table without the row of revision 2, which counts the reads of that row.
#[derive(Default)]
struct IncompleteTable {
    inner: memory::MemoryTable,
    missing_reads: atomic::AtomicU32,
}

#[async_trait]
impl table::TableStore for IncompleteTable {
    async fn read(
        &self,
        key: &table::RowKey,
    ) -> Result<Option<table::TableRow>, table::PlatformError> {
        if key.as_str() == revision::revision_key(quantity::RevisionNumber::new(2)) {
            self.missing_reads.fetch_add(1, atomic::Ordering::SeqCst);
            return Ok(None);
        }
        self.inner.read(key).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&table::RowKey>,
        limit: usize,
    ) -> Result<Vec<table::TableRow>, table::PlatformError> {
        self.inner.scan(prefix, after, limit).await
    }

    async fn commit(
        &self,
        transaction: &table::TableTransaction,
    ) -> Result<table::CommitResponse, table::PlatformError> {
        self.inner.commit(transaction).await
    }
}

/// A sink that records whether any view showed the platform as unavailable.
#[derive(Default)]
struct RecordingSink {
    view_count: atomic::AtomicU32,
    has_shown_outage: atomic::AtomicBool,
}

impl sink::ViewSink for RecordingSink {
    fn publish(&self, view: sync::Arc<zone::ZoneView>) {
        let is_outage = view.platform == zone::PlatformState::Unavailable;
        self.has_shown_outage.fetch_or(is_outage, atomic::Ordering::SeqCst);
        self.view_count.fetch_add(1, atomic::Ordering::SeqCst);
    }

    fn expire_requests(&self) {}
}

fn wait_for(event: &str, has_happened: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !has_happened() {
        assert!(started_at.elapsed() < EVENT_TIMEOUT, "{event} did not happen in time");
        thread::sleep(Duration::from_millis(10));
    }
}

// An operator deleted the row of the newest revision, or its change was pruned between two reads.
#[test]
fn missing_revision_row_is_no_outage_of_the_platform() {
    let table: sync::Arc<IncompleteTable> = sync::Arc::default();
    let sink: sync::Arc<RecordingSink> = sync::Arc::default();
    records::write(&table.inner, 1);
    let address = samphiremoor_testkit::free_address();
    let options = service::ControlOptions {
        local: daemon_info::joining(address),
        listen: address,
        seeds: Vec::new(),
        peer_timeout: time::Millis::new(20_000),
        max_links: 4,
        seed: 1,
    };
    let ports = ports::ControlPorts {
        table: table.clone(),
        cloud: sync::Arc::new(memory::MemoryCloud::new(time::Millis::new(0))),
        upstreams: sync::Arc::new(upstream::HttpUpstream),
    };
    let metrics = metrics::ControlMetrics::register(&prometheus::Registry::new());
    let service = service::ControlService::start(options, ports, metrics, sink.clone());
    let _service = service.expect("the port is free");
    wait_for("the first view", || sink.view_count.load(atomic::Ordering::SeqCst) > 0);
    records::write(&table.inner, 2);
    wait_for("the read of the missing row", || {
        table.missing_reads.load(atomic::Ordering::SeqCst) >= MISSING_READS
    });
    assert!(!sink.has_shown_outage.load(atomic::Ordering::SeqCst));
}
