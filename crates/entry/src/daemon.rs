//! Start-up of the daemon (servers, control thread, shards) and its planned stop.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync;
use std::sync::Arc;
use std::sync::atomic;

use async_std::net;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_control::ports;
use samphiremoor_control::service;
use samphiremoor_control::settings as control_settings;
use samphiremoor_control::upstream;
use samphiremoor_httpio::server;
use samphiremoor_limits::adaptive;
use samphiremoor_peers::server as peer_server;
use samphiremoor_platform::table;
use samphiremoor_platform_client::http;
use samphiremoor_platform_client::settings as platform_settings;
use samphiremoor_routing::scored;
use samphiremoor_settings::secret;
use samphiremoor_shards::context;
use samphiremoor_shards::service as shard_service;

use crate::cache;
use crate::control;
use crate::core;
use crate::finish;
use crate::handover;
use crate::keyed;
use crate::peer;
use crate::quarantine;
use crate::serve::handler;
use crate::settings;
use crate::source;

/// Reason why the daemon failed to start.
#[derive(Debug)]
pub enum StartError {
    /// Binding the callers' address failed.
    Listen(SocketAddr, io::Error),
    /// Binding the peer address or the control address failed.
    PeerListen(peer_server::ListenError),
    /// Spawning the thread that polls views failed.
    Thread(io::Error),
    /// Starting the shards failed.
    Shards(shard_service::StartError),
    /// Reading the platform token failed.
    Token(secret::SecretError),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, cause) => {
                write!(f, "can't listen on {address} ({cause}); set a free http_address")
            }
            StartError::PeerListen(cause) => cause.fmt(f),
            StartError::Shards(cause) => cause.fmt(f),
            StartError::Token(cause) => cause.fmt(f),
            StartError::Thread(cause) => {
                write!(f, "failed to start a thread ({cause}); raise the process limits")
            }
        }
    }
}

impl error::Error for StartError {}

/// Dependencies that a daemon is built from besides its settings.
pub struct EntryParts {
    /// Source of the zone views.
    pub views: ViewOrigin,
    /// Routing and admission policies.
    pub policies: core::EntryPolicies,
    /// The platform's table. Without a table, non-repeatable calls are refused.
    pub table: Option<Arc<dyn table::TableStore>>,
}

/// Source of the zone views.
pub enum ViewOrigin {
    /// A control thread with these settings and these ports to external systems.
    Control(Box<control_settings::ControlSettings>, ports::ControlPorts),
    /// A polled source, for development and tests.
    Source(Box<dyn source::ViewSource>),
}

/// A running daemon.
pub struct EntryDaemon {
    core: Arc<core::EntryCore>,
    peers: Arc<peer::PeerClients>,
    shards: Option<shard_service::ShardService>,
    address: SocketAddr,
    server_stop: server::StopSignal,
    /// Triggered by a second call of [`stop`](Self::stop): ends the wait for the requests in
    /// progress.
    forced: server::StopSignal,
    stop_started: sync::Once,
    /// The control thread; `None` if views are polled. Dropped during shutdown.
    control: sync::Mutex<Option<service::ControlService>>,
    _peer_server: peer_server::PeerServer,
}

/// Result of the planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopOutcome {
    /// All requests in progress finished.
    Finished,
    /// The remaining requests were handed over to peers or aborted.
    Forced,
}

impl EntryDaemon {
    /// Starts the servers and the control thread with the default policies.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound, a thread can't be started, the shards can't
    /// be started or the platform token can't be read.
    pub async fn start(settings: settings::EntrySettings) -> Result<Self, StartError> {
        let platform = settings.platform.as_ref().map(platform_settings::PlatformSettings::client);
        let platform = platform.transpose().map_err(StartError::Token)?;
        let parts = EntryParts {
            views: view_origin(&settings, platform.as_ref()),
            policies: default_policies(),
            table: platform.map(|platform| -> Arc<dyn table::TableStore> { Arc::new(platform) }),
        };
        EntryDaemon::start_with(settings, parts).await
    }

