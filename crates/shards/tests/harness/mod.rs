//! Shard services of several daemons in one process, with an in-memory table, a counting runner and
//! links that can be broken.

use std::collections;
use std::net;
use std::sync;
use std::time as std_time;

use async_std::future;
use async_std::task;
use async_trait::async_trait;
use samphiremoor_base::digest;
use samphiremoor_base::quantity;
use samphiremoor_base::reason;
use samphiremoor_base::time;
use samphiremoor_claims::key;
use samphiremoor_peers::client;
use samphiremoor_platform_client::memory;
use samphiremoor_shards::call;
use samphiremoor_shards::context;
use samphiremoor_shards::message;
use samphiremoor_shards::peer;
use samphiremoor_shards::service;
use samphiremoor_shards::settings;
use samphiremoor_view::zone;

/// Maximum wait for a condition.
const CONDITION_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(20);

/// How the runner ends the next calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RunPlan {
    /// Runs the call and responds immediately.
    Complete,
    /// Runs the call and responds after this time.
    CompleteAfter(time::Millis),
    /// Refuses the call without running it.
    NotRun,
    /// Refuses the call without running it, after this time.
    NotRunAfter(time::Millis),
    /// Runs the call and reports that it may have run.
    MaybeRun,
}

/// Counts the runs of each key.
#[derive(Default)]
pub(crate) struct CountingRunner {
    runs: sync::Mutex<collections::BTreeMap<String, u32>>,
    /// `None` stands for [`RunPlan::Complete`].
    plan: sync::Mutex<Option<RunPlan>>,
}

impl CountingRunner {
    pub(crate) fn set_plan(&self, plan: RunPlan) {
        *self.plan.lock().expect("no test panics with the lock") = Some(plan);
    }

    /// Returns how often a key has run.
    pub(crate) fn runs(&self, key: &str) -> u32 {
        self.runs.lock().expect("no test panics with the lock").get(key).copied().unwrap_or(0)
    }

    pub(crate) fn total_runs(&self) -> u32 {
        self.runs.lock().expect("no test panics with the lock").values().sum()
    }

    /// Returns how often the key with the most runs has run.
    pub(crate) fn max_runs(&self) -> u32 {
        self.runs.lock().expect("no test panics with the lock").values().copied().max().unwrap_or(0)
    }

    fn count(&self, call: &call::KeyedCall) -> u32 {
        let mut runs = self.runs.lock().expect("no test panics with the lock");
        let count = runs.entry(call.key.key.to_string()).or_default();
        *count += 1;
        *count
    }
}

#[async_trait]
impl call::CallRunner for CountingRunner {
    async fn run(&self, call: &call::KeyedCall) -> call::RunOutcome {
        let plan = self
            .plan
            .lock()
            .expect("no test panics with the lock")
            .clone()
            .unwrap_or(RunPlan::Complete);
        if let RunPlan::NotRunAfter(delay) = plan {
            task::sleep(delay.to_duration()).await;
        }
        if matches!(plan, RunPlan::NotRun | RunPlan::NotRunAfter(_)) {
            let reason = reason::RefusalReason::NoReplica;
            return call::RunOutcome::NotRun { reason, retry_after: None };
        }
        let count = self.count(call);
        match plan {
            RunPlan::CompleteAfter(delay) => task::sleep(delay.to_duration()).await,
            RunPlan::MaybeRun => {
                return call::RunOutcome::MaybeRun(reason::RefusalReason::UpstreamFailed);
            }
            RunPlan::Complete | RunPlan::NotRun | RunPlan::NotRunAfter(_) => {}
        }
        let body = format!("{} run {count}", call.key.key);
        let body = sync::Arc::from(body.into_bytes());
        call::RunOutcome::Completed(call::CallResult { status: 200, headers: Vec::new(), body })
    }
}

