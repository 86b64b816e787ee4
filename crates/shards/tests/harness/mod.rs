//! Several daemons' services in one process, with a table, a runner and cuttable links in memory.

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

/// Longest wait for a condition.
const CONDITION_LIMIT: std_time::Duration = std_time::Duration::from_secs(20);

/// How the runner ends the next calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RunPlan {
    Complete,
    CompleteAfter(time::Millis),
    NotRun,
    NotRunAfter(time::Millis),
    MaybeRun,
}

/// Counts the runs of each key.
#[derive(Default)]
pub(crate) struct CountingRunner {
    runs: sync::Mutex<collections::BTreeMap<String, u32>>,
    plan: sync::Mutex<Option<RunPlan>>,
}

impl CountingRunner {
    pub(crate) fn plan(&self, plan: RunPlan) {
        *self.plan.lock().expect("no test panics with the lock") = Some(plan);
    }

    pub(crate) fn runs(&self, key: &str) -> u32 {
        self.runs.lock().expect("no test panics with the lock").get(key).copied().unwrap_or(0)
    }

    pub(crate) fn total(&self) -> u32 {
        self.runs.lock().expect("no test panics with the lock").values().sum()
    }

    pub(crate) fn most(&self) -> u32 {
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

/// Links between the daemons, which can be cut.
#[derive(Default)]
pub(crate) struct MemoryNetwork {
    services: sync::Mutex<collections::BTreeMap<String, service::ShardService>>,
    cut: sync::Mutex<collections::BTreeSet<String>>,
    cut_tables: sync::Mutex<collections::BTreeSet<String>>,
    held_writes: sync::Mutex<collections::BTreeSet<String>>,
    silent_submits: sync::Mutex<collections::BTreeSet<String>>,
    entries: sync::Mutex<Vec<peer::PeerEntry>>,
}

impl MemoryNetwork {
    pub(crate) fn cut(&self, daemon: &str) {
        self.cut.lock().expect("no test panics with the lock").insert(daemon.to_owned());
    }

    pub(crate) fn heal(&self, daemon: &str) {
        self.cut.lock().expect("no test panics with the lock").remove(daemon);
    }

    /// Cuts a daemon off from the table only.
    pub(crate) fn cut_table(&self, daemon: &str) {
        self.cut_tables.lock().expect("no test panics with the lock").insert(daemon.to_owned());
    }

    /// Cuts a daemon off while its writes to the table are still under way.
    pub(crate) fn hold_writes(&self, daemon: &str) {
        self.held_writes.lock().expect("no test panics with the lock").insert(daemon.to_owned());
        self.cut(daemon);
    }

    /// Lets the writes that are under way arrive; the daemon stays cut off.
    pub(crate) fn release_writes(&self, daemon: &str) {
        self.held_writes.lock().expect("no test panics with the lock").remove(daemon);
    }

    /// Loses the answers to calls that are sent to a daemon until they are sent once more.
    pub(crate) fn silence_submits(&self, daemon: &str) {
        self.silent_submits.lock().expect("no test panics with the lock").insert(daemon.to_owned());
    }

    /// Lets the calls be sent once more, to whatever life the daemon lives now.
    pub(crate) fn resend_submits(&self, daemon: &str) {
        self.silent_submits.lock().expect("no test panics with the lock").remove(daemon);
    }

    fn loses_submits(&self, daemon: &str) -> bool {
        self.silent_submits.lock().expect("no test panics with the lock").contains(daemon)
    }

    fn service(&self, daemon: &str) -> Option<service::ShardService> {
        self.services.lock().expect("no test panics with the lock").get(daemon).cloned()
    }

    /// Waits while the daemon's writes are under way; false where they are not held up.
    async fn delay_write(&self, daemon: &str) -> bool {
        let is_held =
            || self.held_writes.lock().expect("no test panics with the lock").contains(daemon);
        let was_held = is_held();
        while is_held() {
            task::sleep(std_time::Duration::from_millis(5)).await;
        }
        was_held
    }

    fn is_cut(&self, daemon: &str) -> bool {
        self.cut.lock().expect("no test panics with the lock").contains(daemon)
    }

    fn has_table(&self, daemon: &str) -> bool {
        let cut_tables = self.cut_tables.lock().expect("no test panics with the lock");
        !self.is_cut(daemon) && !cut_tables.contains(daemon)
    }
}

/// One daemon's view of the network.
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
        question: message::ShardRequest,
    ) -> Result<message::ShardResponse, client::PeerError> {
        let daemon = peer.id.as_str();
        let Some(mut service) = self.network.service(daemon) else {
            return Err(client::PeerError::Unreachable);
        };
        let is_submit = matches!(question, message::ShardRequest::Submit { .. });
        if is_submit && self.network.loses_submits(daemon) {
            let first = question.clone();
            task::spawn(async move { service.handle_request(first).await });
            while self.network.loses_submits(daemon) {
                task::sleep(std_time::Duration::from_millis(5)).await;
            }
            service = self.network.service(daemon).ok_or(client::PeerError::Timeout)?;
        }
        let is_cut = || self.network.is_cut(&self.daemon) || self.network.is_cut(peer.id.as_str());
        if is_cut() {
            task::sleep(std_time::Duration::from_millis(50)).await;
            return Err(client::PeerError::Timeout);
        }
        let answer =
            future::timeout(std_time::Duration::from_secs(2), service.handle_request(question));
        match answer.await {
            Ok(answer) if !is_cut() => Ok(answer),
            _ => Err(client::PeerError::Timeout),
        }
    }
}

/// A table that one daemon can be cut off from.
struct DaemonTable {
    daemon: String,
    network: sync::Arc<MemoryNetwork>,
    table: sync::Arc<memory::MemoryTable>,
}