    /// Starts the daemon with the given parts.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound, a thread can't be started or the shards can't
    /// be started.
    pub async fn start_with(
        settings: settings::EntrySettings,
        parts: EntryParts,
    ) -> Result<Self, StartError> {
        let http_address = settings.http_address;
        let listener = net::TcpListener::bind(http_address)
            .await
            .map_err(|cause| StartError::Listen(http_address, cause))?;
        let address =
            listener.local_addr().map_err(|cause| StartError::Listen(http_address, cause))?;
        let limits = settings.server_limits();
        let peers = Arc::new(peer::PeerClients::new(settings.kept.peer_timeout_ms));
        let peer_address = settings.peer_address;
        let core = Arc::new(core::EntryCore::new(settings, parts.policies));
        core.paths.connect(peers.clone());
        let incarnation = service::new_incarnation();
        let table = parts.table.clone();
        let shards = start_shards(&core, &peers, parts.table, incarnation)?;
        let entry_peer =
            Arc::new(handover::EntryPeerHandler::new(core.clone(), peers.clone(), shards.clone()));
        let peer_server = peer_server::PeerServer::start(peer_address, entry_peer)
            .map_err(StartError::PeerListen)?;
        let control = match parts.views {
            ViewOrigin::Control(settings, ports) => {
                let started = control::start(&core, &settings, ports, incarnation);
                Some(started.map_err(StartError::PeerListen)?)
            }
            ViewOrigin::Source(source) => {
                let shutdown = core.shutdown.clone();
                source::start(source, core.clone(), shutdown).map_err(StartError::Thread)?;
                None
            }
        };
        let server_stop = server::StopSignal::new();
        let handler =
            Arc::new(handler::EntryHandler::new(core.clone(), peers.clone(), shards.clone()));
        task::spawn(cache::poll_engines(core.clone()));
        task::spawn(quarantine::exchange_news(core.clone(), peers.clone()));
        if let Some(table) = table {
            task::spawn(quarantine::follow_rows(core.clone(), table));
        }
        task::spawn(server::serve(listener, limits, handler, server_stop.clone()));
        log_event!(event::LogEvent::ProcessStarted, address = address);
        Ok(EntryDaemon {
            core,
            peers,
            shards,
            address,
            server_stop,
            forced: server::StopSignal::new(),
            stop_started: sync::Once::new(),
            control: sync::Mutex::new(control),
            _peer_server: peer_server,
        })
    }

    /// Returns the address that serves callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the daemon's shared state.
    pub fn core(&self) -> &Arc<core::EntryCore> {
        &self.core
    }

    /// Returns the shards of the idempotency keys, or `None` if the daemon has no table.
    pub fn shards(&self) -> Option<&shard_service::ShardService> {
        self.shards.as_ref()
    }

    /// Begins the planned stop. New requests are still accepted in the first half of the grace
    /// period. A second call ends the wait of [`finish`](Self::finish) at once.
    pub fn stop(&self) {
        if self.stop_started.is_completed() {
            self.forced.trigger();
            return;
        }
        self.stop_started.call_once(|| {
            log_event!(event::LogEvent::ProcessStopping);
            self.core.begin_stop();
        });
    }

    /// Waits for the requests in progress after [`stop`](Self::stop), and hands the remaining ones
    /// over to peers at the time limit; then shuts the servers down.
    pub async fn finish(&self) -> StopOutcome {
        let grace_end = self.core.now() + self.core.settings.stop.grace_ms;
        let mut limit = self.wait_limit();
        let mut is_reclaim_handled = false;
        while !self.is_wait_over(limit) {
            if self.is_idle() && self.core.now() >= grace_end {
                self.stop_shards(limit).await;
                self.shut_down().await;
                return StopOutcome::Finished;
            }
            // The reclaim notice of the VM can arrive during a planned stop.
            if self.core.reclaimed.is_triggered() && !is_reclaim_handled {
                is_reclaim_handled = true;
                limit = Some(self.core.now() + self.core.settings.stop.reclaim_ms);
            }
            task::sleep(STOP_POLL_INTERVAL.to_duration()).await;
        }
        log_event!(event::LogEvent::StopForced);
        self.core.intake_closed.trigger();
        self.hand_over_remaining().await;
        self.stop_shards(Some(self.core.now())).await;
        self.shut_down().await;
        StopOutcome::Forced
    }

    /// Returns when the wait for the requests in progress ends, or `None` if the wait is unlimited.
    fn wait_limit(&self) -> Option<time::MonotonicTime> {
        let timeout = self.core.settings.stop.limit_ms;
        (timeout.get() > 0).then(|| self.core.now() + timeout)
    }