/// Links between the daemons and to the table, which can be broken.
#[derive(Default)]
pub(crate) struct MemoryNetwork {
    services: sync::Mutex<collections::BTreeMap<String, service::ShardService>>,
    /// Daemons that reach neither the other daemons nor the table.
    disconnected: sync::Mutex<collections::BTreeSet<String>>,
    disconnected_from_table: sync::Mutex<collections::BTreeSet<String>>,
    /// Daemons whose writes to the table are still in transit.
    delayed_writes: sync::Mutex<collections::BTreeSet<String>>,
    /// Daemons whose reads of the table get no response, with the number of such reads.
    lost_reads: sync::Mutex<collections::BTreeMap<String, u32>>,
    /// Daemons whose responses to calls are lost.
    lost_submits: sync::Mutex<collections::BTreeSet<String>>,
    /// The directory that every daemon sees.
    entries: sync::Mutex<Vec<peer::PeerEntry>>,
}

impl MemoryNetwork {
    pub(crate) fn disconnect(&self, daemon: &str) {
        self.disconnected.lock().expect("no test panics with the lock").insert(daemon.to_owned());
    }

    pub(crate) fn reconnect(&self, daemon: &str) {
        self.disconnected.lock().expect("no test panics with the lock").remove(daemon);
    }

    /// Disconnects a daemon from the table only.
    pub(crate) fn disconnect_from_table(&self, daemon: &str) {
        self.disconnected_from_table
            .lock()
            .expect("no test panics with the lock")
            .insert(daemon.to_owned());
    }

    /// Leaves a daemon's reads of the table without a response.
    pub(crate) fn lose_reads(&self, daemon: &str) {
        let mut lost_reads = self.lost_reads.lock().expect("no test panics with the lock");
        lost_reads.insert(daemon.to_owned(), 0);
    }

    /// Answers a daemon's further reads of the table.
    pub(crate) fn answer_reads(&self, daemon: &str) {
        let mut lost_reads = self.lost_reads.lock().expect("no test panics with the lock");
        lost_reads.remove(daemon);
    }

    /// Returns how many reads of a daemon got no response.
    pub(crate) fn lost_reads(&self, daemon: &str) -> u32 {
        let lost_reads = self.lost_reads.lock().expect("no test panics with the lock");
        lost_reads.get(daemon).copied().unwrap_or_default()
    }

    /// Does not return if the response to a daemon's read is lost.
    async fn respond_to_read(&self, daemon: &str) {
        let is_lost = {
            let mut lost_reads = self.lost_reads.lock().expect("no test panics with the lock");
            lost_reads.get_mut(daemon).map(|count| *count += 1).is_some()
        };
        if is_lost {
            std::future::pending::<()>().await;
        }
    }

    /// Disconnects a daemon while its writes to the table are still in transit.
    pub(crate) fn delay_writes(&self, daemon: &str) {
        self.delayed_writes.lock().expect("no test panics with the lock").insert(daemon.to_owned());
        self.disconnect(daemon);
    }

    /// Lets the writes in transit reach the table; the daemon stays disconnected.
    pub(crate) fn deliver_writes(&self, daemon: &str) {
        self.delayed_writes.lock().expect("no test panics with the lock").remove(daemon);
    }

    /// Loses the responses to calls that are sent to a daemon, until the calls are sent again.
    pub(crate) fn lose_submit_responses(&self, daemon: &str) {
        self.lost_submits.lock().expect("no test panics with the lock").insert(daemon.to_owned());
    }

    /// Sends the calls again, to the daemon's current incarnation.
    pub(crate) fn resend_submits(&self, daemon: &str) {
        self.lost_submits.lock().expect("no test panics with the lock").remove(daemon);
    }

    fn loses_submit_responses(&self, daemon: &str) -> bool {
        self.lost_submits.lock().expect("no test panics with the lock").contains(daemon)
    }

    fn service(&self, daemon: &str) -> Option<service::ShardService> {
        self.services.lock().expect("no test panics with the lock").get(daemon).cloned()
    }

