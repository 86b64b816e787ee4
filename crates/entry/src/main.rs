//! `samphiremoor-entry`: the entry daemon.

use std::path;
use std::process;
use std::sync::Arc;
use std::thread;

use async_std::task;
use samphiremoor_entry::daemon;
use samphiremoor_entry::settings;
use samphiremoor_settings::load;
use samphiremoor_settings::logging;
use signal_hook::consts;
use signal_hook::iterator;

/// Serves callers and dispatches their requests to upstreams.
#[derive(argh::FromArgs)]
struct EntryArgs {
    /// settings file, in TOML
    #[argh(option)]
    settings: path::PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> process::ExitCode {
    let args: EntryArgs = argh::from_env();
    let settings: settings::EntrySettings = match load::load(&args.settings) {
        Ok(settings) => settings,
        Err(cause) => return fail(&cause),
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    logging::start("samphiremoor-entry", &settings.log);
    match task::block_on(run(settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(cause) => fail(&cause),
    }
}

async fn run(settings: settings::EntrySettings) -> Result<(), RunError> {
    let signals =
        iterator::Signals::new([consts::SIGTERM, consts::SIGINT]).map_err(RunError::Signals)?;
    let daemon = daemon::EntryDaemon::start(settings).await.map_err(RunError::Start)?;
    let daemon = Arc::new(daemon);
    watch_signals(signals, daemon.clone()).map_err(RunError::Signals)?;
    daemon.core().stopping.triggered().await;
    daemon.finish().await;
    Ok(())
}

fn watch_signals(
    mut signals: iterator::Signals,
    daemon: Arc<daemon::EntryDaemon>,
) -> std::io::Result<()> {
    let watch = move || {
        for _ in signals.forever() {
            daemon.stop();
        }
    };
    thread::Builder::new().name("signals".to_owned()).spawn(watch).map(|_| ())
}

/// Reason why the process exits with a failure.
#[derive(Debug)]
enum RunError {
    /// The signal handlers can't be installed.
    Signals(std::io::Error),
    /// The daemon failed to start.
    Start(daemon::StartError),
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RunError::Signals(cause) => {
                write!(
                    f,
                    "failed to install the signal handlers ({cause}); raise the process limits"
                )
            }
            RunError::Start(cause) => cause.fmt(f),
        }
    }
}

fn fail(cause: &dyn std::fmt::Display) -> process::ExitCode {
    eprintln!("samphiremoor-entry: {cause}");
    process::ExitCode::FAILURE
}
