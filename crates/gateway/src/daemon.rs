//! Starts and stops the gateway daemon.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path;
use std::rc;
use std::thread;

use async_std::channel;
use async_std::future;
use async_std::net;
use async_std::task;
use rustix::net::sockopt;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_httpio::connection;
use samphiremoor_settings::load;
use signal_hook::consts;
use signal_hook::iterator;

use crate::adapter;
use crate::caller;
use crate::core;
use crate::digest_exchange;
use crate::duties;
use crate::internal_response;
use crate::path_probe;
use crate::peer_records;
use crate::quarantine_records;
use crate::rollouts;
use crate::settings;
use crate::table_sync;
use crate::tunnel;
use crate::tunnel_relay;
use crate::vital_task;

/// Time before the process is killed at which requests still in progress are abandoned.
const KILL_MARGIN: time::Millis = time::Millis::new(300);
/// Time within which the responses to abandoned requests are written.
const RESPONSE_TIME: time::Millis = time::Millis::new(150);
/// Time within which the requests that came before the daemon stopped accepting connections are refused.
const LAST_REFUSAL_TIME: time::Millis = time::Millis::new(100);
/// Interval between checks for requests in progress once they are abandoned.
const RESPONSE_CHECK_INTERVAL: time::Millis = time::Millis::new(5);
/// Interval between checks for requests in progress while the daemon stops; also the pause after a
/// failed accept on an operator address.
const STOP_CHECK_INTERVAL: time::Millis = time::Millis::new(50);
/// Interval between sweeps of the pool of idle connections.
const SWEEP_INTERVAL: time::Millis = time::Millis::new(1_000);
/// Interval between checks of the settings file, which can change without a signal.
const SETTINGS_INTERVAL: time::Millis = time::Millis::new(5_000);
/// Timeout for reading a request on the operator addresses and the peer address.
const INTERNAL_REQUEST_TIMEOUT: time::Millis = time::Millis::new(5_000);
/// Timeout for writing a response on the operator addresses and the peer address.
const INTERNAL_RESPONSE_TIMEOUT: time::Millis = time::Millis::new(5_000);
/// Size of the receive buffers of callers' sockets, which the system doubles for its own data. By
/// default they would grow to several mebibytes each, beside the limit on received bytes.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Largest request head on the operator addresses and the peer address.
const INTERNAL_HEAD_LIMIT: quantity::ByteCount = quantity::ByteCount::new(8 * 1024);

/// Why the daemon can't start.
#[derive(Debug)]
pub enum StartError {
    /// Listening on an address failed.
    Listen(SocketAddr, io::Error),
    /// Registering the signal handlers failed.
    Signals(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, cause) => {
                write!(f, "can't listen on {address} ({cause}); set a free address")
            }
            StartError::Signals(cause) => {
                write!(f, "can't register signal handlers ({cause}); raise the process's limits")
            }
        }
    }
}

impl error::Error for StartError {}

/// Creates the adapter to a deployment from the settings.
pub type AdapterFactory = fn(&settings::GatewaySettings) -> adapter::DeploymentAdapter;

/// Runs the daemon until a signal instructs it to stop. `settings` were read from `settings_file`,
/// which is checked for changes.
///
/// # Errors
///
/// Fails if an address can't be listened on or signals can't be handled.
pub fn run(
    settings_file: &path::Path,
    settings: settings::GatewaySettings,
    make_adapter: AdapterFactory,
) -> Result<(), StartError> {
    let (sender, signals) = channel::unbounded();
    watch_signals(sender).map_err(StartError::Signals)?;
    let settings_file = settings_file.to_owned();
    task::block_on(async move {
        let adapter = make_adapter(&settings);
        let core = core::GatewayCore::new(settings, adapter);
        start(&core).await?;
        task::spawn_local(watch_settings(core.clone(), settings_file.clone()));
        while let Ok(signal) = signals.recv().await {
            if signal == consts::SIGHUP {
                reload(&core, &settings_file);
                continue;
            }
            break;
        }
        stop(&core).await;
        Ok(())
    })
}