    /// Waits while the daemon's writes are in transit; returns whether they were.
    async fn wait_for_delayed_write(&self, daemon: &str) -> bool {
        let is_delayed =
            || self.delayed_writes.lock().expect("no test panics with the lock").contains(daemon);
        let was_delayed = is_delayed();
        while is_delayed() {
            task::sleep(std_time::Duration::from_millis(5)).await;
        }
        was_delayed
    }

    fn is_disconnected(&self, daemon: &str) -> bool {
        self.disconnected.lock().expect("no test panics with the lock").contains(daemon)
    }

    fn reaches_table(&self, daemon: &str) -> bool {
        let disconnected_from_table =
            self.disconnected_from_table.lock().expect("no test panics with the lock");
        !self.is_disconnected(daemon) && !disconnected_from_table.contains(daemon)
    }
}

/// One daemon's directory and transport over the network.
struct DaemonLink {
    daemon: String,
    network: sync::Arc<MemoryNetwork>,
}

impl peer::PeerDirectory for DaemonLink {
    fn daemons(&self) -> Vec<peer::PeerEntry> {
        self.network.entries.lock().expect("no test panics with the lock").clone()
    }
}

#[async_trait]
impl peer::PeerTransport for DaemonLink {
    async fn request(
        &self,
        peer: &peer::PeerEntry,
        request: message::ShardRequest,
    ) -> Result<message::ShardResponse, client::PeerError> {
        let daemon = peer.id.as_str();
        let Some(mut service) = self.network.service(daemon) else {
            return Err(client::PeerError::Unreachable);
        };
        let is_submit = matches!(request, message::ShardRequest::Submit { .. });
        if is_submit && self.network.loses_submit_responses(daemon) {
            let first_request = request.clone();
            task::spawn(async move { service.handle_request(first_request).await });
            while self.network.loses_submit_responses(daemon) {
                task::sleep(std_time::Duration::from_millis(5)).await;
            }
            service = self.network.service(daemon).ok_or(client::PeerError::Timeout)?;
        }
        let is_disconnected = || {
            self.network.is_disconnected(&self.daemon)
                || self.network.is_disconnected(peer.id.as_str())
        };
        if is_disconnected() {
            task::sleep(std_time::Duration::from_millis(50)).await;
            return Err(client::PeerError::Timeout);
        }
        let response =
            future::timeout(std_time::Duration::from_secs(2), service.handle_request(request));
        match response.await {
            Ok(response) if !is_disconnected() => Ok(response),
            _ => Err(client::PeerError::Timeout),
        }
    }
}

/// The table as seen by one daemon, which can be disconnected from it.
struct DaemonTable {
    daemon: String,
    network: sync::Arc<MemoryNetwork>,
    table: sync::Arc<memory::MemoryTable>,
}

impl DaemonTable {
    /// Returns an error if the daemon is disconnected from the table.
    fn check_connection(&self) -> Result<(), samphiremoor_platform::table::PlatformError> {
        if !self.network.reaches_table(&self.daemon) {
            let cause = sync::Arc::from("disconnected");
            return Err(samphiremoor_platform::table::PlatformError::NotDone(cause));
        }
        Ok(())
    }
}

#[async_trait]
impl samphiremoor_platform::table::TableStore for DaemonTable {
    async fn read(
        &self,
        key: &samphiremoor_platform::table::RowKey,
    ) -> Result<
        Option<samphiremoor_platform::table::TableRow>,
        samphiremoor_platform::table::PlatformError,
    > {
        self.network.respond_to_read(&self.daemon).await;
        self.check_connection()?;
        self.table.read(key).await
    }

    async fn scan(
        &self,
        prefix: &str,
        after: Option<&samphiremoor_platform::table::RowKey>,
        limit: usize,
    ) -> Result<
        Vec<samphiremoor_platform::table::TableRow>,
        samphiremoor_platform::table::PlatformError,
    > {
        self.network.respond_to_read(&self.daemon).await;
        self.check_connection()?;
        self.table.scan(prefix, after, limit).await
    }

