//! The running control thread, which answers peers.

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

/// What the control thread is started with.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// News on its daemon.
    pub own: gossip::DaemonInfo,
    /// Where it listens for peers, which call it at the address in its news.
    pub listen: net::SocketAddr,
    /// Control addresses to ask at the start.
    pub seeds: Vec<net::SocketAddr>,
    /// Time in which a peer must answer.
    pub peer_timeout: time::Millis,
    /// Connections to peers that are kept open.
    pub max_links: usize,
    /// Orders its calls to peers.
    pub seed: u64,
}

/// The running control thread with its server for peers; it tells peers of its end when dropped.
#[derive(Debug)]
pub struct ControlService {
    inputs: mpsc::SyncSender<input::ThreadInput>,
    thread: Option<thread::JoinHandle<()>>,
    _server: server::PeerServer,
}

impl ControlService {
    /// Starts the control thread and answers peers.
    ///
    /// # Errors
    ///
    /// Fails where the control address is taken.
    pub fn start(
        start: ControlOptions,
        ports: ports::ControlPorts,
        metrics: metrics::ControlMetrics,
        sink: sync::Arc<dyn sink::ViewSink>,
    ) -> Result<Self, server::ListenError> {
        let clock = time::MonotonicClock::start();
        let (inputs, queue) = input::queue();
        let questions =
            sync::Arc::new(QuestionHandler { inputs: inputs.clone(), metrics: metrics.clone() });
        let server = server::PeerServer::start(start.listen, questions)?;
        let caller =
            client_pool::PeerCaller::new(start.peer_timeout, start.max_links, metrics.clone());
        let state = state::ControlState::new(start.own, start.seeds, start.seed, clock.now());
        let calls = calls::CallStarter {
            ports,
            caller: sync::Arc::new(caller),
            metrics: metrics.clone(),
            inputs: inputs.clone(),
        };
        let worker = worker::ControlWorker::new(clock, state, calls, sink, metrics);
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || worker.run(&queue))
            .expect("a process may start its threads");
        Ok(ControlService { inputs, thread: Some(thread), _server: server })
    }
}

impl Drop for ControlService {
    fn drop(&mut self) {
        // The thread is gone already where the channel is closed.
        let _ = self.inputs.send(input::ThreadInput::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Hands questions to the control thread and awaits its answers.
#[derive(Debug)]
struct QuestionHandler {
    inputs: mpsc::SyncSender<input::ThreadInput>,
    metrics: metrics::ControlMetrics,
}

impl server::PeerHandler for QuestionHandler {
    type Request = message::PeerRequest;
    type Response = message::PeerResponse;

    fn handle(
        &self,
        question: message::PeerRequest,
    ) -> server::ResponseFuture<message::PeerResponse> {
        self.metrics.peer_requests.inc();
        let (reply, answer) = channel::bounded(1);
        let sent = self.inputs.try_send(input::ThreadInput::Question(question, reply));
        Box::pin(async move {
            if sent.is_err() {
                return message::PeerResponse::Stopping;
            }
            answer.recv().await.unwrap_or(message::PeerResponse::Stopping)
        })
    }
}

/// The life of a process that starts now: milliseconds since 1970, so that it rises over restarts.
pub fn new_incarnation() -> quantity::Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    quantity::Incarnation::new(time::Millis::from(since_epoch.unwrap_or_default()).get())
}