/// Starts the daemon's tasks on the current thread.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub async fn start(core: &rc::Rc<core::GatewayCore>) -> Result<(), StartError> {
    let listen = &core.settings.listen;
    let callers = bind_callers(listen.callers)?;
    let ready = bind(listen.ready).await?;
    let metrics = bind(listen.metrics).await?;
    let peers = net::UdpSocket::bind(listen.peers).await;
    let peers = peers.map_err(|cause| StartError::Listen(listen.peers, cause))?;
    let peer_requests = bind(listen.peers).await?;
    digest_exchange::start(core, peers);
    vital_task::spawn(serve_internal(core.clone(), peer_requests, peer_records::respond, true));
    vital_task::spawn(table_sync::follow_policy(core.clone()));
    vital_task::spawn(table_sync::follow_entries(core.clone()));
    vital_task::spawn(caller::accept(core.clone(), callers));
    vital_task::spawn(serve_internal(core.clone(), ready, respond_readiness, false));
    vital_task::spawn(serve_internal(core.clone(), metrics, render_metrics, false));
    vital_task::spawn(duties::run(core.clone()));
    vital_task::spawn(quarantine_records::run(core.clone()));
    vital_task::spawn(rollouts::run(core.clone()));
    vital_task::spawn(path_probe::run(core.clone()));
    vital_task::spawn(sweep_idle(core.clone()));
    log_event!(
        event::LogEvent::ProcessStarted,
        daemon = core.settings.daemon,
        incarnation = core.incarnation,
        callers = listen.callers,
        ready = listen.ready,
        peers = listen.peers,
        metrics = listen.metrics,
    );
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<net::TcpListener, StartError> {
    net::TcpListener::bind(address).await.map_err(|cause| StartError::Listen(address, cause))
}

/// Listens for callers, whose sockets get a receive buffer of a fixed size.
fn bind_callers(address: SocketAddr) -> Result<net::TcpListener, StartError> {
    let failed = |cause| StartError::Listen(address, cause);
    let listener = std::net::TcpListener::bind(address).map_err(failed)?;
    sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES)
        .map_err(|cause| failed(cause.into()))?;
    Ok(net::TcpListener::from(listener))
}

