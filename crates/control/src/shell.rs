//! A running control daemon: starts the control thread and answers peers through it.

use std::net;
use std::sync;
use std::sync::mpsc;
use std::thread;

use async_std::channel;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_membership::news;
use samphiremoor_peers::server;
use samphiremoor_platform::cloud;
use samphiremoor_platform::table;

use crate::caller;
use crate::calls;
use crate::message;
use crate::metrics;
use crate::state;
use crate::upstream;
use crate::view_server;
use crate::worker;

/// Inputs that wait for the control thread; beyond them, answers of peers and polls are dropped.
const QUEUE_LENGTH: usize = 1_024;

/// The outside world of a control daemon.
#[derive(Clone)]
pub struct ControlPorts {
    /// The platform's table.
    pub table: sync::Arc<dyn table::TableStore>,
    /// The platform's cloud.
    pub cloud: sync::Arc<dyn cloud::CloudApi>,
    /// The upstreams.
    pub poller: sync::Arc<dyn upstream::UpstreamPoller>,
}

/// What a control daemon is started with.
#[derive(Clone, Debug)]
pub struct ControlStart {
    /// News on itself.
    pub own: news::DaemonNews,
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

/// A running control daemon without its HTTP and view servers; it stops when dropped.
#[derive(Debug)]
pub struct ControlDaemon {
    board: sync::Arc<view_server::ViewBoard>,
    metrics: metrics::ControlMetrics,
    inputs: mpsc::SyncSender<worker::ThreadInput>,
    thread: Option<thread::JoinHandle<()>>,
    _server: server::PeerServer,
}

impl ControlDaemon {
    /// Starts the control thread and answers peers.
    ///
    /// # Errors
    ///
    /// Fails where the control address is taken.
    pub fn start(
        start: ControlStart,
        ports: ControlPorts,
        metrics: metrics::ControlMetrics,
    ) -> Result<Self, server::ListenError> {
        let clock = time::MonotonicClock::start();
        let board = sync::Arc::new(view_server::ViewBoard::new(clock));
        let (inputs, queue) = mpsc::sync_channel(QUEUE_LENGTH);
        let questions =
            sync::Arc::new(QuestionHandler { inputs: inputs.clone(), metrics: metrics.clone() });
        let server = server::PeerServer::start(start.listen, questions)?;
        let caller = caller::PeerCaller::new(start.peer_timeout, start.max_links, metrics.clone());
        let state = state::ControlState::new(start.own, start.seeds, start.seed, clock.now());
        let calls = calls::CallStarter {
            ports,
            caller: sync::Arc::new(caller),
            metrics: metrics.clone(),
            inputs: inputs.clone(),
        };
        let worker =
            worker::ControlWorker::new(clock, state, calls, board.clone(), metrics.clone());
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || worker.run(&queue))
            .expect("a process may start its threads");
        Ok(ControlDaemon { board, metrics, inputs, thread: Some(thread), _server: server })
    }

    /// The board that shows the daemon's views.
    pub fn board(&self) -> sync::Arc<view_server::ViewBoard> {
        self.board.clone()
    }

    /// The daemon's metrics.
    pub fn metrics(&self) -> &metrics::ControlMetrics {
        &self.metrics
    }
}

impl Drop for ControlDaemon {
    fn drop(&mut self) {
        // The thread is gone already where the channel is closed.
        let _ = self.inputs.send(worker::ThreadInput::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Hands questions to the control thread and awaits its answers.
#[derive(Debug)]
struct QuestionHandler {
    inputs: mpsc::SyncSender<worker::ThreadInput>,
    metrics: metrics::ControlMetrics,
}

impl server::PeerHandler for QuestionHandler {
    type Question = message::PeerQuestion;
    type Answer = message::PeerAnswer;

    fn answer(&self, question: message::PeerQuestion) -> server::AnswerFuture<message::PeerAnswer> {
        self.metrics.peer_questions.inc();
        let (reply, answer) = channel::bounded(1);
        let sent = self.inputs.try_send(worker::ThreadInput::Question(question, reply));
        Box::pin(async move {
            if sent.is_err() {
                return message::PeerAnswer::Stopping;
            }
            answer.recv().await.unwrap_or(message::PeerAnswer::Stopping)
        })
    }
}

/// The life of a process that starts now: milliseconds since 1970, so that it rises over restarts.
pub fn new_incarnation() -> quantity::Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    quantity::Incarnation::new(time::Millis::from(since_epoch.unwrap_or_default()).get())
}
