//! The control thread: hands inputs to the control state and carries out its actions.

use std::collections;
use std::sync;
use std::sync::mpsc;

use async_std::channel;
use samphiremoor_base::event;
use samphiremoor_base::id;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_view::zone;

use crate::action;
use crate::calls;
use crate::change_log;
use crate::input;
use crate::message;
use crate::metrics;
use crate::sink;
use crate::state;

/// Between two ticks of the control state.
const TICK_INTERVAL: time::Millis = time::Millis::new(50);

/// Between two sweeps of the sink; what ends there by time has limits of seconds.
const SWEEP_INTERVAL: time::Millis = time::Millis::new(200);

/// Longest wait of a daemon that ends for the answers of the peers that it tells of it.
const END_LIMIT: time::Millis = time::Millis::new(500);

/// What the control thread owns.
pub(crate) struct ControlWorker {
    clock: time::MonotonicClock,
    state: state::ControlState,
    calls: calls::CallStarter,
    sink: sync::Arc<dyn sink::ViewSink>,
    shown: Option<sync::Arc<zone::ZoneView>>,
    metrics: metrics::ControlMetrics,
    is_platform_available: bool,
}

impl ControlWorker {
    /// A worker for a state; the platform counts as available until a read fails.
    pub(crate) fn new(
        clock: time::MonotonicClock,
        state: state::ControlState,
        calls: calls::CallStarter,
        sink: sync::Arc<dyn sink::ViewSink>,
        metrics: metrics::ControlMetrics,
    ) -> Self {
        let shown = None;
        ControlWorker { clock, state, calls, sink, shown, metrics, is_platform_available: true }
    }

    /// Takes inputs and ticks until it is told to stop.
    pub(crate) fn run(mut self, queue: &mpsc::Receiver<input::ThreadInput>) {
        let mut next_tick = self.clock.now();
        let mut next_sweep = next_tick;
        loop {
            let wait = time::Millis::new(next_tick.get())
                .saturating_sub(time::Millis::new(self.clock.now().get()));
            match queue.recv_timeout(wait.to_duration()) {
                Ok(input::ThreadInput::Done(input)) => self.step(input),
                Ok(input::ThreadInput::Question(question, reply)) => self.answer(question, &reply),
                Ok(input::ThreadInput::Stop) => return self.end(queue),
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Err(mpsc::RecvTimeoutError::Timeout) => {}
            }
            if self.clock.now() >= next_tick {
                self.step(action::ControlInput::Tick);
                next_tick = self.clock.now() + TICK_INTERVAL;
            }
            if self.clock.now() >= next_sweep {
                self.sink.expire_requests();
                next_sweep = self.clock.now() + SWEEP_INTERVAL;
            }
        }
    }

