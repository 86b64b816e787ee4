//! Main loop of the control thread: passes inputs to the control state and performs its actions.

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

/// Time between two ticks of the control state.
const TICK_INTERVAL: time::Millis = time::Millis::new(50);

/// Time between two calls of [`sink::ViewSink::expire_requests`]. It is short compared to the time
/// limits enforced there, which are seconds.
const EXPIRY_INTERVAL: time::Millis = time::Millis::new(200);

/// Maximum time that a shutdown waits for the responses of the peers that it notifies.
const SHUTDOWN_TIMEOUT: time::Millis = time::Millis::new(500);

/// State that the control thread owns.
pub(crate) struct ControlWorker {
    clock: time::MonotonicClock,
    state: state::ControlState,
    call_spawner: calls::CallSpawner,
    sink: sync::Arc<dyn sink::ViewSink>,
    /// The view that was last passed to the sink.
    published_view: Option<sync::Arc<zone::ZoneView>>,
    metrics: metrics::ControlMetrics,
    /// Whether the platform was last logged as available.
    is_platform_available: bool,
}

impl ControlWorker {
    /// Creates a worker. The platform is assumed to be available until a read fails.
    pub(crate) fn new(
        clock: time::MonotonicClock,
        state: state::ControlState,
        call_spawner: calls::CallSpawner,
        sink: sync::Arc<dyn sink::ViewSink>,
        metrics: metrics::ControlMetrics,
    ) -> Self {
        let published_view = None;
        ControlWorker {
            clock,
            state,
            call_spawner,
            sink,
            published_view,
            metrics,
            is_platform_available: true,
        }
    }

    /// Handles inputs and ticks until it receives a stop input.
    pub(crate) fn run(mut self, queue: &mpsc::Receiver<input::ThreadInput>) {
        let mut next_tick_at = self.clock.now();
        let mut next_expiry_at = next_tick_at;
        loop {
            let time_to_tick = time::Millis::new(next_tick_at.get())
                .saturating_sub(time::Millis::new(self.clock.now().get()));
            match queue.recv_timeout(time_to_tick.to_duration()) {
                Ok(input::ThreadInput::CallCompleted(input)) => self.step(input),
                Ok(input::ThreadInput::Request(request, reply)) => {
                    self.handle_request(request, &reply)
                }
                Ok(input::ThreadInput::Stop) => return self.shut_down(queue),
                Err(mpsc::RecvTimeoutError::Disconnected) => return,
                Err(mpsc::RecvTimeoutError::Timeout) => {}
            }
            if self.clock.now() >= next_tick_at {
                self.step(action::ControlInput::Tick);
                next_tick_at = self.clock.now() + TICK_INTERVAL;
            }
            if self.clock.now() >= next_expiry_at {
                self.sink.expire_requests();
                next_expiry_at = self.clock.now() + EXPIRY_INTERVAL;
            }
        }
    }

    /// Notifies peers of the shutdown and waits for their responses.
    fn shut_down(mut self, queue: &mpsc::Receiver<input::ThreadInput>) {
        let deadline = self.clock.now() + SHUTDOWN_TIMEOUT;
        let actions = self.state.shut_down(self.clock.now());
        let peers = actions.iter().filter_map(|action| match action {
            action::ControlAction::Gossip(peer, _) => Some(peer.id.clone()),
            _ => None,
        });
        let mut pending_peers: collections::BTreeSet<id::DaemonId> = peers.collect();
        actions.into_iter().for_each(|action| self.perform(action));
        while !pending_peers.is_empty() {
            let time_to_deadline = time::Millis::new(deadline.get())
                .saturating_sub(time::Millis::new(self.clock.now().get()));
            match queue.recv_timeout(time_to_deadline.to_duration()) {
                Ok(input::ThreadInput::CallCompleted(action::ControlInput::GossipCompleted(
                    message,
                ))) => {
                    pending_peers.remove(&message.sender.id);
                }
                Ok(input::ThreadInput::CallCompleted(action::ControlInput::GossipFailed(peer))) => {
                    pending_peers.remove(&peer);
                }
                Ok(_) => {}
                Err(_) => return,
            }
        }
    }

