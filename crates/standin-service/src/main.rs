//! Process of the stand-in service.

use std::process;
use std::sync;

use samphiremoor_httpio::server;
use samphiremoor_standin::program;
use samphiremoor_standin_service::handler;
use samphiremoor_standin_service::settings;

fn main() -> process::ExitCode {
    program::run("standin-service", build)
}

fn build(settings: settings::ServiceSettings) -> program::StandinServer {
    let address = settings.listen;
    let handler = sync::Arc::new(handler::ServiceHandler::new(settings));
    let calls = handler.calls.clone();
    let draining = handler.draining.clone();
    let handler: sync::Arc<dyn server::HttpHandler> = handler;
    let endpoints = vec![program::ServerEndpoint { address, handler }];
    program::StandinServer { endpoints, calls, draining }
}
