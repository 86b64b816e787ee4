//! The start and the end of a stand-in's process.

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

/// How often a stopping stand-in looks whether its calls have ended.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// Time for the last bytes of an answer to leave.
const LAST_BYTES_TIME: Duration = Duration::from_millis(100);

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

/// Why a stand-in does not run.
#[derive(Debug)]
pub enum ProgramError {
    /// The settings were refused.
    Settings(load::SettingsError),
    /// The address can't be listened on.
    Listen(SocketAddr, io::Error),
    /// The signals can't be handled.
    Signals(io::Error),
}

impl fmt::Display for ProgramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProgramError::Settings(refusal) => refusal.fmt(f),
            ProgramError::Listen(address, cause) => {
                write!(f, "can't listen on {address} ({cause}); set a free loopback address")
            }
            ProgramError::Signals(cause) => {
                write!(f, "can't handle signals ({cause}); run on a POSIX system")
            }
        }
    }
}

impl error::Error for ProgramError {}

/// Counts calls in progress, so that a stop can wait for them.
#[derive(Clone, Debug, Default)]
pub struct CallCounter(sync::Arc<atomic::AtomicUsize>);

/// One call in progress; it ends when dropped.
#[derive(Debug)]
pub struct CallSlot(CallCounter);

impl CallCounter {
    /// Counts a call until the slot is dropped.
    pub fn enter(&self) -> CallSlot {
        self.0.fetch_add(1, atomic::Ordering::Relaxed);
        CallSlot(self.clone())
    }

    /// Calls in progress.
    pub fn count(&self) -> usize {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// One address and what answers there.
pub struct ServedAddress {
    /// Where it listens.
    pub address: SocketAddr,
    /// What answers.
    pub handler: sync::Arc<dyn server::HttpHandler>,
}

/// A stand-in that is ready to serve.
pub struct StandinServer {
    /// Addresses to serve.
    pub addresses: Vec<ServedAddress>,
    /// Counter of the calls that a stop waits for.
    pub calls: CallCounter,
    /// Given when the process is told to stop. It goes on listening until its calls have ended,
    /// so that it can say that it is stopping.
    pub draining: server::StopSignal,
}

/// Reads the settings, and runs what `build` makes of them until SIGTERM.
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

/// The fault of an address that is not a loopback address.
pub fn check_loopback(key: &'static str, address: SocketAddr) -> Result<(), load::ValueError> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    Err(load::ValueError {
        key,
        problem: format!("{address} is not a loopback address"),
        remedy: "stand-ins serve this machine only; use 127.0.0.1".to_owned(),
    })
}

fn serve(program: &'static str, standin: StandinServer) -> Result<(), ProgramError> {
    watch_signals(standin.draining.clone()).map_err(ProgramError::Signals)?;
    task::block_on(async {
        let closed = server::StopSignal::new();
        let mut serving = Vec::new();
        for served in standin.addresses {
            let listener = net::TcpListener::bind(served.address)
                .await
                .map_err(|cause| ProgramError::Listen(served.address, cause))?;
            log_event!(
                event::LogEvent::ProcessStarted,
                program = program,
                address = served.address
            );
            let limits = server::ServerLimits::default();
            serving.push(task::spawn(server::serve(
                listener,
                limits,
                served.handler,
                closed.clone(),
            )));
        }
        standin.draining.triggered().await;
        log_event!(event::LogEvent::ProcessStopping, calls = standin.calls.count());
        while standin.calls.count() > 0 {
            task::sleep(DRAIN_POLL).await;
        }
        closed.trigger();
        for server in serving {
            server.await;
        }
        task::sleep(LAST_BYTES_TIME).await;
        log_event!(event::LogEvent::ProcessStopped, program = program);
        Ok(())
    })
}

/// The first signal stops the stand-in gracefully, the second one at once.
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
