//! The control thread, and the tasks that make its calls.

use std::net;
use std::sync;
use std::sync::mpsc;
use std::thread;

use async_std::channel;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_membership::daemons;
use samphiremoor_membership::news;
use samphiremoor_membership::state as membership;
use samphiremoor_peers::server;
use samphiremoor_platform::cloud;
use samphiremoor_platform::table;
use samphiremoor_records::revision;
use samphiremoor_view::zone;

use crate::action;
use crate::caller;
use crate::capacity;
use crate::carry_out;
use crate::message;
use crate::metrics;
use crate::state;
use crate::upstream;
use crate::view_server;

/// Between two ticks of the control state.
const TICK_INTERVAL: time::Millis = time::Millis::new(50);

/// Inputs that wait for the control thread; beyond them, answers of peers and polls are dropped.
const QUEUE_LENGTH: usize = 1_024;

/// Rows that mark VMs as leaving which are read at once.
const MAX_DRAINS: usize = 1_000;

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
    inputs: mpsc::SyncSender<ThreadInput>,
    thread: Option<thread::JoinHandle<()>>,
    _server: server::PeerServer,
}

/// An input of the control thread.
#[derive(Debug)]
enum ThreadInput {
    Done(action::ControlInput),
    Question(message::PeerQuestion, channel::Sender<message::PeerAnswer>),
    Stop,
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
        let server = server::PeerServer::start(start.own.control_address, questions)?;
        let caller = caller::PeerCaller::new(start.peer_timeout, start.max_links, metrics.clone());
        let caller = sync::Arc::new(caller);
        let worker = ControlWorker {
            clock,
            state: state::ControlState::new(start.own, start.seeds, start.seed, clock.now()),
            ports,
            caller,
            board: board.clone(),
            metrics: metrics.clone(),
            inputs: inputs.clone(),
            is_platform_back: true,
        };
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
        let _ = self.inputs.send(ThreadInput::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Hands questions to the control thread and awaits its answers.
#[derive(Debug)]
struct QuestionHandler {
    inputs: mpsc::SyncSender<ThreadInput>,
    metrics: metrics::ControlMetrics,
}

impl server::PeerHandler for QuestionHandler {
    type Question = message::PeerQuestion;
    type Answer = message::PeerAnswer;

    fn answer(&self, question: message::PeerQuestion) -> server::AnswerFuture<message::PeerAnswer> {
        self.metrics.peer_questions.inc();
        let (reply, answer) = channel::bounded(1);
        let sent = self.inputs.try_send(ThreadInput::Question(question, reply));
        Box::pin(async move {
            if sent.is_err() {
                return message::PeerAnswer::Stopping;
            }
            answer.recv().await.unwrap_or(message::PeerAnswer::Stopping)
        })
    }
}

/// The control thread's state and ports.
struct ControlWorker {
    clock: time::MonotonicClock,
    state: state::ControlState,
    ports: ControlPorts,
    caller: sync::Arc<caller::PeerCaller>,
    board: sync::Arc<view_server::ViewBoard>,
    metrics: metrics::ControlMetrics,
    inputs: mpsc::SyncSender<ThreadInput>,
    is_platform_back: bool,
}

impl ControlWorker {
    fn run(mut self, queue: &mpsc::Receiver<ThreadInput>) {
        let mut next_tick = self.clock.now();
        loop {
            let wait = time::Millis::new(next_tick.get())
                .saturating_sub(time::Millis::new(self.clock.now().get()));
            match queue.recv_timeout(wait.to_duration()) {
                Ok(ThreadInput::Done(input)) => self.step(input),
                Ok(ThreadInput::Question(question, reply)) => self.answer(question, &reply),
                Ok(ThreadInput::Stop) | Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Err(mpsc::RecvTimeoutError::Timeout) => {}
            }
            if self.clock.now() >= next_tick {
                self.step(action::ControlInput::Tick);
                next_tick = self.clock.now() + TICK_INTERVAL;
            }
        }
    }

    fn step(&mut self, input: action::ControlInput) {
        self.note_platform(&input);
        let actions = self.state.step(self.clock.now(), input);
        actions.into_iter().for_each(|action| self.act(action));
    }

    fn note_platform(&mut self, input: &action::ControlInput) {
        match input {
            action::ControlInput::ReadFailed(read) if self.is_platform_back => {
                self.is_platform_back = false;
                log_event!(event::LogEvent::PlatformUnavailable, read = label(*read));
            }
            action::ControlInput::HeadRead(_) if !self.is_platform_back => {
                self.is_platform_back = true;
                log_event!(event::LogEvent::PlatformBack);
            }
            _ => {}
        }
    }

    fn answer(
        &mut self,
        question: message::PeerQuestion,
        reply: &channel::Sender<message::PeerAnswer>,
    ) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        let answer = match question {
            message::PeerQuestion::Gossip(message) => {
                let answer = self.state.gossip(now, *message, &mut actions);
                message::PeerAnswer::Gossip(Box::new(answer))
            }
            message::PeerQuestion::Join(asker) => {
                message::PeerAnswer::Joined(self.state.join(now, asker))
            }
            message::PeerQuestion::Revision { asker, have } => {
                message::PeerAnswer::Revision(self.state.revision_for(now, asker, have))
            }
            message::PeerQuestion::InForce => message::PeerAnswer::InForce(self.in_force(now)),
            message::PeerQuestion::View => message::PeerAnswer::View(
                self.board.shown().map(|view| Box::new(zone::ZoneView::clone(&view))),
            ),
            message::PeerQuestion::Probe(target) => {
                return self.probe(target, reply.clone());
            }
        };
        // The asker may have given up, and nothing is owed to it then.
        let _ = reply.try_send(answer);
        actions.into_iter().for_each(|action| self.act(action));
    }

    fn in_force(&self, now: time::MonotonicTime) -> message::InForceReport {
        let own = self.state.membership().daemons().own();
        message::InForceReport {
            daemon: own.id.clone(),
            zone: own.zone.clone(),
            revision: self.board.serving(self.state.reported_revision(now)),
            age: self.state.revision_age(now),
            known: self.state.known_daemons(),
        }
    }

    fn probe(&self, target: news::DaemonNews, reply: channel::Sender<message::PeerAnswer>) {
        let caller = self.caller.clone();
        task::spawn(async move {
            let answer = caller.call(&target, &message::PeerQuestion::InForce, "probe").await;
            let _ = reply.try_send(message::PeerAnswer::Probe(answer.is_some()));
        });
    }

    fn act(&self, action: action::ControlAction) {
        match action {
            action::ControlAction::Read(read) => self.read(read),
            action::ControlAction::Join(address, own) => self.join(address, own),
            action::ControlAction::Gossip(peer, message) => self.gossip(peer, message),
            action::ControlAction::AskRevision(peer, question) => self.ask_revision(peer, question),
            action::ControlAction::Probe { through, target } => self.probe_through(through, target),
            action::ControlAction::Poll(upstream) => self.poll(upstream),
            action::ControlAction::RevisionChanged(revision) => {
                self.metrics.revision.set(i64::try_from(revision.get()).unwrap_or(i64::MAX));
                self.metrics.revision_changes.inc();
                log_event!(event::LogEvent::RevisionInForce, revision = revision);
            }
            action::ControlAction::RevisionRefused(revision, cause) => {
                self.metrics.revision_refusals.inc();
                log_event!(event::LogEvent::RecordRefused, revision = revision, cause = cause);
            }
            action::ControlAction::DaemonChanged(news) => log_daemon(&news),
            action::ControlAction::UpstreamChanged(news) => log_upstream(&news),
            action::ControlAction::WriteDuty(write) => self.write_duty(write),
            action::ControlAction::CarryOut(step, fence) => self.carry_out(step, fence),
            action::ControlAction::DutyChanged(Some(fence)) => {
                log_event!(event::LogEvent::LeaseTaken, duty = "zone", fence = fence);
            }
            action::ControlAction::DutyChanged(None) => {
                log_event!(event::LogEvent::LeaseLost, duty = "zone");
            }
            action::ControlAction::StartRefused(offer, wait) => log_event!(
                event::LogEvent::VmStartRefused,
                class = offer.class,
                zone = offer.zone,
                wait = wait
            ),
            action::ControlAction::Publish(view) => self.publish(*view),
        }
    }

    fn publish(&self, view: zone::ZoneView) {
        self.metrics.views.inc();
        self.metrics.upstreams.reset();
        for replica in &view.replicas {
            self.metrics.upstreams.with_label_values(&[replica.state.label()]).inc();
        }
        self.board.show(view);
    }

    fn read(&self, read: action::PlatformRead) {
        let ports = self.ports.clone();
        let metrics = self.metrics.clone();
        let duty_key = self.state.duty_key().clone();
        self.spawn(async move {
            let input = read_platform(&ports, &duty_key, read).await;
            let result = if input.is_some() { "done" } else { "failed" };
            metrics.platform_reads.with_label_values(&[label(read), result]).inc();
            input.unwrap_or(action::ControlInput::ReadFailed(read))
        });
    }

    fn join(&self, address: net::SocketAddr, own: news::DaemonNews) {
        let caller = self.caller.clone();
        let inputs = self.inputs.clone();
        task::spawn(async move {
            let question = message::PeerQuestion::Join(own);
            let answer = caller.call_at(address, &question, "join").await;
            if let Some(message::PeerAnswer::Joined(known)) = answer {
                send(&inputs, action::ControlInput::Joined(known));
            }
        });
    }

    fn gossip(&self, peer: news::DaemonNews, message: membership::GossipMessage) {
        let caller = self.caller.clone();
        self.spawn(async move {
            let question = message::PeerQuestion::Gossip(Box::new(message));
            match caller.call(&peer, &question, "gossip").await {
                Some(message::PeerAnswer::Gossip(answer)) => {
                    action::ControlInput::GossipAnswered(answer)
                }
                _ => action::ControlInput::CallFailed(peer.id),
            }
        });
    }

    fn ask_revision(&self, peer: news::DaemonNews, question: message::PeerQuestion) {
        let caller = self.caller.clone();
        self.spawn(async move {
            let answer = caller.call(&peer, &question, "revision").await;
            let delta = match answer {
                Some(message::PeerAnswer::Revision(delta)) => delta,
                _ => None,
            };
            if let Some(delta) = &delta {
                let revision = delta.revision;
                log_event!(event::LogEvent::RevisionRelayed, revision = revision, peer = peer.id);
            }
            action::ControlInput::PeerSent(delta)
        });
    }

    fn probe_through(&self, through: news::DaemonNews, target: news::DaemonNews) {
        let caller = self.caller.clone();
        self.spawn(async move {
            let id = target.id.clone();
            let question = message::PeerQuestion::Probe(target);
            let answer = caller.call(&through, &question, "probe").await;
            let is_reached = matches!(answer, Some(message::PeerAnswer::Probe(true)));
            action::ControlInput::ProbeAnswered { target: id, is_reached }
        });
    }

    fn poll(&self, upstream: news::UpstreamNews) {
        let poller = self.ports.poller.clone();
        let metrics = self.metrics.clone();
        self.spawn(async move {
            let answer = poller.poll(upstream.address).await;
            metrics.upstream_polls.with_label_values(&[answer_label(&answer)]).inc();
            action::ControlInput::Polled { vm: upstream.vm, answer }
        });
    }

    fn write_duty(&self, write: table::TableTransaction) {
        let table = self.ports.table.clone();
        self.spawn(
            async move { action::ControlInput::DutyWritten(table.commit(&write).await.into()) },
        );
    }

    fn carry_out(&self, step: capacity::CapacityStep, fence: quantity::FenceNumber) {
        let ports = self.ports.clone();
        let inputs = self.inputs.clone();
        task::spawn(async move {
            if let Some(input) = carry_out::carry_out(ports, step, fence).await {
                send(&inputs, input);
            }
        });
    }

    fn spawn(
        &self,
        call: impl std::future::Future<Output = action::ControlInput> + Send + 'static,
    ) {
        let inputs = self.inputs.clone();
        task::spawn(async move { send(&inputs, call.await) });
    }
}

/// A full queue drops the input: every call is made again, and none is relied upon.
fn send(inputs: &mpsc::SyncSender<ThreadInput>, input: action::ControlInput) {
    let _ = inputs.try_send(ThreadInput::Done(input));
}

async fn read_platform(
    ports: &ControlPorts,
    duty_key: &table::RowKey,
    read: action::PlatformRead,
) -> Option<action::ControlInput> {
    match read {
        action::PlatformRead::Head => {
            let row = ports.table.read(&table::RowKey::new(revision::HEAD_KEY)).await.ok()?;
            let head = match row {
                Some(row) => Some(revision::HeadRow::parse(&row.value).ok()?),
                None => None,
            };
            Some(action::ControlInput::HeadRead(head))
        }
        action::PlatformRead::Revision(number) => {
            let key = table::RowKey::new(&revision::revision_key(number));
            let row = ports.table.read(&key).await.ok()??;
            let parsed = revision::RevisionRow::parse(&row.value);
            if let Err(cause) = &parsed {
                log_event!(event::LogEvent::RecordRefused, revision = number, cause = cause);
            }
            Some(action::ControlInput::RevisionRead(parsed.ok().map(Into::into)))
        }
        action::PlatformRead::List => {
            Some(action::ControlInput::ListRead(ports.cloud.list_vms().await.ok()?))
        }
        action::PlatformRead::Notices(serial) => {
            Some(action::ControlInput::NoticesRead(ports.cloud.notices(serial).await.ok()?))
        }
        action::PlatformRead::Drains => {
            let rows = ports.table.scan(revision::DRAIN_PREFIX, None, MAX_DRAINS).await.ok()?;
            let marks = rows.iter().filter_map(drain_mark).collect();
            Some(action::ControlInput::DrainsRead(marks))
        }
        action::PlatformRead::Offers => {
            Some(action::ControlInput::OffersRead(ports.cloud.offers().await.ok()?))
        }
        action::PlatformRead::Duty => {
            Some(action::ControlInput::DutyRead(ports.table.read(duty_key).await.ok()?))
        }
    }
}

fn drain_mark(row: &table::TableRow) -> Option<capacity::DrainMark> {
    let vm = row.key.as_str().strip_prefix(revision::DRAIN_PREFIX)?.parse().ok()?;
    Some(capacity::DrainMark { vm, author: row.value.clone() })
}

fn label(read: action::PlatformRead) -> &'static str {
    match read {
        action::PlatformRead::Head => "head",
        action::PlatformRead::Revision(_) => "revision",
        action::PlatformRead::List => "list",
        action::PlatformRead::Notices(_) => "notices",
        action::PlatformRead::Drains => "drains",
        action::PlatformRead::Offers => "offers",
        action::PlatformRead::Duty => "duty",
    }
}

