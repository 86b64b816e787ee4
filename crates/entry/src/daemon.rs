//! The running daemon: its servers, its control thread and its planned stop.

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
use crate::once;
use crate::peer;
use crate::serve::handler;
use crate::settings;
use crate::source;

/// Why the daemon does not start.
#[derive(Debug)]
pub enum StartError {
    /// The callers' address can't be listened on.
    Listen(SocketAddr, io::Error),
    /// The peers' or the control address can't be listened on.
    PeerListen(peer_server::ListenError),
    /// The control thread can't be started.
    Thread(io::Error),
    /// The shards can't be started.
    Shards(shard_service::StartError),
    /// The platform's token can't be read.
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
                write!(f, "can't start a thread ({cause}); raise the process's limits")
            }
        }
    }
}

impl error::Error for StartError {}

/// What a daemon is built from beside its settings.
pub struct EntryParts {
    /// Where views come from.
    pub views: ViewOrigin,
    /// Routes and admits.
    pub policies: core::EntryPolicies,
    /// The platform's table; without it, calls that may not be repeated are refused.
    pub table: Option<Arc<dyn table::TableStore>>,
}

/// Where views come from.
pub enum ViewOrigin {
    /// The control thread, which runs where the settings have it, with what it reaches outside.
    Control(Box<control_settings::ControlSettings>, ports::ControlPorts),
    /// They are pulled, for development and tests.
    Source(Box<dyn source::ViewSource>),
}

/// A running daemon.
pub struct EntryDaemon {
    core: Arc<core::EntryCore>,
    peers: Arc<peer::PeerClients>,
    shards: Option<shard_service::ShardService>,
    address: SocketAddr,
    accepting: server::StopSignal,
    forced: server::StopSignal,
    stop_started: sync::Once,
    /// Ends when the daemon does; none where views are pulled.
    control: sync::Mutex<Option<service::ControlService>>,
    _peer_server: peer_server::PeerServer,
}

/// How the planned stop ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopVerdict {
    /// Everything in progress was finished.
    Finished,
    /// The rest was handed over or ended at the limit.
    Forced,
}

impl EntryDaemon {
    /// Starts the servers and the control thread.
    ///
    /// # Errors
    ///
    /// Fails where an address is taken, or the platform's token can't be read.
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

    /// Starts with parts of the caller's choice.
    ///
    /// # Errors
    ///
    /// Fails where an address is taken.
    pub async fn start_with(
        settings: settings::EntrySettings,
        parts: EntryParts,
    ) -> Result<Self, StartError> {
        let wanted = settings.http_address;
        let listener = net::TcpListener::bind(wanted)
            .await
            .map_err(|cause| StartError::Listen(wanted, cause))?;
        let address = listener.local_addr().map_err(|cause| StartError::Listen(wanted, cause))?;
        let limits = settings.server_limits();
        let peers = Arc::new(peer::PeerClients::new(settings.kept.peer_timeout_ms));
        let peer_address = settings.peer_address;
        let core = Arc::new(core::EntryCore::new(settings, parts.policies));
        let incarnation = service::new_incarnation();
        let shards = start_shards(&core, &peers, parts.table, incarnation)?;
        let entry_peer = Arc::new(handover::EntryPeer::new(core.clone(), shards.clone()));
        let peer_server = peer_server::PeerServer::start(peer_address, entry_peer)
            .map_err(StartError::PeerListen)?;
        let control = match parts.views {
            ViewOrigin::Control(settings, ports) => {
                let started = control::start(&core, &settings, ports, incarnation);
                Some(started.map_err(StartError::PeerListen)?)
            }
            ViewOrigin::Source(source) => {
                let ending = core.ending.clone();
                source::start(source, core.clone(), ending).map_err(StartError::Thread)?;
                None
            }
        };
        let accepting = server::StopSignal::new();
        let handler =
            Arc::new(handler::EntryHandler::new(core.clone(), peers.clone(), shards.clone()));
        task::spawn(cache::watch(core.clone()));
        task::spawn(server::serve(listener, limits, handler, accepting.clone()));
        log_event!(event::LogEvent::ProcessStarted, address = address);
        Ok(EntryDaemon {
            core,
            peers,
            shards,
            address,
            accepting,
            forced: server::StopSignal::new(),
            stop_started: sync::Once::new(),
            control: sync::Mutex::new(control),
            _peer_server: peer_server,
        })
    }