    /// Tells peers that the daemon ends, and waits until they have it.
    fn end(mut self, queue: &mpsc::Receiver<input::ThreadInput>) {
        let limit = self.clock.now() + END_LIMIT;
        let actions = self.state.end(self.clock.now());
        let peers = actions.iter().filter_map(|action| match action {
            action::ControlAction::Gossip(peer, _) => Some(peer.id.clone()),
            _ => None,
        });
        let mut told: collections::BTreeSet<id::DaemonId> = peers.collect();
        actions.into_iter().for_each(|action| self.act(action));
        while !told.is_empty() {
            let wait = time::Millis::new(limit.get())
                .saturating_sub(time::Millis::new(self.clock.now().get()));
            match queue.recv_timeout(wait.to_duration()) {
                Ok(input::ThreadInput::Done(action::ControlInput::GossipAnswered(message))) => {
                    told.remove(&message.sender.id);
                }
                Ok(input::ThreadInput::Done(action::ControlInput::CallFailed(peer))) => {
                    told.remove(&peer);
                }
                Ok(_) => {}
                Err(_) => return,
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
            action::ControlInput::ReadFailed(read) if self.is_platform_available => {
                self.is_platform_available = false;
                log_event!(event::LogEvent::PlatformUnavailable, read = read.label());
            }
            action::ControlInput::HeadRead(_) if !self.is_platform_available => {
                self.is_platform_available = true;
                log_event!(event::LogEvent::PlatformBack);
            }
            _ => {}
        }
    }

    fn answer(
        &mut self,
        question: message::PeerRequest,
        reply: &channel::Sender<message::PeerResponse>,
    ) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        let answer = match question {
            message::PeerRequest::Gossip(message) => {
                let answer = self.state.gossip(now, *message, &mut actions);
                message::PeerResponse::Gossip(Box::new(answer))
            }
            message::PeerRequest::Join(asker) => {
                message::PeerResponse::Joined(self.state.join(now, asker))
            }
            message::PeerRequest::Revision { requester: asker, known_revision: have } => {
                message::PeerResponse::Revision(self.state.revision_for(now, asker, have))
            }
            message::PeerRequest::InForce => message::PeerResponse::InForce(self.in_force(now)),
            message::PeerRequest::View => {
                let view = self.shown.as_deref().map(|view| Box::new(view.clone()));
                message::PeerResponse::View(view)
            }
            message::PeerRequest::Probe(target) => {
                return self.calls.probe(target, reply.clone());
            }
        };
        // The asker may have given up, and nothing is owed to it then.
        let _ = reply.try_send(answer);
        actions.into_iter().for_each(|action| self.act(action));
    }

    fn in_force(&self, now: time::MonotonicTime) -> message::InForceReport {
        let own = self.state.membership().daemons().local();
        message::InForceReport {
            daemon: own.id.clone(),
            zone: own.zone.clone(),
            revision: self.served_revision().min(self.state.reported_revision(now)),
            age: self.state.revision_age(now),
            known_daemons: self.state.known_daemons(),
        }
    }

    /// The revision of the view that the daemon serves by; 0 before the first one.
    fn served_revision(&self) -> quantity::RevisionNumber {
        self.shown.as_ref().map(|view| view.records.revision).unwrap_or_default()
    }

    fn act(&mut self, action: action::ControlAction) {
        match action {
            action::ControlAction::Read(read) => {
                self.calls.read(read, self.state.duty_key().clone())
            }
            action::ControlAction::Join(address, own) => self.calls.join(address, own),
            action::ControlAction::Gossip(peer, message) => self.calls.gossip(peer, message),
            action::ControlAction::AskRevision(peer, question) => {
                self.calls.ask_revision(peer, question)
            }
            action::ControlAction::Probe { through, target } => {
                self.calls.probe_through(through, target)
            }
            action::ControlAction::Poll(upstream) => self.calls.poll(upstream),
            action::ControlAction::RevisionChanged(revision) => {
                // The sink logs it when the daemon serves by it.
                self.metrics.revision_changes.inc();
                log::debug!("revision {revision} is known");
            }
            action::ControlAction::RevisionRefused(revision, cause) => {
                self.metrics.revision_refusals.inc();
                log_event!(event::LogEvent::RecordRefused, revision = revision, cause = cause);
            }
            action::ControlAction::DaemonChanged(news) => change_log::log_daemon(&news),
            action::ControlAction::UpstreamChanged(news) => change_log::log_upstream(&news),
            action::ControlAction::WriteDuty(write) => self.calls.write_duty(write),
            action::ControlAction::CarryOut(step, fence) => self.calls.carry_out(step, fence),
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

    fn publish(&mut self, view: zone::ZoneView) {
        self.metrics.views.inc();
        self.metrics.upstreams.reset();
        let mut counts: collections::BTreeMap<zone::UpstreamState, i64> =
            collections::BTreeMap::new();
        for replica in &view.replicas {
            *counts.entry(replica.state).or_default() += 1;
        }
        for (state, count) in counts {
            self.metrics.upstreams.with_label_values(&[state.label()]).set(count);
        }
        let view = sync::Arc::new(view);
        self.sink.publish(view.clone());
        self.shown = Some(view);
    }
}
