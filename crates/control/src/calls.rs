//! Spawns a task for each call of the control thread. The tasks send their results back to the
//! thread.

use std::future;
use std::net;
use std::sync;
use std::sync::mpsc;

use async_std::channel;
use async_std::task;
use samphiremoor_base::event;
use samphiremoor_base::log_event;
use samphiremoor_base::quantity;
use samphiremoor_membership::gossip;
use samphiremoor_membership::state as membership;
use samphiremoor_platform::table;

use crate::action;
use crate::capacity;
use crate::client_pool;
use crate::executor;
use crate::input;
use crate::message;
use crate::metrics;
use crate::platform_read;
use crate::ports;

/// Spawns calls to the platform, to peers and to upstreams.
pub(crate) struct CallSpawner {
    pub(crate) ports: ports::ControlPorts,
    pub(crate) client_pool: sync::Arc<client_pool::ClientPool>,
    pub(crate) metrics: metrics::ControlMetrics,
    pub(crate) inputs: mpsc::SyncSender<input::ThreadInput>,
}

impl CallSpawner {
    /// Reads from the platform, and reports a failed read as [`action::ControlInput::ReadFailed`].
    pub(crate) fn read(&self, read: action::PlatformRead, duty_key: table::RowKey) {
        let ports = self.ports.clone();
        let metrics = self.metrics.clone();
        self.spawn(async move {
            let input = platform_read::read(&*ports.table, &*ports.cloud, &duty_key, read).await;
            let result = if input.is_some() { "done" } else { "failed" };
            metrics.platform_reads.with_label_values(&[read.label(), result]).inc();
            input.unwrap_or(action::ControlInput::ReadFailed(read))
        });
    }

    /// Registers the local daemon at a seed. Failures are ignored because a later attempt repeats
    /// the request.
    pub(crate) fn join(&self, address: net::SocketAddr, local: gossip::DaemonInfo) {
        let client_pool = self.client_pool.clone();
        let inputs = self.inputs.clone();
        task::spawn(async move {
            let request = message::PeerRequest::Join(local);
            let response = client_pool.request_at(address, &request, "join").await;
            if let Some(message::PeerResponse::Joined(known_daemons)) = response {
                send_result(&inputs, action::ControlInput::Joined(known_daemons));
            }
        });
    }

    /// Sends a gossip message to a peer.
    pub(crate) fn gossip(&self, peer: gossip::DaemonInfo, message: membership::GossipMessage) {
        let client_pool = self.client_pool.clone();
        self.spawn(async move {
            let request = message::PeerRequest::Gossip(Box::new(message));
            match client_pool.request(&peer, &request, "gossip").await {
                Some(message::PeerResponse::Gossip(response)) => {
                    action::ControlInput::GossipCompleted(response)
                }
                _ => action::ControlInput::GossipFailed(peer.id),
            }
        });
    }

    /// Requests the revision in force from a peer.
    pub(crate) fn request_revision(&self, peer: gossip::DaemonInfo, request: message::PeerRequest) {
        let client_pool = self.client_pool.clone();
        self.spawn(async move {
            let response = client_pool.request(&peer, &request, "revision").await;
            let delta = match response {
                Some(message::PeerResponse::Revision(delta)) => delta,
                _ => None,
            };
            if let Some(delta) = &delta {
                let revision = delta.revision;
                log_event!(event::LogEvent::RevisionRelayed, revision = revision, peer = peer.id);
            }
            action::ControlInput::RevisionReceived(delta)
        });
    }

    /// Probes a daemon on behalf of a peer that did not reach it, and replies to that peer.
    pub(crate) fn probe(
        &self,
        target: gossip::DaemonInfo,
        reply: channel::Sender<message::PeerResponse>,
    ) {
        let client_pool = self.client_pool.clone();
        task::spawn(async move {
            let response =
                client_pool.request(&target, &message::PeerRequest::InForce, "probe").await;
            let _ = reply.try_send(message::PeerResponse::Probe(response.is_some()));
        });
    }

    /// Asks a peer to probe another daemon.
    pub(crate) fn indirect_probe(&self, prober: gossip::DaemonInfo, target: gossip::DaemonInfo) {
        let client_pool = self.client_pool.clone();
        self.spawn(async move {
            let id = target.id.clone();
            let request = message::PeerRequest::Probe(target);
            let response = client_pool.request(&prober, &request, "probe").await;
            let is_reached = matches!(response, Some(message::PeerResponse::Probe(true)));
            action::ControlInput::ProbeCompleted { target: id, is_reached }
        });
    }

    /// Polls an upstream for its state and load.
    pub(crate) fn poll(&self, upstream: gossip::UpstreamInfo) {
        let upstreams = self.ports.upstreams.clone();
        let metrics = self.metrics.clone();
        self.spawn(async move {
            let result = upstreams.poll(upstream.address).await;
            metrics.upstream_polls.with_label_values(&[poll_result_label(&result)]).inc();
            action::ControlInput::PollCompleted { vm: upstream.vm, result }
        });
    }

    /// Writes the lease row for the duties of the zone.
    pub(crate) fn write_lease_row(&self, write: table::TableTransaction) {
        let table = self.ports.table.clone();
        self.spawn(
            async move { action::ControlInput::DutyWritten(table.commit(&write).await.into()) },
        );
    }

    /// Executes a plan step under the fencing token of the lease.
    pub(crate) fn execute_step(&self, step: capacity::PlanStep, token: quantity::FencingToken) {
        let ports = self.ports.clone();
        let inputs = self.inputs.clone();
        task::spawn(async move {
            if let Some(input) = executor::execute(ports, step, token).await {
                send_result(&inputs, input);
            }
        });
    }

    /// Spawns a call and sends its result to the control thread.
    fn spawn(&self, call: impl future::Future<Output = action::ControlInput> + Send + 'static) {
        let inputs = self.inputs.clone();
        task::spawn(async move { send_result(&inputs, call.await) });
    }
}

/// Sends a result to the control thread. If the queue is full, the result is dropped, which is safe
/// because every call is repeated.
fn send_result(inputs: &mpsc::SyncSender<input::ThreadInput>, input: action::ControlInput) {
    let _ = inputs.try_send(input::ThreadInput::CallCompleted(input));
}

fn poll_result_label(result: &gossip::PollResult) -> &'static str {
    match result {
        gossip::PollResult::NoResponse => "silent",
        gossip::PollResult::NotReady => "not-ready",
        gossip::PollResult::Draining { .. } => "draining",
        gossip::PollResult::Ready { .. } => "ready",
    }
}
