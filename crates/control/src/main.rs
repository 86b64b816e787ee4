//! `samphiremoor-control`: the control daemon of a VM.

use std::error;
use std::path;
use std::process;
use std::sync;

use async_std::net;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_control::http;
use samphiremoor_control::metrics;
use samphiremoor_control::settings;
use samphiremoor_control::shell;
use samphiremoor_control::upstream;
use samphiremoor_control::view_server;
use samphiremoor_httpio::server as http_server;
use samphiremoor_membership::news;
use samphiremoor_peers::server as peer_server;
use samphiremoor_settings::load;
use samphiremoor_settings::logging;
use samphiremoor_view::zone;
use signal_hook::consts;
use signal_hook::iterator;

/// The control daemon of a VM.
#[derive(Debug)]
#[derive(argh::FromArgs)]
struct ControlArgs {
    /// settings file
    #[argh(option)]
    settings: path::PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> process::ExitCode {
    let args: ControlArgs = argh::from_env();
    let settings = match load::load::<settings::ControlSettings>(&args.settings) {
        Ok(settings) => settings,
        Err(cause) => {
            eprintln!("{cause}");
            return process::ExitCode::FAILURE;
        }
    };
    if args.check {
        return process::ExitCode::SUCCESS;
    }
    logging::start("samphiremoor-control", &settings.log);
    match task::block_on(run(&settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("samphiremoor-control: {cause}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(settings: &settings::ControlSettings) -> Result<(), Box<dyn error::Error>> {
    let platform = settings.platform.client()?;
    let ports = shell::ControlPorts {
        table: sync::Arc::new(platform.clone()),
        cloud: sync::Arc::new(platform),
        poller: sync::Arc::new(upstream::HttpPoller),
    };
    let metrics = metrics::ControlMetrics::new();
    let daemon = shell::ControlDaemon::start(start_of(settings), ports, metrics.clone())?;
    let view_server = sync::Arc::new(view_server::ViewServer::new(daemon.board()));
    let views = peer_server::PeerServer::start(settings.addresses.view, view_server)?;
    let listener = net::TcpListener::bind(settings.addresses.http).await?;
    let handler = sync::Arc::new(http::StatusHandler::new(daemon.board(), metrics));
    let stop = http_server::StopSignal::new();
    give_on_signal(stop.clone())?;
    log_event!(
        event::LogEvent::ProcessStarted,
        vm = settings.vm,
        zone = settings.zone,
        control = settings.addresses.control
    );
    http_server::serve(listener, http_server::ServerLimits::default(), handler, stop).await;
    log_event!(event::LogEvent::ProcessStopping);
    drop(views);
    drop(daemon);
    log_event!(event::LogEvent::ProcessStopped);
    Ok(())
}

fn start_of(settings: &settings::ControlSettings) -> shell::ControlStart {
    let addresses = &settings.addresses;
    let incarnation = shell::new_incarnation();
    let id: id::DaemonId =
        settings.vm.as_str().parse().expect("every id type accepts the same texts");
    let own = news::DaemonNews {
        entry: settings.entry_daemon.clone().unwrap_or_else(|| id.clone()),
        id,
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        http_address: addresses.entry_http,
        peer_address: addresses.entry_peer,
        control_address: addresses.control,
        standing: news::DaemonStanding {
            incarnation,
            state: zone::UpstreamState::Joining,
            doubt: news::DaemonDoubt::None,
        },
    };
    shell::ControlStart {
        own,
        listen: addresses.control_listen.unwrap_or(addresses.control),
        seeds: settings.peers.seeds.clone(),
        peer_timeout: settings.peers.timeout_ms,
        max_links: settings.peers.max_links,
        seed: seed_of(incarnation),
    }
}

/// Daemons that start at the same moment call their peers in the same order, which does no harm.
fn seed_of(incarnation: quantity::Incarnation) -> u64 {
    incarnation.get() ^ u64::from(process::id())
}

fn give_on_signal(stop: http_server::StopSignal) -> Result<(), std::io::Error> {
    let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])?;
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            stop.give();
        }
    });
    Ok(())
}
