//! Starts the gateway daemon and stops it.

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
use crate::peer_records;
use crate::settings;
use crate::table_sync;

/// Time before the kill at which what is left is given up.
const KILL_MARGIN: time::Millis = time::Millis::new(300);
/// Interval between looks at what is still in progress while the daemon stops.
const STOP_INTERVAL: time::Millis = time::Millis::new(50);
/// Interval between sweeps of idle connections.
const SWEEP_INTERVAL: time::Millis = time::Millis::new(1_000);
/// Interval between looks at the settings file, which can change without a signal.
const SETTINGS_INTERVAL: time::Millis = time::Millis::new(5_000);
/// Time for a question on the addresses for operators.
const QUESTION_TIME: time::Millis = time::Millis::new(5_000);
/// Largest head of a question on the addresses for operators.
const QUESTION_HEAD: quantity::ByteCount = quantity::ByteCount::new(8 * 1024);

/// Why the daemon does not run.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be listened on.
    Listen(SocketAddr, io::Error),
    /// Signals can't be watched.
    Signals(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, cause) => {
                write!(f, "can't listen on {address} ({cause}); set a free address")
            }
            StartError::Signals(cause) => {
                write!(f, "can't watch signals ({cause}); raise the process's limits")
            }
        }
    }
}

impl error::Error for StartError {}

/// Makes the adapter for a deployment from the settings.
pub type AdapterMaker = fn(&settings::GatewaySettings) -> adapter::DeploymentAdapter;

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Fails where addresses or signals can't be had.
pub fn run(
    file: &path::Path,
    settings: settings::GatewaySettings,
    make_adapter: AdapterMaker,
) -> Result<(), StartError> {
    let (sender, signals) = channel::unbounded();
    watch_signals(sender).map_err(StartError::Signals)?;
    let file = file.to_owned();
    task::block_on(async move {
        let adapter = make_adapter(&settings);
        let core = core::GatewayCore::new(settings, adapter);
        start(&core).await?;
        task::spawn_local(watch_settings(core.clone(), file.clone()));
        while let Ok(signal) = signals.recv().await {
            if signal == consts::SIGHUP {
                reload(&core, &file);
                continue;
            }
            break;
        }
        stop(&core).await;
        Ok(())
    })
}

/// Starts the daemon's tasks on the present thread.
///
/// # Errors
///
/// Fails where an address can't be listened on.
pub async fn start(core: &rc::Rc<core::GatewayCore>) -> Result<(), StartError> {
    let listen = &core.settings.listen;
    let callers = bind(listen.callers).await?;
    let ready = bind(listen.ready).await?;
    let metrics = bind(listen.metrics).await?;
    let signs = digest_exchange::DutySigns::default();
    let peers = net::UdpSocket::bind(listen.peers).await;
    let peers = peers.map_err(|cause| StartError::Listen(listen.peers, cause))?;
    let policies = bind(listen.peers).await?;
    digest_exchange::start(core, peers, &signs);
    task::spawn_local(answer_questions(core.clone(), policies, peer_records::answer));
    task::spawn_local(table_sync::follow_policy(core.clone()));
    task::spawn_local(table_sync::follow_entries(core.clone()));
    task::spawn_local(caller::accept(core.clone(), callers));
    task::spawn_local(answer_questions(core.clone(), ready, readiness));
    task::spawn_local(answer_questions(core.clone(), metrics, figures));
    task::spawn_local(duties::run(core.clone(), signs));
    task::spawn_local(sweep(core.clone()));
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

/// Answers whether the daemon is ready: `true` is 200, `false` 503.
fn readiness(core: &core::GatewayCore, _target: &str) -> (bool, Vec<u8>) {
    (core.is_ready(), Vec::new())
}

fn figures(core: &core::GatewayCore, _target: &str) -> (bool, Vec<u8>) {
    (true, core.metrics.render())
}

async fn answer_questions(
    core: rc::Rc<core::GatewayCore>,
    listener: net::TcpListener,
    answer: fn(&core::GatewayCore, &str) -> (bool, Vec<u8>),
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            task::sleep(STOP_INTERVAL.to_duration()).await;
            continue;
        };
        let core = core.clone();
        task::spawn_local(async move {
            let Ok(mut raw) = connection::RawConnection::new(stream) else { return };
            let question = raw.request_head(QUESTION_HEAD);
            let Ok(Ok(head)) = future::timeout(QUESTION_TIME.to_duration(), question).await else {
                return;
            };
            let (is_good, body) = answer(&core, &head.target);
            let status = if is_good { "200 OK" } else { "503 Service Unavailable" };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                body.len()
            );
            let mut out = head.into_bytes();
            out.extend_from_slice(&body);
            if let Err(cause) = raw.write(&out).await {
                log::debug!("a question was not answered ({cause})");
            }
        });
    }
}

async fn sweep(core: rc::Rc<core::GatewayCore>) {
    loop {
        task::sleep(SWEEP_INTERVAL.to_duration()).await;
        core.state.borrow_mut().idle.sweep(core.now());
    }
}

async fn watch_settings(core: rc::Rc<core::GatewayCore>, file: path::PathBuf) {
    let mut known = std::fs::read(&file).ok();
    loop {
        task::sleep(SETTINGS_INTERVAL.to_duration()).await;
        let found = std::fs::read(&file).ok();
        if found.is_some() && found != known {
            known = found;
            reload(&core, &file);
        }
    }
}

/// Checks the settings anew. Addresses, names and times hold from the next start; what differs is said.
fn reload(core: &core::GatewayCore, file: &path::Path) {
    match load::load::<settings::GatewaySettings>(file) {
        Ok(found) => {
            let is_same = found == core.settings;
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

/// Takes no new callers, lets requests end, and gives up what is left before the process is killed.
pub async fn stop(core: &rc::Rc<core::GatewayCore>) {
    let begun = core.now();
    core.state.borrow_mut().stopping = Some(begun);
    log_event!(event::LogEvent::ProcessStopping, in_progress = core.state.borrow().in_progress,);
    let last = core.settings.times.stop_ms.saturating_sub(KILL_MARGIN);
    let mut is_closed = false;
    loop {
        task::sleep(STOP_INTERVAL.to_duration()).await;
        let passed = core.now().since(begun);
        if passed >= core::LEAVE_TIME && !is_closed {
            is_closed = true;
            core.close_idle_callers();
        }
        let in_progress = core.state.borrow().in_progress;
        if passed >= core::LEAVE_TIME + STOP_INTERVAL && in_progress == 0 {
            break;
        }
        if passed >= last {
            log_event!(event::LogEvent::StopForced, in_progress = in_progress);
            break;
        }
    }
    log_event!(event::LogEvent::ProcessStopped, after = core.now().since(begun));
}