    fn is_wait_over(&self, limit: Option<time::MonotonicTime>) -> bool {
        self.forced.is_triggered() || limit.is_some_and(|limit| self.core.now() >= limit)
    }

    async fn hand_over_remaining(&self) {
        let deadline = self.core.now() + self.core.settings.stop.hand_over_ms;
        handover::hand_over_all(&self.core, &self.peers).await;
        // The callers' streams end with an error event, which takes some time to be written.
        while !self.is_idle() && self.core.now() < deadline {
            task::sleep(STOP_POLL_INTERVAL.to_duration()).await;
        }
        for kept in self.core.registry.in_progress() {
            finish::abort_request(&self.core, &kept);
        }
        task::sleep(FLUSH_DELAY.to_duration()).await;
    }

    /// Returns whether no request is in progress and all responses are written.
    fn is_idle(&self) -> bool {
        let core = &self.core;
        let open_count = |count: &atomic::AtomicUsize| count.load(atomic::Ordering::Relaxed);
        open_count(&core.in_progress) == 0 && open_count(&core.open_responses) == 0
    }

    /// Stops the shards. Keyed calls that run here, also for other daemons, can finish until `limit`.
    async fn stop_shards(&self, limit: Option<time::MonotonicTime>) {
        let Some(shards) = &self.shards else { return };
        loop {
            let has_runs = self.core.keyed_runs.load(atomic::Ordering::Relaxed) > 0;
            let is_stopped = shards.stop(self.core.settings.stop.hand_over_ms).await;
            if is_stopped || !has_runs || self.is_wait_over(limit) {
                return;
            }
        }
    }

    async fn shut_down(&self) {
        self.server_stop.trigger();
        self.core.shutdown.trigger();
        let control = self.control.lock().unwrap_or_else(sync::PoisonError::into_inner).take();
        // Dropping the control service blocks until the peers know that the daemon leaves.
        task::spawn_blocking(move || drop(control)).await;
        log_event!(event::LogEvent::ProcessStopped);
    }
}

/// Interval for checking the requests in progress during a planned stop.
const STOP_POLL_INTERVAL: time::Millis = time::Millis::new(20);

/// Time for writing the last events of aborted streams.
const FLUSH_DELAY: time::Millis = time::Millis::new(100);

/// Returns the view origin that the settings name. The check of the settings ensures that there is
/// exactly one.
fn view_origin(
    settings: &settings::EntrySettings,
    platform: Option<&http::HttpPlatform>,
) -> ViewOrigin {
    let (Some(control), Some(platform)) = (&settings.control, platform) else {
        let file = settings.view_file.clone().unwrap_or_default();
        return ViewOrigin::Source(Box::new(source::FileSource::new(file)));
    };
    let ports = ports::ControlPorts {
        table: Arc::new(platform.clone()),
        cloud: Arc::new(platform.clone()),
        upstreams: Arc::new(upstream::HttpUpstream),
    };
    ViewOrigin::Control(Box::new(control.clone()), ports)
}

fn start_shards(
    core: &Arc<core::EntryCore>,
    peers: &Arc<peer::PeerClients>,
    table: Option<Arc<dyn table::TableStore>>,
    incarnation: quantity::Incarnation,
) -> Result<Option<shard_service::ShardService>, StartError> {
    let settings = &core.settings;
    let Some(table) = table else { return Ok(None) };
    let context = context::ShardContext {
        daemon: settings.daemon.clone(),
        incarnation,
        zone: settings.zone.clone(),
        settings: settings.shards.clone(),
        table,
        runner: Arc::new(keyed::ClaimedRunner::new(core.clone())),
        directory: Arc::new(keyed::ViewDirectory::new(core.clone())),
        transport: Arc::new(keyed::EntryTransport::new(peers.clone())),
    };
    let started = shard_service::ShardService::start(context, core.metrics.registry());
    started.map(Some).map_err(StartError::Shards)
}

/// Returns the policies that the daemon runs with by default.
pub fn default_policies() -> core::EntryPolicies {
    core::EntryPolicies {
        picker: Box::new(scored::ScoredPicker::default()),
        gate: Box::new(adaptive::AdaptiveGate::default()),
    }
}