    /// Where callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The daemon's state.
    pub fn core(&self) -> &Arc<core::EntryCore> {
        &self.core
    }

    /// The shards of the idempotency keys, where the daemon has a table.
    pub fn shards(&self) -> Option<&shard_service::ShardService> {
        self.shards.as_ref()
    }

    /// Begins the planned stop, after which no new work is taken soon; a second call cuts the wait of [`finish`](Self::finish).
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

    /// Waits for the requests in progress after [`stop`](Self::stop), or hands them over at the
    /// limit; then ends the servers.
    pub async fn finish(&self) -> StopVerdict {
        let grace_end = self.core.now() + self.core.settings.stop.grace_ms;
        let mut limit = self.planned_limit();
        let mut is_reclaim_noted = false;
        while !self.is_cut(limit) {
            if self.is_idle() && self.core.now() >= grace_end {
                self.end().await;
                return StopVerdict::Finished;
            }
            // The notice can come in the middle of a planned stop.
            if self.core.reclaimed.is_triggered() && !is_reclaim_noted {
                is_reclaim_noted = true;
                limit = Some(self.core.now() + self.core.settings.stop.reclaim_ms);
            }
            task::sleep(STOP_POLL.to_duration()).await;
        }
        log_event!(event::LogEvent::StopForced);
        self.core.closed.trigger();
        self.hand_over_rest().await;
        self.end().await;
        StopVerdict::Forced
    }

    /// When the wait for the requests in progress ends; never, where it has no limit.
    fn planned_limit(&self) -> Option<time::MonotonicTime> {
        let length = self.core.settings.stop.limit_ms;
        (length.get() > 0).then(|| self.core.now() + length)
    }

    fn is_cut(&self, limit: Option<time::MonotonicTime>) -> bool {
        self.forced.is_triggered() || limit.is_some_and(|limit| self.core.now() >= limit)
    }

    async fn hand_over_rest(&self) {
        let limit = self.core.now() + self.core.settings.stop.hand_over_ms;
        handover::hand_over_all(&self.core, &self.peers).await;
        // The callers' streams end with an event that needs a moment to be written.
        while !self.is_idle() && self.core.now() < limit {
            task::sleep(STOP_POLL.to_duration()).await;
        }
        for kept in self.core.registry.in_progress() {
            finish::cut(&self.core, &kept);
        }
        task::sleep(FLUSH_TIME.to_duration()).await;
    }

    fn is_idle(&self) -> bool {
        self.core.in_progress.load(atomic::Ordering::Relaxed) == 0
    }

    async fn end(&self) {
        if let Some(shards) = &self.shards {
            shards.stop(self.core.settings.stop.hand_over_ms).await;
        }
        self.accepting.trigger();
        self.core.ending.trigger();
        let control = self.control.lock().unwrap_or_else(sync::PoisonError::into_inner).take();
        // Its end waits until peers know of it.
        task::spawn_blocking(move || drop(control)).await;
        log_event!(event::LogEvent::ProcessStopped);
    }
}

/// Time between two looks at what is in progress while the daemon stops.
const STOP_POLL: time::Millis = time::Millis::new(20);

/// Time for the last events of cut streams.
const FLUSH_TIME: time::Millis = time::Millis::new(100);

/// The origin that the settings name; their check lets exactly one through.
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
    let parts = context::ShardContext {
        daemon: settings.daemon.clone(),
        incarnation,
        zone: settings.zone.clone(),
        settings: settings.shards.clone(),
        table,
        runner: Arc::new(once::ClaimedRunner::new(core.clone())),
        directory: Arc::new(once::ViewDirectory::new(core.clone())),
        transport: Arc::new(once::LinkTransport::new(peers.clone())),
    };
    let started = shard_service::ShardService::start(parts, core.metrics.registry());
    started.map(Some).map_err(StartError::Shards)
}

/// The policies that the daemon runs with.
pub fn default_policies() -> core::EntryPolicies {
    core::EntryPolicies {
        picker: Box::new(scored::ScoredPicker::default()),
        gate: Box::new(adaptive::AdaptiveGate::default()),
    }
}