impl DaemonTable {
    fn check(&self) -> Result<(), samphiremoor_platform::table::PlatformError> {
        if !self.network.has_table(&self.daemon) {
            let cause = sync::Arc::from("cut off");
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
        self.check()?;
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
        self.check()?;
        self.table.scan(prefix, after, limit).await
    }

    async fn commit(
        &self,
        transaction: &samphiremoor_platform::table::TableTransaction,
    ) -> Result<
        samphiremoor_platform::table::CommitResponse,
        samphiremoor_platform::table::PlatformError,
    > {
        if !self.network.delay_write(&self.daemon).await {
            self.check()?;
        }
        self.table.commit(transaction).await
    }
}

/// A few daemons over one table.
pub(crate) struct ShardCluster {
    pub(crate) table: sync::Arc<memory::MemoryTable>,
    pub(crate) runner: sync::Arc<CountingRunner>,
    pub(crate) network: sync::Arc<MemoryNetwork>,
    settings: settings::ShardSettings,
    lives: sync::atomic::AtomicU64,
}

impl ShardCluster {
    /// Daemons named `a`, `b` and so on, in two zones by turns.
    pub(crate) fn start(count: usize) -> ShardCluster {
        ShardCluster::start_with(count, test_settings())
    }

    /// The same with other settings.
    pub(crate) fn start_with(count: usize, settings: settings::ShardSettings) -> ShardCluster {
        let cluster = ShardCluster {
            table: sync::Arc::new(memory::MemoryTable::new()),
            runner: sync::Arc::default(),
            network: sync::Arc::default(),
            settings,
            lives: sync::atomic::AtomicU64::new(1),
        };
        let entries = (0..count).map(entry).collect();
        *cluster.network.entries.lock().expect("no test panics with the lock") = entries;
        for index in 0..count {
            cluster.start_daemon(&name(index));
        }
        cluster
    }

    /// Starts a daemon, or starts it anew with another life.
    pub(crate) fn start_daemon(&self, daemon: &str) {
        let lives = self.lives.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let entries = self.network.entries.lock().expect("no test panics with the lock").clone();
        let entry =
            entries.iter().find(|entry| entry.id.as_str() == daemon).expect("the test set it up");
        let link = || DaemonLink { daemon: daemon.to_owned(), network: self.network.clone() };
        let parts = context::ShardContext {
            daemon: entry.id.clone(),
            incarnation: quantity::Incarnation::new(lives),
            zone: entry.zone.clone(),
            settings: self.settings.clone(),
            table: sync::Arc::new(DaemonTable {
                daemon: daemon.to_owned(),
                network: self.network.clone(),
                table: self.table.clone(),
            }),
            runner: self.runner.clone(),
            directory: sync::Arc::new(link()),
            transport: sync::Arc::new(link()),
        };
        let registry = prometheus::Registry::new();
        let service = service::ShardService::start(parts, &registry).expect("the test set it up");
        self.network
            .services
            .lock()
            .expect("no test panics with the lock")
            .insert(daemon.to_owned(), service);
    }

    /// Ends a daemon without notice.
    pub(crate) fn kill(&self, daemon: &str) {
        self.network.services.lock().expect("no test panics with the lock").remove(daemon);
    }

    /// Ends daemons whose VMs are reclaimed: they are on no list any more.
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
            .expect("the test set it up")
            .clone()
    }

    pub(crate) fn names(&self) -> Vec<String> {
        self.network
            .services
            .lock()
            .expect("no test panics with the lock")
            .keys()
            .cloned()
            .collect()
    }

    /// Waits until every shard is held, by every present daemon's account.
    pub(crate) fn wait_covered(&self) {
        wait_until("every shard has a live holder", || {
            let services = self.network.services.lock().expect("no test panics with the lock");
            let own: usize = services.values().map(|service| service.coverage().held_locally).sum();
            services.values().all(|service| {
                let coverage = service.coverage();
                coverage.total > 0 && coverage.held == coverage.total && own == coverage.total
            })
        });
    }

    /// Sends a call through a daemon and awaits its answer.
    pub(crate) fn call(&self, daemon: &str, key: &str, body: &str) -> call::KeyedResponse {
        task::block_on(self.send(daemon, once_call(daemon, key, body)))
    }

    /// Sends a call through a daemon, without awaiting its answer.
    pub(crate) fn send(
        &self,
        daemon: &str,
        call: call::KeyedCall,
    ) -> task::JoinHandle<call::KeyedResponse> {
        let service = self.service(daemon);
        task::spawn(async move { service.submit(call).await })
    }

    /// The daemon that held the greatest number of shards.
    pub(crate) fn busiest(&self) -> String {
        let names = self.names();
        names
            .into_iter()
            .max_by_key(|name| self.service(name).coverage().held_locally)
            .expect("the test set it up")
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

pub(crate) fn once_call(daemon: &str, key: &str, body: &str) -> call::KeyedCall {
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

/// Polls for a condition with a generous limit.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = std_time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < CONDITION_LIMIT, "{what}: not seen in time");
        std::thread::sleep(std_time::Duration::from_millis(10));
    }
}

pub(crate) fn name(index: usize) -> String {
    char::from(b'a' + u8::try_from(index).expect("few daemons")).to_string()
}

fn entry(index: usize) -> peer::PeerEntry {
    let port = 9_000 + u16::try_from(index).expect("few daemons");
    peer::PeerEntry {
        id: name(index).parse().expect("a valid identifier"),
        zone: if index.is_multiple_of(2) { "north" } else { "south" }
            .parse()
            .expect("a valid identifier"),
        address: net::SocketAddr::from(([127, 0, 0, 1], port)),
        state: zone::UpstreamState::Live,
    }
}