/// Starts a thread that sends the signals of the process to `sender`.
fn watch_signals(sender: channel::Sender<i32>) -> io::Result<()> {
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT, consts::SIGHUP])?;
    let watch = move || {
        for signal in signals.forever() {
            if sender.try_send(signal).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("signals".to_owned()).spawn(watch).map(|_| ())
}

fn respond_readiness(
    core: &core::GatewayCore,
    _target: &str,
) -> internal_response::InternalResponse {
    (core.is_ready(), Vec::new()).into()
}

fn render_metrics(core: &core::GatewayCore, _target: &str) -> internal_response::InternalResponse {
    (true, core.metrics.render()).into()
}

/// Serves requests on an operator or peer address; never returns. `respond` returns the response to
/// a request target. Connections to replicas are relayed if `relays_tunnels` is set.
async fn serve_internal(
    core: rc::Rc<core::GatewayCore>,
    listener: net::TcpListener,
    respond: fn(&core::GatewayCore, &str) -> internal_response::InternalResponse,
    relays_tunnels: bool,
) {
    loop {
        let Ok((stream, sender)) = listener.accept().await else {
            task::sleep(STOP_CHECK_INTERVAL.to_duration()).await;
            continue;
        };
        let core = core.clone();
        task::spawn_local(async move {
            let Ok(mut raw) = connection::RawConnection::new(stream) else { return };
            let request = raw.request_head(INTERNAL_HEAD_LIMIT);
            let Ok(Ok(head)) =
                future::timeout(INTERNAL_REQUEST_TIMEOUT.to_duration(), request).await
            else {
                return;
            };
            if relays_tunnels && let Some(replica) = head.target.strip_prefix(tunnel::TUNNEL_PREFIX)
            {
                return tunnel_relay::serve(&core, raw, (&head, replica), sender).await;
            }
            let response = respond(&core, &head.target);
            let head = format!(
                "HTTP/1.1 {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                response.status.line(),
                response.body.len()
            );
            let mut out = head.into_bytes();
            out.extend_from_slice(&response.body);
            // A reader that has stopped must not keep its slot.
            let writing = raw.write(&out);
            match future::timeout(INTERNAL_RESPONSE_TIMEOUT.to_duration(), writing).await {
                Ok(Ok(())) => {}
                Ok(Err(cause)) => {
                    log::debug!(
                        "failed to send a response on an operator or peer address ({cause})"
                    )
                }
                Err(_) => log::debug!("a response on an operator or peer address was not read"),
            }
        });
    }
}

async fn sweep_idle(core: rc::Rc<core::GatewayCore>) {
    loop {
        task::sleep(SWEEP_INTERVAL.to_duration()).await;
        core.state.borrow_mut().idle_pool.sweep(core.now());
    }
}

/// Validates the settings file again whenever its content has changed; never returns.
async fn watch_settings(core: rc::Rc<core::GatewayCore>, settings_file: path::PathBuf) {
    let mut last_content = std::fs::read(&settings_file).ok();
    loop {
        task::sleep(SETTINGS_INTERVAL.to_duration()).await;
        let current_content = std::fs::read(&settings_file).ok();
        if current_content.is_some() && current_content != last_content {
            last_content = current_content;
            reload(&core, &settings_file);
        }
    }
}

/// Validates the settings file again and logs whether it differs from the settings in force.
/// Changes take effect at the next start.
fn reload(core: &core::GatewayCore, settings_file: &path::Path) {
    match load::load::<settings::GatewaySettings>(settings_file) {
        Ok(settings) => {
            let is_same = settings == core.settings;
            log_event!(
                event::LogEvent::SettingsReloaded,
                changed = !is_same,
                in_force = if is_same { "now" } else { "next-start" },
            );
        }
        Err(cause) => {
            log_event!(event::LogEvent::SettingsReloaded, refused = cause, in_force = "before");
        }
    }
}

/// Ends the requests in progress: each gets a response unless one has begun.
async fn end_requests(core: &core::GatewayCore) {
    core.forced_stop.start();
    let forced_at = core.now();
    while core.state.borrow().in_progress > 0 && core.now().since(forced_at) < RESPONSE_TIME {
        task::sleep(RESPONSE_CHECK_INTERVAL.to_duration()).await;
    }
}

/// Accepts no more connections, and refuses the requests on those that were accepted.
async fn end_connections(core: &core::GatewayCore) {
    core.accept_stop.start();
    let ended_at = core.now();
    loop {
        task::sleep(RESPONSE_CHECK_INTERVAL.to_duration()).await;
        let is_idle = core.idle_shutdown.wait_count() == 0;
        if is_idle || core.now().since(ended_at) >= LAST_REFUSAL_TIME {
            return;
        }
    }
}

/// Drains the daemon: accepts requests for a while longer, waits for those in progress and for
/// connections whose request may be on its way or is being read, and abandons what is left shortly
/// before the process is killed.
pub async fn stop(core: &rc::Rc<core::GatewayCore>) {
    let stopping_since = core.now();
    core.state.borrow_mut().stopping_since = Some(stopping_since);
    log_event!(event::LogEvent::ProcessStopping, in_progress = core.state.borrow().in_progress,);
    let abandon_after = core.settings.times.stop.saturating_sub(KILL_MARGIN);
    let mut has_closed_idle = false;
    loop {
        task::sleep(STOP_CHECK_INTERVAL.to_duration()).await;
        let elapsed = core.now().since(stopping_since);
        if elapsed >= core::DRAIN_ACCEPT_TIME && !has_closed_idle {
            has_closed_idle = true;
            core.close_idle_connections();
        }
        let in_progress = core.state.borrow().in_progress;
        let is_idle = in_progress == 0 && core.idle_shutdown.wait_count() == 0;
        if elapsed >= core::DRAIN_ACCEPT_TIME + STOP_CHECK_INTERVAL && is_idle {
            break;
        }
        if elapsed >= abandon_after {
            log_event!(event::LogEvent::StopForced, in_progress = in_progress);
            end_requests(core).await;
            break;
        }
    }
    end_connections(core).await;
    log_event!(event::LogEvent::ProcessStopped, after = core.now().since(stopping_since));
}
