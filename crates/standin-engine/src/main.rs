//! Process of the stand-in engine.

use std::process;
use std::sync;

use async_std::task;
use samphiremoor_httpio::server;
use samphiremoor_standin::program;
use samphiremoor_standin_engine::handler;
use samphiremoor_standin_engine::runtime;
use samphiremoor_standin_engine::settings;

fn main() -> process::ExitCode {
    program::run("standin-engine", build)
}

fn build(settings: settings::EngineSettings) -> program::StandinServer {
    let address = settings.listen;
    let runtime = sync::Arc::new(runtime::EngineRuntime::new(settings));
    let step_runtime = runtime.clone();
    task::spawn(async move { step_runtime.run().await });
    let calls = runtime.calls.clone();
    let draining = runtime.draining.clone();
    let handler: sync::Arc<dyn server::HttpHandler> =
        sync::Arc::new(handler::EngineHandler::new(runtime));
    let endpoints = vec![program::ServerEndpoint { address, handler }];
    program::StandinServer { endpoints, calls, draining }
}
