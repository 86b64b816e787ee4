//! Start and shutdown of a stand-in process.

use std::error;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path;
use std::process;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time::Duration;

use async_std::net;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_httpio::server;
use samphiremoor_settings::load;
use samphiremoor_settings::logging;
use signal_hook::consts;
use signal_hook::iterator;

/// Interval at which a stopping stand-in checks whether its calls have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time for the last response bytes to be sent before the process exits.
const FINAL_FLUSH_TIME: Duration = Duration::from_millis(100);

/// A stand-in for development and tests; serves loopback addresses only.
#[derive(argh::FromArgs)]
pub struct StandinArgs {
    /// settings file, in TOML
    #[argh(option)]
    pub settings: path::PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}

/// Error that prevents a stand-in from running.
#[derive(Debug)]
pub enum ProgramError {
    /// The settings are invalid.
    Settings(load::SettingsError),
    /// Binding the address failed.
    Listen(SocketAddr, io::Error),
    /// Installing the signal handlers failed.
    Signals(io::Error),
}

impl fmt::Display for ProgramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProgramError::Settings(refusal) => refusal.fmt(f),
            ProgramError::Listen(address, cause) => {
                write!(f, "can't listen on {address}: {cause}; set a free loopback address")
            }
            ProgramError::Signals(cause) => {
                write!(f, "can't install signal handlers: {cause}; run on a POSIX system")
            }
        }
    }
}

impl error::Error for ProgramError {}

/// Counter of calls in progress. A shutdown waits until the count is zero.
#[derive(Clone, Debug, Default)]
pub struct CallCounter(sync::Arc<atomic::AtomicUsize>);

/// Guard of one call in progress; dropping the guard ends the call.
#[derive(Debug)]
pub struct CallGuard(CallCounter);

impl CallCounter {
    /// Counts a call as in progress until the returned guard is dropped.
    pub fn enter(&self) -> CallGuard {
        self.0.fetch_add(1, atomic::Ordering::Relaxed);
        CallGuard(self.clone())
    }

    /// Returns the number of calls in progress.
    pub fn count(&self) -> usize {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Listening address and its request handler.
pub struct ServerEndpoint {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Handler of the requests that arrive at the address.
    pub handler: sync::Arc<dyn server::HttpHandler>,
}

/// Endpoints and shutdown state of a stand-in.
pub struct StandinServer {
    /// Endpoints to serve.
    pub endpoints: Vec<ServerEndpoint>,
    /// Calls in progress, which a shutdown waits for.
    pub calls: CallCounter,
    /// Signal that is triggered when the process is asked to stop. The stand-in continues to accept
    /// connections until its calls have ended, so that it can report that it is draining.
    pub draining: server::StopSignal,
}

/// Reads the settings, builds the stand-in with `build`, and serves it until SIGTERM.
pub fn run<S, B>(program: &'static str, build: B) -> process::ExitCode
where
    S: load::CheckedSettings,
    B: FnOnce(S) -> StandinServer,
{
    let args: StandinArgs = argh::from_env();
    let ended =
        load::load::<S>(&args.settings).map_err(ProgramError::Settings).and_then(|settings| {
            if args.check {
                return Ok(());
            }
            logging::start(program, "info");
            serve(program, build(settings))
        });
    match ended {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{program}: {failure}");
            process::ExitCode::FAILURE
        }
    }
}

/// Checks that an address is a loopback address.
pub fn check_loopback(key: &'static str, address: SocketAddr) -> Result<(), load::ValueError> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    Err(load::ValueError {
        key,
        problem: format!("{address} is not a loopback address"),
        remedy: "stand-ins accept only local connections; use 127.0.0.1".to_owned(),
    })
}

fn serve(program: &'static str, standin: StandinServer) -> Result<(), ProgramError> {
    watch_signals(standin.draining.clone()).map_err(ProgramError::Signals)?;
    task::block_on(async {
        let stop_serving = server::StopSignal::new();
        let mut serving = Vec::new();
        for endpoint in standin.endpoints {
            let listener = net::TcpListener::bind(endpoint.address)
                .await
                .map_err(|cause| ProgramError::Listen(endpoint.address, cause))?;
            log_event!(
                event::LogEvent::ProcessStarted,
                program = program,
                address = endpoint.address
            );
            let limits = server::ServerLimits::default();
            serving.push(task::spawn(server::serve(
                listener,
                limits,
                endpoint.handler,
                stop_serving.clone(),
            )));
        }
        standin.draining.triggered().await;
        log_event!(event::LogEvent::ProcessStopping, calls = standin.calls.count());
        while standin.calls.count() > 0 {
            task::sleep(DRAIN_POLL_INTERVAL).await;
        }
        stop_serving.trigger();
        for server in serving {
            server.await;
        }
        task::sleep(FINAL_FLUSH_TIME).await;
        log_event!(event::LogEvent::ProcessStopped, program = program);
        Ok(())
    })
}

/// Handles SIGTERM and SIGINT: the first signal starts a graceful shutdown, the second one exits
/// immediately.
fn watch_signals(draining: server::StopSignal) -> Result<(), io::Error> {
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])?;
    thread::spawn(move || {
        for _ in signals.forever() {
            if draining.is_triggered() {
                process::exit(1);
            }
            draining.trigger();
        }
    });
    Ok(())
}