    fn step(&mut self, input: action::ControlInput) {
        self.log_platform_state(&input);
        let actions = self.state.step(self.clock.now(), input);
        actions.into_iter().for_each(|action| self.perform(action));
    }

    /// Logs when a read from the platform fails, and when the head row can be read again.
    fn log_platform_state(&mut self, input: &action::ControlInput) {
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

    fn handle_request(
        &mut self,
        request: message::PeerRequest,
        reply: &channel::Sender<message::PeerResponse>,
    ) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        let response = match request {
            message::PeerRequest::Gossip(message) => {
                let response = self.state.handle_gossip(now, *message, &mut actions);
                message::PeerResponse::Gossip(Box::new(response))
            }
            message::PeerRequest::Join(requester) => {
                message::PeerResponse::Joined(self.state.handle_join(now, requester))
            }
            message::PeerRequest::Revision { requester, known_revision } => {
                message::PeerResponse::Revision(self.state.handle_revision_request(
                    now,
                    requester,
                    known_revision,
                ))
            }
            message::PeerRequest::InForce => {
                message::PeerResponse::InForce(self.build_in_force_report(now))
            }
            message::PeerRequest::View => {
                let view = self.published_view.as_deref().map(|view| Box::new(view.clone()));
                message::PeerResponse::View(view)
            }
            message::PeerRequest::Probe(target) => {
                return self.call_spawner.probe(target, reply.clone());
            }
        };
        // The requester may have stopped waiting, so a failed send is ignored.
        let _ = reply.try_send(response);
        actions.into_iter().for_each(|action| self.perform(action));
    }

    fn build_in_force_report(&self, now: time::MonotonicTime) -> message::InForceReport {
        let local = self.state.membership().daemons().local();
        message::InForceReport {
            daemon: local.id.clone(),
            zone: local.zone.clone(),
            revision: self.served_revision().min(self.state.reported_revision(now)),
            age: self.state.revision_age(now),
            known_daemons: self.state.known_daemons(),
        }
    }

    /// Returns the revision of the view that the daemon serves by, or 0 before the first view.
    fn served_revision(&self) -> quantity::RevisionNumber {
        self.published_view.as_ref().map(|view| view.records.revision).unwrap_or_default()
    }

    fn perform(&mut self, action: action::ControlAction) {
        match action {
            action::ControlAction::Read(read) => {
                self.call_spawner.read(read, self.state.duty_key().clone())
            }
            action::ControlAction::Join(address, local) => self.call_spawner.join(address, local),
            action::ControlAction::Gossip(peer, message) => self.call_spawner.gossip(peer, message),
            action::ControlAction::RequestRevision(peer, request) => {
                self.call_spawner.request_revision(peer, request)
            }
            action::ControlAction::IndirectProbe { prober, target } => {
                self.call_spawner.indirect_probe(prober, target)
            }
            action::ControlAction::Poll(upstream) => self.call_spawner.poll(upstream),
            action::ControlAction::RevisionChanged(revision) => {
                // The sink logs the revision once the daemon serves by it.
                self.metrics.revision_changes.inc();
                log::debug!("revision {revision} received");
            }
            action::ControlAction::RevisionRefused(revision, cause) => {
                self.metrics.revision_refusals.inc();
                log_event!(event::LogEvent::RecordRefused, revision = revision, cause = cause);
            }
            action::ControlAction::DaemonChanged(info) => change_log::log_daemon(&info),
            action::ControlAction::UpstreamChanged(info) => change_log::log_upstream(&info),
            action::ControlAction::WriteDuty(write) => self.call_spawner.write_lease_row(write),
            action::ControlAction::ExecuteStep(step, token) => {
                self.call_spawner.execute_step(step, token)
            }
            action::ControlAction::DutyChanged(Some(token)) => {
                log_event!(event::LogEvent::LeaseTaken, duty = "zone", fence = token);
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
        let mut replica_counts: collections::BTreeMap<zone::UpstreamState, i64> =
            collections::BTreeMap::new();
        for replica in &view.replicas {
            *replica_counts.entry(replica.state).or_default() += 1;
        }
        for (state, count) in replica_counts {
            self.metrics.upstreams.with_label_values(&[state.label()]).set(count);
        }
        let view = sync::Arc::new(view);
        self.sink.publish(view.clone());
        self.published_view = Some(view);
    }
}