    async fn commit(
        &self,
        transaction: &samphiremoor_platform::table::TableTransaction,
    ) -> Result<
        samphiremoor_platform::table::CommitResponse,
        samphiremoor_platform::table::PlatformError,
    > {
        if !self.network.wait_for_delayed_write(&self.daemon).await {
            self.check_connection()?;
        }
        self.table.commit(transaction).await
    }
}

/// Several daemons that share one table.
pub(crate) struct ShardCluster {
    pub(crate) table: sync::Arc<memory::MemoryTable>,
    pub(crate) runner: sync::Arc<CountingRunner>,
    pub(crate) network: sync::Arc<MemoryNetwork>,
    settings: settings::ShardSettings,
    /// Incarnation number of the next daemon that starts.
    next_incarnation: sync::atomic::AtomicU64,
}

impl ShardCluster {
    /// Starts daemons named `a`, `b` and so on, alternating between two zones.
    pub(crate) fn start(daemon_count: usize) -> ShardCluster {
        ShardCluster::start_with(daemon_count, test_settings())
    }

    /// Starts daemons with the given settings.
    pub(crate) fn start_with(
        daemon_count: usize,
        settings: settings::ShardSettings,
    ) -> ShardCluster {
        let cluster = ShardCluster {
            table: sync::Arc::new(memory::MemoryTable::new()),
            runner: sync::Arc::default(),
            network: sync::Arc::default(),
            settings,
            next_incarnation: sync::atomic::AtomicU64::new(1),
        };
        let entries = (0..daemon_count).map(peer_entry).collect();
        *cluster.network.entries.lock().expect("no test panics with the lock") = entries;
        for index in 0..daemon_count {
            cluster.start_daemon(&daemon_name(index));
        }
        cluster
    }

    /// Starts a daemon, or restarts it with another incarnation.
    pub(crate) fn start_daemon(&self, daemon: &str) {
        let incarnation = self.next_incarnation.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let entries = self.network.entries.lock().expect("no test panics with the lock").clone();
        let entry = entries
            .iter()
            .find(|entry| entry.id.as_str() == daemon)
            .expect("the test started this daemon");
        let new_link = || DaemonLink { daemon: daemon.to_owned(), network: self.network.clone() };
        let context = context::ShardContext {
            daemon: entry.id.clone(),
            incarnation: quantity::Incarnation::new(incarnation),
            zone: entry.zone.clone(),
            settings: self.settings.clone(),
            table: sync::Arc::new(DaemonTable {
                daemon: daemon.to_owned(),
                network: self.network.clone(),
                table: self.table.clone(),
            }),
            runner: self.runner.clone(),
            directory: sync::Arc::new(new_link()),
            transport: sync::Arc::new(new_link()),
        };
        let registry = prometheus::Registry::new();
        let service =
            service::ShardService::start(context, &registry).expect("the registry is empty");
        self.network
            .services
            .lock()
            .expect("no test panics with the lock")
            .insert(daemon.to_owned(), service);
    }

    /// Ends a daemon without a planned stop.
    pub(crate) fn kill(&self, daemon: &str) {
        self.network.services.lock().expect("no test panics with the lock").remove(daemon);
    }

    /// Ends daemons whose VMs are reclaimed, and removes them from the directory.
    pub(crate) fn reclaim(&self, daemons: &[&str]) {
        let mut entries = self.network.entries.lock().expect("no test panics with the lock");
        entries.retain(|entry| !daemons.contains(&entry.id.as_str()));
        drop(entries);
        daemons.iter().for_each(|daemon| self.kill(daemon));
    }

    pub(crate) fn service(&self, daemon: &str) -> service::ShardService {
        self.network
            .services
            .lock()
            .expect("no test panics with the lock")
            .get(daemon)
            .expect("the test started this daemon")
            .clone()
    }

