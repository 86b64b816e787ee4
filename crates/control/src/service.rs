//! Starts and stops the control thread and its server for peers.

use std::net;
use std::sync;
use std::sync::mpsc;
use std::thread;

use async_std::channel;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_membership::gossip;
use samphiremoor_peers::server;

use crate::calls;
use crate::client_pool;
use crate::input;
use crate::message;
use crate::metrics;
use crate::ports;
use crate::sink;
use crate::state;
use crate::worker;

/// Options of the control thread.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// Identity and addresses of the local daemon.
    pub local: gossip::DaemonInfo,
    /// Address to listen on for peers. Peers use the control address in `local`, which may differ.
    pub listen: net::SocketAddr,
    /// Control addresses to contact at startup.
    pub seeds: Vec<net::SocketAddr>,
    /// Timeout of a request to a peer.
    pub peer_timeout: time::Millis,
    /// Maximum number of open connections to peers.
    pub max_links: usize,
    /// Seed of the random order of calls to peers.
    pub seed: u64,
}

/// The running control thread and its server for peers. Dropping it stops the thread and notifies
/// peers.
#[derive(Debug)]
pub struct ControlService {
    inputs: mpsc::SyncSender<input::ThreadInput>,
    thread: Option<thread::JoinHandle<()>>,
    _server: server::PeerServer,
}

impl ControlService {
    /// Starts the control thread and serves peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the listen address is in use.
    pub fn start(
        options: ControlOptions,
        ports: ports::ControlPorts,
        metrics: metrics::ControlMetrics,
        sink: sync::Arc<dyn sink::ViewSink>,
    ) -> Result<Self, server::ListenError> {
        let clock = time::MonotonicClock::start();
        let (inputs, queue) = input::queue();
        let handler =
            sync::Arc::new(RequestHandler { inputs: inputs.clone(), metrics: metrics.clone() });
        let server = server::PeerServer::start(options.listen, handler)?;
        let client_pool =
            client_pool::ClientPool::new(options.peer_timeout, options.max_links, metrics.clone());
        let state =
            state::ControlState::new(options.local, options.seeds, options.seed, clock.now());
        let calls = calls::CallSpawner {
            ports,
            client_pool: sync::Arc::new(client_pool),
            metrics: metrics.clone(),
            inputs: inputs.clone(),
        };
        let worker = worker::ControlWorker::new(clock, state, calls, sink, metrics);
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || worker.run(&queue))
            .expect("the operating system can start a thread");
        Ok(ControlService { inputs, thread: Some(thread), _server: server })
    }
}

impl Drop for ControlService {
    fn drop(&mut self) {
        // The channel is closed if the thread has already ended.
        let _ = self.inputs.send(input::ThreadInput::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Forwards requests of peers to the control thread and waits for its responses.
#[derive(Debug)]
struct RequestHandler {
    inputs: mpsc::SyncSender<input::ThreadInput>,
    metrics: metrics::ControlMetrics,
}

impl server::PeerHandler for RequestHandler {
    type Request = message::PeerRequest;
    type Response = message::PeerResponse;

    fn handle(
        &self,
        request: message::PeerRequest,
    ) -> server::ResponseFuture<message::PeerResponse> {
        self.metrics.peer_requests.inc();
        let (reply, response) = channel::bounded(1);
        let send_result = self.inputs.try_send(input::ThreadInput::Request(request, reply));
        Box::pin(async move {
            if send_result.is_err() {
                return message::PeerResponse::Stopping;
            }
            response.recv().await.unwrap_or(message::PeerResponse::Stopping)
        })
    }
}

/// Returns the incarnation of a process that starts now: milliseconds since the Unix epoch, so that
/// it rises over restarts.
pub fn new_incarnation() -> quantity::Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    quantity::Incarnation::new(time::Millis::from(since_epoch.unwrap_or_default()).get())
}