fn answer_label(answer: &news::ReplicaAnswer) -> &'static str {
    match answer {
        news::ReplicaAnswer::Silent => "silent",
        news::ReplicaAnswer::NotReady => "not-ready",
        news::ReplicaAnswer::Draining { .. } => "draining",
        news::ReplicaAnswer::Ready { .. } => "ready",
    }
}

fn log_daemon(news: &news::DaemonNews) {
    let kind = if daemons::is_gone(news) {
        event::LogEvent::DaemonGone
    } else if !daemons::is_answering(news) {
        event::LogEvent::DaemonSuspected
    } else if news.standing.state == zone::UpstreamState::Live {
        event::LogEvent::DaemonBack
    } else {
        event::LogEvent::DaemonJoined
    };
    log_event!(kind, daemon = news.id, zone = news.zone, state = news.standing.state);
}

fn log_upstream(news: &news::UpstreamNews) {
    let kind = match news.standing.state {
        zone::UpstreamState::Joining => return,
        zone::UpstreamState::Live => event::LogEvent::UpstreamJoined,
        zone::UpstreamState::Leaving => event::LogEvent::UpstreamLeaving,
        zone::UpstreamState::Gone => event::LogEvent::UpstreamGone,
    };
    log_event!(kind, vm = news.vm, pool = news.pool);
}

/// The life of a process that starts now: milliseconds since 1970, so that it rises over restarts.
pub fn new_incarnation() -> quantity::Incarnation {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    quantity::Incarnation::new(time::Millis::from(since_epoch.unwrap_or_default()).get())
}