    /// Returns the names of the running daemons.
    pub(crate) fn names(&self) -> Vec<String> {
        self.network
            .services
            .lock()
            .expect("no test panics with the lock")
            .keys()
            .cloned()
            .collect()
    }

    /// Waits until every daemon knows a holder of each shard and the running daemons hold all of
    /// them.
    pub(crate) fn wait_until_held(&self) {
        wait_until("every shard has a live holder", || {
            let services = self.network.services.lock().expect("no test panics with the lock");
            let held_locally: usize =
                services.values().map(|service| service.coverage().held_locally).sum();
            services.values().all(|service| {
                let coverage = service.coverage();
                coverage.total > 0
                    && coverage.held == coverage.total
                    && held_locally == coverage.total
            })
        });
    }

    /// Submits a call through a daemon and waits for the response.
    pub(crate) fn call(&self, daemon: &str, key: &str, body: &str) -> call::KeyedResponse {
        task::block_on(self.send(daemon, keyed_call(daemon, key, body)))
    }

    /// Submits a call through a daemon without waiting for the response.
    pub(crate) fn send(
        &self,
        daemon: &str,
        call: call::KeyedCall,
    ) -> task::JoinHandle<call::KeyedResponse> {
        let service = self.service(daemon);
        task::spawn(async move { service.submit(call).await })
    }

    /// Returns the daemon that holds the most shards.
    pub(crate) fn daemon_with_most_shards(&self) -> String {
        let names = self.names();
        names
            .into_iter()
            .max_by_key(|name| self.service(name).coverage().held_locally)
            .expect("the test started this daemon")
    }
}

pub(crate) fn test_settings() -> settings::ShardSettings {
    settings::ShardSettings {
        count: 4,
        lease_time: time::Millis::new(600),
        flush_interval: time::Millis::new(5),
        table_timeout: time::Millis::new(100),
        claim_timeout: time::Millis::new(4_000),
        ..settings::ShardSettings::default()
    }
}

pub(crate) fn keyed_call(daemon: &str, key: &str, body: &str) -> call::KeyedCall {
    static SERIAL: sync::atomic::AtomicU64 = sync::atomic::AtomicU64::new(0);
    let serial = SERIAL.fetch_add(1, sync::atomic::Ordering::Relaxed);
    call::KeyedCall {
        key: key::CallKey {
            workspace: "agency".parse().expect("a valid identifier"),
            service: "address-check".parse().expect("a valid identifier"),
            key: key.parse().expect("a valid identifier"),
        },
        digest: digest::HexDigest::of(body.as_bytes()),
        request: format!("{daemon}:{serial}").parse().expect("a valid identifier"),
        method: sync::Arc::from("POST"),
        path: sync::Arc::from("/confirm"),
        headers: Vec::new(),
        body: sync::Arc::from(body.as_bytes()),
        remaining: time::Millis::new(10_000),
    }
}

/// Polls until the condition is true, and panics after [`CONDITION_TIMEOUT`].
pub(crate) fn wait_until(condition_text: &str, mut condition: impl FnMut() -> bool) {
    let start = std_time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "timed out waiting until {condition_text}");
        std::thread::sleep(std_time::Duration::from_millis(10));
    }
}

pub(crate) fn daemon_name(index: usize) -> String {
    char::from(b'a' + u8::try_from(index).expect("a test has few daemons")).to_string()
}

fn peer_entry(index: usize) -> peer::PeerEntry {
    let port = 9_000 + u16::try_from(index).expect("a test has few daemons");
    peer::PeerEntry {
        id: daemon_name(index).parse().expect("a valid identifier"),
        zone: if index.is_multiple_of(2) { "north" } else { "south" }
            .parse()
            .expect("a valid identifier"),
        address: net::SocketAddr::from(([127, 0, 0, 1], port)),
        state: zone::UpstreamState::Live,
    }
}
