//! `samphiremoor-gateway`: the gateway daemon for deployments on the users' platform.

use std::path;
use std::process;

use samphiremoor_gateway::daemon;
use samphiremoor_gateway::settings;
use samphiremoor_settings::load;
use samphiremoor_settings::logging;

/// Reverse proxy that forwards callers' requests unchanged to replicas.
#[derive(argh::FromArgs)]
struct GatewayArgs {
    /// settings file, in TOML
    #[argh(option)]
    settings: path::PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> process::ExitCode {
    let args: GatewayArgs = argh::from_env();
    let settings: settings::GatewaySettings = match load::load(&args.settings) {
        Ok(settings) => settings,
        Err(cause) => return fail(&cause),
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    if let Err(cause) = logging::start_nonblocking("samphiremoor-gateway", &settings.log) {
        return fail(&cause);
    }
    let result = daemon::run(&args.settings, settings, samphiremoor_adapter::new_adapter);
    logging::flush();
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(cause) => fail(&cause),
    }
}

fn fail(cause: &dyn std::fmt::Display) -> process::ExitCode {
    eprintln!("samphiremoor-gateway: {cause}");
    process::ExitCode::FAILURE
}
