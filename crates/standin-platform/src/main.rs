//! Process of the stand-in platform.

use std::process;
use std::sync;

use samphiremoor_httpio::server;
use samphiremoor_standin::program;
use samphiremoor_standin_platform::handler;
use samphiremoor_standin_platform::settings;

fn main() -> process::ExitCode {
    program::run("standin-platform", build)
}

fn build(settings: settings::PlatformSettings) -> program::StandinServer {
    let calls = program::CallCounter::default();
    let state = sync::Arc::new(handler::PlatformState::new(&settings, calls.clone()));
    let handler: sync::Arc<dyn server::HttpHandler> =
        sync::Arc::new(handler::PlatformHandler::new(state.clone(), None));
    let mut endpoints = vec![program::ServerEndpoint { address: settings.listen, handler }];
    for (zone, address) in &settings.zone_listen {
        let handler = handler::PlatformHandler::new(state.clone(), Some(zone.clone()));
        let handler = sync::Arc::new(handler);
        endpoints.push(program::ServerEndpoint { address: *address, handler });
    }
    program::StandinServer { endpoints, calls, draining: server::StopSignal::new() }
}
